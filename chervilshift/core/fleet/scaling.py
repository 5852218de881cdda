"""Plans the number of spot and on-demand endpoints per failure domain.

Spot endpoints are cheap, but the cloud reclaims them together, a whole
failure domain at a time; on-demand endpoints are expensive and are not
reclaimed. The plan covers the load with enough spot endpoints that the loss
of any one domain leaves sufficient capacity, and orders on-demand endpoints
where spot endpoints are unavailable.
"""

from collections import Counter, deque
from collections.abc import Iterable
from math import ceil

from chervilshift.core.fleet.model import (
    READY,
    EndpointRecord,
    Scaling,
    ServiceSpec,
)
from chervilshift.core.fleet.placement import PREFILL_TOKENS_PER_S

__all__ = ["Fleet", "Order", "PeakSize", "needed_size", "plan_orders"]

# Endpoints per failure domain at light load; the others are the reserve if one
# crashes or slows down.
MIN_ENDPOINTS_PER_DOMAIN = 1
# Part of what would be missing after the loss of a further domain that is
# ordered on demand while spot endpoints are not to be had.
SUBSTITUTE_SHARE = 0.5
# Share of time that an engine may spend on prefill; above it, concurrent
# streams pause too often.
MAX_PREFILL_UTILIZATION = 0.45
# The fleet shrinks only after a smaller size has sufficed this long, several
# times the boot time.
PEAK_WINDOW_S = 15.0
# Running requests per slot above which the fleet grows.
MAX_SLOT_UTILIZATION = 0.45


class Order:
    """Target number of spot or on-demand endpoints in a failure domain."""

    __slots__ = ("count", "failure_domain", "service", "spot")

    def __init__(
        self, *, service: str, failure_domain: str, spot: bool, count: int
    ):
        self.service = service
        self.failure_domain = failure_domain
        self.spot = spot
        self.count = count

    @property
    def key(self) -> tuple[str, str, bool]:
        """Identity of the target, without its count."""
        return self.service, self.failure_domain, self.spot


class Fleet:
    """Endpoints and load of one service.

    `active` is the number of running requests and `prefill_tokens_per_s`
    the uncached prompt tokens sent per second; `prefill_speed` is how many one
    engine prefills per second. `spot_unavailable` names the
    failure domains where the cloud currently has no spot endpoints.
    """

    __slots__ = (
        "active",
        "endpoints",
        "prefill_speed",
        "prefill_tokens_per_s",
        "spot_unavailable",
    )

    def __init__(
        self,
        *,
        endpoints: Iterable[EndpointRecord],
        active: int,
        prefill_tokens_per_s: float = 0.0,
        prefill_speed: float = PREFILL_TOKENS_PER_S,
        spot_unavailable: frozenset[str] = frozenset(),
    ):
        self.endpoints = tuple(endpoints)
        self.active = active
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.prefill_speed = prefill_speed
        self.spot_unavailable = spot_unavailable

    def ready_count(self, failure_domain: str, *, spot: bool) -> int:
        """Return the number of ready endpoints of one kind in a domain."""
        return sum(
            e.failure_domain == failure_domain
            and e.spot == spot
            and e.state == READY
            for e in self.endpoints
        )

    def ready_spot_count(self) -> int:
        """Return the number of ready spot endpoints."""
        return sum(e.spot and e.state == READY for e in self.endpoints)

    def largest_spot_share(self) -> int:
        """Return the largest number of ready spot endpoints in one domain."""
        ready = Counter(
            e.failure_domain
            for e in self.endpoints
            if e.spot and e.state == READY
        )
        return max(ready.values(), default=0)

    @property
    def has_load(self) -> bool:
        """Whether any request was reported."""
        return bool(self.active or self.prefill_tokens_per_s)

    def found_size(self) -> int:
        """Return the size of the fleet while one kind replaces the other."""
        ready = Counter(e.spot for e in self.endpoints if e.state == READY)
        return max(ready.values(), default=1)

    def ready_by_domain(self) -> Counter[str]:
        """Return the number of ready endpoints by failure domain."""
        return Counter(
            e.failure_domain for e in self.endpoints if e.state == READY
        )


