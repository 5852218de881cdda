"""Orders: the on-demand floor, reclaimable ones, refusals and load."""

from chervilshift.core.fleet.model import (
    EndpointRecord,
    EngineSpec,
    Scaling,
    ServiceSpec,
)
from chervilshift.core.fleet.scaling import (
    HOLD_S,
    Fleet,
    SizeHold,
    needed_size,
    plan_orders,
)

DOMAINS = {"a": 0.85, "b": 1.0, "far": 1.2}


def spec(spot_price: float = 0.2, maximum: int = 8) -> ServiceSpec:
    return ServiceSpec(
        name="llm",
        max_connections=10,
        engine=EngineSpec(slots=100, kv_tokens=1),
        scaling=Scaling(
            minimum=1,
            maximum=maximum,
            boot_s=4.0,
            spot_price=spot_price,
            prices=DOMAINS,
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
    made = spec(**changes)
    orders = plan_orders(made, fleet, needed_size(made, fleet))
    return {(o.failure_domain, o.spot): o.count for o in orders}


def test_every_domain_keeps_an_on_demand_endpoint():
    planned = counts(Fleet(endpoints=(), active=0))
    assert all(planned[domain, False] == 1 for domain in DOMAINS)
    assert all(planned[domain, True] >= 1 for domain in DOMAINS)


def test_refused_domain_gets_an_on_demand_stand_in():
    fleet = Fleet(endpoints=(), active=0, refused=frozenset("a"))
    planned = counts(fleet)
    assert planned["a", False] > planned["b", False]


def test_load_grows_the_fleet_within_the_bounds():
    calm = counts(Fleet(endpoints=(), active=50))
    busy = counts(Fleet(endpoints=(), active=900))
    assert busy["a", True] > calm["a", True]
    full = counts(Fleet(endpoints=(), active=90_000))
    assert all(full[d, False] + full[d, True] <= 8 for d in DOMAINS)


def test_bounds_hold_for_both_kinds_together():
    planned = counts(Fleet(endpoints=(), active=0), maximum=1)
    assert all(planned[d, False] + planned[d, True] == 1 for d in DOMAINS)


def test_without_a_lower_price_nothing_reclaimable_is_ordered():
    planned = counts(Fleet(endpoints=(), active=0), spot_price=1.0)
    assert not any(planned[domain, True] for domain in DOMAINS)
    assert all(planned[domain, False] == 2 for domain in DOMAINS)


def test_only_ready_endpoints_of_a_kind_are_counted():
    held = endpoints("a", 2, spot=True) + endpoints("a", 1, spot=False)
    fleet = Fleet(endpoints=held, active=0)
    assert fleet.count("a", spot=True) == 2
    assert fleet.count("a", spot=False) == 1
    assert set(fleet.domains()) == {"a"}


def test_prompts_to_be_read_grow_the_fleet():
    calm = Fleet(endpoints=(), active=10, reading=20_000)
    busy = Fleet(endpoints=(), active=10, reading=300_000)
    assert counts(busy)["a", True] > counts(calm)["a", True] + 2


def test_size_is_held_through_a_lull_and_given_up_afterwards():
    held = SizeHold()
    assert held.hold(9, 0.0) == 9
    assert held.hold(4, 1.0) == 9
    assert held.hold(12, 2.0) == 12
    assert held.hold(3, HOLD_S) == 12
    assert held.hold(3, HOLD_S + 2.1) == 3


def test_fleet_as_found_is_kept_in_size_until_there_is_load():
    found = [
        one for domain in DOMAINS for one in endpoints(domain, 3, spot=False)
    ]
    idle = counts(Fleet(endpoints=found, active=0))
    assert all(idle[d, False] + idle[d, True] == 3 for d in DOMAINS)
    assert all(idle[domain, True] == 2 for domain in DOMAINS)
    light = counts(Fleet(endpoints=found, active=1, reading=100.0))
    assert sum(light.values()) < 9
