"""A short soak in CI, and every seed that ever failed."""

import pytest

from tests.soak.play import play

SECONDS = 6.0
FRESH = 1001
# Seeds that failed once stay here, each with a line on the cause.
REGRESSIONS: tuple[int, ...] = ()


@pytest.mark.parametrize("seed", [FRESH, *REGRESSIONS])
def test_promises_are_kept_under_faults(seed, tmp_path):
    outcome = play(seed, SECONDS, tmp_path)
    assert outcome.broken == []
    assert outcome.history.faults
    assert outcome.history.statuses()["200"]
