"""Messages by which a gateway and control keep in step."""

from chervilshift.core.fleet.model import EndpointRecord
from chervilshift.core.message import Message

__all__ = [
    "EndpointLoad",
    "Heartbeat",
    "Heartbeats",
    "GatewayInfo",
    "GatewaySync",
    "ReadServing",
    "ServingDocument",
    "SyncReply",
]


class GatewayInfo(Message):
    """One gateway process: where clients connect and whether they should."""

    id: str
    incarnation: str
    address: str
    failure_domain: str
    region: str
    ready: bool


class EndpointLoad(Message):
    """Work of gateways at one endpoint.

    `active` counts requests, `prefill_tokens` the prompt tokens that are
    not known to be read yet.
    """

    active: int = 0
    prefill_tokens: int = 0


class GatewaySync(Message):
    """A gateway's news, with what it knows already and what it wants.

    `loads` and `usage` are the gateway's own and complete: endpoints by id,
    and requests begun per window and customer since the process started.
    `reading` is the prompt tokens a second that were sent to be read, by
    service. `needed` are tokens of customers' limits that requests wait
    for, `prefetch` what may be held ahead of requests. `wall_s` is the
    gateway's Unix time.
    """

    gateway: GatewayInfo
    version: int
    revision: int
    loads: dict[str, EndpointLoad] = {}
    usage: dict[int, dict[str, int]] = {}
    reading: dict[str, float] = {}
    wall_s: float = 0.0
    needed: dict[str, float] = {}
    prefetch: dict[str, float] = {}


class SyncReply(Message):
    """Control's news for one gateway.

    `document` and `endpoints` are absent when the gateway has them.
    `grants` is given only by the leader; `led` tells whether it is one.
    While `granting` is false, gateways go on under their fallback shares.
    `waits` names customers whose limit is spent, with the seconds until it
    has room again.
    """

    led: bool
    leader: str
    stale_s: float
    version: int
    revision: int
    gateways: int
    controls: tuple[str, ...] = ()
    document: bytes | None = None
    endpoints: tuple[EndpointRecord, ...] | None = None
    loads: dict[str, EndpointLoad] = {}
    wall_s: float = 0.0
    granting: bool = False
    grants: dict[str, float] = {}
    waits: dict[str, float] = {}


class Heartbeat(Message):
    """One sign of life of an endpoint, heard by a control process."""

    endpoint: str
    born_ms: int


class Heartbeats(Message):
    """Signs of life that a follower passes to the leader."""

    beats: tuple[Heartbeat, ...]


class ReadServing(Message):
    """Ask the leader, under its lease, for the document in force."""


class ServingDocument(Message):
    """The document in force and its version."""

    version: int
    document: bytes
