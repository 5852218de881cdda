"""Duties that the leader alone performs at the cloud: usage and orders.

The cloud does not check fencing tokens, so a new leader waits until the old
one's lease and its calls under way have run out before its first call.
"""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
from absl import logging
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.clock import Clock
from chervilshift.control.node import Node
from chervilshift.core.commands import CommitUsage
from chervilshift.core.fleet.model import ServingConfig
from chervilshift.core.fleet.presence import Presence
from chervilshift.core.fleet.scaling import (
    Fleet,
    Order,
    PeakSize,
    needed_size,
    plan_orders,
)
from chervilshift.core.fleet.usage import window_of
from chervilshift.errors import Failure
from chervilshift.events import EventLog

__all__ = ["Cloud", "DutyTask"]

INTERVAL_S = 0.25
# After a window's end, its last counts take a sync or two to arrive.
SETTLE_S = 1.5
# A new holder's first call comes this much after the old lease's end: the
# time limit of a call that was under way.
CALL_MARGIN_S = 1.0
# Between two orders for the same subject. What is refused is asked for again
# this soon: it may be to be had for a moment only.
ORDER_INTERVAL_S = 0.5
# After an order that was taken, endpoints need this long beyond the boot
# before a shortfall is ordered again.
ORDER_PATIENCE_S = 3.0
# A refused domain is taken for empty this long: after the next order that
# is taken, its endpoints need a boot before stand-ins may go.
REFUSED_FOR_S = 6.0
# A successor repeats committed reports of this many windows.
REPEAT_WINDOWS = 2


class Cloud(Protocol):
    """What duties need of a cloud."""

    async def report_usage(
        self, window: int, counts: dict[str, int], token: int
    ) -> Result[None, Failure]:
        """Report the requests begun in a window, by customer."""

    async def order(
        self,
        service: str,
        failure_domain: str,
        count: int,
        *,
        spot: bool,
        token: int,
    ) -> Result[None, Failure]:
        """Order a number of endpoints of one kind."""


class _Placed:
    """The last order taken for a subject, and how many it brought."""

    __slots__ = ("at", "count", "reached", "tried_at")

    def __init__(self):
        self.count: int | None = None
        self.at = float("-inf")
        self.reached = 0
        self.tried_at = float("-inf")

    def is_short(self, held: int, now: float, patience_s: float) -> bool:
        """Whether to order again: some have left, or too few came."""
        if self.count is None:
            return False
        self.reached = max(self.reached, min(held, self.count))
        late = now - self.at > patience_s
        return held < self.reached or (late and held != self.count)

    def take(self, count: int, now: float) -> None:
        """Note an order that was taken."""
        self.count, self.at = count, now
        self.reached = 0


