"""Replicated state: endpoints, serving documents and usage."""

import msgspec
import pytest

from chervilshift.core.fleet import state as fleet_state
from chervilshift.core.fleet.commands import (
    AcceptServing,
    AnnounceEndpoint,
    CommitUsage,
    NoteCrashes,
    NoteLeaving,
    NoteLimits,
    QuarantineParts,
)
from chervilshift.core.fleet.crashes import Crash
from chervilshift.core.fleet.endpointlimits import StatedLimit
from chervilshift.core.fleet.model import (
    DRAINING,
    GONE,
    READY,
    SILENT,
    EndpointRecord,
)
from chervilshift.core.fleet.origins import MAX_ENDED_SERVICES
from chervilshift.core.fleet.state import FleetState


def record(**changes) -> EndpointRecord:
    fields = {
        "id": "e1",
        "born_ms": 1000,
        "seq": 1,
        "state": READY,
        "service": "llm",
        "address": "10.0.0.1:80",
        "failure_domain": "a",
        "slots": 8,
    }
    return EndpointRecord(**(fields | changes))


def announce(fleet_state: FleetState, index: int, **changes) -> str:
    command = AnnounceEndpoint(endpoint=record(**changes), now_s=float(index))
    return fleet_state.apply(command, index).state


def test_highest_version_takes_effect_and_lower_ones_change_nothing():
    state = FleetState()
    for version, active in ((3, 3), (2, 3), (3, 3), (9, 9)):
        document = f"v{version}-{active}".encode()
        command = AcceptServing(version=version, document=document)
        assert state.apply(command, version).version == active
    assert state.document == b"v9-9"


def test_same_version_with_other_content_changes_nothing():
    state = FleetState()
    state.apply(AcceptServing(version=5, document=b"first"), 1)
    state.apply(AcceptServing(version=5, document=b"other"), 2)
    assert state.document == b"first"


def test_leaving_is_sticky_within_an_incarnation():
    state = FleetState()
    announce(state, 1)
    assert announce(state, 2, seq=5, state=DRAINING) == DRAINING
    assert announce(state, 3, seq=9, state=READY) == DRAINING
    assert announce(state, 4, born_ms=2000, seq=0, state=READY) == READY


def test_late_announcement_of_a_dead_boot_does_not_replace_its_successor():
    state = FleetState()
    announce(state, 1)
    announce(state, 2, id="e2", born_ms=5000)
    assert announce(state, 3, seq=7) == GONE
    assert [e.id for e in state.endpoints()] == ["e2"]


def test_announcement_of_a_dead_boot_first_heard_late_names_no_endpoint():
    state = FleetState()
    announce(state, 1, id="e2", born_ms=5000)
    assert announce(state, 2, id="e1", born_ms=1000) == GONE
    assert [e.id for e in state.endpoints()] == ["e2"]


def test_silent_endpoint_returns_with_its_next_announcement():
    state = FleetState()
    announce(state, 1)
    assert announce(state, 2, state=SILENT) == SILENT
    assert announce(state, 3, seq=2) == READY


def test_departure_without_a_start_time_ends_what_is_held():
    state = FleetState()
    announce(state, 1)
    assert announce(state, 2, born_ms=0, seq=0, state=GONE, address="")
    assert state.endpoint("e1").state == GONE


def test_departure_of_an_older_boot_does_not_end_the_newer():
    state = FleetState()
    announce(state, 1, born_ms=5000)
    announce(state, 2, born_ms=1000, state=GONE)
    assert state.endpoint("e1").state == READY


def note_limit(state: FleetState, index: int, *stated) -> None:
    per_s, at_s, born_ms = stated
    limit = StatedLimit(per_s=per_s, at_s=at_s, born_ms=born_ms)
    state.apply(NoteLimits(stated={"e1": limit}), index)


def test_newest_stated_limit_of_the_running_incarnation_counts():
    state = FleetState()
    announce(state, 1)
    note_limit(state, 2, 5.0, 20.0, 1000)
    note_limit(state, 3, 9.0, 10.0, 1000)
    note_limit(state, 4, 9.0, 30.0, 999)
    assert (state.limits["e1"].per_s, state.limits_revision) == (5.0, 2)
    assert [limit.rate_per_s for limit in state.endpoint_limits()] == [5.0]
    restored = FleetState(snapshot=state.snapshot())
    assert (restored.limits, restored.limits_revision) == (state.limits, 2)
    assert len(restored.endpoint_limits()) == 1


