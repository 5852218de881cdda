"""Retry budget: the sum over gateways stays in bounds in any window."""

import random
from bisect import bisect_left

import pytest

from chervilshift.core.fleet.retries import RetryBudget, RetryPolicy

WINDOW_S = 10.0
RATIO = 0.2
FIXED_RETRIES = 56
DAY_S = 60.0


def make_budgets(gateways: int, rng: random.Random) -> list[RetryBudget]:
    policy = RetryPolicy(
        ratio=RATIO, fixed_retries=FIXED_RETRIES, window_s=WINDOW_S
    )
    return [
        RetryBudget(policy=policy, now=0.0, phase=rng.random())
        for _ in range(gateways)
    ]


def play(gateways, seed, loads):
    """Return when requests came and retries were made.

    `loads` are the requests a second in each second, repeated; every gateway
    retries as often as it may, in some seconds only.
    """
    rng = random.Random(seed)
    budgets = make_budgets(gateways, rng)
    requests: list[float] = []
    retries: list[float] = []
    for second in range(int(DAY_S)):
        for at in sorted(
            second + rng.random()
            for _ in range(round(loads[second % len(loads)]))
        ):
            rng.choice(budgets).deposit(at)
            requests.append(at)
        if rng.random() < 0.5:
            now = second + 1.0
            for budget in budgets:
                while budget.withdraw(gateways, now):
                    retries.append(now)
    return requests, retries


def count(times, start):
    """Return how many of the sorted times are in a window."""
    return bisect_left(times, start + WINDOW_S) - bisect_left(times, start)


@pytest.mark.parametrize("gateways", [1, 4, 11, 30, 300])
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "loads",
    [
        [40.0],
        [270.0],
        [400.0] * 12 + [0.0] * 12,
        [3000.0] * 3 + [0.0] * 9,
        [300.0] + [0.0] * 11,
    ],
    ids=["few", "even", "in long turns", "in short turns", "at once"],
)
def test_sum_over_gateways_stays_within_any_window(gateways, seed, loads):
    """The requests are those of the window or of one before it."""
    requests, retries = play(gateways, seed, loads)
    for step in range(0, int((DAY_S - WINDOW_S) * 4)):
        start = step / 4
        requested = max(
            count(requests, start - before_s)
            for before_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        assert count(retries, start) <= RATIO * requested + FIXED_RETRIES


@pytest.mark.parametrize("gateways", [1, 4, 11])
@pytest.mark.parametrize("seed", range(4))
def test_sum_at_an_even_load_stays_within_the_window_itself(gateways, seed):
    rng = random.Random(seed)
    budgets = make_budgets(gateways, rng)
    requests: list[float] = []
    retries: list[float] = []
    for step in range(4000):
        now = step * 0.01
        if rng.random() < 0.4:
            rng.choice(budgets).deposit(now)
            requests.append(now)
        if rng.choice(budgets).withdraw(gateways, now):
            retries.append(now)
    for start in range(0, 30):
        requested, retried = count(requests, start), count(retries, start)
        assert retried <= RATIO * requested + FIXED_RETRIES


@pytest.mark.parametrize("gateways", [4, 30, 300])
@pytest.mark.parametrize("requests_per_s", [270.0, 3000.0])
def test_permits_that_requests_earned_are_used_in_a_large_fleet(
    gateways, requests_per_s
):
    """A gateway's share of the fixed retries is under one permit there."""
    requests, retries = play(gateways, 1, [requests_per_s])
    assert len(retries) >= RATIO * len(requests) / 4


def test_budget_is_there_from_the_start_and_regained():
    policy = RetryPolicy(ratio=0.0, fixed_retries=40, window_s=WINDOW_S)
    budget = RetryBudget(policy=policy, now=0.0, phase=0.5)
    assert sum(budget.withdraw(4, 0.0) for _ in range(100)) == 5
    assert not budget.available(4, 0.1)
    assert budget.available(4, 5.0)
