"""How a gateway holds and refuses requests at their customers' limits."""

from random import Random
from types import SimpleNamespace

import anyio

from chervilshift.clock import SystemClock
from chervilshift.core.fleet.limitqueue import LimitQueue
from chervilshift.core.fleet.limits import LimitAccount, LimitPolicy
from chervilshift.core.fleet.model import Customer
from chervilshift.gateway.admission import MAX_LIMIT_WAIT_SHARE, RateLimiter

OBJECTIVE_S, TIMEOUT_S = 1.0, 6.0
COST = 9_000.0
ACME = Customer(
    name="acme",
    keys=("k",),
    rate_per_s=100_000.0,
    burst=100_000.0,
    by_tokens=True,
)


class Gateway:
    """Limits of a gateway; it is the sync that its limiter uses, too."""

    def __init__(self, backlog_s: float):
        self.clock = SystemClock()
        self.limits = LimitAccount(
            policy=LimitPolicy(window_s=8.0, tolerance=0.1, slack=0.0)
        )
        self.limits.configure((ACME,))
        self.limit_queue = LimitQueue(account=self.limits, rng=Random(1))
        self.limiter = RateLimiter(state=self, sync=self, clock=self.clock)
        self.replied = anyio.Event()
        self.asked = 0
        self.reply({}, backlog_s)

    def reply(self, grants: dict[str, float], backlog_s: float) -> None:
        now = self.clock.monotonic()
        self.limits.apply_grants(grants, {"acme": backlog_s}, now)
        self.replied.set()
        self.replied = anyio.Event()

    async def wait_reply(self) -> None:
        await self.replied.wait()

    async def refresh(self) -> None:
        self.asked += 1
        await self.wait_reply()

    def exchange(self) -> SimpleNamespace:
        return SimpleNamespace(
            customer=ACME,
            limit_cost=COST,
            priority=0,
            route=SimpleNamespace(objective_s=OBJECTIVE_S),
            deadline_at=self.clock.monotonic() + TIMEOUT_S,
            charged=False,
            retry_after_s=0.0,
        )


def test_request_behind_a_long_backlog_is_refused_at_once():
    """It was held for 0.35 of its objective first."""

    async def play() -> None:
        gateway = Gateway(backlog_s=1.5)
        exchange = gateway.exchange()
        began_at = gateway.clock.monotonic()
        assert not await gateway.limiter.admit(exchange)
        assert gateway.clock.monotonic() - began_at < 0.1
        assert 1.5 <= exchange.retry_after_s <= TIMEOUT_S / 3
        assert not gateway.limits.needed()

    anyio.run(play)


def test_request_behind_a_short_backlog_is_charged_when_it_is_granted():
    async def play() -> None:
        gateway = Gateway(backlog_s=0.05)
        exchange = gateway.exchange()
        async with anyio.create_task_group() as tg:
            tg.start_soon(gateway.limiter.admit, exchange)
            await anyio.sleep(0.1)
            # Its grant is asked for when it is expected.
            assert gateway.asked == 1
            assert gateway.limits.needed() == {"acme": COST}
            gateway.reply({"acme": COST}, 0.0)
        assert exchange.charged
        assert not gateway.limits.needed()

    anyio.run(play)


def test_request_without_any_reply_waits_no_longer_than_it_may():
    async def play() -> None:
        gateway = Gateway(backlog_s=0.0)
        exchange = gateway.exchange()
        began_at = gateway.clock.monotonic()
        assert not await gateway.limiter.admit(exchange)
        waited_s = gateway.clock.monotonic() - began_at
        assert waited_s >= MAX_LIMIT_WAIT_SHARE * OBJECTIVE_S
        assert waited_s < MAX_LIMIT_WAIT_SHARE * OBJECTIVE_S + 0.2
        assert exchange.retry_after_s > 0

    anyio.run(play)


def test_client_that_disconnects_leaves_nothing_waiting():
    async def play() -> None:
        gateway = Gateway(backlog_s=0.05)
        exchange = gateway.exchange()
        with anyio.move_on_after(0.08):
            await gateway.limiter.admit(exchange)
        assert not exchange.charged
        assert not gateway.limits.needed()

    anyio.run(play)
