"""Replicated records of running streams.

A peer of the entry that runs a stream stores its record. The owner appends
tokens before it delivers them. When the owner is lost, another entry takes
the record over under a higher epoch and continues from exactly the recorded
tokens. An append under an older epoch is refused, which tells the previous
owner to stop.
"""

import hashlib
from collections.abc import Iterable

from chervilshift.core.message import Message

__all__ = [
    "AppendRecord",
    "FetchRecord",
    "RecordPart",
    "RecordReply",
    "RecordStore",
    "StreamRecord",
    "Takeover",
    "rank_holders",
]

# Records without an update for this time are dropped.
RECORD_RETENTION_S = 120.0
MAX_RECORDS = 20_000
MAX_RECORD_TOKENS = 32_768

# Outcomes of an append.
KEPT = "kept"
LOST = "lost"
SUPERSEDED = "superseded"


class StreamRecord(Message):
    """Record of one stream: its owner, request and tokens so far."""

    request_id: str
    epoch: int
    customer: str
    owner: str
    request: bytes
    tokens: tuple[str, ...] = ()
    done: bool = False


class RecordPart(Message):
    """New tokens of one stream, from token `offset` on.

    The first part of an epoch also carries the customer and the request.
    """

    request_id: str
    epoch: int
    owner: str
    offset: int
    tokens: tuple[str, ...] = ()
    done: bool = False
    customer: str = ""
    request: bytes = b""


class AppendRecord(Message):
    """Append parts of many streams in one message."""

    parts: tuple[RecordPart, ...]


class FetchRecord(Message):
    """Request a stream's record."""

    request_id: str


class Takeover(Message):
    """Make `owner` the new owner of a stream; the previous one stops."""

    request_id: str
    owner: str


class RecordReply(Message):
    """The requested record, if there is one, or the refused appends.

    Streams in `superseded` have another owner; for those in `lost` there is
    no record here that the part continues, or no room for it.
    """

    record: StreamRecord | None = None
    superseded: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()


class _MutableRecord:
    """A record in the store, extended by appends."""

    __slots__ = (
        "customer",
        "done",
        "epoch",
        "owner",
        "request",
        "tokens",
        "updated_at",
    )

    def __init__(self, *, part: RecordPart, now: float):
        self.epoch = part.epoch
        self.customer = part.customer
        self.owner = part.owner
        self.request = part.request
        self.tokens: list[str] = []
        self.done = False
        self.updated_at = now


class RecordStore:
    """Stores records for peers, bounded in number, size and time.

    `now` arguments are monotonic seconds.
    """

    __slots__ = ("_records", "max_records")

    def __init__(self, *, max_records: int = MAX_RECORDS):
        self._records: dict[str, _MutableRecord] = {}
        self.max_records = max_records

    def __len__(self) -> int:
        return len(self._records)

    def append(self, parts: Iterable[RecordPart], now: float) -> RecordReply:
        """Add parts; the reply lists the streams that were refused."""
        outcomes = [
            (part.request_id, self._append_one(part, now)) for part in parts
        ]
        return RecordReply(
            superseded=tuple(
                k for k, outcome in outcomes if outcome == SUPERSEDED
            ),
            lost=tuple(k for k, outcome in outcomes if outcome == LOST),
        )

    def fetch(self, request_id: str) -> StreamRecord | None:
        """Return a stream's record, None if there is none."""
        record = self._records.get(request_id)
        if record is None:
            return None
        return StreamRecord(
            request_id=request_id,
            epoch=record.epoch,
            customer=record.customer,
            owner=record.owner,
            request=record.request,
            tokens=tuple(record.tokens),
            done=record.done,
        )

    def take_over(
        self, request_id: str, owner: str, now: float
    ) -> StreamRecord | None:
        """Set a new owner under a higher epoch; return the record, if any."""
        record = self._records.get(request_id)
        if record is None:
            return None
        record.epoch += 1
        record.owner = owner
        record.updated_at = now
        return self.fetch(request_id)

    def expire(self, now: float) -> None:
        """Drop records that were not updated within the retention time."""
        expired = [
            request_id
            for request_id, record in self._records.items()
            if now - record.updated_at > RECORD_RETENTION_S
        ]
        for request_id in expired:
            del self._records[request_id]

    def _append_one(self, part: RecordPart, now: float) -> str:
        record = self._records.get(part.request_id)
        if record is None:
            full = len(self._records) >= self.max_records
            if full or not part.request or part.offset:
                return LOST
            record = _MutableRecord(part=part, now=now)
            self._records[part.request_id] = record
        same_owner = part.epoch == record.epoch and part.owner == record.owner
        if part.epoch <= record.epoch and not same_owner:
            return SUPERSEDED
        stored = len(record.tokens)
        if (
            part.offset > stored
            or stored + len(part.tokens) > MAX_RECORD_TOKENS
        ):
            return LOST
        record.epoch = part.epoch
        record.owner = part.owner
        record.updated_at = now
        record.tokens.extend(part.tokens[stored - part.offset :])
        record.done = record.done or part.done
        return KEPT


def rank_holders(request_id: str, entries: Iterable[str]) -> list[str]:
    """Order entries by preference for storing this stream's record.

    The order is a rendezvous hash: the same on every entry.
    """

    def weight(entry: str) -> bytes:
        return hashlib.sha256(f"{request_id}/{entry}".encode()).digest()

    return sorted(entries, key=weight)
