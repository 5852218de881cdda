"""Elections: how a replica becomes a candidate, a leader or a follower."""

from chervilshift.core.raft.messages import NOOP, RaftMessage, RequestVote
from chervilshift.core.raft.progress import Progress
from chervilshift.core.raft.state import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
)

__all__ = ["Elections"]


class Elections:
    """The part of a replica that stands for election and steps down."""

    __slots__ = ()

    def _reset_election_timer(self, now: float) -> None:
        spread = self._rng.uniform(
            self.timing.election_min_s, self.timing.election_max_s
        )
        self._election_at = now + spread

    def _become_follower(self, term: int, now: float) -> None:
        if term > self.term:
            self.term = term
            self.vote = ""
            self.leader = None
            self._leader_age_s = float("inf")
        self.role = FOLLOWER
        self.transferring_to = None
        self.progress = {}
        self._reset_election_timer(now)

    def _ignores(self, message: RaftMessage, now: float) -> bool:
        """Refuse candidates while a leader is known to be in touch."""
        if not isinstance(message, RequestVote) or message.transfer:
            return False
        if self.is_leader:
            return (
                now - self._quorum_acked_at(now) < self.timing.election_min_s
            )
        return now - self._contact_at < self.timing.election_min_s

    def _campaign(self, now: float, *, pre: bool, transfer: bool = False):
        self._reset_election_timer(now)
        if self.local_voter.id not in self.voter_ids:
            return
        self.role = CANDIDATE
        self.leader = None
        self._pre = pre
        if not pre:
            self.term += 1
            self.vote = self.local_voter.id
        self._votes = {self.local_voter.id: True}
        self._messages += [
            RequestVote(
                src=self.local_voter.id,
                dst=vid,
                term=self.term + 1 if pre else self.term,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                pre=pre,
                transfer=transfer,
            )
            for vid in self.voter_ids
            if vid != self.local_voter.id
        ]
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        granted = {vid for vid, vote in self._votes.items() if vote}
        if len(granted & set(self.voter_ids)) < self._quorum():
            return
        if self._pre:
            self._campaign(now, pre=False)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = LEADER
        self.leader = self.local_voter.id
        self.transferring_to = None
        self.progress = {
            voter.id: Progress(
                voter=voter, next_index=self.log.last_index + 1, now=now
            )
            for voter in self.log.voters
            if voter.id != self.local_voter.id
        }
        # An election is no proof of contact for the lease.
        for progress in self.progress.values():
            progress.acked_at = now - self.timing.lease_s
        self._led_at = now
        self._term_start = self.log.last_index + 1
        self._append_own(NOOP, b"", now)
