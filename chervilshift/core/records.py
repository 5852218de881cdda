"""Records of running streams, kept by a peer of the entry that runs them.

The owner appends what it is about to deliver; when the owner is lost,
another entry takes the record over under a higher epoch and continues from
exactly what the record holds. An append under an older epoch is refused,
which tells the old owner to stop.
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

RETENTION_S = 120.0
MAX_RECORDS = 20_000
MAX_TOKENS = 32_768

KEPT = "kept"
LOST = "lost"
SUPERSEDED = "superseded"


class StreamRecord(Message):
    """One stream: whose it is, what was asked and what was produced."""

    request_id: str
    epoch: int
    customer: str
    owner: str
    request: bytes
    tokens: tuple[str, ...] = ()
    done: bool = False


class RecordPart(Message):
    """New tokens of one stream at `offset`.

    The first part of an epoch carries customer and request as well.
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
    """Parts of many streams in one message."""

    parts: tuple[RecordPart, ...]


class FetchRecord(Message):
    """Ask for a stream's record."""

    request_id: str


class Takeover(Message):
    """Claim a stream for a new owner; the old one stops."""

    request_id: str
    owner: str


class RecordReply(Message):
    """A record, if there is one; for appends, what was not kept.

    `superseded` streams have another owner; `lost` ones have no record
    here that the part continues.
    """

    record: StreamRecord | None = None
    superseded: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()


class _Kept:
    """A record while it grows."""

    __slots__ = (
        "customer", "done", "epoch", "owner", "request", "tokens", "touched",
    )  # fmt: skip

    def __init__(self, *, part: RecordPart, now: float):
        self.epoch = part.epoch
        self.customer = part.customer
        self.owner = part.owner
        self.request = part.request
        self.tokens: list[str] = []
        self.done = False
        self.touched = now


class RecordStore:
    """Keeps records for peers, bounded in number, size and time."""

    __slots__ = ("_kept", "max_records")

    def __init__(self, *, max_records: int = MAX_RECORDS):
        self._kept: dict[str, _Kept] = {}
        self.max_records = max_records

    def __len__(self) -> int:
        return len(self._kept)

    def append(self, parts: Iterable[RecordPart], now: float) -> RecordReply:
        """Add parts; tell which were not kept, and why."""
        outcomes = [
            (part.request_id, self._append_one(part, now)) for part in parts
        ]
        return RecordReply(
            superseded=tuple(k for k, out in outcomes if out == SUPERSEDED),
            lost=tuple(k for k, out in outcomes if out == LOST),
        )

    def fetch(self, request_id: str) -> StreamRecord | None:
        """Return the record of a stream."""
        kept = self._kept.get(request_id)
        if kept is None:
            return None
        return StreamRecord(
            request_id=request_id,
            epoch=kept.epoch,
            customer=kept.customer,
            owner=kept.owner,
            request=kept.request,
            tokens=tuple(kept.tokens),
            done=kept.done,
        )

    def take_over(
        self, request_id: str, owner: str, now: float
    ) -> StreamRecord | None:
        """Give the record a new owner under a higher epoch."""
        kept = self._kept.get(request_id)
        if kept is None:
            return None
        kept.epoch += 1
        kept.owner = owner
        kept.touched = now
        return self.fetch(request_id)

    def expire(self, now: float) -> None:
        """Drop records that were not touched for the retention time."""
        old = [
            request_id
            for request_id, kept in self._kept.items()
            if now - kept.touched > RETENTION_S
        ]
        for request_id in old:
            del self._kept[request_id]

    def _append_one(self, part: RecordPart, now: float) -> str:
        kept = self._kept.get(part.request_id)
        if kept is None:
            full = len(self._kept) >= self.max_records
            if full or not part.request or part.offset:
                return LOST
            kept = _Kept(part=part, now=now)
            self._kept[part.request_id] = kept
        same = part.epoch == kept.epoch and part.owner == kept.owner
        if part.epoch <= kept.epoch and not same:
            return SUPERSEDED
        known = len(kept.tokens)
        if part.offset > known or known + len(part.tokens) > MAX_TOKENS:
            return LOST
        kept.epoch = part.epoch
        kept.owner = part.owner
        kept.touched = now
        kept.tokens.extend(part.tokens[known - part.offset :])
        kept.done = kept.done or part.done
        return KEPT


def rank_holders(request_id: str, entries: Iterable[str]) -> list[str]:
    """Order entries by rendezvous hash: who keeps this stream's record."""

    def weight(entry: str) -> bytes:
        return hashlib.sha256(f"{request_id}/{entry}".encode()).digest()

    return sorted(entries, key=weight)
