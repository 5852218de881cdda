"""Retry budget: the sum over gateways stays in bounds in any window."""

import random

import pytest

from chervilshift.core.fleet.retries import RetryBudget, RetryPolicy

WINDOW_S = 10.0


@pytest.mark.parametrize("gateways", [1, 4, 11])
@pytest.mark.parametrize("seed", range(4))
def test_sum_over_gateways_stays_within_any_window(gateways, seed):
    rng = random.Random(seed)
    policy = RetryPolicy(ratio=0.2, fixed_retries=56, window_s=WINDOW_S)
    budgets = [RetryBudget(policy=policy, now=0.0) for _ in range(gateways)]
    requests: list[float] = []
    retries: list[float] = []
    for step in range(4000):
        now = step * 0.01
        if rng.random() < 0.4:
            rng.choice(budgets).deposit()
            requests.append(now)
        if rng.choice(budgets).withdraw(gateways, now):
            retries.append(now)
    for start in range(0, 30):
        span = (start, start + WINDOW_S)
        requested = sum(span[0] <= at < span[1] for at in requests)
        retried = sum(span[0] <= at < span[1] for at in retries)
        assert retried <= 0.2 * requested + 56


def test_budget_is_there_from_the_start_and_regained():
    policy = RetryPolicy(ratio=0.0, fixed_retries=40, window_s=WINDOW_S)
    budget = RetryBudget(policy=policy, now=0.0)
    assert sum(budget.withdraw(4, 0.0) for _ in range(100)) == 5
    assert not budget.available(4, 0.1)
    assert budget.available(4, 5.0)
