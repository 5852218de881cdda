"""Endpoints' announcements, decoded; a broken one names no endpoint."""

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

__all__ = ["decode_checkin", "decode_departure"]

STATES = (READY, DRAINING)


class _Checkin(msgspec.Struct):
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
    leaves_ms: float | None = None


DECODER = msgspec.json.Decoder(_Checkin)


def decode_checkin(
    endpoint_id: str, body: bytes
) -> Result[EndpointRecord, Failure]:
    """Decode an announcement; fails with BadRequest."""
    try:
        said = DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Bad(BadRequest(reason=str(exc)))
    host, _, port = said.addr.rpartition(":")
    if said.state not in STATES or not host or not port.isdigit():
        return Bad(BadRequest(reason="unknown state or bad address"))
    leaves_s = None if said.leaves_ms is None else said.leaves_ms / 1000
    return Success(
        EndpointRecord(
            id=endpoint_id,
            born_ms=said.born,
            seq=said.seq,
            state=said.state,
            service=said.service,
            address=said.addr,
            failure_domain=said.zone,
            slots=max(1, said.slots),
            spot=said.spot,
            leaves_s=leaves_s,
        )
    )


def decode_departure(held: EndpointRecord, body: bytes) -> EndpointRecord:
    """Return the record of an endpoint that says it has left.

    A departure may carry the start time of an earlier incarnation, which
    then is what has left.
    """
    born_ms = held.born_ms
    try:
        said = msgspec.json.decode(body) if body else {}
    except (msgspec.DecodeError, UnicodeDecodeError):
        said = {}
    if isinstance(said, dict) and isinstance(said.get("born"), int):
        born_ms = said["born"]
    return msgspec.structs.replace(held, state=GONE, born_ms=born_ms)
