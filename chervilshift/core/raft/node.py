"""Raft state machine of one replica, without I/O.

The driver passes in messages and the current time, then calls `take_ready`.
It saves the returned state, calls `mark_persisted`, and only then sends the
returned messages.

Elections use pre-votes, a leader steps down when a quorum stops replying, and
voters refuse candidates while they hear from a leader. Together these rules
give the leader a lease, and prevent a replica from deposing a healthy leader
when it returns after a network partition.
"""

from functools import singledispatchmethod
from random import Random

from chervilshift.core.raft.election import ElectionMixin
from chervilshift.core.raft.leadership import LeaderMixin
from chervilshift.core.raft.log import RaftLog
from chervilshift.core.raft.messages import (
    COMMAND,
    Append,
    AppendReply,
    InstallSnapshot,
    LogEntry,
    RaftMessage,
    RequestVote,
    Snapshot,
    TimeoutNow,
    Voter,
    VoteReply,
)
from chervilshift.core.raft.progress import Progress
from chervilshift.core.raft.state import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    HardState,
    Ready,
    Timing,
)

__all__ = ["Raft"]


class Raft(ElectionMixin, LeaderMixin):
    """Raft replica `local_voter`.

    All times (`now`) are monotonic seconds of its process. With
    `open_membership` any replica that asks to join becomes a voter once it
    has caught up, and a voter that stops replying is removed; it asks to join
    again when it returns. The voter set does not shrink below the size at
    which `tolerated_losses` voters may be lost at once.
    """

    def __init__(
        self,
        *,
        local_voter: Voter,
        log: RaftLog,
        hard_state: HardState,
        rng: Random,
        now: float,
        open_membership: bool = False,
        tolerated_losses: int = 1,
        timing: Timing | None = None,
    ):
        self.local_voter = local_voter
        self.timing = timing or Timing()
        self.open_membership = open_membership
        self._min_voters = 2 * tolerated_losses + 1
        self.log = log
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.role = FOLLOWER
        self.leader_id: str | None = None
        self.commit = max(
            log.snapshot.index, min(hard_state.commit, log.last_index)
        )
        self.progress: dict[str, Progress] = {}
        self.transferring_to: str | None = None
        self._senders: dict[str, Voter] = {}
        self._rng = rng
        self._saved_hard_state = HardState(term=self.term, vote=self.vote)
        self._saved_index = log.last_index
        self._snapshot_to_save: Snapshot | None = None
        self._messages: list[RaftMessage] = []
        self._append_due: dict[str, float] = {}
        self._votes: dict[str, bool] = {}
        self._in_prevote = False
        self._campaign_began_at = float("-inf")
        # Before a restart this voter may have supported a leader's lease, so
        # it refuses candidates as if it had just heard from a leader.
        self._leader_contact_at = now
        self._lease_age_received_at = now
        self._reported_lease_age_s = float("inf")
        self._transfer_deadline = 0.0
        self._heartbeat_due_at = now
        self._term_start_index = 0
        self._leading_since = now
        self._reset_election_timer(now)

    # Queries

    @property
    def voter_ids(self) -> tuple[str, ...]:
        """Identifiers of the voters in the newest voter set."""
        return tuple(voter.id for voter in self.log.voters)

    @property
    def is_leader(self) -> bool:
        """Whether this replica is leader, with or without a lease."""
        return self.role == LEADER

    def should_rejoin(self, now: float) -> bool:
        """Return whether this replica should ask the leader to join.

        A replica that was removed during a network partition does not learn
        of it: its own log still lists it as a voter. It notices only that no
        leader sends to it any more.
        """
        if self.is_leader:
            return False
        leader_silent_s = now - self._leader_contact_at
        return (
            self.local_voter.id not in self.voter_ids
            or leader_silent_s > self.timing.rejoin_after_s
        )

    def has_lease(self, now: float) -> bool:
        """Return whether no other leader can have been elected by `now`."""
        return (
            self.is_leader
            and self.transferring_to is None
            and self.commit >= self._term_start_index
            and now - self._quorum_acked_at(now) < self.timing.lease_duration_s
        )

    def staleness_s(self, now: float) -> float:
        """Return an upper bound, in seconds, on how old the state is.

        For a leader this is the time since a quorum last confirmed it. For a
        follower it is that time as reported by the leader, plus the time
        since the report. Reports count only when the follower has all that
        the leader has committed.
        """
        if self.is_leader:
            return max(0.0, now - self._quorum_acked_at(now))
        return self._reported_lease_age_s + max(
            0.0, now - self._lease_age_received_at
        )

    def peer(self, voter_id: str) -> Voter | None:
        """Return a voter, a learner or a sender of this term by its id."""
        if voter_id in self.progress:
            return self.progress[voter_id].voter
        if voter_id in self._senders:
            return self._senders[voter_id]
        return next((v for v in self.log.voters if v.id == voter_id), None)

    def leader_voter(self) -> Voter | None:
        """Return the current leader, or None if it is not known."""
        if self.is_leader:
            return self.local_voter
        return self.peer(self.leader_id) if self.leader_id else None

    # Input

    def step(self, message: RaftMessage, now: float) -> None:
        """Process one message from a peer."""
        if message.dst != self.local_voter.id or self._should_ignore(
            message, now
        ):
            return
        is_prevote = (
            isinstance(message, RequestVote | VoteReply) and message.pre
        )
        if message.term > self.term and not is_prevote:
            self._become_follower(message.term, now)
        sender = getattr(message, "sender", None)
        if sender is not None:
            self._senders[message.src] = sender
        self._handle(message, now)

    def tick(self, now: float) -> None:
        """Send heartbeats, start an election or step down if it is due."""
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self._election_due_at:
            self._campaign(now, pre=True)

    def propose(self, data: bytes, now: float) -> int | None:
        """Append a command and return its index.

        Returns None unless this replica is leader, and during a transfer.
        """
        if not self.is_leader or self.transferring_to is not None:
            return None
        return self._append_entry(COMMAND, data, now)

    def add_learner(self, voter: Voter, now: float) -> bool:
        """Start to replicate to a non-voting replica.

        It receives a snapshot first, which contains the voter set. Returns
        False if nothing was added: also while another incarnation of the
        same name still replies, and for an unknown name unless membership is
        open.
        """
        if not self.is_leader or voter.id == self.local_voter.id:
            return False
        if voter.id in self.progress:
            return False
        if any(
            voter.name == other.name and self._is_responsive(other.id, now)
            for other in self.log.voters
        ):
            return False
        known_names = {other.name for other in self.log.voters}
        if voter.name not in known_names and not self.open_membership:
            return False
        self.progress[voter.id] = Progress(voter=voter, next_index=1, now=now)
        self._schedule_append(voter.id, now)
        return True

    def transfer(self, now: float) -> bool:
        """Transfer leadership to the most up-to-date responsive voter.

        Returns False if there is none or this replica is not leader.
        """
        peer_ids = [
            voter_id
            for voter_id in self.voter_ids
            if voter_id != self.local_voter.id
        ]
        responsive_ids = [
            voter_id
            for voter_id in peer_ids
            if self._is_responsive(voter_id, now)
        ]
        if not self.is_leader or not responsive_ids:
            return False
        target = max(
            responsive_ids,
            key=lambda voter_id: self.progress[voter_id].match_index,
        )
        self.transferring_to = target
        self._transfer_deadline = now + self.timing.election_timeout_max_s
        self._try_transfer(now)
        return True

    def step_down(self, now: float) -> None:
        """Give up leadership, if this replica has it."""
        if self.is_leader:
            self._become_follower(self.term, now)
            self.leader_id = None

    # Output

    def take_ready(self) -> Ready:
        """Return the state to save and the messages to send."""
        self._flush_appends()
        hard_state = HardState(term=self.term, vote=self.vote)
        changed = hard_state != self._saved_hard_state
        first_unsaved = max(self._saved_index + 1, self.log.first_index)
        ready = Ready(
            hard_state=hard_state if changed else None,
            entries=self.log.between(first_unsaved, self.log.last_index),
            snapshot=self._snapshot_to_save,
            messages=tuple(self._messages),
        )
        self._messages = []
        self._snapshot_to_save = None
        self._saved_hard_state = hard_state
        return ready

    def mark_persisted(self, index: int, now: float) -> None:
        """Record that entries up to `index` are durable on this replica."""
        self._saved_index = index
        if self.is_leader:
            self._advance_commit(now)

    # Messages

    @singledispatchmethod
    def _handle(self, message: RaftMessage, now: float) -> None:
        raise TypeError(type(message))

    @_handle.register
    def _(self, message: RequestVote, now: float) -> None:
        log_is_current = (message.last_term, message.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        can_vote = message.pre or self.vote in ("", message.src)
        term_is_current = message.term >= self.term
        granted = log_is_current and can_vote and term_is_current
        if message.pre and granted:
            granted = self._yield_to(message, now)
        if granted and not message.pre:
            self.vote = message.src
            self._reset_election_timer(now)
        self._messages.append(
            VoteReply(
                src=self.local_voter.id,
                dst=message.src,
                term=message.term if granted else self.term,
                granted=granted,
                pre=message.pre,
            )
        )

    @_handle.register
    def _(self, message: VoteReply, now: float) -> None:
        expected_term = self.term + 1 if message.pre else self.term
        if message.pre and not message.granted and message.term > self.term:
            self._become_follower(message.term, now)
            return
        if (
            self.role != CANDIDATE
            or message.pre != self._in_prevote
            or message.term != expected_term
        ):
            return
        self._votes[message.src] = message.granted
        self._count_votes(now)

    @_handle.register
    def _(self, message: Append, now: float) -> None:
        if message.term < self.term:
            self._reply(message, ok=False, match=self.log.last_index)
            return
        self._record_leader_contact(message, now)
        match = self._merge_entries(message)
        if match is None:
            retry_index = min(message.prev_index - 1, self.log.last_index)
            self._reply(message, ok=False, match=max(retry_index, self.commit))
            return
        self.commit = max(self.commit, min(message.commit, match))
        if self.commit >= message.commit:
            self._lease_age_received_at = now
            self._reported_lease_age_s = message.lease_age_s
        self._reply(message, ok=True, match=match)

    @_handle.register
    def _(self, message: InstallSnapshot, now: float) -> None:
        if message.term < self.term:
            self._reply(message, ok=False, match=self.log.last_index)
            return
        self._record_leader_contact(message, now)
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            self.log.reset(snapshot)
            self.commit = snapshot.index
            self._saved_index = snapshot.index
            self._snapshot_to_save = snapshot
        self._reply(message, ok=True, match=self.commit)

    @_handle.register
    def _(self, message: AppendReply, now: float) -> None:
        progress = self.progress.get(message.src)
        if not self.is_leader or progress is None:
            return
        if message.term != self.term:
            return
        progress.acked_at = max(progress.acked_at, message.sent_at)
        progress.snapshot_sent_at = None
        if not message.ok:
            progress.next_index = max(1, message.match + 1)
            self._schedule_append(message.src, now)
            return
        progress.match_index = max(progress.match_index, message.match)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        self._advance_commit(now)
        if progress.next_index <= self.log.last_index:
            self._schedule_append(message.src, now)
        if self.transferring_to == message.src:
            self._try_transfer(now)

    @_handle.register
    def _(self, message: TimeoutNow, now: float) -> None:
        if message.term == self.term:
            self._campaign(now, pre=False, transfer=True)

    def _record_leader_contact(
        self, message: Append | InstallSnapshot, now: float
    ) -> None:
        if self.role != FOLLOWER:
            self._become_follower(message.term, now)
        self.leader_id = message.src
        self._leader_contact_at = now
        self._reset_election_timer(now)

    def _merge_entries(self, message: Append) -> int | None:
        """Add new entries to the log, replacing conflicting ones.

        Returns the last index that matches the leader's log, or None if the
        preceding entry is missing or has another term.
        """
        prev_index = message.prev_index
        if prev_index < self.log.snapshot.index:
            covered = self.log.snapshot.index - prev_index
            entries = message.entries[covered:]
            prev_index = self.log.snapshot.index
            if len(message.entries) < covered:
                return self.commit
        else:
            entries = message.entries
            if self.log.term_at(prev_index) != message.prev_term:
                return None
        new_entries = tuple(
            entry
            for entry in entries
            if self.log.term_at(entry.index) != entry.term
        )
        if new_entries:
            self._overwrite_from(new_entries)
        return prev_index + len(entries)

    def _overwrite_from(self, entries: tuple[LogEntry, ...]) -> None:
        first_index = entries[0].index
        if first_index <= self.log.last_index:
            self.log.truncate(first_index)
            self._saved_index = min(self._saved_index, first_index - 1)
        self.log.append(entries)

    def _reply(
        self, message: Append | InstallSnapshot, *, ok: bool, match: int
    ) -> None:
        self._messages.append(
            AppendReply(
                src=self.local_voter.id,
                dst=message.src,
                term=self.term,
                ok=ok,
                match=match,
                sent_at=message.sent_at,
            )
        )
