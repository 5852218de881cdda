"""How many endpoints of each kind to keep in each failure domain.

Reclaimable endpoints are cheap but leave together, a whole failure domain
at a time; on-demand ones are dear and stay. The plan keeps an on-demand
floor that carries the urgent part of the load by itself, and covers the
rest with reclaimable ones.
"""

from collections import Counter, deque
from collections.abc import Iterable
from itertools import product
from math import ceil

from chervilshift.core.fleet.model import (
    READY,
    EndpointRecord,
    Scaling,
    ServiceSpec,
)
from chervilshift.core.fleet.placement import PREFILL_TOKENS_PER_S

__all__ = ["Fleet", "Order", "SizeHold", "needed_size", "plan_orders"]

# On-demand endpoints per failure domain whatever the load: one survives
# where all reclaimable ones of every domain are taken back at once.
ON_DEMAND_FLOOR = 1
# Reclaimable endpoints per failure domain at light load.
SPOT_FLOOR = 1
# Part of its time that an engine may spend reading prompts: beyond it the
# streams beside them pause too often.
READING_SHARE = 0.22
# A size that was needed is kept this long: several boots.
HOLD_S = 15.0
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
    def subject(self) -> tuple[str, str, bool]:
        """What the order is about."""
        return self.service, self.failure_domain, self.spot


class Fleet:
    """A service's endpoints and load as the planner sees them.

    `reading` is the prompt tokens a second to be read. `refused` names the
    failure domains that have no reclaimable endpoint to give at the moment.
    """

    __slots__ = ("active", "endpoints", "reading", "refused")

    def __init__(
        self,
        *,
        endpoints: Iterable[EndpointRecord],
        active: int,
        reading: float = 0.0,
        refused: frozenset[str] = frozenset(),
    ):
        self.endpoints = tuple(endpoints)
        self.active = active
        self.reading = reading
        self.refused = refused

    def count(self, failure_domain: str, *, spot: bool) -> int:
        """Return the endpoints of one kind that take work."""
        return sum(
            e.failure_domain == failure_domain
            and e.spot == spot
            and e.state == READY
            for e in self.endpoints
        )

    def domains(self) -> Counter[str]:
        """Return the endpoints that take work, by failure domain."""
        return Counter(
            e.failure_domain for e in self.endpoints if e.state == READY
        )


class SizeHold:
    """The largest size that was needed within the last `HOLD_S` seconds."""

    __slots__ = ("_sizes",)

    def __init__(self):
        self._sizes: deque[tuple[float, int]] = deque()

    def hold(self, size: int, now: float) -> int:
        """Take a needed size; return the size to keep."""
        while self._sizes and self._sizes[-1][1] <= size:
            self._sizes.pop()
        self._sizes.append((now, size))
        while now - self._sizes[0][0] > HOLD_S:
            self._sizes.popleft()
        return self._sizes[0][1]


def needed_size(spec: ServiceSpec, fleet: Fleet) -> int:
    """Return how many endpoints the load of the moment asks for.

    Before any load, what is there is what somebody thought right.
    """
    if not fleet.active and not fleet.reading:
        return sum(fleet.domains().values())
    slots = spec.engine.slots if spec.engine else 1
    by_slots = fleet.active / (BUSY_SHARE * slots)
    by_reading = fleet.reading / (READING_SHARE * PREFILL_TOKENS_PER_S)
    return ceil(max(by_slots, by_reading))


def plan_orders(
    spec: ServiceSpec, fleet: Fleet, size: int
) -> tuple[Order, ...]:
    """Return the orders that make up a fleet of `size` endpoints."""
    domains = sorted(set(spec.scaling.prices) | set(fleet.domains()))
    if not domains:
        return ()
    reclaimable = ceil(size / len(domains)) - ON_DEMAND_FLOOR
    spot = max(SPOT_FLOOR, reclaimable)
    return tuple(
        Order(
            service=spec.name,
            failure_domain=domain,
            spot=is_spot,
            count=_bounded(spec.scaling, fleet, domain, spot, is_spot=is_spot),
        )
        for domain, is_spot in product(domains, (False, True))
    )


def _bounded(
    scaling: Scaling, fleet: Fleet, domain: str, spot: int, *, is_spot: bool
) -> int:
    stand_ins = 0
    if scaling.spot_price >= 1:
        stand_ins, spot = spot, 0
    elif domain in fleet.refused:
        # Nothing reclaimable to be had: one on-demand endpoint stands in.
        stand_ins = 1
    on_demand = min(
        scaling.maximum, max(scaling.minimum, ON_DEMAND_FLOOR + stand_ins)
    )
    if not is_spot:
        return on_demand
    return max(0, min(spot, scaling.maximum - on_demand))
