"""Calls to the cloud that only the leader makes: usage reports and orders.

The cloud does not check fencing tokens. A new leader therefore waits before
its first call until the lease of its predecessor has expired and calls that
the predecessor had started have timed out.
"""

from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import anyio
from absl import logging
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.clock import Clock
from chervilshift.control.node import Node
from chervilshift.core.commands import CommitUsage
from chervilshift.core.fleet.model import (
    READY,
    EndpointRecord,
    ServingConfig,
)
from chervilshift.core.fleet.presence import Presence
from chervilshift.core.fleet.scaling import (
    Fleet,
    FleetSize,
    Order,
    needed_size,
    plan_orders,
)
from chervilshift.core.fleet.speeds import ServiceSpeed, tokens_per_s
from chervilshift.core.fleet.tables import forget_unnamed
from chervilshift.core.fleet.usage import window_of
from chervilshift.core.fleet.versions import Rollout
from chervilshift.errors import Failure
from chervilshift.events import EventLog

__all__ = ["Cloud", "DutyTask"]

# Interval at which each duty is checked.
DUTY_INTERVAL_S = 0.25
# The last counts of a usage window arrive with the one or two gateway syncs
# after its end. Gateways that have not reported since then, for example those
# that are cut off or new to this leader, are waited for up to the second time;
# the commit and the call to the cloud, once repeated, end within 10 s.
USAGE_SETTLE_S = 1.5
USAGE_WAIT_S = 7.0
# Gateways named in one event.
MAX_NAMED_GATEWAYS = 8
# Time from the end of the predecessor's lease to the first call of a new
# leader. It is the time limit of a call, so that none is still in progress.
CLOUD_CALL_TIMEOUT_S = 1.0
# Interval of orders for the same service, domain and kind. A refused order is
# repeated this soon because capacity may be available for a moment only.
ORDER_INTERVAL_S = 0.75
# After an accepted order, a shortfall is ordered again only once the boot time
# and this margin have passed.
ORDER_ARRIVAL_MARGIN_S = 3.0
# A failure domain that refused an order of reclaimable endpoints counts as
# without spot capacity for this time. Endpoints of the next accepted order
# have to boot before their on-demand substitutes may be removed.
SPOT_REFUSAL_TTL_S = 6.0
# Services times failure domains and kinds; endpoints name their domain.
MAX_ORDER_STATES = 8192
# A new leader repeats the committed reports of this many windows, because its
# predecessor may not have sent them.
REPEATED_WINDOWS = 2


# The term of the first leader of a new cluster.
FIRST_TERM = 1
# Time in which the endpoints of an existing fleet announce themselves to a new
# cluster; orders for those known before would shrink the fleet.
FLEET_SETTLE_S = 2.5
# Surplus ones may go once no more have announced themselves for some time, at
# the latest after the second time.
FLEET_COMPLETE_S, FLEET_KNOWN_S = 1.0, 5.0


class Cloud(Protocol):
    """Interface to the cloud that `DutyTask` uses."""

    async def report_usage(
        self, window: int, counts: dict[str, int], token: int
    ) -> Result[None, Failure]:
        """Report the requests started in a usage window, per customer.

        `window` is the number that `window_of` gives, and `token` the fencing
        token, as in `order`.
        """

    async def order(
        self,
        service: str,
        failure_domain: str,
        count: int,
        *,
        spot: bool,
        token: int,
    ) -> Result[None, Failure]:
        """Order that a failure domain has `count` endpoints of one kind.

        `spot` selects reclaimable endpoints instead of on-demand ones.
        """


class _OrderState:
    """State of the orders for one service, failure domain and kind.

    The kind is spot or on-demand.
    `count` and `accepted_at` are of the last accepted order; `count` is None
    before the first. `peak_held` is the largest number of ready endpoints
    since then, at most `count`. `attempted_at` is the time of the last call.
    """

    __slots__ = ("accepted_at", "attempted_at", "count", "peak_held")

    def __init__(self):
        self.count: int | None = None
        self.accepted_at = float("-inf")
        self.peak_held = 0
        self.attempted_at = float("-inf")

    def needs_repeat(
        self, held: int, now: float, arrival_timeout_s: float
    ) -> bool:
        """Return whether to repeat the order, with `held` endpoints ready.

        This is the case if endpoints have left, or if their number still
        differs from the order after `arrival_timeout_s`.
        """
        if self.count is None:
            return False
        self.peak_held = max(self.peak_held, min(held, self.count))
        is_late = now - self.accepted_at > arrival_timeout_s
        return held < self.peak_held or (is_late and held != self.count)

    def accept(self, count: int, now: float) -> None:
        """Record an accepted order."""
        self.count, self.accepted_at = count, now
        self.peak_held = 0


