"""A customer that sends several times what its limit allows.

Its requests were each held for a third of their objective and then told to
return in 0.25 s, for as long as the burst lasted; all kinds were refused
alike.
"""

from collections import defaultdict
from heapq import heappop, heappush
from random import Random

import pytest

from chervilshift.core.fleet.limitqueue import LimitQueue
from chervilshift.core.fleet.limits import (
    LimitAccount,
    LimitAllocator,
    LimitPolicy,
)
from chervilshift.core.fleet.model import Customer
from tests.core.fleet.test_distribution import World

STEP_S = 0.01
WINDOW_S, TOLERANCE, SLACK = 8.0, 0.1, 72_000.0
MAX_WAIT_S = 0.35
TIMEOUT_S = 6.1
LARGE, SMALL = 9_000.0, 200.0
BURST_S = range(4, 12)
END_S = 16
# Gateways get requests once they have heard from control.
READY_AT_S = 0.5


def customer(rate: float) -> Customer:
    return Customer(
        name="acme", keys=("k",), rate_per_s=rate, burst=rate, by_tokens=True
    )


class Client:
    """Sends to gateways' queues; what is refused returns once, as told."""

    def __init__(self, acme: Customer, queues: list[LimitQueue], seed: int):
        self.acme = acme
        self.queues = queues
        self.rng = Random(seed)
        self.now = 0.0
        self.waiting = [[] for _ in queues]
        self.returning = []
        # Amounts charged by step, and by second.
        self.charged = defaultdict(float)
        self.by_second = defaultdict(float)
        self.asked = defaultdict(int)
        self.served = defaultdict(int)
        self.lost = 0
        self.refused_at = []
        self.held_s = []
        self.retry_after_s = []

    def send(self, tokens_per_s: float) -> None:
        mean = (LARGE + SMALL) / 2
        while self.returning and self.returning[0][0] <= self.now:
            _, _, kind, deadline = heappop(self.returning)
            self._join(kind, deadline, returns=False)
        for _ in range(10):
            if self.rng.random() < tokens_per_s * STEP_S / mean / 10:
                amount = self.rng.choice((LARGE, SMALL))
                kind = (
                    amount,
                    0 if amount == SMALL else self.rng.choice("01"),
                )
                self.asked[kind] += 1
                self._join(kind, self.now + TIMEOUT_S, returns=True)

    def _join(self, kind, deadline, *, returns) -> None:
        number = self.rng.randrange(len(self.queues))
        waiting = self.queues[number].join(
            self.acme, kind[0], int(kind[1]), MAX_WAIT_S, self.now
        )
        self.waiting[number].append((waiting, kind, deadline, returns))
        self.settle(number)

    def settle(self, number: int) -> None:
        queue = self.queues[number]
        kept = []
        for entry in self.waiting[number]:
            waiting, kind, deadline, returns = entry
            if waiting.charged:
                self.served[kind] += 1
                self.charged[round(self.now / STEP_S)] += waiting.amount
                self.by_second[int(self.now)] += waiting.amount
            elif queue.waits_in_vain(waiting, self.now):
                queue.leave(waiting)
                self.refused_at.append(self.now)
                self.held_s.append(self.now - waiting.joined_at)
                left_s = deadline - self.now
                wait_s = queue.defer(waiting, left_s, self.now)
                assert 0 < wait_s <= left_s / 3 + 1e-9
                self.retry_after_s.append(wait_s)
                if returns:
                    at = self.now + wait_s
                    item = (at, self.rng.random(), kind, deadline)
                    heappush(self.returning, item)
                else:
                    self.lost += 1
            else:
                kept.append(entry)
        self.waiting[number] = kept

    def most_in_a_window(self) -> float:
        steps = round(WINDOW_S / STEP_S)
        most = total = 0.0
        for step in range(max(self.charged) + 1):
            total += self.charged.get(step, 0.0)
            total -= self.charged.get(step - steps, 0.0)
            most = max(most, total)
        return most


