"""A short soak in CI, and every seed that ever failed."""

import pytest

from tests.soak.play import play

SECONDS = 6.0
FRESH = 1001
# Seeds that failed once, with the cause.
REGRESSIONS = (
    # A SIGHUP in the first half second of a gateway ended it.
    3,
    # A request that outlasted a planned stop got no answer.
    25,
)


@pytest.mark.parametrize("seed", [FRESH, *REGRESSIONS])
def test_promises_are_kept_under_faults(seed, tmp_path):
    outcome = play(seed, SECONDS, tmp_path)
    assert outcome.broken == []
    assert outcome.history.faults
    assert outcome.history.statuses()["200"]
