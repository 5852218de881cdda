"""Customers' limits as a sum over gateways, in and out of touch.

The windows are those of the operator's bounds: in any 8 s no more than
(rate x 8 + burst) x 1.1 + slack.
"""

import random
from collections import deque

import pytest

from chervilshift.core.fleet.limits import (
    RESERVE_AFTER_S,
    LimitAccount,
    LimitAllocator,
    LimitPolicy,
)
from chervilshift.core.fleet.model import Customer

WINDOW_S = 8.0
TOLERANCE = 0.1
SLACK = 72_000.0
STEP_S = 0.05
SYNC_S = 0.25
# Half of the longest objective: how long a request waits for its limit.
PATIENCE_S = 1.0


def customer(rate: float = 20_000.0) -> Customer:
    return Customer(
        name="acme",
        keys=("k",),
        rate_per_s=rate,
        burst=rate,
        by_tokens=True,
    )


def terms() -> LimitPolicy:
    return LimitPolicy(window_s=WINDOW_S, tolerance=TOLERANCE, slack=SLACK)


class Gateway:
    def __init__(
        self,
        who: Customer,
        rng: random.Random,
        load: float,
        gateways: int,
    ):
        self.account = LimitAccount(policy=terms())
        self.account.configure((who,))
        self.account.set_gateway_count(gateways)
        self.rng = rng
        self.load = load
        self.cut = False
        self.seen_at = 0.0
        self.waiting: list[tuple[float, float]] = []

    def retry(self, who: Customer, now: float) -> float:
        """Admit what waited for a grant; return the tokens admitted."""
        admitted = 0.0
        waiting, self.waiting = self.waiting, []
        for amount, since in waiting:
            self.account.remove_waiting(who.name, amount)
            if self.account.try_spend(who, amount, now):
                admitted += amount
            elif now - since < PATIENCE_S:
                self.account.add_waiting(who.name, amount)
                self.waiting.append((amount, since))
        return admitted


def play(
    rate: float,
    load_x: float,
    cuts,
    gateways=8,
    seconds=60,
    seed=1,
    elections=(),
):
    """Return the highest use of a window and the share that was served.

    At each time of `elections` a new leader starts with nothing.
    """
    elections = deque(elections)
    rng = random.Random(seed)
    who = customer(rate)
    nodes = [
        Gateway(
            who, random.Random(seed + n), load_x * rate / gateways, gateways
        )
        for n in range(gateways)
    ]
    ledger = LimitAllocator(policy=terms())
    used: deque[tuple[float, float]] = deque()
    worst = total = asked = 0.0
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        if elections and now >= elections[0]:
            elections.popleft()
            ledger = LimitAllocator(policy=terms())
        for number, node in enumerate(nodes):
            node.cut = cuts(number, now)
            due = (step + number) % int(SYNC_S / STEP_S) == 0
            if due and not node.cut:
                node.seen_at = now
                silent = sum(now - n.seen_at > RESERVE_AFTER_S for n in nodes)
                grants = ledger.grant(
                    (who,),
                    node.account.needed(),
                    node.account.prefetch(),
                    silent / gateways,
                    now,
                )
                waits = ledger.waits((who,))
                if ledger.is_granting(now):
                    node.account.apply_grants(grants, waits, now)
                amount = node.retry(who, now)
                used.append((now, amount))
                total += amount
            for _ in range(2):
                amount = rng.choice((200.0, 2_000.0, 9_000.0))
                if rng.random() > node.load * STEP_S / 2 / 3_733.0:
                    continue
                asked += amount
                if node.account.try_spend(who, amount, now):
                    used.append((now, amount))
                    total += amount
                else:
                    node.account.add_waiting("acme", amount)
                    node.waiting.append((amount, now))
        while used and used[0][0] < now - WINDOW_S:
            used.popleft()
        worst = max(worst, sum(amount for _, amount in used))
    return worst, total / max(1.0, asked)


