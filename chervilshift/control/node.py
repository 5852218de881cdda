"""Driver of one replica: consensus, storage and state machine."""

import math
from collections.abc import Callable
from itertools import count
from random import Random

import anyio
import msgspec
from absl import logging
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.clock import Clock
from chervilshift.control.storage import Storage
from chervilshift.core.commands import AdvanceTime, Command, CommandReply
from chervilshift.core.machine import MachineState, StateMachine
from chervilshift.core.raft.log import RaftLog
from chervilshift.core.raft.messages import (
    COMMAND,
    VOTERS,
    Append,
    AppendReply,
    InstallSnapshot,
    LogEntry,
    RaftMessage,
    Snapshot,
    Voter,
    VoteReply,
)
from chervilshift.core.raft.node import Raft
from chervilshift.core.raft.state import LEADER, HardState, Ready, Timing
from chervilshift.errors import (
    AtCapacity,
    BadRequest,
    Failure,
    NotLeader,
    OutcomeUnknown,
)
from chervilshift.events import EventLog
from chervilshift.wire.messages import ControlStatus, RaftBatch
from chervilshift.wire.rpc import Clients

__all__ = ["Node"]

# Longest time between two ticks of the consensus.
TICK_INTERVAL_S = 0.05
MAX_INBOX_MESSAGES = 4096
# Entries and snapshots in the inbox. A single message above it is taken into
# an empty inbox.
MAX_INBOX_BYTES = 16 << 20
# Per peer.
MAX_OUTBOX_MESSAGES = 256
# Time limits of sending one batch; the second if it contains a snapshot.
SEND_TIMEOUT_S = 1.0
SNAPSHOT_TIMEOUT_S = 30.0
# How long a call waits for what the replica answers to its messages. Later
# answers are sent in a call of their own.
ANSWER_WAIT_S = 0.1
# The log is compacted after this many applied entries or bytes. The newest of
# the entries are kept for followers that are slightly behind.
COMPACT_AFTER_ENTRIES = 1000
COMPACT_AFTER_BYTES = 8 << 20
KEPT_ENTRIES = 200
# Interval at which the leader appends the elapsed time to the log.
ADVANCE_TIME_INTERVAL_S = 5.0
# The commit index is saved this long after it has changed, unless another
# save includes it earlier. A restarted replica serves the state up to it
# without waiting for a leader.
COMMIT_SAVE_DELAY_S = 0.2
# Interval of attempts to write to a full or failing disk.
STORAGE_RETRY_INTERVAL_S = 0.3
MAX_PENDING_PROPOSALS = 2000
# A command that was not applied after this time is answered.
PROPOSAL_TIMEOUT_S = 5.0
LEADERSHIP_LOST = "leadership was lost"

COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
STATE_DECODER = msgspec.msgpack.Decoder(MachineState)


class Proposal:
    """A submitted command until it is applied, with its outcome.

    `term` is the term in which it was appended to the log, 0 before.
    """

    __slots__ = ("_done", "command", "outcome", "term")

    def __init__(self, *, command: Command):
        self.command = command
        self.term = 0
        self.outcome: Result[CommandReply, Failure] | None = None
        self._done = anyio.Event()

    def finish(self, outcome: Result[CommandReply, Failure]) -> None:
        """Set the outcome, if there is none, and wake the caller of `wait`.

        A proposal with an outcome is not appended any more.
        """
        if self.outcome is None:
            self.outcome = outcome
            self._done.set()

    async def wait(self) -> Result[CommandReply, Failure]:
        """Wait for the outcome."""
        await self._done.wait()
        return self.outcome


class Exchange:
    """Messages of a peer that are being processed, and the answers to them."""

    __slots__ = ("answered", "answers", "is_open", "peer")

    def __init__(self, *, peer: str):
        self.peer = peer
        self.answers: list[RaftMessage] = []
        self.answered = anyio.Event()
        self.is_open = True


