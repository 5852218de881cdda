"""Endpoints that send nothing for a second or so, and go on.

What a gateway learns from the pause must not keep a sound endpoint from its
work once it goes on.
"""

from contextlib import ExitStack
from itertools import product
from random import Random

import msgspec
import pytest

from chervilshift.core.fleet.health import EXCLUSION_S, Health
from chervilshift.core.fleet.model import ServiceSpec
from chervilshift.core.fleet.placement import Placed, Placement, Work
from tests.core.fleet.records import ready_endpoint

SPEC = ServiceSpec(name="pool", max_connections=1000)
PAUSES_S = (1.0, 1.2, 1.5)
CALL_S = 0.06
SLOTS = 8


def make_placement(count: int = 3) -> Placement:
    placement = Placement(region="here", regions={"a": "here"}, rng=Random(1))
    placement.update_endpoints(
        msgspec.structs.replace(
            ready_endpoint(f"e{n}"), address=f"e{n}:80", slots=SLOTS
        )
        for n in range(count)
    )
    return placement


@pytest.mark.parametrize("count", [1, 2, 8, 30])
@pytest.mark.parametrize("spread_s", [0.0, 0.1, 0.4])
def test_connects_that_fail_in_one_pause_exclude_an_endpoint_once(
    count, spread_s
):
    health = Health()
    for number in range(count):
        health.record_unreachable(1.0 + spread_s * number / count)
    assert health.is_excluded(1.0 + EXCLUSION_S / 2)
    assert not health.is_excluded(1.0 + EXCLUSION_S)


def test_endpoint_that_stays_unreachable_rests_longer_each_time():
    health = Health()
    health.record_unreachable(0.0)
    health.record_unreachable(EXCLUSION_S)
    assert health.is_excluded(EXCLUSION_S + 1.5 * EXCLUSION_S)
    assert not health.is_excluded(EXCLUSION_S + 2 * EXCLUSION_S)


@pytest.mark.parametrize(
    ("pause_s", "limits_s"),
    product(
        PAUSES_S, [(0.26,), (0.39, 0.52), (0.26, 0.52, 0.98, 1.3), (0.9,)]
    ),
)
def test_exclusion_for_silence_ends_with_the_silence(pause_s, limits_s):
    """Attempts are given up one after the other; a last one is answered."""
    health = Health()
    health.record_start(0.0)
    for limit_s in limits_s:
        health.record_start(0.0)
        if limit_s < pause_s:
            health.record_failure(limit_s)
            health.record_end()
    assert health.is_excluded(limits_s[0] + 0.1)
    health.record_activity(pause_s)
    assert not health.is_excluded(pause_s)
    # The next failure is the first one again.
    health.record_failure(pause_s + 1.0)
    assert not health.is_excluded(pause_s + 1.0 + EXCLUSION_S)


def test_data_does_not_end_an_exclusion_as_unreachable():
    health = Health()
    health.record_start(0.0)
    health.record_unreachable(0.1)
    health.record_activity(0.2)
    assert health.is_excluded(0.3)


@pytest.mark.parametrize("count", [1, 3, 20])
@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_attempts_given_up_in_a_pause_are_forgotten_when_it_ends(
    pause_s, count
):
    health = Health()
    health.record_start(0.0)
    for number in range(count):
        health.record_failure(0.3 + 0.5 * number / count)
    health.record_activity(pause_s)
    assert not health.failure_rate(pause_s)


def test_data_of_others_does_not_excuse_an_endpoint_that_hangs_for_some():
    health = Health()
    health.record_start(0.0)
    health.record_failure(0.4)
    health.record_activity(0.45)
    assert health.is_excluded(0.5)
    assert health.failure_rate(0.5) > 0


@pytest.mark.parametrize(("pause_s", "held"), product(PAUSES_S, [1, 4, 8]))
def test_endpoint_gets_its_share_after_a_pause(pause_s, held):
    """All replies that were held up come at once when the pause ends."""
    placement = make_placement()
    choices = {}
    for endpoint in placement.endpoints():
        others = {e.id for e in placement.endpoints()} - {endpoint.id}
        choices[endpoint.id] = placement.choose(
            SPEC, Work(), 0.0, frozenset(others)
        )
    paused = choices["e0"]
    with ExitStack() as stack:
        for _ in range(held):
            stack.enter_context(Placed(choice=paused, now=0.0))
        for name, number in product(("e1", "e2"), range(100)):
            now = pause_s * number / 100
            choices[name].endpoint.health.record_success(now)
            placement.observe(choices[name], CALL_S, now)
        for _ in range(held):
            paused.endpoint.health.record_success(pause_s)
            placement.observe(paused, pause_s, pause_s)
    with ExitStack() as stack:
        for _ in range(3 * SLOTS):
            choice = placement.choose(SPEC, Work(), pause_s + 0.1)
            stack.enter_context(Placed(choice=choice, now=pause_s + 0.1))
        active = {e.id: e.active for e in placement.endpoints()}
    assert active["e0"] >= SLOTS / 2


def test_endpoint_that_is_slow_is_seen_as_slow_by_a_few_calls():
    placement = make_placement(2)
    slow = placement.choose(SPEC, Work(), 0.0, frozenset({"e1"}))
    for number in range(5):
        now = 0.4 * number
        with Placed(choice=slow, now=now):
            slow.endpoint.health.record_success(now + 0.3)
            placement.observe(slow, 0.3, now + 0.3)
    assert slow.endpoint.health.slowness(2.0) > 1.5
    assert placement.choose(SPEC, Work(), 2.0).endpoint is not slow.endpoint
