"""Endpoint selection: cache affinity, load, failures and distance.

The home of a prompt is the engine that its shared parts hash to.
"""

from collections import Counter
from random import Random

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


def make_placement(*records: EndpointRecord, seed: int = 1) -> Placement:
    placement = Placement(region="here", regions=REGIONS, rng=Random(seed))
    placement.update_endpoints(records)
    return placement


def prompt(topic: str, own: str) -> Work:
    parts = (("head", 2500), (topic, 3800), (own, 2900))
    return Work(tokens=9200, parts=parts)


def test_prompts_with_a_shared_part_go_to_one_home_at_every_gateway():
    names = [f"e{n}" for n in range(4)]
    one = make_placement(*(record(n) for n in names))
    two = make_placement(*(record(n) for n in reversed(names)))
    homes = Counter()
    for topic in range(100):
        here = one.choose(ENGINES, prompt(f"t{topic}", "x"), 0.0)
        there = two.choose(ENGINES, prompt(f"t{topic}", "y"), 0.0)
        assert here.endpoint.id == there.endpoint.id
        homes[here.endpoint.id] += 1
    assert min(homes.values()) > 10


def test_crowded_home_is_left_for_an_idle_endpoint():
    placement = make_placement(record("e1"), record("e2"))
    home = placement.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    home.prefill_tokens = 40_000
    assert (
        placement.choose(ENGINES, prompt("t", "x"), 0.0).endpoint is not home
    )


def test_other_gateways_work_counts():
    placement = make_placement(record("e1"), record("e2"))
    home = placement.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    placement.set_other_loads(
        {home.id: EndpointLoad(active=3, prefill_tokens=40_000)}
    )
    assert (
        placement.choose(ENGINES, prompt("t", "x"), 0.0).endpoint is not home
    )


def test_other_region_is_used_only_when_this_one_is_crowded():
    placement = make_placement(record("e1"), record("e9", "far"))
    for _ in range(20):
        chosen = placement.choose(ENGINES, prompt("t", "x"), 0.0)
        assert chosen.endpoint.id == "e1"
    placement.set_other_loads(
        {"e1": EndpointLoad(active=30, prefill_tokens=60_000)}
    )
    assert placement.choose(ENGINES, prompt("t", "x"), 0.0).endpoint.id == "e9"


def test_leaving_and_silent_endpoints_get_no_new_work():
    placement = make_placement(
        record("e1", state=DRAINING), record("e2", state=SILENT), record("e3")
    )
    for own in range(10):
        work = prompt(f"t{own}", "x")
        assert placement.choose(ENGINES, work, 10.0).endpoint.id == "e3"


def test_unreachable_endpoint_rests_and_is_used_when_none_is_left():
    placement = make_placement(record("e1"), record("e2"))
    home = placement.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    home.health.record_unreachable(0.0)
    other = placement.choose(ENGINES, prompt("t", "x"), 0.1).endpoint
    assert other is not home
    other.health.record_unreachable(0.1)
    assert placement.choose(ENGINES, prompt("t", "x"), 0.2) is not None
    home.health.record_success(1.0)
    assert home.health.failure_rate(1.0) < 0.5


def test_slow_endpoint_is_avoided_once_seen():
    placement = make_placement(record("e1"), record("e2"))
    home = placement.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    for _ in range(20):
        choice = placement.choose(ENGINES, prompt("t", "x"), 0.0)
        slow = choice.endpoint is home
        placement.observe(choice, choice.baseline_s * (8 if slow else 1), 0.0)
    assert (
        placement.choose(ENGINES, prompt("t", "x"), 0.0).endpoint is not home
    )


def test_slow_endpoint_is_tried_again_some_seconds_later():
    placement = make_placement(record("e1"), record("e2"))
    home = placement.choose(ENGINES, prompt("t", "x"), 0.0).endpoint
    for _ in range(20):
        home.health.observe(0.05, 0.4, 0.0)
    assert (
        placement.choose(ENGINES, prompt("t", "x"), 0.5).endpoint is not home
    )
    assert placement.choose(ENGINES, prompt("t", "x"), 20.0).endpoint is home


