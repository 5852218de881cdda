"""Charges customers' limits, waiting a little for a grant."""

import anyio

from chervilshift.clock import Clock
from chervilshift.gateway.exchange import Exchange
from chervilshift.gateway.state import GatewayState
from chervilshift.gateway.sync import ControlSync

__all__ = ["SOON_S", "LimitGate"]

# A request waits this part of its objective for its customer's limit: a
# round trip to the leader across regions. A later refusal would leave too
# little time for the client's next try.
LIMIT_WAIT_SHARE = 0.25
# Without a leader's answer for this long, the limit is looked at again: the
# fallback share refills by itself.
GRANT_WAIT_S = 0.15
# A client that is refused for a moment's reason may come back after this.
SOON_S = 0.25


class LimitGate:
    """Admits requests within their customers' limits."""

    __slots__ = ("_clock", "_state", "_sync")

    def __init__(
        self, *, state: GatewayState, sync: ControlSync, clock: Clock
    ):
        self._state = state
        self._sync = sync
        self._clock = clock

    async def admit(self, exchange: Exchange) -> bool:
        """Charge the limit; False when it has no room in time."""
        customer = exchange.customer
        if customer is None:
            return True
        limits = self._state.limits
        exchange.charged = limits.try_spend(
            customer, exchange.amount, self._clock.monotonic()
        )
        if exchange.charged:
            return True
        limits.add_waiting(customer.name, exchange.amount)
        try:
            await self._wait(exchange)
        finally:
            limits.remove_waiting(customer.name, exchange.amount)
        return exchange.charged

    def available_in_s(self, exchange: Exchange) -> float:
        """Return when the limit will have room again."""
        now = self._clock.monotonic()
        name = exchange.customer.name
        return max(SOON_S, self._state.limits.available_in_s(name, now))

    def settle(self, exchange: Exchange) -> None:
        """Give back what a request that never ran was charged."""
        if exchange.charged and not exchange.maybe_ran:
            limits = self._state.limits
            limits.refund(exchange.customer, exchange.amount)

    async def _wait(self, exchange: Exchange) -> None:
        customer = exchange.customer
        limits = self._state.limits
        until = self._clock.monotonic() + (
            LIMIT_WAIT_SHARE * exchange.route.objective_s
        )
        while not exchange.charged:
            now = self._clock.monotonic()
            room_at = now + limits.available_in_s(customer.name, now)
            if now >= until or room_at >= until:
                return
            with anyio.move_on_after(min(until - now, GRANT_WAIT_S)):
                await anyio.sleep(room_at - now)
                await self._sync.refresh()
            exchange.charged = limits.try_spend(
                customer, exchange.amount, self._clock.monotonic()
            )
