"""Data model of HTTP traffic, shared by gateways and control.

Durations are seconds, sizes are bytes and token counts are tokens.
"""

from functools import cached_property

import msgspec

from chervilshift.core.message import Message

__all__ = [
    "DRAINING",
    "GONE",
    "READY",
    "SAFE",
    "SILENT",
    "STREAM",
    "UNSAFE",
    "Customer",
    "EndpointRecord",
    "EngineSpec",
    "Route",
    "Scaling",
    "ServingConfig",
    "ServingLimits",
    "ServiceSpec",
    "Target",
    "with_state",
]

# Kinds of routes: SAFE requests may be repeated, UNSAFE ones may not, STREAM
# replies are event streams.
SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"

# States of endpoints: READY ones get new requests, DRAINING ones are about to
# leave and GONE ones have ended. Endpoints announce all but SILENT, which only
# control sets, when announcements stop.
READY = "ready"
DRAINING = "draining"
GONE = "gone"
SILENT = "silent"


class Target(Message):
    """One service of a route and its weight among the route's targets."""

    service: str
    weight: float


class Route(Message):
    """Targets and rules for requests of one host and path prefix.

    `priority` 0 is the most urgent. `attempts` is how often one request may
    be sent to an endpoint. A reply that is complete within `objective_s`, or
    a stream whose first event comes within it, is on time; with a stream,
    `gap_s` is the longest pause between events that is on time, 0 for no
    limit. Requests of a `public` route need no key. A `resumable` stream may
    run more than once.
    """

    name: str
    host: str
    prefix: str
    kind: str
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    priority: int = 5
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may safely run more than once."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)


class EngineSpec(Message):
    """Declared capacity of each engine of a model service.

    `slots` is the number of requests that run at once, `kv_tokens` the size
    of the KV cache.
    """

    slots: int
    kv_tokens: int
    models: tuple[str, ...] = ()


class Scaling(Message):
    """Bounds per failure domain and prices for ordering endpoints.

    `minimum` and `maximum` bound spot and on-demand endpoints together.
    `spot_price` is the price of a spot endpoint as a share of an on-demand
    one; `prices` are per failure domain. Endpoints are ordered in these
    domains and in those with ready endpoints. `boot_s` is the time from an
    order until the endpoint is ready.
    """

    minimum: int
    maximum: int
    boot_s: float
    spot_price: float = 1.0
    prices: dict[str, float] = {}


class ServiceSpec(Message):
    """A service and the properties that its endpoints share.

    `engine` is None for plain HTTP services, `scaling` where the number of
    endpoints is not controlled.
    """

    name: str
    max_connections: int
    health_path: str = "/health"
    engine: EngineSpec | None = None
    scaling: Scaling | None = None


class Customer(Message):
    """A customer's API keys, priority and rate limit.

    There is no limit if `rate_per_s` is 0. With `by_tokens` the limit counts
    tokens, and a request that does not declare its tokens counts
    `plain_tokens`; otherwise it counts requests. `priority` overrides that
    of the route.
    """

    name: str
    keys: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    plain_tokens: float = 1.0
    priority: int | None = None


class ServingLimits(Message):
    """Size and time limits for client connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ServingConfig(Message, dict=True):
    """One version of the routes, services, customers and their limits."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ServingLimits
    customers: tuple[Customer, ...] = ()

    @cached_property
    def longest_stream_s(self) -> float:
        """The longest timeout of a stream route, 0 without one."""
        timeouts = (r.timeout_s for r in self.routes if r.kind == STREAM)
        return max(timeouts, default=0.0)


class EndpointRecord(Message):
    """The last announcement of an endpoint.

    `born_ms` is the Unix time in milliseconds at which it started and orders
    its incarnations; `seq` orders the announcements of one incarnation.
    `spot` marks an endpoint that the cloud may reclaim, and `leaves_s` is
    the time that a reclaimed endpoint had left when it announced this.
    `version` is that of its software, empty if it states none.
    """

    id: str
    born_ms: int
    seq: int
    state: str
    service: str
    address: str
    failure_domain: str
    slots: int
    spot: bool = False
    leaves_s: float | None = None
    version: str = ""


def with_state(record: EndpointRecord, state: str) -> EndpointRecord:
    """Return a copy of the record with another state."""
    return msgspec.structs.replace(record, state=state)
