"""Orders of rollouts in the log, and what is left of them afterwards."""

import msgspec
import pytest

from chervilshift.core.fleet.commands import (
    ACCEPTED,
    CONFLICT,
    SAME,
    UNKNOWN_SERVICE,
    AcceptServing,
    AdvanceRollout,
    AnnounceEndpoint,
    EndRollout,
    StartRollout,
)
from chervilshift.core.fleet.model import GONE, with_state
from chervilshift.core.fleet.rolloutlog import SETTLE_AFTER_S
from chervilshift.core.fleet.state import FleetSnapshot, FleetState
from chervilshift.core.fleet.versions import (
    COMPLETED,
    FINISH,
    RAMP,
    ROLLED_BACK,
    RUNNING,
    TEST,
)
from tests.core.fleet.records import ready_endpoint

SERVICE = "pool"
ORDER = StartRollout(service=SERVICE, to="v2", ramp_s=30.0, now_s=100.0)


class Log:
    """A fleet state with endpoints, and its log."""

    def __init__(self, *versions: str):
        self.state = FleetState()
        self.index = 0
        self.apply(AcceptServing(version=1, document=b"", services=(SERVICE,)))
        for version in versions:
            self.announce(version)

    def apply(self, command):
        self.index += 1
        return self.state.apply(command, self.index)

    def announce(self, version: str, state: str = "", now_s: float = 0.0):
        record = msgspec.structs.replace(
            ready_endpoint(f"e-{version}"),
            version=version,
            address=f"{version}:1",
        )
        if state:
            record = with_state(record, state)
        self.apply(AnnounceEndpoint(endpoint=record, now_s=now_s))

    def order(self, **changes) -> str:
        return self.apply(msgspec.structs.replace(ORDER, **changes)).outcome

    def advance(self, stage: str, share: float, order: int | None = None):
        order = self.rollout.order if order is None else order
        return self.apply(
            AdvanceRollout(
                service=SERVICE, order=order, stage=stage, share=share
            )
        )

    def end(self, state: str, order: int | None = None):
        return self.apply(
            EndRollout(
                service=SERVICE,
                order=self.rollout.order if order is None else order,
                state=state,
                reason="",
                now_s=110.0,
            )
        )

    @property
    def rollout(self):
        return self.state.rollouts.rollouts[SERVICE]

    def excluded(self, *versions: str) -> list[str]:
        return [v for v in versions if self.rollout.excludes(v)]


def test_order_is_recorded_with_what_it_moves_away_from():
    log = Log("v0", "v1", "v2")
    assert log.order() == ACCEPTED
    rollout = log.rollout
    assert rollout.old == ("v0", "v1")
    assert (rollout.ordered_s, rollout.deadline_s) == (100.0, 130.0)
    assert (rollout.state, rollout.stage) == (RUNNING, TEST)
    assert log.excluded("v0", "v1", "v2", "v3") == ["v2"]


def test_repeated_order_changes_nothing():
    """An operator whose answer was lost sends it again."""
    log = Log("v1")
    log.order()
    before = log.rollout
    assert log.order(now_s=105.0) == SAME
    log.advance(RAMP, 0.5)
    assert log.order(now_s=105.0) == SAME
    log.advance(FINISH, 1.0)
    log.end(COMPLETED)
    assert log.order(now_s=150.0) == SAME
    assert log.rollout.order == before.order
    assert log.rollout.state == COMPLETED


@pytest.mark.parametrize("changes", [{"to": "v3"}, {"ramp_s": 31.0}])
def test_other_order_waits_for_the_end(changes):
    log = Log("v1")
    log.order()
    before = log.rollout
    assert log.order(**changes) == CONFLICT
    assert log.rollout == before
    log.end(ROLLED_BACK)
    assert log.order(**changes) == ACCEPTED


def test_unknown_service_has_no_rollout():
    log = Log("v1")
    assert log.order(service="other") == UNKNOWN_SERVICE
    assert not log.state.rollouts.rollouts


def test_nothing_to_move_away_from_completes_at_once():
    """Without endpoints of another version there is none to fall back to."""
    log = Log("v2")
    assert log.order() == ACCEPTED
    assert log.rollout.state == COMPLETED