def play_low_load(
    placement: Placement, slow: dict[str, float], until_s: float
) -> list[tuple[float, str]]:
    """Place calls one after the other; return times and endpoints.

    `slow` maps an endpoint's id to the time at which its replies become as
    fast as those of all others.
    """
    placed = []
    for now in (index / 50 for index in range(int(until_s * 50))):
        choice = placement.choose(PLAIN, Work(), now)
        endpoint_id = choice.endpoint.id
        with Placed(choice=choice, now=now):
            reply_s = 0.3 if now < slow.get(endpoint_id, 0.0) else 0.005
            placement.observe(choice, reply_s, now + reply_s)
        placed.append((now, endpoint_id))
    return placed


def test_endpoint_that_was_slow_once_is_tried_again_at_low_load():
    for seed in range(20):
        placement = make_placement(
            record("p1", service="app"),
            record("p2", service="app"),
            seed=seed,
        )
        placed = play_low_load(placement, {"p1": 0.01, "p2": 0.01}, 20.0)
        for start_s in (1.0, 5.0, 9.0, 13.0):
            window = {e for at, e in placed if start_s <= at < start_s + 4}
            assert window == {"p1", "p2"}


def test_new_endpoint_gets_calls_at_low_load():
    placement = make_placement(record("p1", service="app"))
    play_low_load(placement, {}, 5.0)
    placement.change_endpoints([record("p2", service="app")])
    assert placement.choose(PLAIN, Work(), 5.0).endpoint.id == "p2"


def test_endpoint_that_stays_slow_gets_few_calls_at_low_load():
    placement = make_placement(
        record("p1", service="app"), record("p2", service="app")
    )
    placed = play_low_load(placement, {"p1": 60.0}, 60.0)
    assert sum(endpoint_id == "p1" for _, endpoint_id in placed) <= 15


def test_endpoint_that_is_being_tried_gets_no_second_call():
    placement = make_placement(
        record("p1", service="app"), record("p2", service="app")
    )
    placed = play_low_load(placement, {"p1": 0.01, "p2": 0.01}, 2.2)
    fast = placed[-1][1]
    tried = placement.choose(PLAIN, Work(), 4.0)
    assert tried.endpoint.id != fast
    with Placed(choice=tried, now=4.0):
        for _ in range(100):
            choice = placement.choose(PLAIN, Work(), 4.1)
            assert choice.endpoint.id == fast


def test_what_all_endpoints_do_is_typical_and_slows_none():
    placement = make_placement(
        record("p1", service="app"), record("p2", service="app")
    )
    for index in range(200):
        choice = placement.choose(PLAIN, Work(), index / 10)
        placement.observe(choice, 0.12, index / 10)
    choice = placement.choose(PLAIN, Work(), 20.0)
    assert 0.9 < choice.endpoint.health.slowness(20.0) < 1.1
    assert 0.1 < choice.wait_s < 0.14


def test_endpoint_that_fails_calls_gets_fewer():
    placement = make_placement(
        record("p1", service="app"), record("p2", service="app")
    )
    failing = next(e for e in placement.endpoints_of("app") if e.id == "p1")
    for _ in range(5):
        failing.health.record_failure(0.0)
    assert placement.choose(PLAIN, Work(), 0.1).endpoint is not failing
    # An avoided endpoint yields no samples, so its failure rate must decay.
    assert failing.health.failure_rate(12.0) < 0.1


def test_gateways_do_not_all_ask_the_first_of_equal_endpoints():
    records = [record(f"p{n}", service="app") for n in range(4)]
    asked = Counter(
        make_placement(*records, seed=seed)
        .choose(PLAIN, Work(), 0.0)
        .endpoint.id
        for seed in range(200)
    )
    assert min(asked.get(r.id, 0) for r in records) > 25


