"""Plans the number of spot and on-demand endpoints per failure domain.

Spot endpoints are cheap, but the cloud reclaims them together, a whole
failure domain at a time; on-demand endpoints are expensive and are not
reclaimed. The plan covers the load with enough spot endpoints that the loss
of any one domain leaves sufficient capacity, and orders on-demand endpoints
where spot endpoints are unavailable.

Bursts of some seconds end before an endpoint ordered for them has booted. The
fleet is therefore sized by what the load has needed for 10 of the last 15 s,
with a utilization that leaves room for a burst, and grows for a burst only
beyond that room.
"""

from collections import Counter, deque
from collections.abc import Iterable
from math import ceil, inf

from chervilshift.core.fleet.model import (
    READY,
    EndpointRecord,
    Scaling,
    ServiceSpec,
)
from chervilshift.core.fleet.speeds import PREFILL_TOKENS_PER_S

__all__ = [
    "Fleet",
    "FleetSize",
    "Order",
    "PeakSize",
    "needed_size",
    "plan_orders",
]

# Endpoints per failure domain at light load; the others are the reserve if one
# crashes or slows down.
MIN_ENDPOINTS_PER_DOMAIN = 1
# Part of what would be missing after the loss of a further domain that is
# ordered on demand while spot endpoints are not to be had.
SUBSTITUTE_SHARE = 0.5
# Fewer domains share the load only if that saves at least this part of the
# price; smaller differences change with the size and would move endpoints.
FEWER_DOMAINS_SAVING = 0.15
# Share of time that an engine may spend on prefill; above it, concurrent
# streams pause too often.
MAX_PREFILL_UTILIZATION = 0.45
# The fleet shrinks only after a smaller size has sufficed this long, several
# times the boot time.
PEAK_WINDOW_S = 15.0
# Part of that time for which a larger size has to be needed before it counts
# as lasting. Bursts take up to 7 s, and the reported rates fall within 4 s.
LASTING_SHARE = 2 / 3
# A load that needs less of the fleet as found counts as none for this long,
# which is longer than operators take to let callers in after their checks.
NEGLIGIBLE_LOAD_SHARE = 0.1
NEGLIGIBLE_LOAD_MAX_S = 60.0
# The reserve of a fleet of up to this size is too few endpoints for a burst,
# so it grows with any need, and is not reduced to what its speed allows.
SMALL_FLEET = 16
# A fleet may always grow by this many endpoints at once.
MIN_GROWTH = 8
# Running requests per slot above which the fleet grows.
MAX_SLOT_UTILIZATION = 0.45
# Multiple of both utilizations that is accepted in a burst: at 0.8 the queue
# of an engine is still shorter than the objectives of streams.
BURST_FACTOR = 0.8 / 0.45


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
    def is_small(self) -> bool:
        """Whether one endpoint fewer is a large part of the ready ones."""
        return 0 < sum(self.ready_by_domain().values()) <= SMALL_FLEET

    @property
    def has_load(self) -> bool:
        """Whether any request was reported."""
        return bool(self.active or self.prefill_tokens_per_s)

    def found_size(self) -> int:
        """Return the size of the fleet while one kind replaces the other."""
        ready = Counter(e.spot for e in self.endpoints if e.state == READY)
        return max(ready.values(), default=1)

    def known_size(self) -> int:
        """Return the size with endpoints of the larger kind that leave.

        Some may have been told to while others had not announced themselves.
        """
        return max(Counter(e.spot for e in self.endpoints).values(), default=0)

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


class FleetSize:
    """The size that a fleet should have, from the sizes needed so far."""

    __slots__ = (
        "_base",
        "_found",
        "_loaded",
        "_negligible_since",
        "_peak",
        "_recent",
    )

    def __init__(self):
        self._peak = PeakSize()
        self._recent: deque[tuple[float, int]] = deque()
        # The size that the last whole window needed, first that as found.
        self._base: int | None = None
        # The largest fleet seen before there was load.
        self._found = 0
        self._loaded = False
        self._negligible_since: float | None = None

    def observe(
        self,
        needed: int,
        burst: int,
        now: float,
        *,
        found: int = 0,
        has_load: bool = True,
    ) -> int:
        """Record the sizes needed now, and return the size to have.

        `needed` is the size for a lasting load and `burst` the one for a
        burst. A need that has not lasted for `LASTING_SHARE` of the window
        counts as a burst; without a whole window it counts as lasting. Until
        it has lasted, the fleet grows by half at most: engines that boot have
        cold caches, and take prompts away from those that have read them. A
        small fleet grows with any need.
        `found` is the size of the fleet as it is, which is kept until load
        begins: probes of a fleet that is about to be used are none.
        """
        if not self._loaded:
            self._found = max(self._found, found)
            self._loaded = has_load and not self._is_negligible(needed, now)
            if not self._loaded:
                needed = burst = max(needed, self._found)
                self._base = needed
        if self._base is None:
            self._base = found
        if 0 < self._base <= SMALL_FLEET:
            self._base = min(needed, SMALL_FLEET + 1)
            return self._peak.observe(needed, now)
        largest = max(needed, burst)
        if self._base:
            largest = self._base + max(MIN_GROWTH, ceil(self._base / 2))
        self._recent.append((now, needed))
        lasting = min(needed, largest)
        while now - self._recent[0][0] >= PEAK_WINDOW_S:
            sizes = sorted(n for _, n in self._recent)
            lasting = sizes[int((1.0 - LASTING_SHARE) * len(sizes))]
            self._recent.popleft()
            self._base = lasting
        size = max(min(needed, lasting), min(burst, largest))
        return self._peak.observe(size, now)

    def _is_negligible(self, needed: int, now: float) -> bool:
        """Whether a first load needs next to nothing of the fleet as found."""
        if needed >= NEGLIGIBLE_LOAD_SHARE * self._found:
            return False
        if self._negligible_since is None:
            self._negligible_since = now
        return now - self._negligible_since <= NEGLIGIBLE_LOAD_MAX_S


