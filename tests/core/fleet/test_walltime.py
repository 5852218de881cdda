"""The time of day while some hosts' clocks jump."""

import pytest

from chervilshift.core.fleet.walltime import WallTime

TRUE_S = 1_000_000.0


def peers(count: int, jumped: int, jump_s: float) -> WallTime:
    held = WallTime()
    for number in range(count):
        offset = jump_s if number < jumped else 0.01 * (number % 3 - 1)
        held.observe(f"p{number}", TRUE_S + offset, TRUE_S, 0.0)
    return held


@pytest.mark.parametrize("jump_s", [-5.0, 2.0, 60.0])
def test_minority_of_jumped_clocks_changes_nothing(jump_s):
    held = peers(8, 3, jump_s)
    assert abs(held.correct(TRUE_S, 1.0) - TRUE_S) < 0.05


def test_own_jumped_clock_is_corrected():
    held = WallTime()
    own_s = TRUE_S + 3.0
    for number in range(5):
        held.observe(f"p{number}", TRUE_S, own_s, 0.0)
    assert abs(held.correct(own_s, 1.0) - TRUE_S) < 0.05


def test_jump_between_two_readings_is_gone_after_the_next():
    held = peers(5, 0, 0.0)
    own_s = TRUE_S + 2.0
    for number in range(5):
        held.observe(f"p{number}", TRUE_S, own_s, 0.5)
    assert abs(held.correct(own_s, 0.5) - TRUE_S) < 0.05


def test_peers_that_were_long_silent_do_not_count():
    held = peers(3, 3, 9.0)
    assert held.correct(TRUE_S, 60.0) == TRUE_S
