"""One replica of the log as a pure state machine.

The driver passes in messages and the time, then takes a `Ready`: it saves
what has to be durable, calls `saved`, and only then sends the messages.
Elections use pre-votes; a leader steps down when a quorum stops answering;
voters refuse candidates while they hear from a leader. Together these give
the leader a lease, and keep a replica that was cut off from deposing a
healthy leader when it returns.
"""

from functools import singledispatchmethod
from random import Random

from chervilshift.core.raft.election import Elections
from chervilshift.core.raft.leadership import Leadership
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


class Raft(Elections, Leadership):
    """The replica `local_voter`; times are monotonic seconds of its process.

    With `open_membership` any replica that asks becomes a voter once it has
    caught up, and a voter that stays silent is removed; it asks again when
    it returns.
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
        timing: Timing | None = None,
    ):
        self.local_voter = local_voter
        self.timing = timing or Timing()
        self.open_membership = open_membership
        self.log = log
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.role = FOLLOWER
        self.leader: str | None = None
        self.commit = max(
            log.snapshot.index, min(hard_state.commit, log.last_index)
        )
        self.progress: dict[str, Progress] = {}
        self.transferring_to: str | None = None
        self._rng = rng
        self._saved_hard_state = HardState(term=self.term, vote=self.vote)
        self._saved_index = log.last_index
        self._install: Snapshot | None = None
        self._messages: list[RaftMessage] = []
        self._due: dict[str, float] = {}
        self._votes: dict[str, bool] = {}
        self._pre = False
        # A restarted voter may have promised a lease just before.
        self._contact_at = now
        self._fresh_at = now
        self._leader_age_s = float("inf")
        self._transfer_until = 0.0
        self._heartbeat_at = now
        self._term_start = 0
        self._led_at = now
        self._reset_election_timer(now)

    # Queries

    @property
    def voter_ids(self) -> tuple[str, ...]:
        """The identities of the current voters."""
        return tuple(voter.id for voter in self.log.voters)

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes it leads."""
        return self.role == LEADER

    def should_rejoin(self, now: float) -> bool:
        """Whether this replica should ask to be replicated to.

        One that was removed while it was cut off does not know: its log
        still names it, but no leader is heard from any more.
        """
        if self.is_leader:
            return False
        silent_s = now - self._contact_at
        return (
            self.local_voter.id not in self.voter_ids
            or silent_s > self.timing.rejoin_after_s
        )

    def has_lease(self, now: float) -> bool:
        """Whether no other leader can have been elected up to `now`."""
        return (
            self.is_leader
            and self.transferring_to is None
            and self.commit >= self._term_start
            and now - self._quorum_acked_at(now) < self.timing.lease_s
        )

    def staleness_s(self, now: float) -> float:
        """Return an upper bound on the age of the state's freshness.

        For a leader, the time since a quorum confirmed it; for a follower,
        the same as told by the leader, plus the time since it was told. A
        follower that lacks what the leader has committed is not fresh,
        however often it hears from it.
        """
        if self.is_leader:
            return max(0.0, now - self._quorum_acked_at(now))
        return self._leader_age_s + max(0.0, now - self._fresh_at)

    def leader_voter(self) -> Voter | None:
        """Return where the known leader listens."""
        known = (voter for voter in self.log.voters if voter.id == self.leader)
        return next(known, None)

    # Input

    def step(self, message: RaftMessage, now: float) -> None:
        """Take in one message from a peer."""
        if message.dst != self.local_voter.id or self._ignores(message, now):
            return
        probing = isinstance(message, RequestVote | VoteReply) and message.pre
        if message.term > self.term and not probing:
            self._become_follower(message.term, now)
        self._handle(message, now)

    def tick(self, now: float) -> None:
        """Do what the time asks for: heartbeats, elections, step-downs."""
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self._election_at:
            self._campaign(now, pre=True)

    def propose(self, data: bytes, now: float) -> int | None:
        """Append a command; return its index, or None when not leading."""
        if not self.is_leader or self.transferring_to is not None:
            return None
        return self._append_own(COMMAND, data, now)

    def add_learner(self, voter: Voter, now: float) -> bool:
        """Replicate to a replica that has no vote yet; True if it is new.

        Refused while an older incarnation of the same name still answers.
        It gets a snapshot first, which tells it the voters.
        """
        if not self.is_leader or voter.id == self.local_voter.id:
            return False
        if voter.id in self.progress:
            return False
        if any(
            voter.name == other.name and self._answers(other.id, now)
            for other in self.log.voters
        ):
            return False
        known = {other.name for other in self.log.voters}
        if voter.name not in known and not self.open_membership:
            return False
        self.progress[voter.id] = Progress(voter=voter, next_index=1, now=now)
        self._send_append(voter.id, now)
        return True

    def transfer(self, now: float) -> bool:
        """Hand leadership to the voter that is most caught up."""
        peers = [vid for vid in self.voter_ids if vid != self.local_voter.id]
        live = [vid for vid in peers if self._answers(vid, now)]
        if not self.is_leader or not live:
            return False
        target = max(live, key=lambda vid: self.progress[vid].match_index)
        self.transferring_to = target
        self._transfer_until = now + self.timing.election_max_s
        self._try_transfer(now)
        return True

    # Output

    def take_ready(self) -> Ready:
        """Return what has to be saved and sent since the last call."""
        self._flush_appends()
        hard_state = HardState(term=self.term, vote=self.vote)
        changed = hard_state != self._saved_hard_state
        first = max(self._saved_index + 1, self.log.first_index)
        ready = Ready(
            hard_state=hard_state if changed else None,
            entries=self.log.between(first, self.log.last_index),
            snapshot=self._install,
            messages=tuple(self._messages),
        )
        self._messages = []
        self._install = None
        self._saved_hard_state = hard_state
        return ready

    def mark_persisted(self, index: int, now: float) -> None:
        """Note that entries up to `index` are durable here."""
        self._saved_index = index
        if self.is_leader:
            self._advance_commit(now)

    # Messages

    @singledispatchmethod
    def _handle(self, message: RaftMessage, now: float) -> None:
        raise TypeError(type(message))

    @_handle.register
    def _(self, message: RequestVote, now: float) -> None:
        up_to_date = (message.last_term, message.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        free = message.pre or self.vote in ("", message.src)
        current = message.term >= self.term
        granted = up_to_date and free and current
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
        expected = self.term + 1 if message.pre else self.term
        if message.pre and not message.granted and message.term > self.term:
            self._become_follower(message.term, now)
            return
        if (
            self.role != CANDIDATE
            or message.pre != self._pre
            or message.term != expected
        ):
            return
        self._votes[message.src] = message.granted
        self._count_votes(now)

    @_handle.register
    def _(self, message: Append, now: float) -> None:
        if message.term < self.term:
            self._reply(message, ok=False, match=self.log.last_index)
            return
        self._hear_leader(message, now)
        match = self._accept(message)
        if match is None:
            back = min(message.prev_index - 1, self.log.last_index)
            self._reply(message, ok=False, match=max(back, self.commit))
            return
        self.commit = max(self.commit, min(message.commit, match))
        if self.commit >= message.commit:
            self._fresh_at = now
            self._leader_age_s = message.lease_age_s
        self._reply(message, ok=True, match=match)

    @_handle.register
    def _(self, message: InstallSnapshot, now: float) -> None:
        if message.term < self.term:
            self._reply(message, ok=False, match=self.log.last_index)
            return
        self._hear_leader(message, now)
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            self.log.reset(snapshot)
            self.commit = snapshot.index
            self._saved_index = snapshot.index
            self._install = snapshot
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
            self._send_append(message.src, now)
            return
        progress.match_index = max(progress.match_index, message.match)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        self._advance_commit(now)
        if progress.next_index <= self.log.last_index:
            self._send_append(message.src, now)
        if self.transferring_to == message.src:
            self._try_transfer(now)

    @_handle.register
    def _(self, message: TimeoutNow, now: float) -> None:
        if message.term == self.term:
            self._campaign(now, pre=False, transfer=True)

    def _hear_leader(
        self, message: Append | InstallSnapshot, now: float
    ) -> None:
        if self.role != FOLLOWER:
            self._become_follower(message.term, now)
        self.leader = message.src
        self._contact_at = now
        self._reset_election_timer(now)

    def _accept(self, message: Append) -> int | None:
        """Merge entries; return the last matching index, None on a gap."""
        prev = message.prev_index
        if prev < self.log.snapshot.index:
            skip = self.log.snapshot.index - prev
            entries = message.entries[skip:]
            prev = self.log.snapshot.index
            if len(message.entries) < skip:
                return self.commit
        else:
            entries = message.entries
            if self.log.term_at(prev) != message.prev_term:
                return None
        new = tuple(
            entry
            for entry in entries
            if self.log.term_at(entry.index) != entry.term
        )
        if new:
            self._replace_from(new)
        return prev + len(entries)

    def _replace_from(self, entries: tuple[LogEntry, ...]) -> None:
        first = entries[0].index
        if first <= self.log.last_index:
            self.log.truncate(first)
            self._saved_index = min(self._saved_index, first - 1)
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