class PeakSize:
    """The largest fleet size needed within `PEAK_WINDOW_S` seconds."""

    __slots__ = ("_sizes",)

    def __init__(self):
        self._sizes: deque[tuple[float, int]] = deque()

    def observe(self, size: int, now: float) -> int:
        """Record the size needed now, and return the peak."""
        while self._sizes and self._sizes[-1][1] <= size:
            self._sizes.pop()
        self._sizes.append((now, size))
        while now - self._sizes[0][0] > PEAK_WINDOW_S:
            self._sizes.popleft()
        return self._sizes[0][1]


def needed_size(spec: ServiceSpec, fleet: Fleet) -> int:
    """Return the number of endpoints that the current load needs.

    Without any load, returns the size of an existing fleet, which is kept
    until requests arrive. On-demand endpoints and the spot ones that replace
    them count once.
    """
    if not fleet.has_load:
        return fleet.found_size()
    slots = spec.engine.slots if spec.engine else 1
    by_slots = fleet.active / (MAX_SLOT_UTILIZATION * slots)
    by_prefill = fleet.prefill_tokens_per_s / (
        MAX_PREFILL_UTILIZATION * fleet.prefill_speed
    )
    return ceil(max(by_slots, by_prefill))


def plan_orders(
    spec: ServiceSpec, fleet: Fleet, size: int
) -> tuple[Order, ...]:
    """Return orders for a fleet whose load needs `size` endpoints."""
    domains = sorted(set(spec.scaling.prices) | set(fleet.ready_by_domain()))
    if not domains:
        return ()
    return tuple(
        Order(
            service=spec.name, failure_domain=domain, spot=is_spot, count=count
        )
        for domain in domains
        for is_spot, count in zip(
            (False, True),
            _plan_domain(spec.scaling, fleet, domain, size, len(domains)),
            strict=True,
        )
    )


def _plan_domain(
    scaling: Scaling, fleet: Fleet, domain: str, size: int, domain_count: int
) -> tuple[int, int]:
    """Return the numbers of on-demand and spot endpoints of a domain."""
    if scaling.spot_price >= 1:
        wanted = max(MIN_ENDPOINTS_PER_DOMAIN, ceil(size / domain_count))
        return min(scaling.maximum, max(scaling.minimum, wanted)), 0
    # A reserve for the loss of a domain is kept once there is load. No other
    # domain can carry the load of a single one, so half of the needed size is
    # ordered on demand.
    lost = 1 if fleet.has_load else 0
    permanent = ceil(size / 2) if domain_count == 1 and lost else 0
    wanted = max(
        MIN_ENDPOINTS_PER_DOMAIN, ceil(size / max(1, domain_count - lost))
    )
    wanted = min(wanted, scaling.maximum)
    on_demand = max(
        permanent,
        _substitutes(fleet, domain, size, domain_count),
        _retained(fleet, domain, wanted, size),
        scaling.minimum - wanted,
    )
    # Leaves room for spot endpoints, which may become available at any time.
    on_demand = min(on_demand, max(1, scaling.maximum // 2))
    return on_demand, min(wanted, scaling.maximum - on_demand)


def _substitutes(
    fleet: Fleet, domain: str, size: int, domain_count: int
) -> int:
    """Return the on-demand substitutes in a domain without spot capacity.

    They cover what the ready spot endpoints don't carry, and a part of what
    the loss of a further domain would leave uncovered: it may be reclaimed
    before spot endpoints are available again, and a boot takes longer than
    the notice period.
    """
    if domain not in fleet.spot_unavailable:
        return 0
    shortage = size - fleet.ready_spot_count()
    next_shortage = shortage + fleet.largest_spot_share()
    missing = max(shortage, ceil(SUBSTITUTE_SHARE * next_shortage), 0)
    return ceil(missing / len(fleet.spot_unavailable))


def _retained(fleet: Fleet, domain: str, wanted: int, size: int) -> int:
    """Return the on-demand endpoints to keep until spot ones have booted.

    Returns 0 once the spot endpoints of all domains carry the load. If the
    domain already has as many endpoints of both kinds as wanted, half of the
    on-demand ones are released to make room for spot ones.
    """
    if fleet.ready_spot_count() >= size:
        return 0
    on_demand = fleet.ready_count(domain, spot=False)
    missing = wanted - fleet.ready_count(domain, spot=True)
    return max(0, on_demand // 2 if on_demand >= missing else on_demand)
