"""Leader election: changes between follower, candidate and leader."""

from chervilshift.core.raft.messages import NOOP, RaftMessage, RequestVote
from chervilshift.core.raft.progress import Progress
from chervilshift.core.raft.state import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
)

__all__ = ["ElectionMixin"]


class ElectionMixin:
    """Election methods of `Raft`; the attributes are defined there."""

    __slots__ = ()

    def _reset_election_timer(self, now: float) -> None:
        timeout_s = self._rng.uniform(
            self.timing.election_timeout_min_s,
            self.timing.election_timeout_max_s,
        )
        self._election_due_at = now + timeout_s

    def _become_follower(self, term: int, now: float) -> None:
        if term > self.term:
            self.term = term
            self.vote = ""
            self.leader_id = None
            self._senders = {}
            self._reported_lease_age_s = float("inf")
        self.role = FOLLOWER
        self.transferring_to = None
        self.progress = {}
        self._reset_election_timer(now)

    def _should_ignore(self, message: RaftMessage, now: float) -> bool:
        """Return whether to drop a vote request because a leader is alive.

        A leader counts as alive if this replica has heard from it, or is the
        leader and has heard from a quorum, within the minimum election
        timeout. Without this check a replica that rejoins could depose a
        healthy leader, and the leader's lease would not hold. Elections for a
        leadership transfer are exempt.
        """
        if not isinstance(message, RequestVote) or message.transfer:
            return False
        if self.is_leader:
            return (
                now - self._quorum_acked_at(now)
                < self.timing.election_timeout_min_s
            )
        return (
            now - self._leader_contact_at < self.timing.election_timeout_min_s
        )

    def _campaign(self, now: float, *, pre: bool, transfer: bool = False):
        self._reset_election_timer(now)
        if self.local_voter.id not in self.voter_ids:
            return
        self._campaign_began_at = now
        self.role = CANDIDATE
        self.leader_id = None
        self._in_prevote = pre
        if not pre:
            self.term += 1
            self.vote = self.local_voter.id
        self._votes = {self.local_voter.id: True}
        self._messages += [
            RequestVote(
                src=self.local_voter.id,
                dst=voter_id,
                sender=self.local_voter,
                term=self.term + 1 if pre else self.term,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                pre=pre,
                transfer=transfer,
            )
            for voter_id in self.voter_ids
            if voter_id != self.local_voter.id
        ]
        self._count_votes(now)

    def _yield_to(self, message: RequestVote, now: float) -> bool:
        """Let another candidate go first; return False if this one does.

        Candidates that begin together would split the votes. The one with
        the newer log or the higher id goes on, for `campaign_s`.
        """
        rank = (self.log.last_term, self.log.last_index, self.local_voter.id)
        other_rank = (message.last_term, message.last_index, message.src)
        is_campaigning = (
            self.role == CANDIDATE
            and now - self._campaign_began_at < self.timing.campaign_s
        )
        if is_campaigning and rank > other_rank:
            return False
        if self.role == CANDIDATE and self._in_prevote:
            self.role = FOLLOWER
        self._election_due_at = max(
            self._election_due_at, now + self.timing.campaign_s
        )
        return True

    def _count_votes(self, now: float) -> None:
        granting_ids = {
            voter_id for voter_id, vote in self._votes.items() if vote
        }
        if len(granting_ids & set(self.voter_ids)) < self._quorum_size():
            return
        if self._in_prevote:
            self._campaign(now, pre=False)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = LEADER
        self.leader_id = self.local_voter.id
        self.transferring_to = None
        self.progress = {
            voter.id: Progress(
                voter=voter, next_index=self.log.last_index + 1, now=now
            )
            for voter in self.log.voters
            if voter.id != self.local_voter.id
        }
        # Votes do not count towards the lease: only replies to messages of
        # this term do.
        for progress in self.progress.values():
            progress.acked_at = now - self.timing.lease_duration_s
        self._leading_since = now
        self._term_start_index = self.log.last_index + 1
        self._append_entry(NOOP, b"", now)
