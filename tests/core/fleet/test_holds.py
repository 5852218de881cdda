"""Endpoints that ask a gateway to send nothing more."""

from random import Random

import pytest

from chervilshift.core.fleet.holds import (
    MAX_HOLD_S,
    MAX_RETURN_S,
    EndpointHolds,
)
from tests.core.fleet.records import ready_endpoint


def test_refusal_holds_its_endpoint_for_the_stated_time():
    holds = EndpointHolds(rng=Random(1))
    holds.record_refusal(ready_endpoint(), 2.0, 10.0)
    assert holds.excludes(ready_endpoint(), 11.99)
    assert not holds.excludes(ready_endpoint(), 12.0 + MAX_RETURN_S)
    assert not holds.excludes(ready_endpoint("e2"), 11.0)


@pytest.mark.parametrize("later_s", [0.0, 0.5, 8.0])
def test_later_refusal_replaces_the_time_of_an_earlier_one(later_s):
    holds = EndpointHolds(rng=Random(1))
    holds.record_refusal(ready_endpoint(), 4.0, 10.0)
    hold_s = holds.record_refusal(ready_endpoint(), later_s, 11.0)
    assert later_s <= hold_s <= later_s + MAX_RETURN_S
    assert not holds.excludes(ready_endpoint(), 11.0 + hold_s)


def test_refusal_does_not_bind_the_next_incarnation():
    holds = EndpointHolds(rng=Random(1))
    holds.record_refusal(ready_endpoint(), 30.0, 10.0)
    assert not holds.excludes(ready_endpoint(born_ms=2), 11.0)


def test_absurd_time_is_bounded():
    holds = EndpointHolds(rng=Random(1))
    hold_s = holds.record_refusal(ready_endpoint(), 1e9, 0.0)
    assert hold_s <= MAX_HOLD_S + MAX_RETURN_S


def test_gateways_return_by_degrees():
    ends = {
        EndpointHolds(rng=Random(seed)).record_refusal(
            ready_endpoint(), 4.0, 0.0
        )
        for seed in range(300)
    }
    assert min(ends) >= 4.0
    early = sum(end < 4.2 for end in ends)
    assert 30 < early < 100


def test_leaving_endpoint_is_excluded_until_its_incarnation_ends():
    holds = EndpointHolds(rng=Random(1))
    assert holds.record_leaving(ready_endpoint())
    assert not holds.record_leaving(ready_endpoint())
    assert holds.excludes(ready_endpoint(), 1e6)
    assert not holds.excludes(ready_endpoint(born_ms=2), 0.0)
    holds.retain({"e1": 2})
    assert holds.leaving() == {}
