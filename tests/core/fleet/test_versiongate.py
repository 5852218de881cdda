"""Which versions a gateway's requests go to during a rollout."""

from random import Random

import msgspec
import pytest

from chervilshift.core.fleet.model import READY, SILENT, with_state
from chervilshift.core.fleet.placement import Choice, Endpoint, Work
from chervilshift.core.fleet.versiongate import (
    EXPOSURE_USE,
    SLOW_MULTIPLE,
    VersionGate,
    ratio_bucket,
    ratio_of,
)
from chervilshift.core.fleet.versions import (
    COMPLETED,
    FINISH,
    RAMP,
    ROLLED_BACK,
    TEST,
    Rollout,
    RolloutPolicy,
    VersionShares,
    old_lease_end_s,
)
from tests.core.fleet.records import ready_endpoint

SERVICE = "pool"
POLICY = RolloutPolicy(share=0.1, slack=50.0, rollback_s=5.0)
ROLLOUT = Rollout(
    order=7,
    changed_at=7,
    service=SERVICE,
    to="v2",
    ramp_s=30.0,
    ordered_s=0.0,
    deadline_s=30.0,
    old=("v1",),
)
SHARES = VersionShares(order=7, share=1.0)


def endpoint(name: str, **changes) -> Endpoint:
    version, _, _ = name.partition("-")
    record = msgspec.structs.replace(ready_endpoint(name), version=version)
    return Endpoint(
        record=msgspec.structs.replace(record, **changes), remote=False
    )


def fleet() -> list[Endpoint]:
    names = ("v1-0", "v1-1", "v2-0", "v2-1", "v2-2")
    return [endpoint(name) for name in names]


class Gate:
    """A version gate with one rollout and fresh news."""

    def __init__(
        self,
        policy: RolloutPolicy | None = POLICY,
        shares: VersionShares | None = SHARES,
        **changes,
    ):
        self.gate = VersionGate(rng=Random(1), policy=policy)
        self.endpoints = fleet()
        self.revision = 0
        self.follow(**changes)
        self.gate.apply({SERVICE: shares} if shares else {}, 0.0)

    def follow(self, **changes) -> None:
        """Take over a rollout that the log has."""
        self.revision += 1
        rollout = msgspec.structs.replace(ROLLOUT, **changes)
        self.gate.set_rollouts((rollout,), self.revision)

    def lanes(self, **options) -> list[str]:
        """Return the endpoints that are left, by preference."""
        given = {"wants_new": True, "is_fresh": True} | options
        wall_s = given.pop("wall_s", 1.0)
        preferences = self.gate.preferences(
            SERVICE, self.endpoints, 0.0, wall_s, **given
        )
        return [
            " ".join(e.id for e in self.endpoints if e.id not in excluded)
            for excluded in preferences
        ]

    def send(self, version: str, *, first: bool = True):
        """Send an attempt to a version; return its outcome to be counted."""
        chosen = next(e for e in self.endpoints if e.record.version == version)
        self.gate.record_placed(SERVICE, version)
        return self.gate.begin(
            SERVICE,
            "route",
            Choice(
                endpoint=chosen,
                baseline_s=0.1,
                wait_s=0.1,
                cost_s=0.1,
                uncached_tokens=0,
            ),
            Work(),
            0.0,
            is_first=first,
            is_engine=False,
        )

    def share_usual(self, usual: dict[str, float]) -> None:
        """Apply shares with the usual ratios by route."""
        shares = msgspec.structs.replace(SHARES, usual=usual)
        self.gate.apply({SERVICE: shares}, 0.0)

    def totals(self, version: str):
        report = self.gate.report(0.0)[SERVICE][version]
        return report.routes["route"]


OLD, NEW = "v1-0 v1-1", "v2-0 v2-1 v2-2"


def test_services_without_a_rollout_have_no_rule():
    gate = Gate()
    assert gate.gate.has_rule(SERVICE)
    assert not gate.gate.has_rule("other")
    gate.follow(state=COMPLETED, settled=True)
    assert not gate.gate.has_rule(SERVICE)


def test_new_version_gets_nothing_before_its_share_has_room():
    gate = Gate()
    assert gate.lanes() == [OLD]


@pytest.mark.parametrize("extra", [0.0, 2.5])
def test_exposure_share_is_kept_request_by_request(extra):
    """Whatever the leader asks for; attempts count, retries included."""
    gate = Gate(shares=msgspec.structs.replace(SHARES, extra=extra))
    sent = requests = 0
    for _ in range(500):
        is_new = gate.lanes()[0] == NEW
        gate.send("v2" if is_new else "v1")
        requests += 1
        sent += is_new
        assert sent <= POLICY.share * requests + extra
    assert sent >= 0.9 * EXPOSURE_USE * POLICY.share * requests


