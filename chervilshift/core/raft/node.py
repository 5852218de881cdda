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

from chervilshift.core.message import Message
from chervilshift.core.raft.log import RaftLog
from chervilshift.core.raft.messages import (
    COMMAND,
    NOOP,
    VOTERS,
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
    encode_voters,
)
from chervilshift.core.raft.progress import Progress

__all__ = ["CANDIDATE", "FOLLOWER", "LEADER", "HardState", "Raft", "Ready"]

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

HEARTBEAT_S = 0.2
ELECTION_MIN_S = 1.0
ELECTION_MAX_S = 2.0
# Shorter than the time for which voters refuse other candidates.
LEASE_S = 0.8 * ELECTION_MIN_S
SNAPSHOT_RETRY_S = 2.0
CAUGHT_UP_ENTRIES = 16


class HardState(Message):
    """What a replica must not forget: its term and its vote in it."""

    term: int = 0
    vote: str = ""


class Ready:
    """Work for the driver: save first, then send."""

    __slots__ = ("entries", "hard_state", "messages", "snapshot")

    def __init__(
        self,
        *,
        hard_state: HardState | None,
        entries: tuple[LogEntry, ...],
        snapshot: Snapshot | None,
        messages: tuple[RaftMessage, ...],
    ):
        self.hard_state = hard_state
        self.entries = entries
        self.snapshot = snapshot
        self.messages = messages

    @property
    def must_save(self) -> bool:
        """Whether anything has to be durable before the messages go."""
        return bool(self.hard_state or self.entries or self.snapshot)


