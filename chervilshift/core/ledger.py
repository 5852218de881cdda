"""At-most-once ledger for calls that must not be repeated.

A record goes from free to claimed, and from there to done, unknown, or back
to free if the owner of the claim reports that the call was not sent. Unknown
is final: such a call is never sent again. Only the owner of an attempt may
report it as not run, because only the owner knows that it will not send the
call later.
"""

from hashlib import sha256
from itertools import islice, takewhile

from chervilshift.core.commands import Claim, ClaimReply, Ok, Reused, Settle
from chervilshift.core.message import Message

__all__ = ["Ledger", "LedgerState", "Record"]

# States of records, replies and outcomes. Only replies use REFUSED and only
# outcomes use NOT_RUN.
CLAIMED = "claimed"
DONE = "done"
FREE = "free"
NOT_RUN = "not_run"
REFUSED = "refused"
UNKNOWN = "unknown"

RECORD_RETENTION_S = 24 * 3600.0
# A claim without outcome becomes unknown after this time.
CLAIM_TIMEOUT_S = 300.0
MAX_RECORDS = 200_000
MAX_STORED_BODY_BYTES = 4096
# A digest stands for a longer key: callers choose the length of their keys.
MAX_KEY_CHARS = 128
# Before such a digest; no key that a header carries contains it.
DIGEST_MARK = "\n"
# Bounds the work of one `expire` call.
MAX_EXPIRED_PER_CALL = 1000
# The newest revoked attempts are remembered for each key.
MAX_CALLED_OFF_ATTEMPTS = 64


class Record(Message):
    """State of one key.

    `digest` is of the request, `status` and what follows of the response.
    Attempts in `called_off` are revoked and never granted the key. Timeout
    and retention count from log time `since_s`.
    """

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
    """All records for a snapshot, oldest first."""

    records: tuple[tuple[str, Record], ...] = ()


