"""The at-most-once ledger: who may send a call that may not be repeated.

A key goes from free to claimed, and from there to done, unknown, or back
to free when its owner proves that nothing was sent. Unknown is final: such
a call is never sent again. Only the owner of an attempt may say that it
did not run, because only the owner knows that it will not send any more.
"""

from itertools import islice, takewhile

from chervilshift.core.commands import Claim, ClaimReply, Ok, Reused, Settle
from chervilshift.core.message import Message

__all__ = ["Ledger", "LedgerState", "Record"]

CLAIMED = "claimed"
DONE = "done"
FREE = "free"
NOT_RUN = "not_run"
REFUSED = "refused"
UNKNOWN = "unknown"

RETENTION_S = 24 * 3600.0
CLAIM_TIMEOUT_S = 300.0
MAX_RECORDS = 200_000
MAX_STORED_BODY_BYTES = 4096
EXPIRED_PER_STEP = 1000
CALLED_OFF_ATTEMPTS = 64


class Record(Message):
    """One key's state; `attempts` that were called off stay called off."""

    state: str
    digest: str
    owner: str
    attempt: str
    since_s: float
    called_off: tuple[str, ...] = ()
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    truncated: bool = False


class LedgerState(Message):
    """All records, oldest first, for a snapshot."""

    records: tuple[tuple[str, Record], ...] = ()


class Ledger:
    """Applies claims and settlements; times are the log's own seconds."""

    __slots__ = ("_claimed", "_records", "max_records")

    def __init__(
        self,
        *,
        state: LedgerState | None = None,
        max_records: int = MAX_RECORDS,
    ):
        self._records: dict[str, Record] = dict(state.records if state else ())
        self._claimed = {
            name: None
            for name, record in self._records.items()
            if record.state == CLAIMED
        }
        self.max_records = max_records

    def __len__(self) -> int:
        return len(self._records)

    def state(self) -> LedgerState:
        """Return the state for a snapshot."""
        return LedgerState(records=tuple(self._records.items()))

    def record(self, customer: str, key: str) -> Record | None:
        """Return the record of a customer's key."""
        return self._records.get(_name(customer, key))

    def claim(self, claim: Claim, now_s: float) -> ClaimReply | Reused:
        """Grant the claim if the key is free and the attempt is not off."""
        name = _name(claim.customer, claim.key)
        record = self._records.get(name)
        if record is None:
            return self._grant(name, claim, (), now_s)
        if claim.attempt in record.called_off:
            return ClaimReply(granted=False, state=REFUSED)
        if record.digest and record.digest != claim.digest:
            return Reused(name=claim.key)
        if record.state == FREE:
            return self._grant(name, claim, record.called_off, now_s)
        same = (record.owner, record.attempt) == (claim.owner, claim.attempt)
        if record.state == CLAIMED and same:
            return ClaimReply(granted=True, state=CLAIMED)
        return ClaimReply(
            granted=False,
            state=record.state,
            status=record.status,
            content_type=record.content_type,
            body=record.body,
            truncated=record.truncated,
        )

    def settle(self, settle: Settle, now_s: float) -> Ok:
        """Record an outcome; what contradicts a final outcome is ignored."""
        name = _name(settle.customer, settle.key)
        record = self._records.get(name)
        if settle.outcome == NOT_RUN:
            self._call_off(name, record, settle, now_s)
        elif record is not None and record.state == CLAIMED:
            self._finish(name, record, settle, now_s)
        return Ok()

    def expire(self, now_s: float) -> None:
        """Give up old claims as unknown and drop records past retention."""
        expired = tuple(
            takewhile(
                lambda item: now_s - item[1].since_s > RETENTION_S,
                islice(self._records.items(), EXPIRED_PER_STEP),
            )
        )
        for name, _ in expired:
            self._drop(name)
        stale = tuple(
            takewhile(
                lambda name: (
                    now_s - self._records[name].since_s > CLAIM_TIMEOUT_S
                ),
                islice(self._claimed, EXPIRED_PER_STEP),
            )
        )
        for name in stale:
            record = self._records[name]
            self._put(name, _replace(record, state=UNKNOWN, since_s=now_s))

    def _grant(
        self, name: str, claim: Claim, called_off: tuple, now_s: float
    ) -> ClaimReply:
        if name not in self._records and len(self) >= self.max_records:
            return ClaimReply(granted=False, state=REFUSED)
        record = Record(
            state=CLAIMED,
            digest=claim.digest,
            owner=claim.owner,
            attempt=claim.attempt,
            since_s=now_s,
            called_off=called_off,
        )
        self._put(name, record)
        return ClaimReply(granted=True, state=CLAIMED)

    def _call_off(
        self, name: str, record: Record | None, settle: Settle, now_s: float
    ) -> None:
        """Free the key; an attempt whose claim comes later stays off."""
        if record is None:
            record = Record(
                state=FREE, digest="", owner="", attempt="", since_s=now_s
            )
        called_off = (*record.called_off, settle.attempt)
        called_off = called_off[-CALLED_OFF_ATTEMPTS:]
        attempt = (settle.owner, settle.attempt)
        if (
            record.state == CLAIMED
            and (record.owner, record.attempt) == attempt
        ):
            record = _replace(record, state=FREE, digest="")
        if record.state == FREE:
            freed = _replace(record, called_off=called_off, since_s=now_s)
            self._put(name, freed)
        else:
            # Another's claim keeps its age and its place.
            self._records[name] = _replace(record, called_off=called_off)

    def _finish(
        self, name: str, record: Record, settle: Settle, now_s: float
    ) -> None:
        mine = (record.owner, record.attempt) == (
            settle.owner,
            settle.attempt,
        )
        if not mine or settle.outcome != DONE:
            self._put(name, _replace(record, state=UNKNOWN, since_s=now_s))
            return
        fits = len(settle.body) <= MAX_STORED_BODY_BYTES
        record = _replace(
            record,
            state=DONE,
            since_s=now_s,
            status=settle.status,
            content_type=settle.content_type,
            body=settle.body if fits else b"",
            truncated=settle.truncated or not fits,
        )
        self._put(name, record)

    def _put(self, name: str, record: Record) -> None:
        """Store the record as the newest, so that the oldest come first."""
        self._drop(name)
        self._records[name] = record
        if record.state == CLAIMED:
            self._claimed[name] = None

    def _drop(self, name: str) -> None:
        self._records.pop(name, None)
        self._claimed.pop(name, None)


def _name(customer: str, key: str) -> str:
    return f"{customer}\n{key}"


def _replace(record: Record, **changes: object) -> Record:
    fields = {name: getattr(record, name) for name in Record.__struct_fields__}
    return Record(**{**fields, **changes})
