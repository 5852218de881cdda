"""Orders of spot and on-demand endpoints: domain losses, refusals, load."""

from math import ceil

import pytest

from chervilshift.core.fleet.model import (
    EndpointRecord,
    EngineSpec,
    Scaling,
    ServiceSpec,
)
from chervilshift.core.fleet.scaling import (
    PEAK_WINDOW_S,
    Fleet,
    FleetSize,
    PeakSize,
    needed_size,
    plan_orders,
)
from chervilshift.core.fleet.speeds import PREFILL_TOKENS_PER_S
from chervilshift.core.rates import DecayingRate

DOMAINS = {"a": 0.85, "b": 1.0, "far": 1.2}
# Requests that need four endpoints: two per domain, so that the loss of any
# of three leaves four.
TWO_PER_DOMAIN = 180


def spec(
    spot_price: float = 0.2,
    maximum: int = 8,
    prices: dict[str, float] = DOMAINS,
) -> ServiceSpec:
    return ServiceSpec(
        name="llm",
        max_connections=10,
        engine=EngineSpec(slots=100, kv_tokens=1),
        scaling=Scaling(
            minimum=1,
            maximum=maximum,
            boot_s=4.0,
            spot_price=spot_price,
            prices=prices,
        ),
    )


def endpoints(domain: str, count: int, *, spot: bool) -> list:
    return [
        EndpointRecord(
            id=f"{domain}{spot}{n}",
            born_ms=1,
            seq=1,
            state="ready",
            service="llm",
            address=f"{domain}{spot}{n}:80",
            failure_domain=domain,
            slots=100,
            spot=spot,
        )
        for n in range(count)
    ]


def counts(fleet: Fleet, **changes) -> dict[tuple[str, bool], int]:
    service = spec(**changes)
    orders = plan_orders(service, fleet, needed_size(service, fleet))
    return {(o.failure_domain, o.spot): o.count for o in orders}


def test_loss_of_any_domain_leaves_what_the_load_needs():
    for active in (0, 50, 400, 700):
        fleet = Fleet(endpoints=(), active=active)
        planned = counts(fleet)
        total = sum(planned.values())
        for domain in DOMAINS:
            left = total - planned[domain, True]
            assert left >= needed_size(spec(), fleet)


def test_two_domains_carry_the_load_alone_and_a_lone_one_keeps_half():
    def only(*domains: str) -> dict:
        service = spec(maximum=20, prices=dict.fromkeys(domains, 1.0))
        orders = plan_orders(service, Fleet(endpoints=(), active=1), 6)
        return {(o.failure_domain, o.spot): o.count for o in orders}

    assert only("a", "b")["a", True] == 6
    assert only("a")["a", False] == 3


def test_on_demand_endpoints_make_room_as_reclaimable_ones_boot():
    """This holds even if the maximum equals the number wanted."""
    count_by_spot = {False: 2, True: 0}
    totals = []
    for _ in range(8):
        existing = [
            endpoint
            for spot, count in count_by_spot.items()
            for endpoint in endpoints("a", count, spot=spot)
        ]
        fleet = Fleet(endpoints=existing, active=TWO_PER_DOMAIN)
        planned = counts(fleet, maximum=2)
        count_by_spot = {spot: planned["a", spot] for spot in count_by_spot}
        totals.append(sum(count_by_spot.values()))
    assert count_by_spot == {False: 0, True: 2}
    assert set(totals) == {2}


def test_on_demand_endpoints_stay_until_reclaimable_ones_have_booted():
    existing = endpoints("a", 2, spot=False)
    planned = counts(Fleet(endpoints=existing, active=TWO_PER_DOMAIN))
    assert planned["a", False] >= 1
    assert planned["a", True] == 2


