"""Tests of the dispatcher: queueing, endpoint choice and assignments."""

from random import Random

import pytest

from chervilshift.core.dispatcher import UNSERVED_TIMEOUT_S, Dispatcher, Policy
from chervilshift.core.jobs import Job, prefix_blocks
from chervilshift.core.moves import must_move, worth_moving
from chervilshift.core.registry import EndpointInfo, LoadReport

PROMPT = "the same long system prompt " * 100


def endpoint_info(number: int, capacity: int = 4, region: str = "west"):
    return EndpointInfo(
        id=f"m{number}",
        address=f"127.0.0.1:{number}",
        host=f"h{number}",
        failure_domain="fd0",
        region=region,
        kind="engine",
        serves=("desk",),
        capacity=capacity,
    )


def make_dispatcher(count: int, **fields) -> Dispatcher:
    dispatcher = Dispatcher(policy=Policy(), region="west", rng=Random(1))
    dispatcher.set_endpoints(
        [endpoint_info(n, **fields) for n in range(count)], 0.0
    )
    return dispatcher


def job(name: str, customer="a", long=False, at=0.0, **fields) -> Job:
    return Job(
        id=name,
        customer=customer,
        target="desk",
        arrived_at=at,
        deadline_at=at + 10.0,
        prompt_tokens=fields.pop("prompt_tokens", 100),
        predicted_tokens=50,
        long=long,
        **fields,
    )


def assign_all(dispatcher: Dispatcher, now: float = 0.0) -> dict[str, str]:
    return {a.job.id: a.endpoint for a in dispatcher.assign(now)}


def test_endpoint_that_left_gets_nothing_though_it_holds_the_prefix():
    dispatcher = make_dispatcher(2)
    blocks = prefix_blocks(PROMPT)
    dispatcher.submit(job("first", blocks=blocks))
    holder = assign_all(dispatcher)["first"]
    dispatcher.set_endpoints(
        [endpoint_info(n) for n in range(2) if f"m{n}" != holder], 1.0
    )
    dispatcher.submit(job("second", blocks=blocks))
    assert assign_all(dispatcher, 1.0)["second"] != holder


def test_same_prefix_goes_where_it_is_cached():
    dispatcher = make_dispatcher(6, capacity=16)
    blocks = prefix_blocks(PROMPT)
    chosen = set()
    for number in range(8):
        dispatcher.submit(job(f"j{number}", blocks=blocks, prompt_tokens=700))
        chosen |= set(assign_all(dispatcher).values())
        dispatcher.observe_first_token(f"j{number}", 0.1)
    assert len(chosen) <= 2


def test_index_of_prefixes_forgets_with_the_endpoint():
    dispatcher = make_dispatcher(1)
    dispatcher.submit(job("first", blocks=prefix_blocks(PROMPT)))
    assign_all(dispatcher)
    dispatcher.job_ended("first", 10)
    dispatcher.set_endpoints([], 1.0)
    assert dispatcher._endpoints_by_block == {}


def test_long_work_is_bounded_per_endpoint_and_short_passes_it():
    dispatcher = make_dispatcher(1, capacity=4)
    for number in range(4):
        dispatcher.submit(job(f"long{number}", long=True))
    dispatcher.submit(job("short"))
    placed = assign_all(dispatcher)
    assert sum(name.startswith("long") for name in placed) == 2
    assert "short" in placed


def test_no_more_than_capacity_is_placed():
    dispatcher = make_dispatcher(2, capacity=4)
    for number in range(20):
        dispatcher.submit(job(f"j{number}"))
    assert len(assign_all(dispatcher)) == 8
    assert len(dispatcher.queue) == 12


def test_customers_take_turns():
    dispatcher = make_dispatcher(1, capacity=100)
    for number in range(60):
        dispatcher.submit(job(f"big{number}", customer="big"))
    for number in range(5):
        dispatcher.submit(job(f"small{number}", customer="small"))
    order = list(assign_all(dispatcher))
    last_small = max(order.index(f"small{n}") for n in range(5))
    assert last_small < 30


def test_others_load_in_reports_counts_until_it_is_old():
    dispatcher = make_dispatcher(1, capacity=4)
    dispatcher.policy.entry_count = 4
    dispatcher.update_load("m0", LoadReport(running=4), 0.0)
    dispatcher.submit(job("own part"))
    dispatcher.submit(job("waits"))
    # An entry may use its fair share of the capacity whatever is reported.
    assert assign_all(dispatcher, 0.5) == {"own part": "m0"}
    assert assign_all(dispatcher, 20.0) == {"waits": "m0"}


