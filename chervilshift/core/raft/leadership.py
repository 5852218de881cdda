"""Leader duties: replication, commits, voter changes and transfers."""

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
    LEARNER_MAX_LAG_ENTRIES,
    MIN_VOTERS,
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
            self._become_follower(self.term, now)
            self.leader_id = None
            return
        if self.transferring_to and now > self._transfer_deadline:
            # The target may still receive TimeoutNow and win an election
            # that the other voters do not refuse, so the lease is given up
            # by stepping down.
            self._become_follower(self.term, now)
            self.leader_id = None
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
        for voter_id, progress in self.progress.items():
            lag_entries = self.log.last_index - progress.match_index
            if (
                voter_id not in self.voter_ids
                and self._is_responsive(voter_id, now)
                and progress.match_index
                and lag_entries <= LEARNER_MAX_LAG_ENTRIES
            ):
                new_voters = (*voters, progress.voter)
                self._append_entry(VOTERS, encode_voters(new_voters), now)
                return
        if self.open_membership:
            self._remove_silent_voter(now)

    def _remove_silent_voter(self, now: float) -> None:
        """Remove a voter that has not replied for `VOTER_REMOVE_TIMEOUT_S`.

        Only if all others reply: a network partition must not shrink the
        voter set to the replicas on the leader's side, and a smaller set
        must not be exposed to the loss of a second voter.
        """
        voters = self.log.voters
        if (
            len(voters) <= MIN_VOTERS
            or now - self._leading_since < VOTER_REMOVE_TIMEOUT_S
        ):
            return
        silent = [
            v
            for v in voters
            if now - self._acked_at(v.id, now) > VOTER_REMOVE_TIMEOUT_S
        ]
        others = [v for v in voters if v not in silent]
        if len(silent) != 1 or not all(
            self._is_responsive(v.id, now) for v in others
        ):
            return
        self._append_entry(VOTERS, encode_voters(tuple(others)), now)

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
