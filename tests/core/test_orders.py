"""Tests of the order planner.

Orders are repeated until they take effect, and late orders of a deposed
leader are corrected.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from chervilshift.core.orders import (
    ORDER_TIMEOUT_S,
    PREDECESSOR_LEASE_S,
    REISSUE_INTERVAL_S,
    Order,
    OrderPlanner,
)
from chervilshift.core.registry import EndpointInfo

WAIT_S = PREDECESSOR_LEASE_S + ORDER_TIMEOUT_S + 0.1


class Endpoint:
    """An endpoint that applies orders, with or without fencing checks."""

    def __init__(self, name: str, checks: bool):
        self.name = name
        self.checks = checks
        self.token = 0
        self.adapters: tuple[str, ...] = ()

    def info(self) -> EndpointInfo:
        return EndpointInfo(
            id=self.name,
            address=self.name,
            host=self.name,
            failure_domain="fd",
            region="west",
            kind="engine",
            serves=("desk",),
            adapters=self.adapters,
            checks_fencing=self.checks,
        )

    def take(self, order: Order) -> None:
        if self.checks and order.token < self.token:
            return
        self.token = max(self.token, order.token)
        self.adapters = order.adapters


def test_no_order_before_the_predecessor_is_waited_out():
    planner = OrderPlanner(max_concurrent=4)
    endpoint = Endpoint("m1", checks=False)
    wanted = {"desk": ("night",)}
    planner.start_term(7, 100.0)
    assert planner.plan([endpoint.info()], wanted, 100.0 + 1.0) == ()
    (order,) = planner.plan([endpoint.info()], wanted, 100.0 + WAIT_S)
    assert (order.token, order.adapters) == (7, ("night",))
    planner.step_down()
    assert planner.plan([endpoint.info()], wanted, 200.0) == ()


def test_orders_are_bounded_and_made_again_when_not_seen():
    planner = OrderPlanner(max_concurrent=2)
    infos = [Endpoint(f"m{n}", checks=True).info() for n in range(5)]
    planner.start_term(1, 0.0)
    wanted = {"desk": ("night",)}
    first = planner.plan(infos, wanted, WAIT_S)
    assert len(first) == 2
    assert planner.plan(infos, wanted, WAIT_S + 1.0) == ()
    again = planner.plan(infos, wanted, WAIT_S + REISSUE_INTERVAL_S + 0.1)
    assert {order.endpoint for order in again} == {"m0", "m1"}


def test_nothing_is_ordered_once_it_is_there():
    planner = OrderPlanner(max_concurrent=2)
    endpoint = Endpoint("m1", checks=True)
    endpoint.adapters = ("night",)
    planner.start_term(1, 0.0)
    wanted = {"desk": ("night",)}
    assert planner.plan([endpoint.info()], wanted, WAIT_S) == ()


steps = st.lists(
    st.tuples(
        st.sampled_from(["plan", "deliver", "late", "lose", "depose"]),
        st.integers(0, 20),
    ),
    max_size=60,
)


@settings(max_examples=300)
@given(steps)
def test_endpoints_converge_whatever_late_orders_do(script):
    endpoints = {
        name: Endpoint(name, checks=checks)
        for name, checks in (("m1", True), ("m2", False))
    }
    planner = OrderPlanner(max_concurrent=4)
    now, token, version = 0.0, 1, 0
    planner.start_term(token, now)
    under_way: list[Order] = []

    def plan() -> tuple[Order, ...]:
        infos = [endpoint.info() for endpoint in endpoints.values()]
        return planner.plan(infos, {"desk": (f"a{version}",)}, now)

    for action, number in script:
        now += number / 4
        if action == "plan":
            under_way += plan()
        elif action == "depose":
            token += 1
            version += 1
            planner = OrderPlanner(max_concurrent=4)
            planner.start_term(token, now)
        elif under_way and action in ("deliver", "late"):
            index = 0 if action == "deliver" else number % len(under_way)
            order = under_way.pop(index)
            highest = endpoints["m1"].token
            endpoints[order.endpoint].take(order)
            assert endpoints["m1"].token >= highest
        elif under_way and action == "lose":
            under_way.pop()
    for order in under_way:
        endpoints[order.endpoint].take(order)
    for _ in range(3):
        now += WAIT_S + REISSUE_INTERVAL_S
        for order in plan():
            endpoints[order.endpoint].take(order)
    for endpoint in endpoints.values():
        assert endpoint.adapters == (f"a{version}",)