class Ledger:
    """Applies claims and settlements.

    Times are log time in seconds, which is the same on every replica.
    """

    __slots__ = ("_claimed", "_records", "max_records")

    def __init__(
        self,
        *,
        state: LedgerState | None = None,
        max_records: int = MAX_RECORDS,
    ):
        # Snapshots of earlier versions have keys of any length.
        self._records: dict[str, Record] = {
            _record_key(*name.split("\n", 1)): record
            for name, record in (state.records if state else ())
        }
        self._claimed = {
            record_key: None
            for record_key, record in self._records.items()
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
        return self._records.get(_record_key(customer, key))

    def claim(self, claim: Claim, now_s: float) -> ClaimReply | Reused:
        """Grant the claim if the key is free and the attempt not revoked.

        A repeated claim of the attempt that holds the key is granted again.
        """
        record_key = _record_key(claim.customer, claim.key)
        record = self._records.get(record_key)
        if record is None:
            return self._grant(record_key, claim, (), now_s)
        if claim.attempt in record.called_off:
            return ClaimReply(granted=False, state=REFUSED)
        if not _is_same_request(record.digest, claim.digest):
            return Reused(name=claim.key)
        if record.state == FREE:
            return self._grant(record_key, claim, record.called_off, now_s)
        same_attempt = (record.owner, record.attempt) == (
            claim.owner,
            claim.attempt,
        )
        if record.state == CLAIMED and same_attempt:
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
        """Record an outcome, unless the record has a final one already."""
        record_key = _record_key(settle.customer, settle.key)
        record = self._records.get(record_key)
        if settle.outcome == NOT_RUN:
            self._revoke_attempt(record_key, record, settle, now_s)
        elif record is not None and record.state == CLAIMED:
            self._record_outcome(record_key, record, settle, now_s)
        return Ok()

    def expire(self, now_s: float) -> None:
        """Set timed-out claims to unknown and drop records past retention."""
        expired = tuple(
            takewhile(
                lambda item: now_s - item[1].since_s > RECORD_RETENTION_S,
                islice(self._records.items(), MAX_EXPIRED_PER_CALL),
            )
        )
        for record_key, _ in expired:
            self._drop(record_key)
        timed_out = tuple(
            takewhile(
                lambda record_key: (
                    now_s - self._records[record_key].since_s > CLAIM_TIMEOUT_S
                ),
                islice(self._claimed, MAX_EXPIRED_PER_CALL),
            )
        )
        for record_key in timed_out:
            record = self._records[record_key]
            self._store(
                record_key, _replace(record, state=UNKNOWN, since_s=now_s)
            )

    def _grant(
        self, record_key: str, claim: Claim, called_off: tuple, now_s: float
    ) -> ClaimReply:
        if record_key not in self._records and len(self) >= self.max_records:
            return ClaimReply(granted=False, state=REFUSED)
        record = Record(
            state=CLAIMED,
            digest=claim.digest,
            owner=claim.owner,
            attempt=claim.attempt,
            since_s=now_s,
            called_off=called_off,
        )
        self._store(record_key, record)
        return ClaimReply(granted=True, state=CLAIMED)

    def _revoke_attempt(
        self,
        record_key: str,
        record: Record | None,
        settle: Settle,
        now_s: float,
    ) -> None:
        """Free the key if the attempt holds it, and revoke the attempt.

        A claim of the attempt that arrives later is refused.
        """
        if record is None:
            record = Record(
                state=FREE, digest="", owner="", attempt="", since_s=now_s
            )
        called_off = (*record.called_off, settle.attempt)
        called_off = called_off[-MAX_CALLED_OFF_ATTEMPTS:]
        attempt = (settle.owner, settle.attempt)
        if (
            record.state == CLAIMED
            and (record.owner, record.attempt) == attempt
        ):
            record = _replace(record, state=FREE, digest="")
        if record.state == FREE:
            freed = _replace(record, called_off=called_off, since_s=now_s)
            self._store(record_key, freed)
        else:
            # Any other record keeps its age and position.
            self._records[record_key] = _replace(record, called_off=called_off)

    def _record_outcome(
        self, record_key: str, record: Record, settle: Settle, now_s: float
    ) -> None:
        by_owner = (record.owner, record.attempt) == (
            settle.owner,
            settle.attempt,
        )
        if not by_owner or settle.outcome != DONE:
            self._store(
                record_key, _replace(record, state=UNKNOWN, since_s=now_s)
            )
            return
        body_stored = len(settle.body) <= MAX_STORED_BODY_BYTES
        record = _replace(
            record,
            state=DONE,
            since_s=now_s,
            status=settle.status,
            content_type=settle.content_type,
            body=settle.body if body_stored else b"",
            truncated=settle.truncated or not body_stored,
        )
        self._store(record_key, record)

    def _store(self, record_key: str, record: Record) -> None:
        """Store the record as the newest; expiry relies on oldest first."""
        self._drop(record_key)
        self._records[record_key] = record
        if record.state == CLAIMED:
            self._claimed[record_key] = None

    def _drop(self, record_key: str) -> None:
        self._records.pop(record_key, None)
        self._claimed.pop(record_key, None)


def _is_same_request(recorded: str, claimed: str) -> bool:
    """Return whether a claim's digest is that of the recorded request.

    A free record has no digest. Those of earlier versions are without
    "SERVICE/" and match at every service.
    """
    return recorded in ("", claimed, claimed.rpartition("/")[2])


def _record_key(customer: str, key: str) -> str:
    if len(key) > MAX_KEY_CHARS:
        encoded = key.encode("utf-8", "surrogateescape")
        key = DIGEST_MARK + sha256(encoded).hexdigest()
    return f"{customer}\n{key}"


def _replace(record: Record, **changes: object) -> Record:
    fields = {name: getattr(record, name) for name in Record.__struct_fields__}
    return Record(**{**fields, **changes})
