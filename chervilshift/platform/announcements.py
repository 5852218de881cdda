"""Decodes what endpoints say of themselves.

An invalid announcement adds no endpoint.
"""

import msgspec
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.core.fleet.model import (
    DRAINING,
    GONE,
    READY,
    EndpointRecord,
)
from chervilshift.errors import BadRequest, Failure
from chervilshift.untrusted import (
    Count,
    Integer,
    Label,
    Number,
    decode_json,
    is_address,
    is_token,
)

__all__ = ["decode_announcement", "decode_departure", "decode_report"]

ANNOUNCED_STATES = (READY, DRAINING)


class _Announcement(msgspec.Struct):
    service: Label
    # HOST:PORT at which the endpoint takes requests.
    addr: str
    zone: Label
    state: Label
    seq: Count
    # Unix milliseconds of the endpoint's start.
    born: Count = 0
    slots: Integer = 1
    spot: bool = False
    # Version of the endpoint's software, not of its weights.
    version: Label = ""
    # Milliseconds until a reclaimed endpoint is taken away.
    leaves_ms: Number | None = None


class _Departure(msgspec.Struct):
    born: Count | None = None


class _Report(msgspec.Struct):
    born: Count


ANNOUNCEMENT_DECODER = msgspec.json.Decoder(_Announcement)
DEPARTURE_DECODER = msgspec.json.Decoder(_Departure)
REPORT_DECODER = msgspec.json.Decoder(_Report)


def decode_announcement(
    endpoint_id: str, body: bytes
) -> Result[EndpointRecord, Failure]:
    """Decode an announcement; fails with BadRequest."""
    decoded = decode_json(body, ANNOUNCEMENT_DECODER)
    if isinstance(decoded, Bad):
        return Bad(BadRequest(reason=decoded.failure()))
    fields = decoded.unwrap()
    if fields.state not in ANNOUNCED_STATES or not is_address(fields.addr):
        return Bad(BadRequest(reason="unknown state, or addr not HOST:PORT"))
    if not is_token(endpoint_id) or not fields.service:
        return Bad(BadRequest(reason="an id or service that can't be named"))
    if (fields.leaves_ms or 0) < 0:
        return Bad(BadRequest(reason="leaves_ms is negative"))
    leaves_s = None if fields.leaves_ms is None else fields.leaves_ms / 1000
    return Success(
        EndpointRecord(
            id=endpoint_id,
            born_ms=fields.born,
            seq=fields.seq,
            state=fields.state,
            service=fields.service,
            address=fields.addr,
            failure_domain=fields.zone,
            slots=max(1, fields.slots),
            spot=fields.spot,
            leaves_s=leaves_s,
            version=fields.version,
        )
    )


def decode_departure(record: EndpointRecord, body: bytes) -> EndpointRecord:
    """Return the record of an endpoint that announces that it has left.

    A departure may carry the start time of an earlier incarnation; then it is
    that one that has left. A body that can't be decoded is ignored.
    """
    born_ms = record.born_ms
    decoded = decode_json(body, DEPARTURE_DECODER)
    if not isinstance(decoded, Bad) and decoded.unwrap().born is not None:
        born_ms = decoded.unwrap().born
    return msgspec.structs.replace(record, state=GONE, born_ms=born_ms)


def decode_report(body: bytes) -> int | None:
    """Return the incarnation that a report names, None if it names none."""
    decoded = decode_json(body, REPORT_DECODER)
    return None if isinstance(decoded, Bad) else decoded.unwrap().born
