"""Endpoints that send nothing for a second or so, and go on.

What a gateway learns from the pause must not keep a sound endpoint from its
work once it goes on.
"""

import pytest

from chervilshift.core.fleet.health import EXCLUSION_S, Health


@pytest.mark.parametrize("count", [1, 2, 8, 30])
@pytest.mark.parametrize("spread_s", [0.0, 0.1, 0.4])
def test_connects_that_fail_in_one_pause_exclude_an_endpoint_once(
    count, spread_s
):
    health = Health()
    for number in range(count):
        health.record_unreachable(1.0 + spread_s * number / count)
    assert health.is_excluded(1.0 + EXCLUSION_S / 2)
    assert not health.is_excluded(1.0 + EXCLUSION_S)


def test_endpoint_that_stays_unreachable_rests_longer_each_time():
    health = Health()
    health.record_unreachable(0.0)
    health.record_unreachable(EXCLUSION_S)
    assert health.is_excluded(EXCLUSION_S + 1.5 * EXCLUSION_S)
    assert not health.is_excluded(EXCLUSION_S + 2 * EXCLUSION_S)
