"""Replies of control that a gateway can't apply at once."""

from random import Random

import pytest

from chervilshift.clock import Clock, SystemClock
from chervilshift.core.fleet.limits import LimitPolicy
from chervilshift.core.fleet.placement import Placement
from chervilshift.core.fleet.retries import RetryPolicy
from chervilshift.core.fleet.sync import LoadsDelta, SyncReply
from chervilshift.events import EventLog, HybridClock
from chervilshift.gateway.state import GatewayState
from tests.core.fleet.records import ready_endpoint


def new_state(clock: Clock | None = None) -> GatewayState:
    clock = clock or SystemClock()
    return GatewayState(
        rng=Random(1),
        gateway_id="g",
        info=lambda: None,
        placement=Placement(region="", regions={}, rng=Random(1)),
        limit_policy=LimitPolicy(window_s=8.0, tolerance=0.1, slack=0.0),
        retry_policy=RetryPolicy(ratio=0.1, fixed_retries=1, window_s=1.0),
        usage_window_s=5.0,
        decode=None,
        controls_digest=lambda: 0,
        clock=clock,
        events=EventLog(process="g", hlc=HybridClock(clock=clock)),
    )


def reply(revision: int, *ids: str) -> SyncReply:
    return SyncReply(
        leader="a:1",
        stale_s=0.0,
        version=0,
        revision=revision,
        gateways=1,
        loads=LoadsDelta(source="s", cursor=1),
        endpoints=tuple(map(ready_endpoint, ids)),
    )


@pytest.mark.parametrize("failing", ["_is_remote", "update_endpoints"])
def test_endpoints_that_could_not_be_applied_are_asked_for_again(
    failing, monkeypatch
):
    """The gateway took itself to know them, and lost the others."""
    state = new_state()
    state.apply_reply(reply(1, "e1"))
    known = state.placement.endpoints()

    def fail(self, *args):
        raise OverflowError

    with monkeypatch.context() as patched:
        patched.setattr(Placement, failing, fail)
        with pytest.raises(OverflowError):
            state.apply_reply(reply(2, "e2", "e1"))
    assert state.revision == 1
    assert state.placement.endpoints() == known
    state.apply_reply(reply(2, "e2", "e1"))
    assert {e.id for e in state.placement.endpoints()} == {"e1", "e2"}
