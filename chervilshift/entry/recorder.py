"""Leaves records of running streams with entries elsewhere.

The owner records tokens before it delivers them, so a record is never
behind what the caller has seen. One message per peer is in flight at a
time and carries what all streams have to say by then.
"""

import anyio
from anyio.streams.memory import MemoryObjectSendStream
from returns.result import Failure as Bad

from chervilshift.core.records import (
    AppendRecord,
    RecordPart,
    RecordReply,
    RecordStore,
    rank_holders,
)
from chervilshift.core.registry import EntryInfo
from chervilshift.entry.directory import Directory
from chervilshift.events import EventLog
from chervilshift.wire.rpc import Clients

__all__ = ["Recorder", "Recording"]

APPEND_TIMEOUT_S = 0.5
OUTBOX_PARTS = 10_000
EXPIRE_INTERVAL_S = 10.0
# A peer that did not answer in time is asked again this soon: while it is
# the only one, streams have no record, and the loss of their owner ends them.
RETRY_S = 1.0


class Recording:
    """One stream's record at its current holder.

    `acked` counts the tokens that the holder has; `refused` is set when
    another owner took the stream over.
    """

    __slots__ = ("acked", "changed", "holder", "refused", "request_id")

    def __init__(self, *, request_id: str):
        self.request_id = request_id
        self.holder = ""
        self.acked = 0
        self.refused = False
        self.changed = anyio.Event()

    def signal(self) -> None:
        """Wake whoever waits for progress."""
        self.changed.set()
        self.changed = anyio.Event()


class _Pending:
    """A part on its way, and the recording it belongs to."""

    __slots__ = ("part", "recording")

    def __init__(self, *, part: RecordPart, recording: Recording):
        self.part = part
        self.recording = recording


class Recorder:
    """Owns the sending of records, and the records kept for others."""

    def __init__(
        self, *, directory: Directory, clients: Clients, events: EventLog
    ):
        self.store = RecordStore()
        self._directory = directory
        self._clients = clients
        self._events = events
        self._outboxes: dict[str, MemoryObjectSendStream[_Pending]] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._retry_at: dict[str, float] = {}

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Send records until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tasks = tg
            task_status.started()
            while True:
                await anyio.sleep(EXPIRE_INTERVAL_S)
                self.store.expire(self._directory.now())

    def choose(self, request_id: str) -> str:
        """Return the RPC address of the entry to hold a record.

        Entries in other failure domains come first; none gives "".
        """
        now = self._directory.now()
        usable = (
            e.rpc_address
            for e in self.ranked(request_id)
            if now >= self._retry_at.get(e.rpc_address, now)
        )
        return next(usable, "")

    def ranked(self, request_id: str) -> list[EntryInfo]:
        """Return the other entries, the likeliest holder first."""
        own = self._directory.info
        others = {
            info.id: info
            for info in self._directory.entries()
            if info.id != own.id
        }
        ranked = [others[name] for name in rank_holders(request_id, others)]
        return sorted(
            ranked,
            key=lambda info: (
                info.failure_domain == own.failure_domain,
                info.region != own.region,
            ),
        )

    def append(self, recording: Recording, part: RecordPart) -> None:
        """Send a part to the recording's holder, in order."""
        address = recording.holder
        if address not in self._outboxes:
            send, receive = anyio.create_memory_object_stream(OUTBOX_PARTS)
            self._outboxes[address] = send
            self._tasks.start_soon(self._send_to, address, receive)
        try:
            self._outboxes[address].send_nowait(
                _Pending(part=part, recording=recording)
            )
        except anyio.WouldBlock:
            self._lose([_Pending(part=part, recording=recording)])

    async def _send_to(self, address: str, outbox) -> None:
        client = self._clients.at(address)
        async for first in outbox:
            batch = [first]
            while outbox.statistics().current_buffer_used:
                batch.append(outbox.receive_nowait())
            parts = tuple(pending.part for pending in batch)
            reply = await client.call(
                AppendRecord(parts=parts), APPEND_TIMEOUT_S
            )
            if isinstance(reply, Bad):
                self._retry_at[address] = self._directory.now() + RETRY_S
                self._lose(batch)
            else:
                self._settle(batch, reply.unwrap())

    def _settle(self, batch: list[_Pending], reply: RecordReply) -> None:
        lost = set(reply.lost)
        superseded = set(reply.superseded)
        self._lose([p for p in batch if p.part.request_id in lost])
        for pending in batch:
            recording, part = pending.recording, pending.part
            if part.request_id in superseded:
                recording.refused = True
            elif part.request_id not in lost:
                recording.acked = part.offset + len(part.tokens)
            recording.signal()

    def _lose(self, batch: list[_Pending]) -> None:
        """Let the streams go on without a record until they find one."""
        lost = {pending.recording for pending in batch}
        for recording in lost:
            self._events.emit(
                "record_lost",
                request=recording.request_id,
                holder=recording.holder,
            )
            recording.holder = ""
            recording.signal()