def test_on_demand_endpoints_go_once_reclaimable_ones_carry_the_load():
    existing = [
        endpoint
        for domain in DOMAINS
        for spot in (False, True)
        for endpoint in endpoints(domain, 2, spot=spot)
    ]
    carried = counts(Fleet(endpoints=existing, active=200))
    assert not any(carried[domain, False] for domain in DOMAINS)
    overloaded = counts(Fleet(endpoints=existing, active=900))
    assert any(overloaded[domain, False] for domain in DOMAINS)


def test_every_domain_reclaimed_at_once_is_made_up_for_on_demand():
    fleet = Fleet(
        endpoints=(), active=400, spot_unavailable=frozenset(DOMAINS)
    )
    planned = counts(fleet)
    on_demand = sum(planned[domain, False] for domain in DOMAINS)
    assert on_demand >= needed_size(spec(), fleet)


def test_refused_domain_gets_an_on_demand_stand_in():
    """One is also ordered for the loss of the next domain."""
    existing = [e for d in ("b", "far") for e in endpoints(d, 2, spot=True)]
    fleet = Fleet(
        endpoints=existing,
        active=TWO_PER_DOMAIN,
        spot_unavailable=frozenset("a"),
    )
    planned = counts(fleet)
    assert planned["a", False] > planned["b", False]


def test_reserve_of_many_domains_needs_no_on_demand_stand_in():
    """Its price is several times that of the spot endpoints kept ready."""
    prices = dict.fromkeys("abcdef", 1.0)
    existing = [e for d in "bcdef" for e in endpoints(d, 1, spot=True)]
    fleet = Fleet(
        endpoints=existing,
        active=TWO_PER_DOMAIN,
        spot_unavailable=frozenset("a"),
    )
    planned = counts(fleet, prices=prices)
    assert not any(planned[domain, False] for domain in prices)


def test_load_grows_the_fleet_within_the_bounds():
    low = counts(Fleet(endpoints=(), active=50))
    high = counts(Fleet(endpoints=(), active=900))
    assert high["a", True] > low["a", True]
    full = counts(Fleet(endpoints=(), active=90_000))
    assert all(full[d, False] + full[d, True] <= 8 for d in DOMAINS)


def test_bounds_hold_for_both_kinds_together():
    planned = counts(Fleet(endpoints=(), active=0), maximum=1)
    assert all(planned[d, False] + planned[d, True] == 1 for d in DOMAINS)


def test_without_a_lower_price_nothing_reclaimable_is_ordered():
    fleet = Fleet(endpoints=(), active=1.5 * TWO_PER_DOMAIN)
    planned = counts(fleet, spot_price=1.0)
    assert not any(planned[domain, True] for domain in DOMAINS)
    assert all(planned[domain, False] == 2 for domain in DOMAINS)


def test_only_ready_endpoints_of_a_kind_are_counted():
    existing = endpoints("a", 2, spot=True) + endpoints("a", 1, spot=False)
    fleet = Fleet(endpoints=existing, active=0)
    assert fleet.ready_count("a", spot=True) == 2
    assert fleet.ready_count("a", spot=False) == 1
    assert set(fleet.ready_by_domain()) == {"a"}


def test_prompts_to_be_read_grow_the_fleet():
    low = Fleet(endpoints=(), active=10, prefill_tokens_per_s=20_000)
    high = Fleet(endpoints=(), active=10, prefill_tokens_per_s=300_000)
    assert counts(high)["a", True] > counts(low)["a", True] + 2


def test_size_is_held_through_a_lull_and_given_up_afterwards():
    peak = PeakSize()
    assert peak.observe(9, 0.0) == 9
    assert peak.observe(4, 1.0) == 9
    assert peak.observe(12, 2.0) == 12
    assert peak.observe(3, PEAK_WINDOW_S) == 12
    assert peak.observe(3, PEAK_WINDOW_S + 2.1) == 3


