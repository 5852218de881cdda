"""Rate limits summed over all gateways, with and without a leader.

The bound is the operator's: in any 8 s, all gateways together spend no more
than (rate x 8 + burst) x 1.1 + slack. It could be exceeded when gateways on
fallback shares spend beside the leader's grants.
"""

import random
from collections import deque

import pytest

from chervilshift.core.fleet.intervals import DIRECT_RESERVE_AFTER_S
from chervilshift.core.fleet.limits import (
    LimitAccount,
    LimitAllocator,
    LimitPolicy,
)
from chervilshift.core.fleet.model import Customer

WINDOW_S = 8.0
TOLERANCE = 0.1
SLACK = 72_000.0
STEP_S = 0.05
SYNC_INTERVAL_S = 0.25
# How long a request waits for its limit, half of the longest objective.
MAX_LIMIT_WAIT_S = 1.0


def customer(rate: float = 20_000.0) -> Customer:
    return Customer(
        name="acme",
        keys=("k",),
        rate_per_s=rate,
        burst=rate,
        by_tokens=True,
    )


def limit_policy() -> LimitPolicy:
    return LimitPolicy(window_s=WINDOW_S, tolerance=TOLERANCE, slack=SLACK)


class Gateway:
    """A gateway's account, request rate and waiting requests."""

    def __init__(
        self,
        acme: Customer,
        rng: random.Random,
        load: float,
        gateway_count: int,
    ):
        self.account = LimitAccount(policy=limit_policy())
        self.account.configure((acme,))
        self.account.set_gateway_count(gateway_count)
        self.rng = rng
        self.load = load
        self.is_cut = False
        self.synced_at = 0.0
        self.waiting: list[tuple[float, float]] = []

    def retry(self, acme: Customer, now: float) -> float:
        """Retry the waiting requests; return the tokens admitted."""
        admitted = 0.0
        waiting, self.waiting = self.waiting, []
        for amount, since in waiting:
            self.account.remove_waiting(acme.name, amount)
            if self.account.try_spend(acme, amount, now):
                admitted += amount
            elif now - since < MAX_LIMIT_WAIT_S:
                self.account.add_waiting(acme.name, amount)
                self.waiting.append((amount, since))
        return admitted


def simulate(
    rate: float,
    load_factor: float,
    is_cut,
    gateway_count=8,
    seconds=60,
    seed=1,
    elections=(),
    has_lease=lambda now: True,
):
    """Return the largest amount spent in a window and the served share.

    The load is `load_factor` times the rate. `is_cut(number, now)` tells
    whether a gateway is cut off from the leader. At each time of
    `elections` a new leader starts without state. While `has_lease(now)` is
    false, the leader hears the gateways but does not grant.
    """
    elections = deque(elections)
    rng = random.Random(seed)
    acme = customer(rate)
    gateways = [
        Gateway(
            acme,
            random.Random(seed + n),
            load_factor * rate / gateway_count,
            gateway_count,
        )
        for n in range(gateway_count)
    ]
    allocator = LimitAllocator(policy=limit_policy())
    spends: deque[tuple[float, float]] = deque()
    max_window_use = served = requested = 0.0
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        if elections and now >= elections[0]:
            elections.popleft()
            allocator = LimitAllocator(policy=limit_policy())
        for number, gateway in enumerate(gateways):
            gateway.is_cut = is_cut(number, now)
            sync_due = (step + number) % int(SYNC_INTERVAL_S / STEP_S) == 0
            if sync_due and not gateway.is_cut:
                gateway.synced_at = now
            if not has_lease(now):
                allocator.record_lapse()
            elif sync_due and not gateway.is_cut:
                silent = sum(
                    now - n.synced_at > DIRECT_RESERVE_AFTER_S
                    for n in gateways
                )
                grants = allocator.grant(
                    (acme,),
                    gateway.account.needed(),
                    gateway.account.prefetch(),
                    silent / gateway_count,
                    now,
                )
                waits = allocator.waits((acme,))
                if allocator.is_granting(now):
                    gateway.account.apply_grants(grants, waits, now)
                amount = gateway.retry(acme, now)
                spends.append((now, amount))
                served += amount
            for _ in range(2):
                amount = rng.choice((200.0, 2_000.0, 9_000.0))
                # 3,733 is the mean amount.
                if rng.random() > gateway.load * STEP_S / 2 / 3_733.0:
                    continue
                requested += amount
                if gateway.account.try_spend(acme, amount, now):
                    spends.append((now, amount))
                    served += amount
                else:
                    gateway.account.add_waiting("acme", amount)
                    gateway.waiting.append((amount, now))
        while spends and spends[0][0] < now - WINDOW_S:
            spends.popleft()
        max_window_use = max(
            max_window_use, sum(amount for _, amount in spends)
        )
    return max_window_use, served / max(1.0, requested)


def warm_up(allocator: LimitAllocator, acme: Customer) -> None:
    """Call `grant` past the time in which a new leader does not grant."""
    for now in (0.0, 1.0, 4.9):
        allocator.grant((acme,), {}, {}, 0.0, now)