def test_window_shrinks_on_overload_and_grows_slowly():
    dispatcher = make_dispatcher(1, capacity=16)
    dispatcher.policy.entry_count = 4
    for at in range(4):
        dispatcher.update_load(
            "m0", LoadReport(running=16, waiting=8), float(at)
        )
    for number in range(40):
        dispatcher.submit(job(f"j{number}", at=4.0))
    assert len(assign_all(dispatcher, 4.0)) == 4
    for at in range(4, 7):
        dispatcher.update_load("m0", LoadReport(running=6), float(at))
        assign_all(dispatcher, float(at))
    assert len(dispatcher.queue) == 40 - 7


def test_slow_endpoint_is_found_against_its_peers_and_used_less():
    dispatcher = make_dispatcher(4, capacity=16)
    for name, gap_s in (("m0", 0.2), ("m1", 0.02), ("m2", 0.02), ("m3", 0.02)):
        only = [
            endpoint_info(n, capacity=16) for n in range(4) if f"m{n}" == name
        ]
        dispatcher.set_endpoints(only, 0.0)
        dispatcher.submit(job(f"probe-{name}"))
        assign_all(dispatcher)
        dispatcher.set_endpoints(
            [endpoint_info(n, capacity=16) for n in range(4)], 0.0
        )
        for _ in range(6):
            dispatcher.observe_token_gap(f"probe-{name}", gap_s, 1.0)
    assert dispatcher.slowness("m0", 1.0) > 5
    assert dispatcher.slowness("m1", 1.0) < 1.5
    for number in range(20):
        dispatcher.submit(job(f"j{number}"))
    placed = list(assign_all(dispatcher, 1.0).values())
    assert placed.count("m0") <= 1
    # Averages expire without new samples, so that it is used again.
    assert dispatcher.slowness("m0", 60.0) == 1.0


def test_deadline_and_missing_endpoints_empty_the_queue():
    dispatcher = make_dispatcher(0)
    dispatcher.set_endpoints([endpoint_info(0, capacity=1)], 0.0)
    dispatcher.submit(job("runs"))
    assign_all(dispatcher)
    dispatcher.submit(job("late"))
    assert [j.id for j in dispatcher.drop_expired(11.0)] == ["late"]
    started = job("begun", at=11.0)
    started.response_started = True
    dispatcher.submit(started)
    dispatcher.submit(job("new", at=11.0))
    dispatcher.set_endpoints([], 11.0)
    unserved = dispatcher.drop_unserved(11.0 + UNSERVED_TIMEOUT_S + 0.1)
    assert [j.id for j in unserved] == ["new"]


def test_size_prediction_learns_and_errs_on_the_long_side():
    dispatcher = make_dispatcher(1)
    assert dispatcher.output_lengths.predict("kind", 512) == 512
    for tokens in (40, 40, 200, 40):
        dispatcher.output_lengths.observe(job("x", kind="kind"), tokens)
    assert 80 < dispatcher.output_lengths.predict("kind", 512) < 150


@pytest.mark.parametrize(
    ("left_s", "remaining", "leaves"),
    [(None, 10_000, False), (30.0, 100, False), (30.0, 1000, True)],
)
def test_streams_leave_when_they_can_not_finish(left_s, remaining, leaves):
    assert must_move(left_s, remaining, 0.03) is leaves


def test_moving_must_pay():
    assert worth_moving(10.0, 0.3, 500, 2000)
    assert not worth_moving(10.0, 0.3, 1, 2000)
    assert not worth_moving(1.2, 0.03, 5000, 100)


@pytest.mark.parametrize("count", [10, 100, 1000])
def test_work_per_decision_does_not_grow_with_the_endpoints(count):
    dispatcher = make_dispatcher(count, capacity=64)
    scored = []
    score = dispatcher._score
    dispatcher._score = lambda *args: scored.append(1) or score(*args)
    for number in range(50):
        dispatcher.submit(job(f"j{number}", blocks=(1, 2, 3)))
    assert len(assign_all(dispatcher)) == 50
    # The sample and at most eight endpoints that cache the prefix.
    assert len(scored) / 50 <= dispatcher.policy.candidates + 8