def warm_up(ledger: LimitAllocator, who: Customer) -> None:
    """Take a ledger through its first second of leading."""
    for now in (0.0, 1.0, 4.9):
        ledger.grant((who,), {}, {}, 0.0, now)


def bound(rate: float) -> float:
    return (rate * WINDOW_S + rate) * (1 + TOLERANCE) + SLACK


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("rate", [18_000.0, 250_000.0])
def test_sum_stays_within_the_limit_while_half_of_the_gateways_are_cut(
    rate, seed
):
    def cuts(number, now):
        return number % 2 == 0 and 15 < now < 35

    worst, _ = play(rate, 4.0, cuts, seed=seed)
    assert worst <= bound(rate)


@pytest.mark.parametrize("seed", range(5))
def test_sum_stays_within_the_limit_without_any_leader(seed):
    worst, served = play(18_000.0, 4.0, lambda n, t: t > 10, seed=seed)
    assert worst <= bound(18_000.0)
    assert served > 0.1


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate", [18_000.0, 250_000.0])
def test_sum_stays_within_the_limit_through_elections(rate, seed):
    """Each election leaves the gateways without a leader for 1.5 s."""

    def cuts(number, now):
        return any(at - 1.5 < now < at for at in (20, 24, 28, 40))

    worst, _ = play(rate, 4.0, cuts, seed=seed, elections=(20, 24, 28, 40))
    assert worst <= bound(rate)


def test_customer_below_its_limit_hardly_notices_an_election():
    def cuts(number, now):
        return 18.7 < now < 20

    _, served = play(250_000.0, 0.5, cuts, elections=(20,))
    assert served > 0.97


def test_customer_below_its_limit_is_served_almost_whole():
    _, served = play(250_000.0, 0.5, lambda n, t: False)
    assert served > 0.97


def test_large_and_small_requests_are_granted_alike():
    who = customer(10_000.0)
    ledger = LimitAllocator(policy=terms())
    warm_up(ledger, who)
    large = ledger.grant((who,), {"acme": 25_000.0}, {}, 0.0, 5.0)
    assert large == {"acme": 25_000.0}
    assert ledger.grant((who,), {"acme": 100.0}, {}, 0.0, 5.1) == {}
    assert ledger.waits((who,))["acme"] > 1.0


def test_flood_of_large_requests_does_not_starve_small_ones():
    who = customer(250_000.0)
    account = LimitAccount(policy=terms())
    account.configure((who,))
    account.set_gateway_count(8)
    served = [0, 0]
    for step in range(int(60 / STEP_S)):
        now = step * STEP_S
        # The leader answers, but the limit has no room at this gateway.
        account.apply_grants({}, {"acme": 0.1}, now)
        served[0] += account.try_spend(who, 9_000.0, now)
        if step % 10 == 0:
            served[1] += account.try_spend(who, 200.0, now)
    assert served[0] == 0
    assert served[1] > 0.9 * 60 / STEP_S / 10


def test_new_leader_starts_with_the_shares_of_gateways_set_aside():
    who = customer(10_000.0)
    ledger = LimitAllocator(policy=terms())
    warm_up(ledger, who)
    first = ledger.grant((who,), {"acme": 5_000.0}, {}, 0.0, 5.0)
    ledger.step_down()
    assert ledger.grant((who,), {"acme": 5_000.0}, {}, 0.0, 5.1) == {}
    assert not ledger.is_granting(5.2)
    assert ledger.is_granting(6.0)
    assert first


def test_many_requests_waiting_at_once_do_not_overdraw_the_limit():
    who = customer(10_000.0)
    ledger = LimitAllocator(policy=terms())
    warm_up(ledger, who)
    granted = ledger.grant((who,), {"acme": 900_000.0}, {}, 0.0, 5.0)
    assert granted["acme"] <= who.burst + SLACK / 4