def needed_size(
    spec: ServiceSpec, fleet: Fleet, *, in_burst: bool = False
) -> int:
    """Return the number of endpoints that the current load needs.

    Without any load, returns the size of an existing fleet, which is kept
    until requests arrive. On-demand endpoints and the spot ones that replace
    them count once.
    """
    if not fleet.has_load:
        return fleet.found_size()
    slots = spec.engine.slots if spec.engine else 1
    by_slots = fleet.active / (MAX_SLOT_UTILIZATION * slots)
    speed = fleet.prefill_speed
    if fleet.is_small:
        speed = min(speed, PREFILL_TOKENS_PER_S)
    by_prefill = fleet.prefill_tokens_per_s / (MAX_PREFILL_UTILIZATION * speed)
    size = max(by_slots, by_prefill)
    return ceil(size / BURST_FACTOR if in_burst else size)


def plan_orders(
    spec: ServiceSpec, fleet: Fleet, size: int
) -> tuple[Order, ...]:
    """Return orders for a fleet whose load needs `size` endpoints."""
    domains = sorted(set(spec.scaling.prices) | set(fleet.ready_by_domain()))
    if not domains:
        return ()
    wanted = _wanted(spec.scaling, fleet, domains, size)
    return tuple(
        Order(
            service=spec.name, failure_domain=domain, spot=is_spot, count=count
        )
        for domain in domains
        for is_spot, count in zip(
            (False, True),
            _plan_domain(spec.scaling, fleet, domain, size, wanted),
            strict=True,
        )
    )


def _wanted(
    scaling: Scaling, fleet: Fleet, domains: list[str], size: int
) -> dict[str, int]:
    """Return the numbers of endpoints wanted by domain, without minimum.

    With spot endpoints and load, any one domain may be lost: the others then
    still have `size`.
    """
    # Domains that the configuration gives no price are the dearest.
    by_price = sorted(domains, key=lambda d: scaling.prices.get(d, inf))
    has_reserve = scaling.spot_price < 1 and fleet.has_load
    if not has_reserve or len(domains) == 1:
        shares = dict.fromkeys(domains, ceil(size / len(domains)))
    elif fleet.is_small:
        shares = dict.fromkeys(domains, ceil(size / (len(domains) - 1)))
    else:
        shares = _cheapest_reserve(scaling, by_price, size)
    return {
        domain: min(
            scaling.maximum, max(MIN_ENDPOINTS_PER_DOMAIN, shares[domain])
        )
        for domain in domains
    }


def _cheapest_reserve(
    scaling: Scaling, by_price: list[str], size: int
) -> dict[str, int]:
    """Return cheap shares of the domains, any of which may be lost.

    The cheapest domains share the load, up to all of them. Their shares differ
    by one at most, so that a change of `size` moves no others.
    """
    dearest = max(scaling.prices.values(), default=1.0)
    best: dict[str, int] = {}
    least = inf
    for count in range(len(by_price), 1, -1):
        limit = ceil(size / (count - 1))
        full = size - (limit - 1) * (count - 1) + 1
        shares = {
            domain: limit if n < full else limit - 1
            for n, domain in enumerate(by_price[:count])
        }
        shares |= dict.fromkeys(by_price[count:], 0)
        cost = sum(
            scaling.prices.get(domain, dearest)
            * max(MIN_ENDPOINTS_PER_DOMAIN, share)
            for domain, share in shares.items()
        )
        if cost < (1.0 - FEWER_DOMAINS_SAVING) * least:
            best, least = shares, cost
    return best


def _plan_domain(
    scaling: Scaling,
    fleet: Fleet,
    domain: str,
    size: int,
    wanted_by_domain: dict[str, int],
) -> tuple[int, int]:
    """Return the numbers of on-demand and spot endpoints of a domain."""
    wanted = wanted_by_domain[domain]
    if scaling.spot_price >= 1:
        return max(scaling.minimum, wanted), 0
    # No other domain can carry the load of a single one, so half of the needed
    # size is ordered on demand.
    is_single = len(wanted_by_domain) == 1 and fleet.has_load
    permanent = ceil(size / 2) if is_single else 0
    on_demand = max(
        permanent,
        _substitutes(fleet, domain, size),
        _retained(fleet, domain, wanted, size),
        scaling.minimum - wanted,
    )
    # Leaves room for spot endpoints, which may become available at any time.
    on_demand = min(on_demand, max(1, scaling.maximum // 2))
    return on_demand, min(wanted, scaling.maximum - on_demand)


def _substitutes(fleet: Fleet, domain: str, size: int) -> int:
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