class DutyTask:
    """Reports usage and orders endpoints while this replica leads."""

    def __init__(
        self,
        *,
        node: Node,
        presence: Presence,
        cloud: Cloud,
        serving: Callable[[], ServingConfig | None],
        wall_s: Callable[[], float],
        usage_window_s: float,
        lease_s: float,
        clock: Clock,
        events: EventLog,
    ):
        self._node = node
        self._presence = presence
        self._cloud = cloud
        self._serving = serving
        self._wall_s = wall_s
        self._window_s = usage_window_s
        self._lease_s = lease_s
        self._clock = clock
        self._events = events
        self._led_since: float | None = None
        self._next_window: int | None = None
        self._placed: dict[tuple[str, str, bool], _Placed] = {}
        self._refused: dict[str, float] = {}
        self._sizes: defaultdict[str, PeakSize] = defaultdict(PeakSize)

    async def run(self) -> None:
        """Perform the duties until cancelled, while this replica leads."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._loop, self._report_due)
            tg.start_soon(self._loop, self._order_due)

    async def step(self) -> None:
        """Do once what is due."""
        for duty in (self._report_due, self._order_due):
            if self._may_act():
                await duty()

    async def _loop(self, duty: Callable[[], Awaitable[None]]) -> None:
        while True:
            await anyio.sleep(INTERVAL_S)
            if self._may_act():
                await duty()

    def _may_act(self) -> bool:
        """Whether this replica leads and its predecessor's time is over."""
        now = self._clock.monotonic()
        if not self._node.has_lease():
            if not self._node.raft.is_leader:
                self._led_since = None
                self._next_window = None
                self._placed = {}
            return False
        if self._led_since is None:
            self._led_since = now
            self._events.emit("duty_lease", term=self._node.raft.term)
        return now - self._led_since > self._lease_s + CALL_MARGIN_S

    async def _report_due(self) -> None:
        settled = window_of(self._wall_s() - SETTLE_S, self._window_s)
        if self._next_window is None:
            newest = self._node.machine.fleet.newest_usage()
            started = settled - REPEAT_WINDOWS
            self._next_window = (
                started if newest is None else newest - REPEAT_WINDOWS + 1
            )
        while self._next_window is not None and self._next_window < settled:
            if not await self._report(self._next_window):
                return
            if self._next_window is not None:
                self._next_window += 1

    async def _report(self, window: int) -> bool:
        counts = self._node.machine.fleet.committed_usage(window)
        if counts is None:
            counts = self._presence.usage(window)
        term = self._node.raft.term
        committed = await self._node.submit(
            CommitUsage(window=window, counts=counts)
        )
        if isinstance(committed, Bad):
            logging.info("usage not committed: %s", committed.failure())
            return False
        if not self._may_act() or self._node.raft.term != term:
            return False
        counts = committed.unwrap().counts
        sent = await self._cloud.report_usage(window, counts, term)
        self._events.emit(
            "usage_reported",
            window=window,
            counts=counts,
            term=term,
            taken=not isinstance(sent, Bad),
        )
        return not isinstance(sent, Bad)

    async def _order_due(self) -> None:
        cfg: ServingConfig | None = self._serving()
        if cfg is None:
            return
        fleet_state = self._node.machine.fleet
        now = self._clock.monotonic()
        loads = self._presence.loads("", now)
        for spec in cfg.services.values():
            if spec.scaling is None:
                continue
            endpoints = [
                e for e in fleet_state.endpoints() if e.service == spec.name
            ]
            active = sum(
                loads[e.id].active for e in endpoints if e.id in loads
            )
            fleet = Fleet(
                endpoints=endpoints,
                active=active,
                prefill_tokens_per_s=self._presence.prefill_tokens_per_s(
                    spec.name, now
                ),
                spot_unavailable=frozenset(
                    domain
                    for domain, at in self._refused.items()
                    if now - at < REFUSED_FOR_S
                ),
            )
            needed = needed_size(spec, fleet)
            size = self._sizes[spec.name].observe(needed, now)
            for order in plan_orders(spec, fleet, size):
                held = fleet.ready_count(order.failure_domain, spot=order.spot)
                await self._place(order, held, spec.scaling.boot_s)

    async def _place(self, order: Order, held: int, boot_s: float) -> None:
        placed = self._placed.setdefault(order.key, _Placed())
        now = self._clock.monotonic()
        short = placed.is_short(held, now, boot_s + ORDER_PATIENCE_S)
        if placed.count == order.count and not short:
            return
        if now - placed.tried_at < ORDER_INTERVAL_S or not self._may_act():
            return
        if placed.count is None and held == order.count and order.count == 0:
            placed.count = 0
            return
        placed.tried_at = now
        sent = await self._cloud.order(
            order.service,
            order.failure_domain,
            order.count,
            spot=order.spot,
            token=self._node.raft.term,
        )
        taken = not isinstance(sent, Bad)
        if taken:
            placed.take(order.count, now)
        elif order.spot:
            self._refused[order.failure_domain] = now
        self._events.emit(
            "ordered",
            service=order.service,
            failure_domain=order.failure_domain,
            spot=order.spot,
            count=order.count,
            held=held,
            taken=taken,
            reason="" if taken else str(sent.failure()),
        )
