"""Leading: replication, commits, the voter set and handing over."""

from chervilshift.core.raft.messages import (
    VOTERS,
    Append,
    InstallSnapshot,
    LogEntry,
    TimeoutNow,
    encode_voters,
)
from chervilshift.core.raft.progress import Progress
from chervilshift.core.raft.state import (
    CAUGHT_UP_ENTRIES,
    MIN_VOTERS,
    SNAPSHOT_RETRY_S,
    VOTER_REMOVE_TIMEOUT_S,
)

__all__ = ["Leadership"]


class Leadership:
    """The part of a replica that leads while it holds the role."""

    __slots__ = ()

    def _quorum(self) -> int:
        return len(self.log.voters) // 2 + 1

    def _acked_at(self, vid: str, now: float) -> float:
        if vid == self.local_voter.id:
            return now
        progress = self.progress.get(vid)
        return progress.acked_at if progress else float("-inf")

    def _quorum_acked_at(self, now: float) -> float:
        times = sorted(
            (self._acked_at(vid, now) for vid in self.voter_ids), reverse=True
        )
        return times[self._quorum() - 1]

    def _answers(self, vid: str, now: float) -> bool:
        return now - self._acked_at(vid, now) < self.timing.election_min_s

    def _tick_leader(self, now: float) -> None:
        if now - self._quorum_acked_at(now) > self.timing.election_max_s:
            self._become_follower(self.term, now)
            self.leader = None
            return
        if self.transferring_to and now > self._transfer_until:
            # The successor may still act on the order: no lease any more.
            self._become_follower(self.term, now)
            self.leader = None
            return
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self.timing.heartbeat_s
            for vid in tuple(self.progress):
                self._send_append(vid, now)
        self._drop_silent_learners(now)
        self._repair_voters(now)

    def _drop_silent_learners(self, now: float) -> None:
        silent = [
            vid
            for vid, progress in self.progress.items()
            if vid not in self.voter_ids
            and now - progress.acked_at > 5 * self.timing.election_max_s
        ]
        for vid in silent:
            del self.progress[vid]

    def _repair_voters(self, now: float) -> None:
        """Replace a lost incarnation by its caught-up successor.

        The successor is added before the lost one is removed, and each step
        is one change of one voter that must commit before the next.
        """
        settled = self.log.voters_index <= self.commit
        if not settled or self.commit < self._term_start:
            return
        voters = self.log.voters
        newest = {voter.name: voter.id for voter in voters}
        lost = next((v for v in voters if newest[v.name] != v.id), None)
        if lost is not None:
            target = tuple(v for v in voters if v.id != lost.id)
            self._append_own(VOTERS, encode_voters(target), now)
            return
        for vid, progress in self.progress.items():
            behind = self.log.last_index - progress.match_index
            if (
                vid not in self.voter_ids
                and self._answers(vid, now)
                and progress.match_index
                and behind <= CAUGHT_UP_ENTRIES
            ):
                target = (*voters, progress.voter)
                self._append_own(VOTERS, encode_voters(target), now)
                return
        if self.open_membership:
            self._remove_silent_voter(now)

    def _remove_silent_voter(self, now: float) -> None:
        """Remove one voter that has long been silent.

        Only while the others all answer: a cut must not shrink the set to
        those on this side of it, and a silent voter must not be traded for
        the loss of the next one.
        """
        voters = self.log.voters
        if (
            len(voters) <= MIN_VOTERS
            or now - self._led_at < VOTER_REMOVE_TIMEOUT_S
        ):
            return
        silent = [
            v
            for v in voters
            if now - self._acked_at(v.id, now) > VOTER_REMOVE_TIMEOUT_S
        ]
        others = [v for v in voters if v not in silent]
        if len(silent) != 1 or not all(
            self._answers(v.id, now) for v in others
        ):
            return
        self._append_own(VOTERS, encode_voters(tuple(others)), now)

    def _append_own(self, kind: str, data: bytes, now: float) -> int:
        entry = LogEntry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            data=data,
        )
        self.log.append((entry,))
        for vid in tuple(self.progress):
            self._send_append(vid, now)
        return entry.index

    def _send_append(self, vid: str, now: float) -> None:
        """Plan a message to a peer; one goes out for all that is new."""
        self._due[vid] = now

    def _flush_appends(self) -> None:
        due, self._due = self._due, {}
        for vid, now in due.items():
            if vid in self.progress:
                self._make_append(vid, now)

    def _make_append(self, vid: str, now: float) -> None:
        progress = self.progress[vid]
        prev_index = progress.next_index - 1
        prev_term = self.log.term_at(prev_index)
        if prev_term is None:
            self._send_snapshot(progress, now)
            return
        entries = self.log.batch(progress.next_index)
        self._messages.append(
            Append(
                src=self.local_voter.id,
                dst=vid,
                term=self.term,
                prev_index=prev_index,
                prev_term=prev_term,
                commit=self.commit,
                sent_at=now,
                lease_age_s=max(0.0, now - self._quorum_acked_at(now)),
                entries=entries,
            )
        )
        progress.next_index += len(entries)

    def _send_snapshot(self, progress: Progress, now: float) -> None:
        waiting = progress.snapshot_sent_at is not None
        if waiting and now - progress.snapshot_sent_at < SNAPSHOT_RETRY_S:
            return
        progress.snapshot_sent_at = now
        self._messages.append(
            InstallSnapshot(
                src=self.local_voter.id,
                dst=progress.voter.id,
                term=self.term,
                snapshot=self.log.full_snapshot,
                sent_at=now,
            )
        )

    def _advance_commit(self, now: float) -> None:
        matches = sorted(
            (
                self._saved_index
                if vid == self.local_voter.id
                else self.progress[vid].match_index
                for vid in self.voter_ids
                if vid == self.local_voter.id or vid in self.progress
            ),
            reverse=True,
        )
        if len(matches) < self._quorum():
            return
        index = min(matches[self._quorum() - 1], self.log.last_index)
        if index <= self.commit or self.log.term_at(index) != self.term:
            return
        self.commit = index
        removed = self.local_voter.id not in self.voter_ids
        if removed and self.log.voters_index <= self.commit:
            self._become_follower(self.term, now)

    def _try_transfer(self, now: float) -> None:
        target = self.transferring_to
        progress = self.progress.get(target) if target else None
        if progress is None or progress.match_index < self.log.last_index:
            return
        self._messages.append(
            TimeoutNow(src=self.local_voter.id, dst=target, term=self.term)
        )
