"""Which endpoints of many are considered, and the order of a key's homes.

A decision that looks at all endpoints takes a gateway's processor with some
hundred of them; one that looks at too few leaves requests without an endpoint.
"""

from random import Random

import msgspec
import pytest

from chervilshift.core.fleet import placement as placement_module
from chervilshift.core.fleet.candidates import HOMES, MAX_ALL, EndpointPool
from chervilshift.core.fleet.health import (
    DECAY_HALF_LIFE_S,
    FailureTally,
    Health,
)
from chervilshift.core.fleet.model import (
    DRAINING,
    EngineSpec,
    ServiceSpec,
    with_state,
)
from chervilshift.core.fleet.placement import OUTSIDE, Placed, Placement, Work
from chervilshift.core.fleet.zones import BY_REGION, Zone
from tests.core.fleet.records import ready_endpoint

ENGINES = ServiceSpec(
    name="pool",
    max_connections=100,
    engine=EngineSpec(slots=24, kv_tokens=600_000),
)
PLAIN = ServiceSpec(name="pool", max_connections=100)
SPECS = pytest.mark.parametrize("spec", [ENGINES, PLAIN])


def make_records(count: int, far: int = 0):
    near = [ready_endpoint(f"e{n}") for n in range(count)]
    return near + [
        msgspec.structs.replace(ready_endpoint(f"f{n}"), failure_domain="far")
        for n in range(far)
    ]


def make_placement(records, seed: int = 1) -> Placement:
    placement = Placement(
        region="here", regions={"a": "here", "far": "there"}, rng=Random(seed)
    )
    placement.update_endpoints(records)
    return placement


def prompt(topic: str) -> Work:
    return Work(tokens=9_200, parts=((topic, 6_300), ("own", 2_900)))


@pytest.fixture(name="considered")
def fixture_considered(monkeypatch):
    """Record the ids of the endpoints whose cost is computed."""
    considered = []

    def recording(compute):
        def record(endpoint, *args, **kw):
            considered.append(endpoint.id)
            return compute(endpoint, *args, **kw)

        return record

    for name in ("_engine_choice", "_plain_choice"):
        compute = getattr(placement_module, name)
        monkeypatch.setattr(placement_module, name, recording(compute))
    return considered


@SPECS
@pytest.mark.parametrize("count", [20, 45, 300])
def test_few_of_many_endpoints_are_considered(spec, count, considered):
    placement = make_placement(make_records(count, far=count))
    for number in range(100):
        considered.clear()
        placement.choose(spec, prompt(f"t{number}"), 0.0)
        assert len(considered) == len(set(considered)) <= MAX_ALL + 1
        assert sum(e.startswith("f") for e in considered) <= 1


@SPECS
@pytest.mark.parametrize("count", [20, 300])
def test_few_are_considered_with_a_zone(spec, count, considered):
    placement = make_placement(make_records(count, far=count))
    zone = Zone(by=BY_REGION, name="there", extra_cost_s=0.1)
    for number in range(50):
        considered.clear()
        placement.choose(spec, prompt(f"t{number}"), 0.0, zone=zone)
        assert len(considered) == len(set(considered))
        assert len(considered) <= MAX_ALL + 1 + OUTSIDE
        assert sum(e.startswith("e") for e in considered) <= OUTSIDE


def test_prompts_without_shared_parts_spread_over_the_endpoints(considered):
    placement = make_placement(make_records(45))
    chosen = set()
    for number in range(450):
        work = Work(tokens=900, parts=((f"own{number}", 900),))
        considered.clear()
        chosen.add(placement.choose(ENGINES, work, 0.0).endpoint.id)
        assert len(considered) <= MAX_ALL
    assert len(chosen) == 45
    # Orders of their keys would take the memory of those in use.
    assert not placement._pools["pool"]._orders


@SPECS
def test_all_of_few_usable_endpoints_are_considered(spec, considered):
    records = make_records(MAX_ALL)
    make_placement(records).choose(spec, prompt("t"), 0.0)
    assert sorted(considered) == sorted(r.id for r in records)
    considered.clear()
    records = make_records(300)
    usable = records[:MAX_ALL]
    draining = [with_state(r, DRAINING) for r in records[MAX_ALL:]]
    make_placement(usable + draining).choose(spec, prompt("t"), 0.0)
    assert sorted(considered) == sorted(r.id for r in usable)
    considered.clear()
    barred = frozenset(r.id for r in records[MAX_ALL:])
    make_placement(records).choose(spec, prompt("t"), 0.0, barred)
    assert sorted(considered) == sorted(r.id for r in usable)


