"""Verdicts and limits over many seeded series of outcomes.

A bad version must stay within its share and be known in time, a good one must
complete before its deadline, whatever happens to leaders and gateways.
"""

import pytest

from chervilshift.core.fleet.versions import COMPLETED, ROLLED_BACK
from tests.core.fleet.rollout_series import Fault, Series
from tests.core.fleet.rollout_trials import BAD, GOOD

SEEDS = range(10)


@pytest.mark.parametrize("kind", GOOD)
def test_good_versions_complete_in_time(kind):
    """They were rolled back for a burst, or for a fault of one endpoint."""
    for seed in SEEDS:
        series = Series(seed=seed, **GOOD[kind]).run()
        assert series.state == COMPLETED, (seed, series.rollout.reason)
        assert series.ended_s < series.ramp_s
        assert not series.old_after_end and not series.old_in_flight
        assert not series.refused


@pytest.mark.parametrize("kind", BAD)
def test_bad_versions_stay_within_their_limits(kind):
    for seed in SEEDS:
        series = Series(seed=seed, **BAD[kind]).run()
        if not series.bad_at:
            continue
        assert series.state == ROLLED_BACK, seed
        assert series.excess <= 0, seed
        assert not series.sent_late, seed
        assert not series.refused


@pytest.mark.parametrize("at_s", range(1, 24, 2))
@pytest.mark.parametrize("bad", [False, True])
def test_loss_of_the_leader_changes_no_verdict(at_s, bad):
    """The next one has the log, and what gateways go on to report."""

    def lose_leader(series: Series) -> None:
        series.leads = not at_s <= series.now < at_s + 3
        if series.now == at_s:
            before = series.rollout
            series.replace_leader()
            assert series.rollout == before

    fault = Fault(failed=0.3) if bad else None
    for seed in range(4):
        series = Series(seed=seed, fault=fault, on_step=lose_leader).run()
        assert series.state == (ROLLED_BACK if bad else COMPLETED)
        assert not series.old_after_end and not series.old_in_flight
        if bad:
            assert series.excess <= 0 and not series.sent_late


def test_without_a_leader_only_the_safe_version_is_used():
    def pause(series: Series) -> None:
        series.leads = not 5 <= series.now < 12

    series = Series(seed=1, on_step=pause).run()
    # News made just before the pause may arrive a second late.
    sent = [at for at in series.sent_new if 5 + 2.0 + 0.25 < at < 12]
    assert not sent
    assert series.state == COMPLETED


@pytest.mark.parametrize("at_s", [3, 8, 15, 18, 21])
def test_gateway_without_control_leaves_the_old_version_in_time(at_s):
    """Its lease of the old version ends before the rollout does."""

    def part(series: Series) -> None:
        series.gateways[0].connected = series.now < at_s

    for seed in range(4):
        series = Series(seed=seed, on_step=part).run()
        assert series.state == COMPLETED
        assert series.ended_s < series.ramp_s
        assert not series.old_after_end


def test_restarted_gateways_stay_within_the_share():
    """Their totals begin anew, and they know nothing at first."""

    def restart(series: Series) -> None:
        if series.now and not series.now % 2:
            series.gateways[int(series.now) // 2 % 4].restart()

    for seed in range(10):
        fault = Fault(failed=0.3)
        series = Series(seed=seed, fault=fault, on_step=restart).run()
        assert series.state == ROLLED_BACK
        assert series.excess <= 0 and not series.sent_late


def test_command_whose_reply_was_lost_is_decided_again():
    """It is in the log already then, and must change nothing."""

    def repeat(series: Series) -> None:
        for command in series.planner.commands:
            before = series.rollout
            series.fleet.apply(command, next(series.index))
            assert series.rollout == before

    series = Series(seed=1, on_step=repeat).run()
    assert series.state == COMPLETED


def test_version_without_endpoints_is_not_accepted():
    series = Series(seed=1, new_at_s=100.0).run()
    assert series.state == ROLLED_BACK
    assert not series.sent_new and not series.refused


def test_nothing_advances_without_reports():
    """A new leader without any report took silence for a sound version."""
    series = Series(seed=1)
    for gateway in series.gateways:
        gateway.connected = False
    series.run()
    assert series.state == ROLLED_BACK
    assert not series.sent_new