def test_stages_and_shares_only_grow():
    """A leader that was replaced may have commands under way."""
    log = Log("v1")
    log.order()
    log.advance(RAMP, 0.4)
    for stage, share in ((TEST, 0.9), (RAMP, 0.2), (RAMP, 0.4), ("odd", 1)):
        before = log.rollout
        log.advance(stage, share)
        assert log.rollout == before
    log.advance(FINISH, 1.0)
    assert log.rollout.stage == FINISH
    assert log.excluded("v1", "v2") == ["v1"]


def test_commands_of_an_earlier_order_change_nothing():
    log = Log("v1")
    log.order()
    earlier = log.rollout.order
    log.end(ROLLED_BACK)
    log.order(to="v3")
    before = log.rollout
    log.advance(FINISH, 1.0, order=earlier)
    log.end(ROLLED_BACK, order=earlier)
    assert log.rollout == before


@pytest.mark.parametrize("stage", [TEST, RAMP])
def test_only_a_finished_rollout_completes(stage):
    """Gateways may use the old version until then."""
    log = Log("v1")
    log.order()
    log.advance(stage, 1.0)
    log.end(COMPLETED)
    assert log.rollout.state == RUNNING


def test_end_is_final():
    log = Log("v1")
    log.order()
    log.end(ROLLED_BACK)
    ended = log.rollout
    log.advance(FINISH, 1.0)
    log.end(COMPLETED)
    assert log.rollout == ended


def test_completed_rollout_excludes_the_old_versions_only():
    log = Log("v1")
    log.order()
    log.announce("v2")
    log.announce("v1b")
    log.advance(FINISH, 1.0)
    log.end(COMPLETED)
    assert log.excluded("v1", "v1b", "v2", "v3") == ["v1", "v1b"]


def test_versions_that_were_left_stay_out_of_the_next_rollout():
    """The bad version's endpoints drain while the next one is ordered."""
    log = Log("v1")
    log.order()
    log.announce("v2")
    log.end(ROLLED_BACK)
    assert log.order(to="v3") == ACCEPTED
    assert log.rollout.old == ("v1",)
    assert log.excluded("v1", "v2", "v3") == ["v2", "v3"]
    log.advance(FINISH, 1.0)
    assert log.excluded("v1", "v2", "v3") == ["v1", "v2"]


def test_exclusion_ends_once_the_endpoints_are_gone():
    log = Log("v1")
    log.order()
    log.announce("v2")
    log.end(ROLLED_BACK)
    late_s = 110.0 + SETTLE_AFTER_S
    log.announce("v1", now_s=late_s)
    assert log.excluded("v2")
    log.announce("v2", state=GONE, now_s=120.0)
    # More endpoints that were started for the rollout may appear.
    assert log.excluded("v2")
    log.announce("v3", now_s=late_s)
    assert not log.excluded("v2")


def test_snapshot_holds_the_rollouts():
    log = Log("v1")
    log.order()
    log.advance(RAMP, 0.4)
    packed = msgspec.msgpack.encode(log.state.snapshot())
    decoded = msgspec.msgpack.decode(packed, type=FleetSnapshot)
    restored = FleetState(snapshot=decoded)
    assert restored.rollouts.rollouts == log.state.rollouts.rollouts
    assert restored.rollouts.revision == log.state.rollouts.revision


def test_snapshot_of_an_earlier_build_loads():
    """It has neither the rollouts nor their revision."""
    fields = msgspec.msgpack.decode(
        msgspec.msgpack.encode(Log("v1").state.snapshot())
    )
    assert not {"rollouts", "rollouts_revision"} & fields.keys()
    packed = msgspec.msgpack.encode(fields)
    state = FleetState(
        snapshot=msgspec.msgpack.decode(packed, type=FleetSnapshot)
    )
    assert not state.rollouts.rollouts
    assert [e.version for e in state.endpoints()] == ["v1"]


def test_ended_rollouts_of_removed_services_are_forgotten():
    log = Log("v1")
    log.order()
    log.apply(AcceptServing(version=2, document=b"", services=("other",)))
    assert SERVICE in log.state.rollouts.rollouts
    log.end(ROLLED_BACK)
    log.apply(AcceptServing(version=3, document=b"", services=("other",)))
    assert not log.state.rollouts.rollouts