@SPECS
def test_only_open_endpoint_of_many_is_found(spec):
    placement = make_placement(make_records(150, far=150))
    *closed, last = placement.endpoints()
    for endpoint in closed:
        endpoint.health.record_unreachable(0.0)
    for number in range(20):
        choice = placement.choose(spec, prompt(f"t{number}"), 0.1)
        assert choice.endpoint is last
    last.health.record_unreachable(0.1)
    assert placement.choose(spec, prompt("t"), 0.2) is not None
    barred = frozenset(e.id for e in placement.endpoints())
    assert placement.choose(spec, prompt("t"), 0.2, barred) is None


@SPECS
def test_some_are_considered_if_most_are_closed(spec, considered):
    placement = make_placement(make_records(100))
    for endpoint in placement.endpoints()[20:]:
        endpoint.health.record_unreachable(0.0)
    for number in range(50):
        considered.clear()
        placement.choose(spec, prompt(f"t{number}"), 0.1)
        assert HOMES <= len(considered) <= MAX_ALL + 1


def test_keys_of_an_excluded_endpoint_go_to_its_next_home_and_return():
    placement = make_placement(make_records(45))
    topics = [f"t{n}" for n in range(300)]

    def homes(now):
        return {
            t: placement.choose(ENGINES, prompt(t), now).endpoint.id
            for t in topics
        }

    before = homes(0.0)
    lost = placement.endpoints()[7]
    lost.health.record_unreachable(0.0)
    during = homes(0.1)
    moved = {t for t in topics if during[t] != before[t]}
    assert moved == {t for t in topics if before[t] == lost.id}
    other = make_placement(make_records(45), seed=9)
    other.endpoints()[7].health.record_unreachable(0.0)
    for topic in moved:
        chosen = other.choose(ENGINES, prompt(topic), 0.1)
        assert chosen.endpoint.id == during[topic]
    assert homes(5.0) == before


def test_order_follows_endpoints_that_come_and_leave():
    """An order that was changed must be the one that a new gateway makes."""
    rng = Random(5)
    keys = [f"t{n}" for n in range(100)]
    records = make_records(40)
    placement = make_placement(records)
    for step in range(30):
        for _ in range(rng.choice((1, 1, 2, 9))):
            records.pop(rng.randrange(len(records)))
        for n in range(rng.choice((0, 1, 2, 9))):
            records.append(ready_endpoint(f"n{step}-{n}"))
        records += [
            ready_endpoint(f"m{step}-{n}") for n in range(20 - len(records))
        ]
        placement.update_endpoints(records)
        fresh = EndpointPool(placement.endpoints())
        changed = placement._pools["pool"]
        for key in keys:
            length = len(changed.order(key))
            assert length >= HOMES
            assert changed.order(key) == fresh.order(key)[:length]


def test_endpoint_that_this_gateway_used_last_is_considered(considered):
    placement = make_placement(make_records(300))
    work = prompt("t")
    choice = placement.choose(ENGINES, work, 0.0)
    choice.endpoint = next(
        e for e in placement.endpoints() if e.id not in considered
    )
    with Placed(choice=choice, now=0.0):
        pass
    considered.clear()
    placement.choose(ENGINES, work, 1.0)
    assert choice.endpoint.id in considered
    considered.clear()
    placement.choose(ENGINES, work, 60.0)
    assert len(considered) <= HOMES + 1


def test_tally_is_the_mean_over_all_endpoints():
    """A wrong mean prefers untried endpoints while the tried ones fail."""
    rng = Random(3)
    tally = FailureTally()
    healths = [Health(tally=tally) for _ in range(12)]
    now = 0.0
    for step in range(400):
        now += rng.expovariate(5.0)
        health = rng.choice(healths)
        health.record_start(now)
        if rng.random() < 0.4:
            health.record_failure(now)
        else:
            now += rng.choice((0.0, 1.0))
            health.record_success(now)
        health.record_end()
        if step % 50 == 49:
            gone = healths.pop()
            gone.leave_tally(now)
        later = now + 1.0
        failures = sum(h.failure_rate(later) for h in healths)
        weights = sum(h.failure_weight(later) for h in healths)
        assert tally.failures(later) == pytest.approx(failures, abs=1e-6)
        expected = failures / max(1.0, weights)
        assert tally.mean_rate(later) == pytest.approx(expected, abs=1e-6)
    assert tally.failures(now + 40 * DECAY_HALF_LIFE_S) < 1e-6
