"""Charges requests to rate limits, with a short wait."""

from collections.abc import Callable, Iterable

import anyio

from chervilshift.clock import Clock
from chervilshift.core.fleet.placement import Choice
from chervilshift.gateway.exchange import Exchange
from chervilshift.gateway.state import GatewayState
from chervilshift.gateway.sync import ControlSync

__all__ = [
    "OTHER_GATEWAY_RETRY_AFTER_S",
    "TRANSIENT_RETRY_AFTER_S",
    "RateLimiter",
]

# A request waits at most this share of its route's objective for a grant:
# enough for a round trip to a leader in another region. A later refusal would
# leave too little time for the client's retry.
MAX_LIMIT_WAIT_SHARE = 0.35
# Without a reply of the leader for this long, the limit is tried again: the
# fallback share is refilled locally.
GRANT_TIMEOUT_S = 0.15
# A grant is asked for after this time at the latest, also if the limit has no
# room before: the control processes then know what waits.
MAX_REQUEST_DELAY_S = 0.1
# Retry-After of responses to failures that are expected to pass soon.
TRANSIENT_RETRY_AFTER_S = 0.25
# Retry-After while this gateway stops: another one can serve the client at
# once.
OTHER_GATEWAY_RETRY_AFTER_S = 0.05


class RateLimiter:
    """Admits requests within their customers' limits."""

    __slots__ = ("_clock", "_state", "_sync")

    def __init__(
        self, *, state: GatewayState, sync: ControlSync, clock: Clock
    ):
        self._state = state
        self._sync = sync
        self._clock = clock

    async def admit(self, exchange: Exchange) -> bool:
        """Charge the limit; return False if it can't be in time."""
        customer = exchange.customer
        if customer is None:
            return True
        queue = self._state.limit_queue
        waiting = queue.join(
            customer,
            exchange.limit_cost,
            exchange.priority,
            MAX_LIMIT_WAIT_SHARE * exchange.route.objective_s,
            self._clock.monotonic(),
        )
        try:
            while not waiting.charged:
                now = self._clock.monotonic()
                if queue.waits_in_vain(waiting, now):
                    break
                with anyio.move_on_after(waiting.until - now):
                    await self._wait_reply(queue.available_in_s(waiting, now))
                queue.serve(customer.name, self._clock.monotonic())
        finally:
            exchange.charged = waiting.charged
            queue.leave(waiting)
        if not exchange.charged:
            now = self._clock.monotonic()
            exchange.retry_after_s = queue.defer(
                waiting, exchange.deadline_at - now, now
            )
        return exchange.charged

    async def _wait_reply(self, expected_s: float) -> None:
        """Return at the next reply of control, or after a time-out.

        It is asked for when the request is expected to be granted.
        """
        with anyio.move_on_after(min(expected_s, MAX_REQUEST_DELAY_S)):
            await self._sync.wait_reply()
            return
        with anyio.move_on_after(GRANT_TIMEOUT_S):
            await self._sync.refresh()

    async def wait_for_endpoint(
        self,
        exchange: Exchange,
        endpoint_ids: Iterable[str],
        place: Callable[[], Choice | None],
    ) -> Choice | None:
        """Call `place` until it returns a choice; None if it takes too long.

        `endpoint_ids` are the endpoints whose rate limits are spent.
        """
        limits = self._state.endpoint_limits
        wait_until = self._clock.monotonic() + (
            MAX_LIMIT_WAIT_SHARE * exchange.route.objective_s
        )
        choice = None
        while choice is None:
            now = self._clock.monotonic()
            available_at = now + limits.available_in_s(endpoint_ids, now)
            if now >= wait_until or available_at >= wait_until:
                return None
            with anyio.move_on_after(min(wait_until - now, GRANT_TIMEOUT_S)):
                await anyio.sleep(available_at - now)
                await self._sync.refresh()
            choice = place()
        return choice

    def refund_if_not_run(self, exchange: Exchange) -> None:
        """Refund the charge of a request that no endpoint can have run."""
        if exchange.charged and not exchange.maybe_ran:
            limits = self._state.limits
            limits.refund(exchange.customer, exchange.limit_cost)