def test_fleet_as_found_is_kept_in_size_until_there_is_load():
    existing = [
        endpoint
        for domain in DOMAINS
        for endpoint in endpoints(domain, 3, spot=False)
    ]
    idle = counts(Fleet(endpoints=existing, active=0))
    assert all(idle[d, False] + idle[d, True] >= 3 for d in DOMAINS)
    booted = [
        endpoint
        for domain in DOMAINS
        for endpoint in endpoints(domain, 5, spot=True)
    ]
    light = counts(
        Fleet(endpoints=booted, active=1, prefill_tokens_per_s=100.0)
    )
    assert sum(light.values()) < 9


# Loads of the two customers: uncached prompt tokens per second, with a tenth
# of the shared parts read again, prefill speed and slots of the engines, and
# running requests.
LOADS = {
    "A": (838_600, 93_600, 24, 100),
    "B": (766_200, 39_300, 16, 160),
}
STEP_S = 0.25


class Planned:
    """Sizes planned for a load over time, with the former rule beside it.

    That took 80,000 tokens/s, sized for the largest need of the last 15 s, and
    ordered the same number in each domain.
    """

    def __init__(self, customer: str, tokens_per_s: float | None = None):
        self.tokens, speed, self.slots, self.active = LOADS[customer]
        self.speed = tokens_per_s or speed
        # As the gateways report it.
        self.rate = DecayingRate(window_s=4.0)
        self.now = 0.0
        self.size = FleetSize()
        self.former_size = PeakSize()
        self.total = self.former_total = 0
        self.planned: dict[str, int] = {}

    def fleet(self, factor: float, speed: float) -> Fleet:
        return Fleet(
            endpoints=(),
            active=round(self.active * factor),
            prefill_tokens_per_s=self.rate.value(self.now),
            prefill_speed=speed,
        )

    def run(self, seconds: float, factor: float = 1.0) -> list[int]:
        """Go through a time of a load; return the totals ordered."""
        service = spec(maximum=1000)
        service = ServiceSpec(
            name="llm",
            max_connections=10,
            engine=EngineSpec(slots=self.slots, kv_tokens=1),
            scaling=service.scaling,
        )
        totals = []
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.rate.add(self.now, self.tokens * factor * STEP_S)
            fleet = self.fleet(factor, self.speed)
            size = self.size.observe(
                needed_size(service, fleet),
                needed_size(service, fleet, in_burst=True),
                self.now,
            )
            orders = plan_orders(service, fleet, size)
            self.planned = {
                o.failure_domain: o.count for o in orders if o.spot
            }
            totals.append(sum(self.planned.values()))
            former = self.former_size.observe(
                needed_size(service, self.fleet(factor, PREFILL_TOKENS_PER_S)),
                self.now,
            )
            share = ceil(former / (len(DOMAINS) - 1))
            self.former_total = share * len(DOMAINS)
        self.total = totals[-1]
        return totals

    def utilization(self, factor: float, *, lost: int = 0) -> float:
        """Return the share of time in prefill, with endpoints lost."""
        return self.tokens * factor / self.speed / (self.total - lost)


@pytest.mark.parametrize("customer", LOADS)
def test_engines_of_the_default_speed_are_ordered_as_before(customer):
    """Deployments served so far would else get a fleet of another size."""
    planned = Planned(customer, tokens_per_s=PREFILL_TOKENS_PER_S)
    planned.run(40.0)
    assert planned.former_total - 1 <= planned.total <= planned.former_total


def test_fast_engines_are_fewer_and_slow_ones_more_than_before():
    """Slow engines spent nine tenths of their time in prefill."""
    fast, slow = Planned("A"), Planned("B")
    fast.run(40.0)
    slow.run(40.0)
    assert (fast.former_total, fast.total) == (39, 32)
    assert (slow.former_total, slow.total) == (36, 68)


