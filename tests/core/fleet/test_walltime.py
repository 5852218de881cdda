"""Corrected Unix time while the clocks of some hosts jump."""

import pytest

from chervilshift.core.fleet.walltime import WallTime

TRUE_S = 1_000_000.0


def observe_peers(count: int, jumped: int, jump_s: float) -> WallTime:
    wall_time = WallTime()
    for number in range(count):
        offset = jump_s if number < jumped else 0.01 * (number % 3 - 1)
        wall_time.observe(f"p{number}", TRUE_S + offset, TRUE_S, 0.0)
    return wall_time


@pytest.mark.parametrize("jump_s", [-5.0, 2.0, 60.0])
def test_minority_of_jumped_clocks_changes_nothing(jump_s):
    wall_time = observe_peers(8, 3, jump_s)
    assert abs(wall_time.correct(TRUE_S, 1.0) - TRUE_S) < 0.05


def test_own_jumped_clock_is_corrected():
    wall_time = WallTime()
    own_wall_s = TRUE_S + 3.0
    for number in range(5):
        wall_time.observe(f"p{number}", TRUE_S, own_wall_s, 0.0)
    assert abs(wall_time.correct(own_wall_s, 1.0) - TRUE_S) < 0.05


def test_jump_between_two_readings_is_gone_after_the_next():
    wall_time = observe_peers(5, 0, 0.0)
    own_wall_s = TRUE_S + 2.0
    for number in range(5):
        wall_time.observe(f"p{number}", TRUE_S, own_wall_s, 0.5)
    assert abs(wall_time.correct(own_wall_s, 0.5) - TRUE_S) < 0.05


def test_peers_that_were_long_silent_do_not_count():
    wall_time = observe_peers(3, 3, 9.0)
    assert wall_time.correct(TRUE_S, 60.0) == TRUE_S