def test_repeated_attempts_take_room_but_make_none():
    gate = Gate()
    for _ in range(100):
        gate.send("v1", first=False)
    assert gate.lanes() == [OLD]
    for _ in range(30):
        gate.send("v1")
    assert gate.lanes()[0] == NEW
    for _ in range(3):
        gate.send("v2", first=False)
    assert gate.lanes() == [OLD]


def test_new_incarnation_begins_with_nothing():
    gate = Gate()
    for _ in range(100):
        gate.send("v1")
    assert gate.lanes()[0] == NEW
    assert Gate().lanes() == [OLD]


def test_rollout_that_goes_on_keeps_its_counts():
    gate = Gate()
    for _ in range(100):
        gate.send("v1")
    gate.follow(stage=TEST)
    assert gate.lanes()[0] == NEW
    gate.follow(order=20)
    assert gate.lanes() == [OLD]


@pytest.mark.parametrize("stage", [TEST, RAMP])
def test_without_fresh_news_only_the_old_version_is_used(stage):
    gate = Gate(stage=stage)
    for _ in range(100):
        gate.send("v1")
    assert gate.lanes(is_fresh=False) == [OLD]


@pytest.mark.parametrize(("stage", "left"), [(TEST, []), (RAMP, [NEW])])
def test_lease_of_the_old_version_ends_without_news(stage, left):
    """The rollout may have been completed and the old endpoints stopped."""
    gate = Gate(stage=stage)
    end_s = old_lease_end_s(ROLLOUT)
    assert gate.lanes(is_fresh=False, wall_s=end_s - 0.1) == [OLD]
    assert gate.lanes(is_fresh=False, wall_s=end_s) == left


@pytest.mark.parametrize("is_fresh", [False, True])
@pytest.mark.parametrize(
    ("changes", "left"),
    [
        ({"stage": FINISH}, NEW),
        ({"state": COMPLETED}, NEW),
        ({"state": ROLLED_BACK}, OLD),
    ],
)
def test_decided_rollout_needs_no_news(changes, left, is_fresh):
    gate = Gate(shares=None, **changes)
    assert gate.lanes(is_fresh=is_fresh) == [left]
    assert gate.lanes(is_fresh=is_fresh, wall_s=1e6) == [left]


@pytest.mark.parametrize(
    "shares",
    [
        None,
        msgspec.structs.replace(SHARES, order=3),
        msgspec.structs.replace(SHARES, closed=True),
    ],
)
@pytest.mark.parametrize("stage", [TEST, RAMP])
def test_new_version_needs_shares_of_its_own_rollout(shares, stage):
    gate = Gate(shares=shares, stage=stage)
    for _ in range(100):
        gate.send("v1")
    assert gate.lanes() == [OLD]
    assert not gate.gate.wants_new(SERVICE, "route")


def test_news_may_come_before_the_rollout_that_they_are_of():
    gate = VersionGate(rng=Random(1), policy=POLICY)
    gate.apply({SERVICE: SHARES}, 0.0)
    gate.set_rollouts((ROLLOUT,), 1)
    assert gate.wants_new(SERVICE, "route")


def test_older_replies_of_control_change_nothing():
    gate = Gate(state=ROLLED_BACK)
    gate.gate.set_rollouts((ROLLOUT,), gate.revision)
    gate.gate.set_rollouts((), 0)
    assert gate.lanes() == [OLD]


def test_without_the_setting_a_version_is_not_tested_here():
    gate = Gate(policy=None)
    for _ in range(100):
        gate.send("v1")
    assert gate.lanes() == [OLD]


def test_ramp_is_not_bound_by_the_exposure_share():
    gate = Gate(stage=RAMP)
    assert gate.lanes() == [NEW, OLD, NEW]
    assert gate.lanes(wants_new=False) == [OLD, NEW]


def test_shares_of_routes_are_drawn():
    shares = msgspec.structs.replace(SHARES, share=0.2, routes={"b": 0.0})
    gate = Gate(shares=shares).gate
    drawn = [gate.wants_new(SERVICE, "a") for _ in range(1000)]
    assert 150 < sum(drawn) < 250
    assert not any(gate.wants_new(SERVICE, "b") for _ in range(100))


