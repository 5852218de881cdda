"""How many endpoints of each kind to keep in each failure domain.

Reclaimable endpoints are cheap but leave together, a whole failure domain
at a time; on-demand ones are dear and stay. The plan keeps an on-demand
floor that carries the urgent part of the load by itself, and covers the
rest with reclaimable ones.
"""

from collections import Counter
from collections.abc import Iterable
from itertools import product
from math import ceil

from chervilshift.core.fleet.model import (
    DRAINING,
    READY,
    EndpointRecord,
    ServiceSpec,
)

__all__ = ["Fleet", "Order", "plan_orders"]

# On-demand endpoints per failure domain whatever the load: one survives
# where all reclaimable ones of every domain are taken back at once.
ON_DEMAND_FLOOR = 1
# Reclaimable endpoints per failure domain at light load.
SPOT_FLOOR = 2
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

    `refused` names the failure domains that have no reclaimable endpoint
    to give at the moment.
    """

    __slots__ = ("active", "endpoints", "refused")

    def __init__(
        self,
        *,
        endpoints: Iterable[EndpointRecord],
        active: int,
        refused: frozenset[str] = frozenset(),
    ):
        self.endpoints = tuple(endpoints)
        self.active = active
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
        """Return the failure domains that have endpoints."""
        return Counter(
            e.failure_domain
            for e in self.endpoints
            if e.state in (READY, DRAINING)
        )


def plan_orders(spec: ServiceSpec, fleet: Fleet) -> tuple[Order, ...]:
    """Return the orders that a service's fleet should consist of."""
    scaling = spec.scaling
    domains = sorted(set(scaling.prices) | set(fleet.domains()))
    if not domains:
        return ()
    slots = spec.engine.slots if spec.engine else 1
    busy = ceil(fleet.active / (BUSY_SHARE * slots))
    floor = (ON_DEMAND_FLOOR + SPOT_FLOOR) * len(domains)
    extra = ceil(max(0, busy - floor) / len(domains))
    return tuple(
        Order(
            service=spec.name,
            failure_domain=domain,
            spot=spot,
            count=_bounded(spec, fleet, domain, extra, spot=spot),
        )
        for domain, spot in product(domains, (False, True))
    )


def _bounded(
    spec: ServiceSpec, fleet: Fleet, domain: str, extra: int, *, spot: bool
) -> int:
    scaling = spec.scaling
    reclaimable = scaling.spot_price < 1
    wanted_spot = SPOT_FLOOR + extra if reclaimable else 0
    missing = 0
    if not reclaimable:
        missing = SPOT_FLOOR + extra
    elif domain in fleet.refused:
        # Nothing reclaimable to be had: one on-demand endpoint stands in.
        missing = 1
    on_demand = min(
        scaling.maximum, max(scaling.minimum, ON_DEMAND_FLOOR + missing)
    )
    if not spot:
        return on_demand
    return max(0, min(wanted_spot, scaling.maximum - on_demand))