class DutyTask:
    """Reports usage and orders endpoints while this replica is leader.

    `wall_s` returns the Unix time in seconds, and `speeds` the measured
    speeds of services' engines. `lease_s` is the duration of a
    predecessor's lease.
    """

    def __init__(
        self,
        *,
        node: Node,
        presence: Presence,
        cloud: Cloud,
        serving_config: Callable[[], ServingConfig | None],
        speeds: Callable[[], dict[str, ServiceSpeed]],
        wall_s: Callable[[], float],
        usage_window_s: float,
        lease_s: float,
        clock: Clock,
        events: EventLog,
    ):
        self._node = node
        self._presence = presence
        self._cloud = cloud
        self._serving_config = serving_config
        self._speeds = speeds
        self._wall_s = wall_s
        self._window_s = usage_window_s
        self._lease_s = lease_s
        self._clock = clock
        self._events = events
        self._term = 0
        self._leading_since: float | None = None
        self._next_window: int | None = None
        self._order_states: dict[tuple[str, str, bool], _OrderState] = {}
        self._spot_refused_at: dict[str, float] = {}
        # The most endpoints known at once, and since when.
        self._known_count = 0
        self._fleet_grew_at = float("-inf")
        self._sizes: defaultdict[str, FleetSize] = defaultdict(FleetSize)

    async def run(self) -> None:
        """Perform the duties until cancelled, while this replica is leader."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._loop, self._report_usage)
            tg.start_soon(self._loop, self._order_endpoints)

    async def step(self) -> None:
        """Perform each duty once if it is due."""
        for duty in (self._report_usage, self._order_endpoints):
            if self._may_act():
                await duty()

    async def _loop(self, duty: Callable[[], Awaitable[None]]) -> None:
        while True:
            await anyio.sleep(DUTY_INTERVAL_S)
            self._watch_fleet()
            if self._may_act():
                await duty()

    def _may_act(self) -> bool:
        """Return whether this replica may call the cloud.

        It must hold the lease, and lease and calls of its predecessor must
        have expired.
        """
        now = self._clock.monotonic()
        raft = self._node.raft
        if not raft.is_leader or raft.term != self._term:
            # Another leader may have made calls between two terms of this one.
            self._term = raft.term
            self._leading_since = None
            self._next_window = None
            self._order_states = {}
        if not self._node.has_lease():
            return False
        if self._leading_since is None:
            self._leading_since = now
            self._events.emit("duty_lease", term=self._node.raft.term)
        wait_s = self._lease_s + CLOUD_CALL_TIMEOUT_S
        if self._node.raft.term == FIRST_TERM:
            # There was no leader before.
            wait_s = min(wait_s, FLEET_SETTLE_S)
        return now - self._leading_since > wait_s

    def _knows_fleet(self, now: float) -> bool:
        """Whether all endpoints had the time to announce themselves."""
        return (
            self._node.raft.term != FIRST_TERM
            or now - self._leading_since > FLEET_KNOWN_S
            or now - self._fleet_grew_at > FLEET_COMPLETE_S
        )

    def _watch_fleet(self) -> None:
        """Record when endpoints became known, as `_knows_fleet` needs it."""
        raft = self._node.raft
        if not raft.is_leader or raft.term != FIRST_TERM:
            return
        known = len(self._node.machine.fleet.endpoints())
        if known > self._known_count:
            self._known_count = known
            self._fleet_grew_at = self._clock.monotonic()

    async def _report_usage(self) -> None:
        first_unsettled = window_of(
            self._wall_s() - USAGE_SETTLE_S, self._window_s
        )
        if self._next_window is None:
            newest_window = self._node.machine.fleet.newest_usage()
            first_window = first_unsettled - REPEATED_WINDOWS
            self._next_window = (
                first_window
                if newest_window is None
                else newest_window - REPEATED_WINDOWS + 1
            )
        while (
            self._next_window is not None
            and self._next_window < first_unsettled
        ):
            if not await self._report_window(self._next_window):
                return
            if self._next_window is not None:
                self._next_window += 1

    async def _report_window(self, window: int) -> bool:
        counts = self._node.machine.fleet.committed_usage(window)
        missing = ()
        if counts is None:
            missing = self._presence.without_usage(
                window,
                self._node.machine.fleet.gateways,
                self._clock.monotonic(),
            )
            waited_s = self._wall_s() - (window + 1) * self._window_s
            if missing and waited_s < USAGE_WAIT_S:
                return False
            counts = self._presence.usage.total(window)
        term = self._node.raft.term
        committed = await self._node.submit(
            CommitUsage(window=window, counts=counts)
        )
        if isinstance(committed, Bad):
            logging.info(
                "usage report not committed, retrying: %s", committed.failure()
            )
            return False
        if not self._may_act() or self._node.raft.term != term:
            return False
        counts = committed.unwrap().counts
        sent = await self._cloud.report_usage(window, counts, term)
        self._events.emit(
            "usage_reported",
            window=window,
            counts=counts,
            missing=missing[:MAX_NAMED_GATEWAYS],
            term=term,
            taken=not isinstance(sent, Bad),
        )
        return not isinstance(sent, Bad)

    async def _order_endpoints(self) -> None:
        cfg: ServingConfig | None = self._serving_config()
        if cfg is None:
            return
        fleet_state = self._node.machine.fleet
        now = self._clock.monotonic()
        self._spot_refused_at = {
            domain: refused_at
            for domain, refused_at in self._spot_refused_at.items()
            if now - refused_at < SPOT_REFUSAL_TTL_S
        }
        forget_unnamed(self._sizes, cfg.services)
        # The loads from all gateways: "" excludes none.
        loads = self._presence.loads("", now)
        speeds = self._speeds()
        for spec in cfg.services.values():
            if spec.scaling is None:
                continue
            endpoints, extra = _split_by_rollout(
                (e for e in fleet_state.endpoints() if e.service == spec.name),
                fleet_state.rollouts.rollouts.get(spec.name),
            )
            active = sum(
                loads[e.id].active for e in endpoints if e.id in loads
            )
            fleet = Fleet(
                endpoints=endpoints,
                active=active,
                prefill_tokens_per_s=self._presence.prefill_tokens_per_s(
                    spec.name, now
                ),
                prefill_speed=tokens_per_s(speeds, spec.name),
                spot_unavailable=frozenset(self._spot_refused_at),
            )
            size = self._sizes[spec.name].observe(
                needed_size(spec, fleet),
                needed_size(spec, fleet, in_burst=True),
                now,
                found=fleet.known_size(),
                has_load=fleet.has_load,
            )
            for order in plan_orders(spec, fleet, size):
                held = fleet.ready_count(order.failure_domain, spot=order.spot)
                added = extra[order.failure_domain, order.spot]
                if added and order.count <= held:
                    # No order is needed that the new version has to be in.
                    continue
                order.count += added
                await self._place_order(
                    order, held + added, spec.scaling.boot_s
                )

    async def _place_order(
        self, order: Order, held: int, boot_s: float
    ) -> None:
        # The one used longest ago is first.
        order_state = self._order_states.pop(order.key, None) or _OrderState()
        self._order_states[order.key] = order_state
        while len(self._order_states) > MAX_ORDER_STATES:
            del self._order_states[next(iter(self._order_states))]
        now = self._clock.monotonic()
        repeat = order_state.needs_repeat(
            held, now, boot_s + ORDER_ARRIVAL_MARGIN_S
        )
        if order_state.count == order.count and not repeat:
            return
        if (
            now - order_state.attempted_at < ORDER_INTERVAL_S
            or not self._may_act()
        ):
            return
        if order.count < held and not self._knows_fleet(now):
            return
        if order_state.count is None and held == order.count:
            # If more are booting, the order is repeated once they are late.
            order_state.accept(order.count, now)
            return
        order_state.attempted_at = now
        sent = await self._cloud.order(
            order.service,
            order.failure_domain,
            order.count,
            spot=order.spot,
            token=self._node.raft.term,
        )
        taken = not isinstance(sent, Bad)
        if taken:
            order_state.accept(order.count, now)
        elif order.spot:
            self._spot_refused_at[order.failure_domain] = now
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


def _split_by_rollout(
    endpoints: Iterable[EndpointRecord], rollout: Rollout | None
) -> tuple[list[EndpointRecord], Counter[tuple[str, bool]]]:
    """Return endpoints, and counts of a new version's by domain and kind.

    While a rollout runs, those are beside what the load needs: orders that
    don't include them would have them taken away.
    """
    if rollout is None or not rollout.is_running:
        return list(endpoints), Counter()
    kept, extra = [], Counter()
    for endpoint in endpoints:
        if endpoint.version != rollout.to:
            kept.append(endpoint)
        elif endpoint.state == READY:
            extra[endpoint.failure_domain, endpoint.spot] += 1
    return kept, extra
