"""Tables of gateways and control by names that others choose are bounded.

Services, customers, peers and prompt parts get ever new names in the life of a
process, and a table that only grows ends it.
"""

from random import Random

import msgspec

from chervilshift.core.fleet.crashreports import (
    MAX_PART_ID_CHARS,
    short_id,
)
from chervilshift.core.fleet.limits import (
    EndpointLimit,
    LimitAccount,
    LimitPolicy,
)
from chervilshift.core.fleet.model import Customer, ServiceSpec
from chervilshift.core.fleet.placement import Placement, Work
from chervilshift.core.fleet.pool import LimitPool
from chervilshift.core.fleet.tables import MAX_UNNAMED, forget_unnamed
from chervilshift.core.fleet.walltime import OFFSET_MAX_AGE_S, WallTime
from tests.core.fleet.records import ready_endpoint


def test_named_entries_and_the_newest_others_are_kept():
    table = {f"n{number}": number for number in range(2 * MAX_UNNAMED)}
    forget_unnamed(table, ("n0", "n1", "never"))
    assert len(table) == MAX_UNNAMED + 2
    assert {"n0", "n1", f"n{2 * MAX_UNNAMED - 1}"} <= table.keys()


def test_customers_of_former_configurations_are_forgotten():
    account = LimitAccount(
        policy=LimitPolicy(window_s=8.0, tolerance=0.1, slack=0.0)
    )
    for number in range(3 * MAX_UNNAMED):
        customer = Customer(name=f"c{number}", keys=("k",), rate_per_s=1.0)
        account.configure((customer,))
        account.apply_grants({customer.name: 1.0}, {}, 0.0)
    assert len(account._accounts) <= MAX_UNNAMED + 2
    assert account.try_spend(customer, 0.1, 0.0)


def test_limits_of_endpoints_that_ended_are_forgotten():
    pool = LimitPool(
        policy=LimitPolicy(window_s=8.0, tolerance=0.1, slack=0.0)
    )
    for number in range(3 * MAX_UNNAMED):
        limit = EndpointLimit(name=f"endpoint:{number}", rate_per_s=1.0)
        pool.configure((limit,), 100, 9)
        pool.request("g1", {limit.name: 1.0})
        pool.answered(pool.ask())
        pool.add({limit.name: 1.0})
        assert pool.take("g1", {limit.name: 1.0}, {})
    assert len(pool._balances) <= MAX_UNNAMED + 2
    assert len(pool._asked) <= MAX_UNNAMED + 2


def test_services_of_former_configurations_are_forgotten():
    placement = Placement(region="here", regions={}, rng=Random(1))
    for number in range(3 * MAX_UNNAMED):
        spec = ServiceSpec(name=f"s{number}", max_connections=1)
        record = msgspec.structs.replace(ready_endpoint(), service=spec.name)
        placement.update_endpoints((record,))
        placement.set_services((spec.name,))
        choice = placement.choose(spec, Work(), 0.0)
        placement.observe(choice, 0.1, 0.0)
    assert len(placement._latency_ratios) <= MAX_UNNAMED + 2


def test_clocks_of_former_peers_are_forgotten():
    wall_time = WallTime()
    for number in range(1000):
        now = number * OFFSET_MAX_AGE_S / 10
        wall_time.observe(f"p{number}", 5.0, 0.0, now)
        wall_time.observe("again", 5.0, 0.0, now)
        assert wall_time.correct(0.0, now) > 0
    assert len(wall_time._offsets) <= 11


def test_long_ids_of_prompt_parts_are_shortened():
    assert short_id("5c1e07a2") == "5c1e07a2"
    long = short_id("x" * 10_000)
    assert len(long) <= MAX_PART_ID_CHARS
    assert long != short_id("x" * 9_999)