class Node:
    """Drives one replica; other tasks submit messages and commands to it.

    `run` raises StorageFailed if the disk fails: without durable storage the
    replica must neither vote nor acknowledge entries. With `open_membership`
    it retries instead. Meanwhile it neither sends nor receives, and refuses
    commands.
    """

    def __init__(
        self,
        *,
        local_voter: Voter,
        storage: Storage,
        clients: Clients,
        clock: Clock,
        events: EventLog,
        rng: Random,
        open_membership: bool = False,
        tolerated_losses: int = 1,
        timing: Timing | None = None,
    ):
        self.local_voter = local_voter
        self._timing = timing
        self._open_membership = open_membership
        self._tolerated_losses = tolerated_losses
        self._storage = storage
        self._clients = clients
        self._clock = clock
        self._events = events
        self._rng = rng
        self.raft: Raft | None = None
        self.machine = StateMachine()
        self._applied_index = 0
        # Size of the entries that were applied since the last snapshot.
        self._applied_bytes = 0
        self._inbox, self._inbox_receiver = anyio.create_memory_object_stream[
            RaftMessage | Proposal
        ](MAX_INBOX_MESSAGES)
        self._inbox_bytes = 0
        # Those whose messages are in the inbox.
        self._exchanges: list[Exchange] = []
        self._received_at = clock.monotonic()
        self._is_retrying = False
        # Committed commands since the last snapshot that had no effect.
        self._failed_indices: set[int] = set()
        self._outboxes: dict[str, anyio.abc.ObjectSendStream] = {}
        self._unknown_peers: set[str] = set()
        self._pending: dict[int, Proposal] = {}
        self._config_changed = anyio.Event()
        self._lease_known = anyio.Event()
        self._time_advanced_at = clock.monotonic()
        self._reported_role = ("", 0)
        self._saved_commit = 0
        self._commit_saved_at = clock.monotonic()

    # For other tasks

    def deliver(self, message: RaftMessage) -> None:
        """Queue a consensus message; it is dropped if the inbox is full.

        It is also dropped while saves fail, as it would be old when it is
        processed. The protocol sends lost messages again.
        """
        if self._is_retrying:
            return
        size = _payload_bytes(message)
        if self._inbox_bytes and self._inbox_bytes + size > MAX_INBOX_BYTES:
            logging.warning("inbox full, consensus message dropped")
            return
        try:
            self._inbox.send_nowait(message)
        except anyio.WouldBlock:
            logging.warning("inbox full, consensus message dropped")
            return
        self._inbox_bytes += size

    async def exchange(
        self, messages: tuple[RaftMessage, ...]
    ) -> tuple[RaftMessage, ...]:
        """Process the messages of a peer; return the answers to them.

        There are none if they are not ready within `ANSWER_WAIT_S`; they are
        sent later then.
        """
        for message in messages:
            self.deliver(message)
        if not messages or self._is_retrying:
            return ()
        exchange = Exchange(peer=messages[0].src)
        self._exchanges.append(exchange)
        try:
            with anyio.move_on_after(ANSWER_WAIT_S):
                await exchange.answered.wait()
        finally:
            exchange.is_open = False
        return tuple(exchange.answers)

    async def submit(self, command: Command) -> Result[CommandReply, Failure]:
        """Commit and apply a command; return the reply to it.

        Fails with BadRequest if the command can't be encoded or applied, with
        NotLeader on a follower and while the disk fails, and with AtCapacity
        if too many commands are pending. It did not run then. Fails with
        OutcomeUnknown if it was appended, and then leadership was lost, the
        disk failed or it was not applied in time.
        """
        if self._is_retrying:
            return Bad(NotLeader(leader=""))
        if not self.raft.is_leader:
            return Bad(NotLeader(leader=self.leader_address()))
        proposal = Proposal(command=command)
        try:
            self._inbox.send_nowait(proposal)
        except anyio.WouldBlock:
            return Bad(_too_many_pending())
        try:
            with anyio.move_on_after(PROPOSAL_TIMEOUT_S):
                return await proposal.wait()
        finally:
            proposal.finish(Bad(_not_applied_in_time(proposal)))
        return proposal.outcome

    def leader_address(self) -> str:
        """Return the RPC address of the leader, or "" if it is not known."""
        leader = self.raft.leader_voter()
        return leader.address if leader else ""

    def join(self, voter: Voter) -> Result[None, Failure]:
        """Start to replicate to a replica that is not a voter yet.

        Fails with NotLeader on a follower and while the disk fails.
        """
        if self._is_retrying:
            return Bad(NotLeader(leader=""))
        if not self.raft.is_leader:
            return Bad(NotLeader(leader=self.leader_address()))
        if self.raft.add_learner(voter, self._clock.monotonic()):
            self._events.emit("learner", voter=voter.id)
        return Success(None)

    async def wait_config(self, version: int, wait_s: float) -> None:
        """Wait until a newer version is applied, at most `wait_s`."""
        if self.machine.version > version:
            return
        with anyio.move_on_after(wait_s):
            await self._config_changed.wait()

    def has_lease(self) -> bool:
        """Return whether this replica may answer reads without a quorum."""
        return self.raft.has_lease(self._clock.monotonic()) and (
            self._applied_index >= self.raft.commit
        )

    async def wait_lease_known(self) -> None:
        """Wait until this replica holds the lease or no longer leads.

        Any number of calls may wait, so they are woken once.
        """
        await self._lease_known.wait()

    def stale_s(self) -> float:
        """Return an upper bound, in seconds, on how old the state is.

        It is 1e9 if no bound is known.
        """
        staleness_s = self.raft.staleness_s(self._clock.monotonic())
        return staleness_s if math.isfinite(staleness_s) else 1e9

    def status(self) -> ControlStatus:
        """Return the status of this replica."""
        return ControlStatus(
            name=self.local_voter.name,
            role=self.raft.role,
            term=self.raft.term,
            commit=self.raft.commit,
            leader=self.raft.leader_id or "",
            version=self.machine.version,
            stale_s=self.stale_s(),
            voters=self.raft.log.voters,
            fence=self.machine.fence,
            ledger_records=len(self.machine.ledger),
        )

    async def transfer_leadership(self, timeout_s: float) -> bool:
        """Transfer leadership before a planned stop.

        Returns True if this replica is not leader afterwards, or is the only
        voter.
        """
        if not self.raft.is_leader or len(self.raft.log.voters) == 1:
            return True
        if not self.raft.transfer(self._clock.monotonic()):
            return False
        with anyio.move_on_after(timeout_s):
            while self.raft.is_leader:
                await anyio.sleep(TICK_INTERVAL_S)
        return not self.raft.is_leader

    # The task

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Recover from disk, then drive the replica until cancelled.

        Raises CorruptLog or StorageFailed.
        """
        recovered = self._storage.recover()
        if isinstance(recovered, Bad):
            raise recovered.failure()
        self._start(recovered.unwrap())
        async with anyio.create_task_group() as tg:
            task_status.started()
            await self._persist(self._storage.reopen)
            while True:
                await self._run_once(tg)

    def _start(self, recovered) -> None:
        now = self._clock.monotonic()
        snapshot = recovered.snapshot
        self.raft = Raft(
            local_voter=self.local_voter,
            log=RaftLog(snapshot=snapshot, entries=recovered.entries),
            hard_state=recovered.hard_state,
            rng=self._rng,
            now=now,
            open_membership=self._open_membership,
            tolerated_losses=self._tolerated_losses,
            timing=self._timing,
        )
        self._restore(snapshot)
        self._events.emit(
            "recovered",
            replica=self.local_voter.id,
            last_index=self.raft.log.last_index,
            cut_bytes=recovered.cut_bytes,
        )

    async def _run_once(self, tg: TaskGroup) -> None:
        batch = await self._receive_batch()
        exchanges, self._exchanges = self._exchanges, []
        for message in batch:
            self._process(message)
        now = self._clock.monotonic()
        self.raft.tick(now)
        self._advance_time(now)
        ready = self.raft.take_ready()
        if ready.snapshot is None:
            # A quorum has them; their callers need not wait for this disk.
            self._apply_committed()
        if ready.must_save or self._commit_is_unsaved(now):
            await self._save(ready)
        self.raft.mark_persisted(
            self.raft.log.last_index, self._clock.monotonic()
        )
        by_peer = {e.peer: e for e in exchanges if e.is_open}
        for message in ready.messages:
            exchange = by_peer.get(message.dst)
            if exchange is not None and _is_answer(message):
                exchange.answers.append(message)
            else:
                self._send(tg, _as_of(message, self._clock.monotonic()))
        for exchange in exchanges:
            exchange.answered.set()
        self._apply_committed()
        self._notify_lease_waiters()
        self._fail_lost_proposals()
        if self._must_compact():
            await self._compact()
        self._report_role()

    async def _receive_batch(self) -> list[RaftMessage | Proposal]:
        """Wait for input or the next tick; return all queued input.

        What is queued already may have waited since the last call.
        """
        waited_s = self._clock.monotonic() - self._received_at
        batch = [
            _aged(message, waited_s)
            for message in _receive_waiting(self._inbox_receiver)
        ]
        if not batch:
            with anyio.move_on_after(TICK_INTERVAL_S):
                batch.append(await self._inbox_receiver.receive())
            batch.extend(_receive_waiting(self._inbox_receiver))
        self._inbox_bytes = 0
        self._received_at = self._clock.monotonic()
        return batch

    def _process(self, message: RaftMessage | Proposal) -> None:
        now = self._clock.monotonic()
        if not isinstance(message, Proposal):
            self.raft.step(message, now)
            return
        if message.outcome is not None:
            return
        if len(self._pending) >= MAX_PENDING_PROPOSALS:
            message.finish(Bad(_too_many_pending()))
            return
        encoded = _encode_command(message.command)
        if isinstance(encoded, Bad):
            message.finish(encoded)
            return
        index = self.raft.propose(encoded.unwrap(), now)
        if index is None:
            message.finish(Bad(NotLeader(leader=self.leader_address())))
            return
        message.term = self.raft.term
        self._pending[index] = message

    def _advance_time(self, now: float) -> None:
        if not self.raft.has_lease(now):
            self._time_advanced_at = now
        elif now - self._time_advanced_at >= ADVANCE_TIME_INTERVAL_S:
            step = AdvanceTime(elapsed_s=now - self._time_advanced_at)
            self._time_advanced_at = now
            self.raft.propose(msgspec.msgpack.encode(step), now)

    def _commit_is_unsaved(self, now: float) -> bool:
        """Return whether the commit index has been unsaved for too long."""
        if self.raft.commit == self._saved_commit:
            self._commit_saved_at = now
        return now - self._commit_saved_at > COMMIT_SAVE_DELAY_S

    def _hard_state(self) -> HardState:
        return HardState(
            term=self.raft.term, vote=self.raft.vote, commit=self.raft.commit
        )

    async def _save(self, ready: Ready) -> None:
        hard_state = self._hard_state()
        if ready.snapshot is not None:
            await self._persist(
                self._storage.save_snapshot,
                ready.snapshot,
                hard_state,
                ready.entries,
            )
            self._restore(ready.snapshot)
            self._events.emit("snapshot_installed", index=ready.snapshot.index)
        else:
            await self._persist(self._storage.save, hard_state, ready.entries)
        self._saved_commit = hard_state.commit

    async def _persist(self, write: Callable, *args: object) -> None:
        """Write on a thread; with open membership, retry until it succeeds.

        A failed write ends all waits of proposals. While it retries, the
        replica sends nothing, so the others elect a leader without it. A
        leader steps down at the second failure, so that calls that reach this
        replica look for the next one.
        """
        for attempt in count(1):
            result = await anyio.to_thread.run_sync(write, *args)
            if not isinstance(result, Bad):
                break
            self._events.emit("storage_failed", reason=str(result.failure()))
            self._is_retrying = True
            self._fail_proposals("a save failed")
            if not self._open_membership:
                raise result.failure()
            if attempt > 1:
                self.raft.step_down(self._clock.monotonic())
            await anyio.sleep(STORAGE_RETRY_INTERVAL_S)
            await anyio.to_thread.run_sync(self._storage.reopen)
        self._is_retrying = False

    def _end_pending(self, reason: str) -> None:
        """End the waits of proposals that others may still commit."""
        for proposal in self._pending.values():
            proposal.finish(Bad(_outcome_unknown(reason)))
        self._pending = {}

    def _fail_proposals(self, reason: str) -> None:
        """End all waits of proposals and empty the inbox."""
        self._end_pending(reason)
        for message in _receive_waiting(self._inbox_receiver):
            if isinstance(message, Proposal):
                message.finish(Bad(NotLeader(leader="")))
        self._inbox_bytes = 0

    def _restore(self, snapshot: Snapshot) -> None:
        self.machine = _machine_at(snapshot)
        self._applied_index = snapshot.index
        self._applied_bytes = 0
        self._failed_indices = set()
        self._notify_config_watchers()

    def _apply_committed(self) -> None:
        entries = self.raft.log.between(
            self._applied_index + 1, self.raft.commit
        )
        version = self.machine.version
        for entry in entries:
            self._apply(entry)
        if self.machine.version != version:
            self._notify_config_watchers()
            self._events.emit("config", version=self.machine.version)

    def _apply(self, entry: LogEntry) -> None:
        self._applied_index = entry.index
        self._applied_bytes += len(entry.data)
        if entry.kind == VOTERS:
            voters = self.raft.log.voters_at(entry.index)
            self._events.emit("voters", voters=[v.id for v in voters])
        if entry.kind != COMMAND:
            return
        # A replica of an older release that can't decode a command ends here:
        # passing over it would make the state differ from the others'.
        command = COMMAND_DECODER.decode(entry.data)
        reply = self._apply_command(entry.index, command)
        proposal = self._pending.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.finish(reply)
        else:
            proposal.finish(Bad(_outcome_unknown(LEADERSHIP_LOST)))

    def _apply_command(
        self, index: int, command: Command
    ) -> Result[CommandReply, Failure]:
        """Apply a command; one that raises has no effect on any replica."""
        try:
            return Success(self.machine.apply(index, command))
        except (MemoryError, RecursionError):
            # These depend on the process, so other replicas may apply it.
            raise
        except Exception as exc:
            name = type(command).__name__
            logging.exception("%s at %d can't be applied", name, index)
            self._events.emit("command_failed", index=index, command=name)
            self._failed_indices.add(index)
            self._rebuild(index)
            return Bad(BadRequest(reason=f"{name} can't be applied: {exc}"))

    def _rebuild(self, index: int) -> None:
        """Restore the state before `index`, which may be partly changed."""
        snapshot = self.raft.log.full_snapshot
        self.machine = _machine_at(snapshot)
        for entry in self.raft.log.between(snapshot.index + 1, index - 1):
            if entry.kind == COMMAND and (
                entry.index not in self._failed_indices
            ):
                command = COMMAND_DECODER.decode(entry.data)
                self.machine.apply(entry.index, command)

    def _fail_lost_proposals(self) -> None:
        """Fail pending proposals after the loss of leadership."""
        if not self.raft.is_leader:
            self._end_pending(LEADERSHIP_LOST)

    def _must_compact(self) -> bool:
        applied = self._applied_index - self.raft.log.full_snapshot.index
        return (
            applied > COMPACT_AFTER_ENTRIES
            or self._applied_bytes > COMPACT_AFTER_BYTES
        )

    async def _compact(self) -> None:
        index = self._applied_index
        snapshot = Snapshot(
            index=index,
            term=self.raft.log.term_at(index),
            voters=self.raft.log.voters_at(index),
            data=msgspec.msgpack.encode(self.machine.state()),
        )
        self.raft.log.compact(snapshot, KEPT_ENTRIES)
        self._applied_bytes = 0
        self._failed_indices = set()
        hard_state = self._hard_state()
        entries = self.raft.log.between(index + 1, self.raft.log.last_index)
        await self._persist(
            self._storage.save_snapshot, snapshot, hard_state, entries
        )
        self._events.emit("compacted", index=index)

    def _notify_config_watchers(self) -> None:
        self._config_changed.set()
        self._config_changed = anyio.Event()

    def _notify_lease_waiters(self) -> None:
        if self._lease_known.statistics().tasks_waiting and (
            not self.raft.is_leader or self.has_lease()
        ):
            self._lease_known.set()
            self._lease_known = anyio.Event()

    def _report_role(self) -> None:
        role_and_term = (self.raft.role, self.raft.term)
        if role_and_term != self._reported_role:
            self._reported_role = role_and_term
            self._events.emit(
                "role", role=role_and_term[0], term=role_and_term[1]
            )
            if role_and_term[0] == LEADER:
                logging.info(
                    "%s is leader in term %d",
                    self.local_voter.id,
                    role_and_term[1],
                )

    # Sending

    def _send(self, tg: TaskGroup, message: RaftMessage) -> None:
        peer = self.raft.peer(message.dst)
        if peer is None:
            self._report_unknown_peer(message)
            return
        address = peer.address
        if address not in self._outboxes:
            send, receive = anyio.create_memory_object_stream(
                MAX_OUTBOX_MESSAGES
            )
            self._outboxes[address] = send
            tg.start_soon(self._send_loop, address, receive)
        try:
            self._outboxes[address].send_nowait(message)
        except anyio.WouldBlock:
            # The protocol sends lost messages again.
            return

    def _report_unknown_peer(self, message: RaftMessage) -> None:
        """Report once that messages to a peer are dropped."""
        if message.dst in self._unknown_peers:
            return
        self._unknown_peers.add(message.dst)
        self._events.emit(
            "peer_unknown",
            peer=message.dst,
            message=type(message).__name__,
            last_index=self.raft.log.last_index,
        )

    async def _send_loop(
        self, address: str, outbox: MemoryObjectReceiveStream
    ) -> None:
        """Send the messages to one peer in order, one batch at a time."""
        client = self._clients.at(address)
        async for message in outbox:
            now = self._clock.monotonic()
            batch = [
                _as_of(item, now)
                for item in (message, *_receive_waiting(outbox))
            ]
            has_snapshot = any(hasattr(item, "snapshot") for item in batch)
            timeout_s = SNAPSHOT_TIMEOUT_S if has_snapshot else SEND_TIMEOUT_S
            reply = await client.call(
                RaftBatch(messages=tuple(batch), takes_answers=True),
                timeout_s=timeout_s,
            )
            if isinstance(reply, Bad):
                _drop_waiting(outbox)
                await anyio.sleep(TICK_INTERVAL_S)
            elif isinstance(reply.unwrap(), RaftBatch):
                # Earlier releases send answers in calls of their own.
                for answer in reply.unwrap().messages:
                    self.deliver(answer)


def _is_answer(message: RaftMessage) -> bool:
    return isinstance(message, AppendReply | VoteReply)


def _payload_bytes(message: RaftMessage) -> int:
    """Return the size of the entries or the snapshot in a message."""
    if isinstance(message, Append):
        return sum(len(entry.data) for entry in message.entries)
    if isinstance(message, InstallSnapshot):
        return len(message.snapshot.data)
    return 0


def _aged(
    message: RaftMessage | Proposal, waited_s: float
) -> RaftMessage | Proposal:
    """Count the time that a message has waited in the age it reports."""
    if not isinstance(message, Append):
        return message
    return msgspec.structs.replace(
        message, lease_age_s=message.lease_age_s + waited_s
    )


def _as_of(message: RaftMessage, now: float) -> RaftMessage:
    """Return an own message as of a later time at which it is sent.

    Its answer confirms the leader from that time on, and the age that it
    reports counts the time that it has waited.
    """
    if not isinstance(message, Append):
        return message
    waited_s = now - message.sent_at
    return msgspec.structs.replace(
        message, sent_at=now, lease_age_s=message.lease_age_s + waited_s
    )


def _encode_command(command: Command) -> Result[bytes, Failure]:
    """Encode a command, if replicas can decode it."""
    try:
        data = msgspec.msgpack.encode(command)
        COMMAND_DECODER.decode(data)
    except (
        msgspec.MsgspecError,
        OverflowError,
        TypeError,
        ValueError,
    ) as exc:
        name = type(command).__name__
        logging.error("%s can't be encoded: %s", name, exc)
        return Bad(BadRequest(reason=f"{name} can't be encoded: {exc}"))
    return Success(data)


def _too_many_pending() -> Failure:
    return AtCapacity(customer="all", reason="too many pending commands")


def _not_applied_in_time(proposal: Proposal) -> Failure:
    if proposal.term:
        return _outcome_unknown("not applied in time")
    return AtCapacity(customer="all", reason="not appended in time")


def _machine_at(snapshot: Snapshot) -> StateMachine:
    state = STATE_DECODER.decode(snapshot.data) if snapshot.data else None
    return StateMachine(state=state)


def _outcome_unknown(reason: str) -> Failure:
    return OutcomeUnknown(key="command", reason=reason)


def _receive_waiting(stream: MemoryObjectReceiveStream) -> list:
    """Receive all items that a stream holds, without waiting."""
    batch = []
    while stream.statistics().current_buffer_used:
        batch.append(stream.receive_nowait())
    return batch


def _drop_waiting(stream: MemoryObjectReceiveStream) -> None:
    """Drop queued messages to an unreachable peer; newer ones replace them."""
    _receive_waiting(stream)
