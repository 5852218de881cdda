"""How many endpoints of each kind to keep in each failure domain.

Reclaimable endpoints are cheap but leave together, a whole failure domain
at a time; on-demand ones are dear and stay. The plan covers the load with
reclaimable ones, so many that the loss of any one domain leaves enough, and
orders on-demand ones where reclaimable ones can't be had.
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

# Endpoints per failure domain at light load: one may crash or turn slow.
FLOOR = 2
# Part of a lost domain's share that on-demand endpoints make up for at once,
# though the other domains carry the load.
STAND_IN_SHARE = 0.5
# Part of its time that an engine may spend reading prompts: beyond it the
# streams beside them pause too often.
READING_SHARE = 0.22
# A size that was needed is kept this long: several boots.
PEAK_WINDOW_S = 15.0
# Running requests per slot above which the fleet grows.
BUSY_SHARE = 0.45


class Order:
    """How many endpoints of one kind one failure domain should have."""

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
        """What the order is about."""
        return self.service, self.failure_domain, self.spot


class Fleet:
    """A service's endpoints and load as the planner sees them.

    `prefill_tokens_per_s` is the prompt tokens a second to be read.
    `spot_unavailable` names the failure domains that have no reclaimable
    endpoint to give at the moment.
    """

    __slots__ = (
        "active",
        "endpoints",
        "prefill_tokens_per_s",
        "spot_unavailable",
    )

    def __init__(
        self,
        *,
        endpoints: Iterable[EndpointRecord],
        active: int,
        prefill_tokens_per_s: float = 0.0,
        spot_unavailable: frozenset[str] = frozenset(),
    ):
        self.endpoints = tuple(endpoints)
        self.active = active
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.spot_unavailable = spot_unavailable

    def ready_count(self, failure_domain: str, *, spot: bool) -> int:
        """Return the endpoints of one kind that take work."""
        return sum(
            e.failure_domain == failure_domain
            and e.spot == spot
            and e.state == READY
            for e in self.endpoints
        )

    def ready_spot_count(self) -> int:
        """Return the reclaimable endpoints that take work."""
        return sum(e.spot and e.state == READY for e in self.endpoints)

    def ready_by_domain(self) -> Counter[str]:
        """Return the endpoints that take work, by failure domain."""
        return Counter(
            e.failure_domain for e in self.endpoints if e.state == READY
        )


class PeakSize:
    """The largest size needed within the last `PEAK_WINDOW_S` seconds."""

    __slots__ = ("_sizes",)

    def __init__(self):
        self._sizes: deque[tuple[float, int]] = deque()

    def observe(self, size: int, now: float) -> int:
        """Take a needed size; return the size to keep."""
        while self._sizes and self._sizes[-1][1] <= size:
            self._sizes.pop()
        self._sizes.append((now, size))
        while now - self._sizes[0][0] > PEAK_WINDOW_S:
            self._sizes.popleft()
        return self._sizes[0][1]


def needed_size(spec: ServiceSpec, fleet: Fleet) -> int:
    """Return how many endpoints the load of the moment asks for.

    Before any load, what is there is what somebody thought right.
    """
    if not fleet.active and not fleet.prefill_tokens_per_s:
        return sum(fleet.ready_by_domain().values())
    slots = spec.engine.slots if spec.engine else 1
    by_slots = fleet.active / (BUSY_SHARE * slots)
    by_reading = fleet.prefill_tokens_per_s / (
        READING_SHARE * PREFILL_TOKENS_PER_S
    )
    return ceil(max(by_slots, by_reading))


def plan_orders(
    spec: ServiceSpec, fleet: Fleet, size: int
) -> tuple[Order, ...]:
    """Return the orders that make up a fleet of `size` endpoints."""
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
    scaling: Scaling, fleet: Fleet, domain: str, size: int, domains: int
) -> tuple[int, int]:
    """Return the on-demand and the reclaimable endpoints of a domain."""
    if scaling.spot_price >= 1:
        wanted = max(FLOOR, ceil(size / domains))
        return min(scaling.maximum, max(scaling.minimum, wanted)), 0
    # A lone domain has no others to carry its load: half of it stays.
    staying = ceil(size / 2) if domains == 1 else 0
    wanted = max(FLOOR, ceil(size / max(1, domains - 1)))
    wanted = min(wanted, scaling.maximum)
    on_demand = max(
        staying,
        _stand_ins(fleet, domain, size, domains),
        _bridge(fleet, domain, wanted, size),
        scaling.minimum - wanted,
    )
    # Room is left for reclaimable ones: they come back at any moment.
    on_demand = min(on_demand, max(1, scaling.maximum // 2))
    return on_demand, min(wanted, scaling.maximum - on_demand)


def _stand_ins(fleet: Fleet, domain: str, size: int, domains: int) -> int:
    """Return the on-demand endpoints of a domain that is refused others.

    At least a part of its share: the next domain may be taken back before
    anything reclaimable is to be had again, and booting takes longer than
    a notice. More where those that are left don't carry the load.
    """
    if domain not in fleet.spot_unavailable:
        return 0
    share = ceil(STAND_IN_SHARE * size / domains)
    lacking = size - fleet.ready_spot_count()
    return max(1, share, ceil(lacking / len(fleet.spot_unavailable)))


def _bridge(fleet: Fleet, domain: str, wanted: int, size: int) -> int:
    """Return the on-demand endpoints that stay until others have booted.

    None once the reclaimable ones of all domains carry the load. Where
    there are as many as wanted of both kinds, half of them make room.
    """
    if fleet.ready_spot_count() >= size:
        return 0
    held = fleet.ready_count(domain, spot=False)
    missing = wanted - fleet.ready_count(domain, spot=True)
    return max(0, held // 2 if held >= missing else held)