@pytest.mark.parametrize("customer", LOADS)
@pytest.mark.parametrize("burst_s", [3.0, 7.0])
def test_burst_is_carried_by_the_reserve_and_orders_little(customer, burst_s):
    """Endpoints ordered for it boot when it is over, and stay for 15 s."""
    planned = Planned(customer)
    planned.run(40.0)
    usual = planned.total
    assert planned.utilization(2.3) < 0.8
    totals = planned.run(burst_s, 2.3) + planned.run(30.0)
    assert max(totals) <= 1.4 * usual
    assert abs(totals[-1] - usual) <= 1


@pytest.mark.parametrize("customer", LOADS)
def test_load_that_lasts_grows_the_fleet_and_a_drop_shrinks_it(customer):
    planned = Planned(customer)
    planned.run(40.0)
    usual = planned.total
    assert planned.run(15.0, 2.0)[-1] >= 1.65 * usual
    assert planned.run(20.0, 2.0)[-1] >= 1.9 * usual
    assert planned.run(32.0)[-1] <= usual + 1


@pytest.mark.parametrize("customer", LOADS)
def test_loss_of_a_domain_leaves_the_utilization_for_streams(customer):
    planned = Planned(customer)
    planned.run(40.0)
    for lost in planned.planned.values():
        assert planned.utilization(1.0, lost=lost) <= 0.45
        assert planned.utilization(1.7, lost=lost) < 0.8


def test_load_that_begins_is_not_taken_for_a_burst():
    """The fleet as found was kept for 15 s only."""
    planned = Planned("A")
    planned.run(14.0)
    assert planned.total >= 28


def test_probes_do_not_shrink_the_fleet_before_its_first_load():
    """Two thirds of a fleet were left when callers came 10 s after probes."""
    size = FleetSize()
    assert size.observe(45, 45, 0.0, found=45, has_load=False) == 45
    for n in range(1, 30):
        assert size.observe(1, 1, float(n), found=30) == 45
    assert size.observe(32, 18, 30.0, found=45) == 45
    assert size.observe(32, 18, 46.0, found=45) == 32


def test_cold_start_does_not_triple_the_fleet():
    """Prompts are read for the first time when callers come.

    A fleet of 48 was ordered up to 144, whose cold caches had the prompts read
    again for ten seconds.
    """
    size = FleetSize()
    size.observe(48, 48, 0.0, found=48, has_load=False)
    sizes = [
        size.observe(150, 120, 0.25 * n, found=48 + n) for n in range(1, 50)
    ]
    assert max(sizes) == 72
    sizes = [size.observe(100, 56, 12.5 + 0.25 * n) for n in range(1, 20)]
    assert max(sizes) == 100


def test_negligible_load_that_lasts_shrinks_the_fleet():
    size = FleetSize()
    sizes = [size.observe(1, 1, float(n), found=45) for n in range(100)]
    assert sizes[59] == 45
    assert sizes[-1] == 1


def test_cheaper_domains_have_the_remainder():
    planned = counts(Fleet(endpoints=(), active=200))
    assert [planned[d, True] for d in ("a", "b", "far")] == [3, 3, 2]


def test_dear_domains_are_used_no_more_than_their_price_allows():
    def planned(price: float) -> dict:
        prices = {"a": 1.0, "b": 1.0, "dear": price}
        return counts(Fleet(endpoints=(), active=270), prices=prices)

    assert planned(1.5)["dear", True] == 3
    assert planned(6.0)["dear", True] == 1
    assert planned(6.0)["a", True] == 6


def test_size_that_grows_by_one_moves_no_endpoint():
    """Endpoints that move lose their cache, and boot for 4 s."""
    for prices in (DOMAINS, dict.fromkeys("abcdef", 1.0)):
        service = spec(maximum=1000, prices=prices)
        before = {}
        for size in range(1, 80):
            orders = plan_orders(service, Fleet(endpoints=(), active=1), size)
            now = {o.failure_domain: o.count for o in orders if o.spot}
            assert all(now[d] >= n for d, n in before.items())
            assert sum(now.values()) - max(now.values()) >= size
            before = now