def test_untried_endpoints_are_not_preferred_while_tried_ones_refuse():
    records = [record(f"p{n}", service="app") for n in range(8)]
    for seed in range(20):
        placement = make_placement(*records, seed=seed)
        *refusing, sound = placement.endpoints_of("app")[:4]
        for endpoint in refusing:
            endpoint.health.record_failure(100.0)
        sound.health.record_success(100.0)
        assert placement.choose(PLAIN, Work(), 100.5).endpoint is sound
        # Without samples, nothing is held against the others for good.
        later = {
            placement.choose(PLAIN, Work(), 200.0).endpoint.id
            for _ in range(50)
        }
        assert len(later) > 1


def test_endpoint_that_says_nothing_for_long_gets_no_more():
    placement = make_placement(record("e1"), record("e2"))
    first = placement.choose(ENGINES, prompt("t", "x"), 0.0)
    with Placed(choice=first, now=0.0):
        early = placement.choose(ENGINES, prompt("t", "y"), 0.1).endpoint
        assert early is first.endpoint
        later = placement.choose(ENGINES, prompt("t", "y"), 0.8).endpoint
        assert later is not first.endpoint
        first.endpoint.health.record_activity(0.8)
        after_activity = placement.choose(
            ENGINES, prompt("t", "y"), 0.9
        ).endpoint
        assert after_activity is first.endpoint


def test_failure_after_silence_makes_an_endpoint_rest():
    placement = make_placement(record("e1"), record("e2"))
    first = placement.choose(ENGINES, prompt("t", "x"), 0.0)
    with Placed(choice=first, now=0.0):
        first.endpoint.health.record_failure(0.1)
        assert not first.endpoint.health.is_excluded(0.2)
        first.endpoint.health.record_failure(1.0)
        assert first.endpoint.health.is_excluded(1.2)


def test_plain_calls_go_to_the_least_crowded():
    placement = make_placement(
        record("p1", service="app"), record("p2", service="app")
    )
    for endpoint in placement.endpoints_of("app"):
        endpoint.active = 5 if endpoint.id == "p1" else 2
    assert placement.choose(PLAIN, Work(), 0.0).endpoint.id == "p2"


def test_new_boot_under_the_same_id_starts_with_nothing():
    placement = make_placement(record("e1"))
    placement.endpoints()[0].active = 4
    placement.update_endpoints((record("e1", born_ms=9),))
    assert placement.endpoints()[0].active == 0


def test_long_prompt_keeps_away_from_running_streams():
    placement = make_placement(record("e1"), record("e2"))
    parts = (("head", 2500), ("t", 3800), ("x", 25_000))
    long = Work(tokens=31_300, parts=parts)
    home = placement.choose(ENGINES_WIDE, long, 0.0).endpoint
    placement.set_other_loads({home.id: EndpointLoad(active=60)})
    chosen = placement.choose(ENGINES_WIDE, long, 0.0)
    assert chosen.endpoint is not home
    # A short prompt does not delay the streams there.
    short = placement.choose(ENGINES_WIDE, prompt("t", "y"), 0.0)
    assert short.endpoint is home


def test_long_stream_keeps_away_from_an_engine_that_reads_prompts():
    placement = make_placement(record("e1"), record("e2"))
    short = Work(tokens=500, parts=(("s", 100), ("own", 400)))
    long = Work(tokens=500, parts=short.parts, output_tokens=400)
    home = placement.choose(ENGINES, short, 0.0).endpoint
    busy = {home.id: EndpointLoad(active=2, prefill_tokens=20_000)}
    for _ in range(20):
        placement.set_other_loads(busy)
    placement.set_other_loads({})
    assert placement.choose(ENGINES, short, 0.0).endpoint is home
    assert placement.choose(ENGINES, long, 0.0).endpoint is not home