def play_burst(rate: float, delay_s: float, gateways: int = 24) -> Client:
    """Play a customer that sends half of its limit, and six times that."""
    acme = customer(rate)
    policy = LimitPolicy(window_s=WINDOW_S, tolerance=TOLERANCE, slack=SLACK)
    allocator = LimitAllocator(policy=policy)
    allocator.set_gateway_count(gateways)
    accounts = [LimitAccount(policy=policy) for _ in range(gateways)]
    for account in accounts:
        account.configure((acme,))
        account.set_gateway_count(gateways)
    client = Client(
        acme,
        [LimitQueue(account=a, rng=Random(n)) for n, a in enumerate(accounts)],
        seed=1,
    )
    asked_at = [-1.0] * gateways
    replies = {}
    allocator.is_granting(-1.0)
    for step in range(round(END_S / STEP_S)):
        now = client.now = step * STEP_S
        for number, account in enumerate(accounts):
            if number in replies and now >= replies[number][0]:
                _, grants, waits = replies.pop(number)
                account.apply_grants(grants, waits, now)
                client.queues[number].serve("acme", now)
            client.settle(number)
            due_s = 0.1 if client.waiting[number] else 0.25
            if number not in replies and now - asked_at[number] >= due_s:
                asked_at[number] = now
                grants = allocator.grant(
                    (acme,),
                    account.needed(),
                    account.prefetch(),
                    0.0,
                    now,
                    str(number),
                )
                waits = allocator.waits((acme,))
                replies[number] = (now + 2 * delay_s, grants, waits)
        if now >= READY_AT_S:
            client.send(rate / 2 * (6 if now // 1 in BURST_S else 1))
    return client


def share_served(client: Client, kind) -> float:
    return client.served[kind] / client.asked[kind]


@pytest.mark.parametrize("delay_s", [0.005, 0.04])
@pytest.mark.parametrize("rate", [60_000.0, 200_000.0, 600_000.0])
def test_burst_gets_its_limit_and_the_rest_is_refused_at_once(rate, delay_s):
    client = play_burst(rate, delay_s)
    allowed = rate * WINDOW_S + rate
    assert client.most_in_a_window() <= allowed * (1 + TOLERANCE) + SLACK
    charged = sum(client.by_second[s] for s in BURST_S)
    assert charged >= 0.9 * allowed
    assert min(client.refused_at) >= BURST_S.start
    refused = len(client.held_s)
    assert sum(client.held_s) / refused < 0.4 * MAX_WAIT_S
    # They are asked to return when there may be room, not all at once.
    assert sorted(client.retry_after_s)[refused // 2] > 0.5
    assert len(set(client.retry_after_s)) > 0.9 * refused


@pytest.mark.parametrize("delay_s", [0.005, 0.04])
def test_small_and_urgent_requests_go_first_and_others_are_not_starved(
    delay_s,
):
    client = play_burst(200_000.0, delay_s)
    small = share_served(client, (SMALL, 0))
    urgent = share_served(client, (LARGE, "0"))
    other = share_served(client, (LARGE, "1"))
    assert small > 0.95
    assert urgent > other
    everything = sum(client.served.values()) / sum(client.asked.values())
    assert other > everything / 4


def test_customer_below_its_limit_is_not_refused():
    client = play_burst(200_000.0, 0.04)
    before = [at for at in client.refused_at if at < BURST_S.start]
    assert not before


@pytest.mark.parametrize("gateways", [65, 300])
def test_limit_holds_over_relays_also_while_gateways_are_out_of_touch(
    gateways,
):
    rate = 200_000.0
    world = World(gateways, rate=rate)
    acme = world.customers[0]
    queues = [
        LimitQueue(account=g.account, rng=Random(n))
        for n, g in enumerate(world.gateways)
    ]
    client = Client(acme, queues, seed=2)

    def on_step() -> None:
        # The steps of the fleet are longer than those of the client.
        for _ in range(5):
            client.now += STEP_S
            client.send(3 * rate if world.now > 2.0 else rate / 2)
        for number, gateway in enumerate(world.gateways):
            queues[number].serve("acme", world.now)
            client.settle(number)
            if client.waiting[number]:
                gateway.due_at = min(gateway.due_at, world.now + 0.1)

    world.run(10.0, on_step)
    in_touch = sum(client.by_second[s] for s in range(2, 10)) / 8
    world.cut = {"c1", "c2"} | {f"g{n}" for n in range(0, gateways, 10)}
    world.run(6.0, on_step)
    world.cut = set()
    world.run(6.0, on_step)
    assert in_touch > 0.85 * rate
    bound = (rate * WINDOW_S + rate) * (1 + TOLERANCE) + SLACK
    assert client.most_in_a_window() <= bound
