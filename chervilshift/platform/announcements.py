"""Decodes endpoints' announcements; an invalid one adds no endpoint."""

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

__all__ = ["decode_announcement", "decode_departure"]

ANNOUNCED_STATES = (READY, DRAINING)


class _Announcement(msgspec.Struct):
    service: str
    # HOST:PORT at which the endpoint takes requests.
    addr: str
    zone: str
    state: str
    seq: int
    # Unix milliseconds of the endpoint's start.
    born: int = 0
    slots: int = 1
    spot: bool = False
    # Version of the endpoint's software, not of its weights.
    version: str = ""
    # Milliseconds until a reclaimed endpoint is taken away.
    leaves_ms: float | None = None


DECODER = msgspec.json.Decoder(_Announcement)


def decode_announcement(
    endpoint_id: str, body: bytes
) -> Result[EndpointRecord, Failure]:
    """Decode an announcement; fails with BadRequest."""
    try:
        fields = DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Bad(BadRequest(reason=str(exc)))
    host, _, port = fields.addr.rpartition(":")
    if fields.state not in ANNOUNCED_STATES or not host or not port.isdigit():
        return Bad(BadRequest(reason="unknown state, or addr not HOST:PORT"))
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
    try:
        departure = msgspec.json.decode(body) if body else {}
    except (msgspec.DecodeError, UnicodeDecodeError):
        departure = {}
    if isinstance(departure, dict) and isinstance(departure.get("born"), int):
        born_ms = departure["born"]
    return msgspec.structs.replace(record, state=GONE, born_ms=born_ms)
