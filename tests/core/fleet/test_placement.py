"""Placement: prompts' homes, crowding, failures and distance."""

from collections import Counter

from chervilshift.core.fleet.model import (
    DRAINING,
    SILENT,
    EndpointRecord,
    EngineSpec,
    ServiceSpec,
)
from chervilshift.core.fleet.placement import Placed, Placement, Work
from chervilshift.core.fleet.sync import EndpointLoad

REGIONS = {"a": "here", "b": "here", "far": "there"}
ENGINES = ServiceSpec(
    name="llm",
    max_connections=100,
    engine=EngineSpec(slots=8, kv_tokens=100_000),
)
ENGINES_WIDE = ServiceSpec(
    name="llm",
    max_connections=100,
    engine=EngineSpec(slots=128, kv_tokens=600_000),
)
PLAIN = ServiceSpec(name="app", max_connections=100)


def record(name: str, domain: str = "a", service: str = "llm", **changes):
    fields = {
        "id": name,
        "born_ms": 1,
        "seq": 1,
        "state": "ready",
        "service": service,
        "address": f"{name}:80",
        "failure_domain": domain,
        "slots": 6,
    }
    return EndpointRecord(**(fields | changes))


def placement(*records: EndpointRecord) -> Placement:
    held = Placement(region="here", regions=REGIONS)
    held.update_endpoints(records)
    return held


def prompt(thing: str, own: str) -> Work:
    parts = (("head", 2500), (thing, 3800), (own, 2900))
    return Work(tokens=9200, parts=parts)


def test_prompts_with_a_shared_part_go_to_one_home_at_every_gateway():
    names = [f"e{n}" for n in range(4)]
    one = placement(*(record(n) for n in names))
    two = placement(*(record(n) for n in reversed(names)))
    homes = Counter()
    for thing in range(100):
        here = one.choose(ENGINES, prompt(f"t{thing}", "x"), 0.0)
        there = two.choose(ENGINES, prompt(f"t{thing}", "y"), 0.0)
        assert here.endpoint.id == there.endpoint.id
        homes[here.endpoint.id] += 1
    assert min(homes.values()) > 10


def test_crowded_home_is_left_for_an_idle_endpoint():
    held = placement(record("e1"), record("e2"))
    home = held.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    home.prefill_tokens = 40_000
    assert held.choose(ENGINES, prompt("t", "x"), 0.0).endpoint is not home


def test_other_gateways_work_counts():
    held = placement(record("e1"), record("e2"))
    home = held.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    held.set_other_loads(
        {home.id: EndpointLoad(active=3, prefill_tokens=40_000)}
    )
    assert held.choose(ENGINES, prompt("t", "x"), 0.0).endpoint is not home


def test_other_region_is_used_only_when_this_one_is_crowded():
    held = placement(record("e1"), record("e9", "far"))
    for _ in range(20):
        chosen = held.choose(ENGINES, prompt("t", "x"), 0.0)
        assert chosen.endpoint.id == "e1"
    held.set_other_loads(
        {"e1": EndpointLoad(active=30, prefill_tokens=60_000)}
    )
    assert held.choose(ENGINES, prompt("t", "x"), 0.0).endpoint.id == "e9"


def test_leaving_and_silent_endpoints_get_no_new_work():
    held = placement(
        record("e1", state=DRAINING), record("e2", state=SILENT), record("e3")
    )
    for own in range(10):
        work = prompt(f"t{own}", "x")
        assert held.choose(ENGINES, work, 10.0).endpoint.id == "e3"


def test_unreachable_endpoint_rests_and_is_used_when_none_is_left():
    held = placement(record("e1"), record("e2"))
    home = held.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    home.health.record_unreachable(0.0)
    other = held.choose(ENGINES, prompt("t", "x"), 0.1).endpoint
    assert other is not home
    other.health.record_unreachable(0.1)
    assert held.choose(ENGINES, prompt("t", "x"), 0.2) is not None
    home.health.record_success(1.0)
    assert home.health.failure_rate(1.0) < 0.5


def test_slow_endpoint_is_avoided_once_seen():
    held = placement(record("e1"), record("e2"))
    home = held.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    for _ in range(20):
        choice = held.choose(ENGINES, prompt("t", "x"), 0.0)
        slow = choice.endpoint is home
        held.observe(choice, choice.baseline_s * (8 if slow else 1), 0.0)
    assert held.choose(ENGINES, prompt("t", "x"), 0.0).endpoint is not home


