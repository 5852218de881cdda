"""Typed records of routed traffic, shared by gateways and control.

Durations are seconds, sizes are bytes and token counts are tokens.
"""

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

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"

READY = "ready"
DRAINING = "draining"
GONE = "gone"
SILENT = "silent"


class Target(Message):
    """One service of a route with its share of the route's requests."""

    service: str
    weight: float


class Route(Message):
    """Where requests of one host and path prefix go, and under which terms.

    `priority` 0 is the most urgent. `attempts` bounds the endpoints that
    one request may be sent to.
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
        """Whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)


class EngineSpec(Message):
    """What is declared about a service of model engines."""

    slots: int
    kv_tokens: int
    models: tuple[str, ...] = ()


class Scaling(Message):
    """Bounds per failure domain and prices for ordering endpoints.

    `spot_price` is the price of a reclaimable endpoint as a share of an
    on-demand one; `prices` are per failure domain.
    """

    minimum: int
    maximum: int
    boot_s: float
    spot_price: float = 1.0
    prices: dict[str, float] = {}


class ServiceSpec(Message):
    """A service: its endpoints' shared properties."""

    name: str
    max_connections: int
    health_path: str = "/health"
    engine: EngineSpec | None = None
    scaling: Scaling | None = None


class Customer(Message):
    """A customer's keys and limit; no limit where `rate_per_s` is 0.

    With `by_tokens` the limit counts tokens, and a request that does not
    declare its tokens counts `plain_tokens`; otherwise it counts requests.
    """

    name: str
    keys: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    plain_tokens: float = 1.0
    priority: int | None = None


class ServingLimits(Message):
    """Bounds on what a client may send and how long it may stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ServingConfig(Message):
    """One version of what is served, for whom and under which terms."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ServingLimits
    customers: tuple[Customer, ...] = ()


class EndpointRecord(Message):
    """What an endpoint last said of itself.

    `born_ms` is the Unix time of its start in milliseconds and orders its
    incarnations; `seq` orders its announcements within one.
    `leaves_s` is how long a reclaimed endpoint has left, when it said so.
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


def with_state(record: EndpointRecord, state: str) -> EndpointRecord:
    """Return the record in another state."""
    return msgspec.structs.replace(record, state=state)