def bound(rate: float) -> float:
    """Return the amount that all gateways may spend in any window."""
    return (rate * WINDOW_S + rate) * (1 + TOLERANCE) + SLACK


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("rate", [18_000.0, 250_000.0])
def test_sum_stays_within_the_limit_while_half_of_the_gateways_are_cut(
    rate, seed
):
    def is_cut(number, now):
        return number % 2 == 0 and 15 < now < 35

    max_window_use, _ = simulate(rate, 4.0, is_cut, seed=seed)
    assert max_window_use <= bound(rate)


@pytest.mark.parametrize("seed", range(5))
def test_sum_stays_within_the_limit_without_any_leader(seed):
    max_window_use, served = simulate(
        18_000.0, 4.0, lambda n, t: t > 10, seed=seed
    )
    assert max_window_use <= bound(18_000.0)
    assert served > 0.1


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate", [18_000.0, 250_000.0])
def test_sum_stays_within_the_limit_through_elections(rate, seed):
    """Each election leaves the gateways without a leader for 1.5 s."""

    def is_cut(number, now):
        return any(at - 1.5 < now < at for at in (20, 24, 28, 40))

    max_window_use, _ = simulate(
        rate, 4.0, is_cut, seed=seed, elections=(20, 24, 28, 40)
    )
    assert max_window_use <= bound(rate)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("lapse_s", [0.85, 0.95, 1.2])
def test_sum_stays_within_the_limit_while_the_lease_lapses_repeatedly(
    lapse_s, seed
):
    max_window_use, served = simulate(
        132_000.0,
        4.0,
        lambda n, t: False,
        gateway_count=18,
        seed=seed,
        has_lease=lambda now: now % 1.6 >= lapse_s,
    )
    assert max_window_use <= bound(132_000.0)
    assert served > 0.2


def test_customer_below_its_limit_hardly_notices_an_election():
    def is_cut(number, now):
        return 18.7 < now < 20

    _, served = simulate(250_000.0, 0.5, is_cut, elections=(20,))
    assert served > 0.97


def test_customer_below_its_limit_is_served_almost_whole():
    _, served = simulate(250_000.0, 0.5, lambda n, t: False)
    assert served > 0.97


def test_large_and_small_requests_are_granted_alike():
    acme = customer(8_000.0)
    allocator = LimitAllocator(policy=limit_policy())
    warm_up(allocator, acme)
    amount = limit_policy().bucket_size(acme) + 10_500.0
    large = allocator.grant((acme,), {"acme": amount}, {}, 0.0, 20.0)
    assert large == {"acme": amount}
    assert allocator.grant((acme,), {"acme": 100.0}, {}, 0.0, 20.1) == {}
    assert allocator.waits((acme,))["acme"] > 1.0


def test_flood_of_large_requests_does_not_starve_small_ones():
    acme = customer(250_000.0)
    account = LimitAccount(policy=limit_policy())
    account.configure((acme,))
    account.set_gateway_count(8)
    # Numbers of large and small requests.
    served = [0, 0]
    for step in range(int(60 / STEP_S)):
        now = step * STEP_S
        # The leader replies, but grants nothing to this gateway.
        account.apply_grants({}, {"acme": 0.1}, now)
        served[0] += account.try_spend(acme, 9_000.0, now)
        if step % 10 == 0:
            served[1] += account.try_spend(acme, 200.0, now)
    assert served[0] == 0
    assert served[1] > 0.9 * 60 / STEP_S / 10


def test_short_silences_of_the_leader_do_not_each_allow_a_large_request():
    acme = customer(100_000.0)
    account = LimitAccount(policy=limit_policy())
    account.configure((acme,))
    account.set_gateway_count(18)
    served = 0
    for second in range(60):
        # Silent for the rest of each second, so 0.2 s of the share.
        account.apply_grants({}, {}, float(second))
        served += account.try_spend(acme, 9_000.0, second + 0.99)
    assert 0 < served * 9_000.0 <= 60 * 0.2 * 100_000.0 / 18 + 9_000.0


def test_request_beyond_the_fallback_share_is_charged_to_the_next_grant():
    acme = customer(100_000.0)
    account = LimitAccount(policy=limit_policy())
    account.configure((acme,))
    account.set_gateway_count(18)
    account.apply_grants({}, {}, 0.0)
    assert account.try_spend(acme, 9_000.0, 1.0)
    account.apply_grants({}, {}, 1.0)
    account.add_waiting("acme", 500.0)
    assert account.needed()["acme"] == pytest.approx(8_500.0)


def test_new_leader_starts_with_the_shares_of_gateways_set_aside():
    acme = customer(10_000.0)
    allocator = LimitAllocator(policy=limit_policy())
    warm_up(allocator, acme)
    first = allocator.grant((acme,), {"acme": 5_000.0}, {}, 0.0, 5.0)
    allocator.step_down()
    assert allocator.grant((acme,), {"acme": 5_000.0}, {}, 0.0, 5.1) == {}
    assert not allocator.is_granting(5.2)
    assert allocator.is_granting(6.0)
    assert first


def test_many_requests_waiting_at_once_do_not_overdraw_the_limit():
    acme = customer(10_000.0)
    allocator = LimitAllocator(policy=limit_policy())
    warm_up(allocator, acme)
    granted = allocator.grant((acme,), {"acme": 900_000.0}, {}, 0.0, 5.0)
    assert granted["acme"] <= bound(10_000.0) - 10_000.0 * WINDOW_S
