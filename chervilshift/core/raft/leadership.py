"""Leader duties: replication, commits, voter changes and transfers."""

from chervilshift.core.raft.messages import (
    VOTERS,
    Append,
    InstallSnapshot,
    LogEntry,
    TimeoutNow,
    Voter,
    encode_voters,
)
from chervilshift.core.raft.progress import Progress
from chervilshift.core.raft.state import (
    LEARNER_MAX_LAG_ENTRIES,
    SNAPSHOT_RETRY_S,
    VOTER_REMOVE_TIMEOUT_S,
)

__all__ = ["LeaderMixin"]


class LeaderMixin:
    """Methods of `Raft` for the leader; the attributes are defined there."""

    __slots__ = ()

    def _quorum_size(self) -> int:
        return len(self.log.voters) // 2 + 1

    def _acked_at(self, voter_id: str, now: float) -> float:
        if voter_id == self.local_voter.id:
            return now
        progress = self.progress.get(voter_id)
        return progress.acked_at if progress else float("-inf")

    def _quorum_acked_at(self, now: float) -> float:
        times = sorted(
            (self._acked_at(voter_id, now) for voter_id in self.voter_ids),
            reverse=True,
        )
        return times[self._quorum_size() - 1]

    def _is_responsive(self, voter_id: str, now: float) -> bool:
        return (
            now - self._acked_at(voter_id, now)
            < self.timing.election_timeout_min_s
        )

    def _tick_leader(self, now: float) -> None:
        if (
            now - self._quorum_acked_at(now)
            > self.timing.election_timeout_max_s
        ):
            self.step_down(now)
            return
        if self.transferring_to and now > self._transfer_deadline:
            # The target may still receive TimeoutNow and win an election
            # that the other voters do not refuse, so the lease is given up
            # by stepping down.
            self.step_down(now)
            return
        if now >= self._heartbeat_due_at:
            self._heartbeat_due_at = now + self.timing.heartbeat_interval_s
            for voter_id in tuple(self.progress):
                self._schedule_append(voter_id, now)
        self._drop_silent_learners(now)
        self._update_voters(now)

    def _drop_silent_learners(self, now: float) -> None:
        """Stop replicating to learners that no longer reply."""
        silent = [
            voter_id
            for voter_id, progress in self.progress.items()
            if voter_id not in self.voter_ids
            and now - progress.acked_at
            > 5 * self.timing.election_timeout_max_s
        ]
        for voter_id in silent:
            del self.progress[voter_id]

    def _update_voters(self, now: float) -> None:
        """Append the next change to the voter set, if one is due.

        A learner that has caught up becomes a voter. If it is a new
        incarnation of a replica that lost its disk, the old incarnation is
        removed afterwards. Each entry adds or removes one voter and must be
        committed before the next is appended.
        """
        voters_committed = self.log.voters_index <= self.commit
        if not voters_committed or self.commit < self._term_start_index:
            return
        voters = self.log.voters
        newest_ids = {voter.name: voter.id for voter in voters}
        replaced = next(
            (v for v in voters if newest_ids[v.name] != v.id), None
        )
        if replaced is not None:
            new_voters = tuple(v for v in voters if v.id != replaced.id)
            self._append_entry(VOTERS, encode_voters(new_voters), now)
            return
        promoted = self._find_promotable_learner(now)
        if promoted is not None:
            new_voters = (*voters, promoted)
            self._append_entry(VOTERS, encode_voters(new_voters), now)
        elif self.open_membership:
            self._remove_silent_voter(now)

    def _find_promotable_learner(self, now: float) -> Voter | None:
        """Return a learner that has caught up and may vote, if there is one.

        An even voter set with a silent voter loses that one first, or gets
        the new incarnation of a voter; otherwise lost voters would
        accumulate in a growing set.
        """
        voters = self.log.voters
        names = {voter.name for voter in voters}
        may_grow = len(voters) % 2 or all(
            self._is_responsive(voter.id, now) for voter in voters
        )
        return next(
            (
                progress.voter
                for voter_id, progress in self.progress.items()
                if voter_id not in self.voter_ids
                and (may_grow or progress.voter.name in names)
                and self._is_responsive(voter_id, now)
                and progress.match_index
                and self.log.last_index - progress.match_index
                <= LEARNER_MAX_LAG_ENTRIES
            ),
            None,
        )

    def _remove_silent_voter(self, now: float) -> None:
        """Remove the voter that has been silent for longest, if it is time.

        An even set tolerates no fewer losses without any one of its voters,
        so there the first silent voter goes soon, lost or only cut off: its
        successor votes already. An odd set shrinks after
        `VOTER_REMOVE_TIMEOUT_S`. No set shrinks below the size that tolerates
        the stated losses, nor without a responsive quorum.
        """
        voters = self.log.voters
        responsive = [v for v in voters if self._is_responsive(v.id, now)]
        if (
            len(voters) <= self._min_voters
            or len(responsive) < self._quorum_size()
        ):
            return
        silent = min(voters, key=lambda v: self._acked_at(v.id, now))
        silent_since = max(self._acked_at(silent.id, now), self._leading_since)
        timeout_s = (
            VOTER_REMOVE_TIMEOUT_S
            if len(voters) % 2
            else self.timing.election_timeout_max_s
        )
        if now - silent_since > timeout_s:
            others = tuple(v for v in voters if v is not silent)
            self._append_entry(VOTERS, encode_voters(others), now)

    def _append_entry(self, kind: str, data: bytes, now: float) -> int:
        entry = LogEntry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            data=data,
        )
        self.log.append((entry,))
        for voter_id in tuple(self.progress):
            self._schedule_append(voter_id, now)
        return entry.index

    def _schedule_append(self, voter_id: str, now: float) -> None:
        """Mark a peer for an `Append` message at the next flush.

        Calls before the flush share one message with all new entries.
        """
        self._append_due[voter_id] = now

    def _flush_appends(self) -> None:
        due, self._append_due = self._append_due, {}
        for voter_id, now in due.items():
            if voter_id in self.progress:
                self._build_append(voter_id, now)

    def _build_append(self, voter_id: str, now: float) -> None:
        progress = self.progress[voter_id]
        prev_index = progress.next_index - 1
        prev_term = self.log.term_at(prev_index)
        if prev_term is None:
            self._send_snapshot(progress, now)
            return
        entries = self.log.batch(progress.next_index)
        self._messages.append(
            Append(
                src=self.local_voter.id,
                dst=voter_id,
                sender=self.local_voter,
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
                sender=self.local_voter,
                term=self.term,
                snapshot=self.log.full_snapshot,
                sent_at=now,
            )
        )

    def _advance_commit(self, now: float) -> None:
        matches = sorted(
            (
                self._saved_index
                if voter_id == self.local_voter.id
                else self.progress[voter_id].match_index
                for voter_id in self.voter_ids
                if voter_id == self.local_voter.id or voter_id in self.progress
            ),
            reverse=True,
        )
        if len(matches) < self._quorum_size():
            return
        index = min(matches[self._quorum_size() - 1], self.log.last_index)
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
