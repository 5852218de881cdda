"""Reserves of limits at control processes: what is asked of the leader.

Asking twice for one need would take another's share out of the bucket.
"""

from chervilshift.core.fleet.limits import LimitPolicy
from chervilshift.core.fleet.model import Customer
from chervilshift.core.fleet.pool import LimitPool


def new_pool() -> LimitPool:
    pool = LimitPool(
        policy=LimitPolicy(window_s=8.0, tolerance=0.1, slack=72_000.0)
    )
    acme = Customer(
        name="acme", keys=("k",), rate_per_s=20_000.0, burst=20_000.0
    )
    pool.configure((acme,), 100, 9)
    return pool


def test_pool_asks_once_for_what_several_requests_for_grants_cover():
    """Requests for grants overlap, as the leader may be 30 ms away."""
    pool = new_pool()
    assert pool.request("g1", {"acme": 9_000.0})
    assert pool.ask() == {"acme": 9_000.0}
    assert pool.request("g2", {"acme": 2_000.0})
    assert pool.ask() == {"acme": 2_000.0}
    assert pool.ask() == {}
    pool.answered({"acme": 9_000.0})
    pool.add({"acme": 9_000.0})
    assert pool.take("g1", {"acme": 9_000.0}, {}) == {"acme": 9_000.0}
    pool.answered({"acme": 2_000.0})
    assert pool.ask() == {"acme": 2_000.0}


def test_pool_asks_again_when_no_reply_came():
    pool = new_pool()
    pool.request("g1", {"acme": 9_000.0})
    asked = pool.ask()
    pool.answered(asked)
    assert pool.ask() == asked