def test_share_goes_to_few_endpoints_the_same_everywhere():
    shares = msgspec.structs.replace(SHARES, width=2)
    gate = Gate(stage=RAMP, shares=shares)
    assert gate.lanes() == ["v2-0 v2-1", OLD, NEW]


def test_endpoints_that_are_full_get_no_more_than_their_part():
    gate = Gate(stage=RAMP)
    full = gate.endpoints[2]
    full.active = full.record.slots
    gate.endpoints[3].health.record_unreachable(0.0)
    assert gate.lanes()[0] == "v2-2"


def test_silent_endpoints_of_the_new_version_are_not_tested():
    gate = Gate(stage=RAMP)
    silent = gate.endpoints[2]
    assert silent.record.state == READY
    silent.record = with_state(silent.record, SILENT)
    assert gate.lanes()[0] == "v2-1 v2-2"


@pytest.mark.parametrize(("version", "left"), [("v1", [OLD]), ("v2", [NEW])])
def test_stream_goes_on_at_its_version(version, left):
    gate = Gate(stage=RAMP)
    assert gate.lanes(version=version) == left


def test_streams_that_go_on_use_the_rest_of_the_share():
    """New requests left no room for them, and they were cut off."""
    gate = Gate()
    for _ in range(1000):
        gate.send("v1")
    while gate.lanes()[0] == NEW:
        gate.send("v2", first=False)
    went_on = 0
    while gate.lanes(version="v2") == [NEW]:
        gate.send("v2", first=False)
        went_on += 1
    assert 5 <= went_on <= 1000 * POLICY.share * (1 - EXPOSURE_USE) + 1
    report = gate.gate.report(0.0)[SERVICE]["v2"]
    assert report.attempts <= 1000 * POLICY.share


def test_stream_of_a_version_that_was_rolled_back_does_not_go_on():
    gate = Gate(state=ROLLED_BACK)
    assert gate.lanes(version="v2") == [OLD]


def test_news_are_followed_for_half_of_the_rollback_time_at_most():
    assert Gate().gate.news_expiry_s == 2.0
    policy = RolloutPolicy(share=0.1, slack=0.0, rollback_s=2.0)
    assert Gate(policy=policy).gate.news_expiry_s == 1.0


def test_outcomes_are_counted_once_by_version_route_and_endpoint():
    gate = Gate()
    attempt = gate.send("v1")
    attempt.record_reply(0.1)
    attempt.record_reply(0.2)
    attempt.record_timeout(0.3)
    broken = gate.send("v1")
    broken.record_failure(0.1, broken=True)
    broken.record_failure(0.1, broken=True)
    totals = gate.totals("v1")
    assert (totals.ended, totals.failed, totals.judged) == (2, 1, 0)
    assert totals.failed_at == {"v1-0": 1}
    assert sum(totals.ratios.values()) == 1


def test_stream_that_breaks_off_has_failed():
    gate = Gate()
    attempt = gate.send("v2")
    attempt.record_reply(0.1)
    attempt.record_failure(0.5, broken=True)
    totals = gate.totals("v2")
    assert (totals.ended, totals.failed) == (1, 1)


@pytest.mark.parametrize(("took_s", "slow"), [(0.19, 0), (0.21, 1)])
def test_slow_requests_take_a_multiple_of_the_usual_time(took_s, slow):
    shares = msgspec.structs.replace(SHARES, usual={"route": 1.0})
    gate = Gate(shares=shares)
    gate.send("v2").record_reply(took_s * SLOW_MULTIPLE / 2)
    totals = gate.totals("v2")
    assert (totals.judged, totals.slow) == (1, slow)


def test_attempt_without_a_reply_is_slow_and_no_failure():
    """Under load that happens with any version."""
    shares = msgspec.structs.replace(SHARES, usual={"route": 1.0})
    gate = Gate(shares=shares)
    gate.send("v2").record_timeout(3.0)
    gate.send("v2").record_failure(3.0, broken=False)
    totals = gate.totals("v2")
    assert (totals.ended, totals.failed) == (2, 0)
    assert (totals.judged, totals.slow) == (2, 2)


def test_buckets_of_ratios_are_bounded():
    for ratio in (0.0, 1e-6, 0.5, 1.0, 3.0, 1e9):
        bucket = ratio_bucket(ratio)
        assert -24 <= bucket <= 48
    assert ratio_of(ratio_bucket(3.0)) >= 3.0


def test_ended_rollouts_are_not_reported():
    gate = Gate()
    gate.send("v1")
    assert gate.gate.report(0.0)
    gate.follow(state=COMPLETED)
    assert not gate.gate.report(0.0)