def test_slow_endpoint_is_tried_again_some_seconds_later():
    held = placement(record("e1"), record("e2"))
    home = held.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    for _ in range(20):
        home.health.observe(0.05, 0.4, 0.0)
    assert held.choose(ENGINES, prompt("t", "x"), 0.5).endpoint is not home
    assert held.choose(ENGINES, prompt("t", "x"), 20.0).endpoint is home


def test_what_all_endpoints_do_is_typical_and_slows_none():
    held = placement(record("p1", service="app"), record("p2", service="app"))
    for turn in range(200):
        choice = held.choose(PLAIN, Work(), turn / 10)
        held.observe(choice, 0.12, turn / 10)
    choice = held.choose(PLAIN, Work(), 20.0)
    assert 0.9 < choice.endpoint.health.slowness(20.0) < 1.1
    assert 0.1 < choice.wait_s < 0.14


def test_endpoint_that_fails_calls_gets_fewer():
    held = placement(record("p1", service="app"), record("p2", service="app"))
    bad = next(e for e in held.endpoints_of("app") if e.id == "p1")
    for _ in range(5):
        bad.health.record_failure(0.0)
    assert held.choose(PLAIN, Work(), 0.1).endpoint is not bad
    # An avoided endpoint gives no samples; in time it gets another chance.
    assert bad.health.failure_rate(12.0) < 0.1


def test_endpoint_that_says_nothing_for_long_gets_no_more():
    held = placement(record("e1"), record("e2"))
    first = held.choose(ENGINES, prompt("t", "x"), 0.0)
    with Placed(choice=first, now=0.0):
        near = held.choose(ENGINES, prompt("t", "y"), 0.1).endpoint
        assert near is first.endpoint
        later = held.choose(ENGINES, prompt("t", "y"), 0.8).endpoint
        assert later is not first.endpoint
        first.endpoint.health.record_activity(0.8)
        again = held.choose(ENGINES, prompt("t", "y"), 0.9).endpoint
        assert again is first.endpoint


def test_failure_after_silence_makes_an_endpoint_rest():
    held = placement(record("e1"), record("e2"))
    first = held.choose(ENGINES, prompt("t", "x"), 0.0)
    with Placed(choice=first, now=0.0):
        first.endpoint.health.record_failure(0.1)
        assert not first.endpoint.health.is_excluded(0.2)
        first.endpoint.health.record_failure(1.0)
        assert first.endpoint.health.is_excluded(1.2)


def test_plain_calls_go_to_the_least_crowded():
    held = placement(record("p1", service="app"), record("p2", service="app"))
    for endpoint in held.endpoints_of("app"):
        endpoint.active = 5 if endpoint.id == "p1" else 2
    assert held.choose(PLAIN, Work(), 0.0).endpoint.id == "p2"


def test_new_boot_under_the_same_id_starts_with_nothing():
    held = placement(record("e1"))
    held.endpoints()[0].active = 4
    held.update_endpoints((record("e1", born_ms=9),))
    assert held.endpoints()[0].active == 0


def test_long_prompt_keeps_away_from_running_streams():
    held = placement(record("e1"), record("e2"))
    parts = (("head", 2500), ("t", 3800), ("x", 25_000))
    long = Work(tokens=31_300, parts=parts)
    home = held.choose(ENGINES_WIDE, long, 0.0).endpoint
    held.set_other_loads({home.id: EndpointLoad(active=60)})
    chosen = held.choose(ENGINES_WIDE, long, 0.0)
    assert chosen.endpoint is not home
    # A short one harms nobody there.
    short = held.choose(ENGINES_WIDE, prompt("t", "y"), 0.0)
    assert short.endpoint is home


def test_long_stream_keeps_away_from_an_engine_that_reads_prompts():
    held = placement(record("e1"), record("e2"))
    short = Work(tokens=500, parts=(("s", 100), ("own", 400)))
    long = Work(tokens=500, parts=short.parts, output_tokens=400)
    home = held.choose(ENGINES, short, 0.0).endpoint
    busy = {home.id: EndpointLoad(active=2, prefill_tokens=20_000)}
    for _ in range(20):
        held.set_other_loads(busy)
    held.set_other_loads({})
    assert held.choose(ENGINES, short, 0.0).endpoint is home
    assert held.choose(ENGINES, long, 0.0).endpoint is not home
