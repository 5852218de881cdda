"""Messages that synchronize gateways, control replicas and the leader."""

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
    """One gateway process; clients may connect to it if `ready`."""

    id: str
    incarnation: str
    address: str
    failure_domain: str
    region: str
    ready: bool


class EndpointLoad(Message):
    """Requests of one or more gateways in flight at one endpoint.

    `active` is the number of requests, `prefill_tokens` the prompt tokens
    whose prefill is not known to be done.
    """

    active: int = 0
    prefill_tokens: int = 0


class GatewaySync(Message):
    """State report of one gateway to a control process.

    `version` and `revision` are the configuration and the endpoint list that
    the gateway has. `loads`, by endpoint id, and `usage`, the requests
    started per window and customer since the process started, are totals,
    not increments, of this gateway only. `reading` is the uncached prompt
    tokens per second sent to engines, by service. `needed` is the amount of
    each customer's limit that requests wait for, `prefetch` the amount that
    may be granted in advance. `wall_s` is the gateway's Unix time.
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
    """Reply of a control process to one gateway's `GatewaySync`.

    `document` and `endpoints` are None if the gateway has the current ones.
    `led` is true if the sender is the leader; only the leader fills `grants`
    and `waits`. `leader` is the leader's RPC address, empty if unknown, and
    `controls` are the addresses of the control replicas. While `granting` is
    false, gateways continue with their fallback shares. `waits` is the
    seconds until an exhausted limit has room, by customer. `stale_s` is an
    upper bound on the age of the sender's state, `wall_s` the sender's Unix
    time, `loads` the load from other gateways by endpoint id and `gateways`
    the number of known gateways.
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
    """Receipt of an endpoint's announcement at a control process."""

    endpoint: str
    born_ms: int


class Heartbeats(Message):
    """Heartbeats of endpoints that a follower forwards to the leader."""

    beats: tuple[Heartbeat, ...]


class ReadServing(Message):
    """Request the active document from the leader, valid under its lease."""


class ServingDocument(Message):
    """The active document and its version."""

    version: int
    document: bytes
