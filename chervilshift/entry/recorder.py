"""Replicates the records of running streams to peer entries.

The owner of a stream records tokens before it delivers them, so a record is
never behind what the caller has seen. One message per peer is in flight at
a time and carries the new parts of all streams.
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
# Parts waiting for one peer. A part beyond that is dropped, and its stream
# chooses a new holder.
MAX_OUTBOX_PARTS = 10_000
EXPIRE_INTERVAL_S = 10.0
# A peer that did not answer in time is used again after this delay. The delay
# is short because a stream without any peer has no record and is lost with
# its owner.
HOLDER_RETRY_DELAY_S = 1.0


class Recording:
    """State of one stream's record at its holder.

    `holder` is the RPC address of the entry that keeps the record, or ""
    without one. `acked_tokens` is the number of tokens that it has
    acknowledged. `superseded` is set when another owner has taken the
    stream over. `changed` is set, and replaced, at each change.
    """

    __slots__ = (
        "acked_tokens",
        "changed",
        "holder",
        "request_id",
        "superseded",
    )

    def __init__(self, *, request_id: str):
        self.request_id = request_id
        self.holder = ""
        self.acked_tokens = 0
        self.superseded = False
        self.changed = anyio.Event()

    def notify(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()


class _PendingPart:
    """A part to be sent, and the recording it belongs to."""

    __slots__ = ("part", "recording")

    def __init__(self, *, part: RecordPart, recording: Recording):
        self.part = part
        self.recording = recording


class Recorder:
    """Sends records to peers and owns the store of records for peers."""

    def __init__(
        self, *, directory: Directory, clients: Clients, events: EventLog
    ):
        self.store = RecordStore()
        self._directory = directory
        self._clients = clients
        self._events = events
        self._outboxes: dict[str, MemoryObjectSendStream[_PendingPart]] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._peer_retry_at: dict[str, float] = {}

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Send records, and expire those kept for peers, until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tasks = tg
            task_status.started()
            while True:
                await anyio.sleep(EXPIRE_INTERVAL_S)
                self.store.expire(self._directory.now())

    def choose_holder(self, request_id: str) -> str:
        """Return the RPC address of the entry to hold a record.

        Peers that lately did not answer are left out. Returns "" if no peer
        is available.
        """
        now = self._directory.now()
        available_addresses = (
            info.rpc_address
            for info in self.rank_peers(request_id)
            if now >= self._peer_retry_at.get(info.rpc_address, now)
        )
        return next(available_addresses, "")

    def rank_peers(self, request_id: str) -> list[EntryInfo]:
        """Return the other entries in the order in which holders are chosen.

        Those in other failure domains come first, then those in the same
        region.
        """
        own_info = self._directory.info
        others = {
            info.id: info
            for info in self._directory.entries()
            if info.id != own_info.id
        }
        ranked = [others[name] for name in rank_holders(request_id, others)]
        return sorted(
            ranked,
            key=lambda info: (
                info.failure_domain == own_info.failure_domain,
                info.region != own_info.region,
            ),
        )

    def append(self, recording: Recording, part: RecordPart) -> None:
        """Queue a part for the recording's holder; parts stay in order."""
        address = recording.holder
        if address not in self._outboxes:
            send, receive = anyio.create_memory_object_stream(MAX_OUTBOX_PARTS)
            self._outboxes[address] = send
            self._tasks.start_soon(self._send_parts, address, receive)
        try:
            self._outboxes[address].send_nowait(
                _PendingPart(part=part, recording=recording)
            )
        except anyio.WouldBlock:
            self._drop_holder([_PendingPart(part=part, recording=recording)])

    async def _send_parts(self, address: str, outbox) -> None:
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
                self._peer_retry_at[address] = (
                    self._directory.now() + HOLDER_RETRY_DELAY_S
                )
                self._drop_holder(batch)
            else:
                self._apply_reply(batch, reply.unwrap())

    def _apply_reply(
        self, batch: list[_PendingPart], reply: RecordReply
    ) -> None:
        lost = set(reply.lost)
        superseded = set(reply.superseded)
        self._drop_holder([p for p in batch if p.part.request_id in lost])
        for pending in batch:
            recording, part = pending.recording, pending.part
            if part.request_id in superseded:
                recording.superseded = True
            elif part.request_id not in lost:
                recording.acked_tokens = part.offset + len(part.tokens)
            recording.notify()

    def _drop_holder(self, batch: list[_PendingPart]) -> None:
        """Detach streams from their holder.

        They continue without a record until they choose a new holder.
        """
        detached = {pending.recording for pending in batch}
        for recording in detached:
            self._events.emit(
                "record_lost",
                request=recording.request_id,
                holder=recording.holder,
            )
            recording.holder = ""
            recording.notify()