@pytest.mark.parametrize("change", [{"born_ms": 2000}, {"state": GONE}])
def test_stated_limit_ends_with_its_incarnation(change):
    state = FleetState()
    announce(state, 1)
    note_limit(state, 2, 5.0, 20.0, 1000)
    announce(state, 3, seq=2, **change)
    assert (state.limits, state.limits_revision) == ({}, 3)
    assert state.endpoint_limits() == ()


def test_endpoint_that_was_noted_as_leaving_does_not_become_ready_again():
    state = FleetState()
    announce(state, 1)
    state.apply(NoteLeaving(born_ms={"e1": 999, "e2": 1000}), 2)
    assert state.endpoint("e1").state == READY
    state.apply(NoteLeaving(born_ms={"e1": 1000}), 3)
    assert (state.endpoint("e1").state, state.revision) == (DRAINING, 3)
    assert announce(state, 4, seq=5) == DRAINING
    assert announce(state, 5, born_ms=2000) == READY


def test_first_committed_usage_of_a_window_stays():
    state = FleetState()
    first = CommitUsage(window=7, counts={"acme": 3})
    second = CommitUsage(window=7, counts={"acme": 4})
    assert state.apply(first, 1).counts == {"acme": 3}
    assert state.apply(second, 2).counts == {"acme": 3}
    assert state.newest_usage() == 7


def announce_many(fleet: FleetState, numbers: range, **changes) -> None:
    """Announce an endpoint of a service of its own for each number."""
    for number in numbers:
        fields = {
            "id": f"other-{number}",
            "address": f"10.1.0.1:{number + 1}",
            "service": f"s{number}",
        }
        announce(fleet, 10 + number, **(fields | changes))


@pytest.mark.parametrize("state_name", [SILENT, DRAINING])
def test_ever_new_endpoints_are_bounded_and_used_ones_are_kept(
    monkeypatch, state_name
):
    """Endpoints that ended without a word stay silent for ever."""
    monkeypatch.setattr(fleet_state, "MAX_ENDPOINTS", 64)
    monkeypatch.setattr(fleet_state, "FORGOTTEN_ENDPOINTS", 4)
    state = FleetState()
    state.apply(
        AcceptServing(version=1, document=b"doc", services=("llm",)), 1
    )
    announce(state, 2, id="ready")
    announce(state, 3, id="silent", address="10.0.0.2:80", state=SILENT)
    for number in range(1000):
        announce_many(state, range(number, number + 1), state=state_name)
        assert len(state.snapshot().endpoints) <= 64
    assert state.endpoint("ready").state == READY
    assert state.endpoint("silent").state == SILENT
    assert state.endpoint("other-999") is not None
    assert len(state.origins.snapshot().versions) <= 64 + MAX_ENDED_SERVICES


def test_gateways_learn_of_forgotten_endpoints(monkeypatch):
    monkeypatch.setattr(fleet_state, "MAX_ENDPOINTS", 8)
    monkeypatch.setattr(fleet_state, "FORGOTTEN_ENDPOINTS", 2)
    state = FleetState()
    announce_many(state, range(8), state=SILENT)
    known = state.revision
    announce_many(state, range(8, 9))
    assert state.endpoint("other-0") is None
    assert state.revision > known
    assert state.endpoints_since(known) is None


def test_new_endpoint_is_not_taken_while_all_others_are_ready(monkeypatch):
    monkeypatch.setattr(fleet_state, "MAX_ENDPOINTS", 8)
    state = FleetState()
    announce_many(state, range(9))
    assert [e.id for e in state.endpoints()] == [
        f"other-{n}" for n in range(8)
    ]
    announce_many(state, range(7, 8), state=DRAINING, seq=2)
    announce_many(state, range(8, 9))
    assert state.endpoint("other-8").state == READY


@pytest.mark.parametrize("state_name", [READY, DRAINING, SILENT])
def test_snapshot_restores_everything(state_name):
    state = FleetState()
    announce(state, 4, state=state_name)
    state.apply(
        AcceptServing(version=2, document=b"doc", services=("b", "a")), 5
    )
    state.apply(CommitUsage(window=1, counts={"a": 1}), 6)
    crash = Crash(endpoint="e1", born_ms=1, at_s=1.0, parts={"bad": 1})
    state.apply(NoteCrashes(crashes=(crash,)), 7)
    state.apply(QuarantineParts(parts=("bad",), now_s=2.0), 8)
    data = msgspec.msgpack.encode(state.snapshot())
    decoded = msgspec.msgpack.decode(data, type=type(state.snapshot()))
    restored = FleetState(snapshot=decoded)
    assert restored.snapshot() == state.snapshot()
    assert restored.revision == 4
    assert restored.services == {"a", "b"}
    assert set(restored.crashes.suspicion().quarantined) == {"bad"}