class Raft:
    """The replica `me`; all times are monotonic seconds of its process."""

    def __init__(
        self,
        *,
        me: Voter,
        log: RaftLog,
        hard_state: HardState,
        rng: Random,
        now: float,
    ):
        self.me = me
        self.log = log
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.role = FOLLOWER
        self.leader: str | None = None
        self.commit = log.snapshot.index
        self.progress: dict[str, Progress] = {}
        self.transferring_to: str | None = None
        self._rng = rng
        self._saved_hard_state = hard_state
        self._saved_index = log.last_index
        self._install: Snapshot | None = None
        self._messages: list[RaftMessage] = []
        self._due: dict[str, float] = {}
        self._votes: dict[str, bool] = {}
        self._pre = False
        # A restarted voter may have promised a lease just before.
        self._contact_at = now
        self._leader_age_s = float("inf")
        self._transfer_until = 0.0
        self._heartbeat_at = now
        self._term_start = 0
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

    def has_lease(self, now: float) -> bool:
        """Whether no other leader can have been elected up to `now`."""
        return (
            self.is_leader
            and self.transferring_to is None
            and self.commit >= self._term_start
            and now - self._quorum_acked_at(now) < LEASE_S
        )

    def staleness_s(self, now: float) -> float:
        """Return an upper bound on the age of the state's freshness.

        For a leader, the time since a quorum confirmed it; for a follower,
        the same as told by the leader, plus the time since it was told.
        """
        if self.is_leader:
            return max(0.0, now - self._quorum_acked_at(now))
        return self._leader_age_s + max(0.0, now - self._contact_at)

    def leader_voter(self) -> Voter | None:
        """Return where the known leader listens."""
        known = (voter for voter in self.log.voters if voter.id == self.leader)
        return next(known, None)

    # Input

    def step(self, message: RaftMessage, now: float) -> None:
        """Take in one message from a peer."""
        if message.dst != self.me.id or self._ignores(message, now):
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
        if not self.is_leader or voter.id == self.me.id:
            return False
        if voter.id in self.progress:
            return False
        if any(
            voter.name == other.name and self._answers(other.id, now)
            for other in self.log.voters
        ):
            return False
        if voter.name not in {other.name for other in self.log.voters}:
            return False
        self.progress[voter.id] = Progress(voter=voter, next_index=1, now=now)
        self._send_append(voter.id, now)
        return True

    def transfer(self, now: float) -> bool:
        """Hand leadership to the voter that is most caught up."""
        peers = [vid for vid in self.voter_ids if vid != self.me.id]
        live = [vid for vid in peers if self._answers(vid, now)]
        if not self.is_leader or not live:
            return False
        target = max(live, key=lambda vid: self.progress[vid].match)
        self.transferring_to = target
        self._transfer_until = now + ELECTION_MAX_S
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

    def saved(self, index: int, now: float) -> None:
        """Note that entries up to `index` are durable here."""
        self._saved_index = index
        if self.is_leader:
            self._advance_commit(now)

    # Elections

    def _reset_election_timer(self, now: float) -> None:
        spread = self._rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S)
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
            return now - self._quorum_acked_at(now) < ELECTION_MIN_S
        return now - self._contact_at < ELECTION_MIN_S

    def _campaign(self, now: float, *, pre: bool, transfer: bool = False):
        self._reset_election_timer(now)
        if self.me.id not in self.voter_ids:
            return
        self.role = CANDIDATE
        self.leader = None
        self._pre = pre
        if not pre:
            self.term += 1
            self.vote = self.me.id
        self._votes = {self.me.id: True}
        self._messages += [
            RequestVote(
                src=self.me.id,
                dst=vid,
                term=self.term + 1 if pre else self.term,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                pre=pre,
                transfer=transfer,
            )
            for vid in self.voter_ids
            if vid != self.me.id
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
        self.leader = self.me.id
        self.transferring_to = None
        self.progress = {
            voter.id: Progress(
                voter=voter, next_index=self.log.last_index + 1, now=now
            )
            for voter in self.log.voters
            if voter.id != self.me.id
        }
        # An election is no proof of contact for the lease.
        for progress in self.progress.values():
            progress.acked_at = now - LEASE_S
        self._term_start = self.log.last_index + 1
        self._append_own(NOOP, b"", now)

    # Leading

    def _quorum(self) -> int:
        return len(self.log.voters) // 2 + 1

    def _acked_at(self, vid: str, now: float) -> float:
        if vid == self.me.id:
            return now
        progress = self.progress.get(vid)
        return progress.acked_at if progress else float("-inf")

    def _quorum_acked_at(self, now: float) -> float:
        times = sorted(
            (self._acked_at(vid, now) for vid in self.voter_ids), reverse=True
        )
        return times[self._quorum() - 1]

    def _answers(self, vid: str, now: float) -> bool:
        return now - self._acked_at(vid, now) < ELECTION_MIN_S

    def _tick_leader(self, now: float) -> None:
        if now - self._quorum_acked_at(now) > ELECTION_MAX_S:
            self._become_follower(self.term, now)
            self.leader = None
            return
        if self.transferring_to and now > self._transfer_until:
            # The successor may still act on the order: no lease any more.
            self._become_follower(self.term, now)
            self.leader = None
            return
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_S
            for vid in tuple(self.progress):
                self._send_append(vid, now)
        self._drop_silent_learners(now)
        self._repair_voters(now)

    def _drop_silent_learners(self, now: float) -> None:
        silent = [
            vid
            for vid, progress in self.progress.items()
            if vid not in self.voter_ids
            and now - progress.acked_at > 5 * ELECTION_MAX_S
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
            behind = self.log.last_index - progress.match
            if (
                vid not in self.voter_ids
                and self._answers(vid, now)
                and progress.match
                and behind <= CAUGHT_UP_ENTRIES
            ):
                target = (*voters, progress.voter)
                self._append_own(VOTERS, encode_voters(target), now)
                return

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
        prev_index = progress.next - 1
        prev_term = self.log.term_at(prev_index)
        if prev_term is None:
            self._send_snapshot(progress, now)
            return
        entries = self.log.batch(progress.next)
        self._messages.append(
            Append(
                src=self.me.id,
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
        progress.next += len(entries)

    def _send_snapshot(self, progress: Progress, now: float) -> None:
        waiting = progress.snapshot_at is not None
        if waiting and now - progress.snapshot_at < SNAPSHOT_RETRY_S:
            return
        progress.snapshot_at = now
        self._messages.append(
            InstallSnapshot(
                src=self.me.id,
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
                if vid == self.me.id
                else self.progress[vid].match
                for vid in self.voter_ids
                if vid == self.me.id or vid in self.progress
            ),
            reverse=True,
        )
        if len(matches) < self._quorum():
            return
        index = min(matches[self._quorum() - 1], self.log.last_index)
        if index <= self.commit or self.log.term_at(index) != self.term:
            return
        self.commit = index
        removed = self.me.id not in self.voter_ids
        if removed and self.log.voters_index <= self.commit:
            self._become_follower(self.term, now)

    def _try_transfer(self, now: float) -> None:
        target = self.transferring_to
        progress = self.progress.get(target) if target else None
        if progress is None or progress.match < self.log.last_index:
            return
        self._messages.append(
            TimeoutNow(src=self.me.id, dst=target, term=self.term)
        )

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
                src=self.me.id,
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
        self._hear_leader(message, message.lease_age_s, now)
        match = self._accept(message)
        if match is None:
            back = min(message.prev_index - 1, self.log.last_index)
            self._reply(message, ok=False, match=max(back, self.commit))
            return
        self.commit = max(self.commit, min(message.commit, match))
        self._reply(message, ok=True, match=match)

    @_handle.register
    def _(self, message: InstallSnapshot, now: float) -> None:
        if message.term < self.term:
            self._reply(message, ok=False, match=self.log.last_index)
            return
        self._hear_leader(message, float("inf"), now)
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
        progress.snapshot_at = None
        if not message.ok:
            progress.next = max(1, message.match + 1)
            self._send_append(message.src, now)
            return
        progress.match = max(progress.match, message.match)
        progress.next = max(progress.next, progress.match + 1)
        self._advance_commit(now)
        if progress.next <= self.log.last_index:
            self._send_append(message.src, now)
        if self.transferring_to == message.src:
            self._try_transfer(now)

    @_handle.register
    def _(self, message: TimeoutNow, now: float) -> None:
        if message.term == self.term:
            self._campaign(now, pre=False, transfer=True)

    def _hear_leader(
        self, message: Append | InstallSnapshot, age_s: float, now: float
    ) -> None:
        if self.role != FOLLOWER:
            self._become_follower(message.term, now)
        self.leader = message.src
        self._contact_at = now
        self._leader_age_s = age_s
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
                src=self.me.id,
                dst=message.src,
                term=self.term,
                ok=ok,
                match=match,
                sent_at=message.sent_at,
            )
        )
