"""Which orders endpoints need, and when a leader may send them.

Orders are level-triggered: what an endpoint should have is compared with
what it announces, and what is missing is ordered again until it is there.
So an order that got lost, or a deposed leader's late one, is repaired by
the next comparison. Some endpoints refuse old fencing tokens; for those
that do not, a new leader first waits out its predecessor.
"""

from collections.abc import Iterable
from itertools import islice

from chervilshift.core.message import Message
from chervilshift.core.registry import EndpointInfo

__all__ = ["Order", "OrderPlanner"]

ORDER_TIMEOUT_S = 2.0
# The longest that a predecessor may still believe in its lease.
PREDECESSOR_LEASE_S = 2.0
REISSUE_INTERVAL_S = 5.0


class Order(Message):
    """Tell an endpoint which adapters to have; `token` fences the sender."""

    endpoint: str
    address: str
    token: int
    adapters: tuple[str, ...]


class OrderPlanner:
    """One leader's orders; `max_concurrent` spares the weight store."""

    __slots__ = ("_led_at", "_sent_at", "_token", "max_concurrent")

    def __init__(self, *, max_concurrent: int):
        self.max_concurrent = max_concurrent
        self._token: int | None = None
        self._led_at = 0.0
        self._sent_at: dict[str, float] = {}

    def start_term(self, token: int, now: float) -> None:
        """Begin a term of leadership under a new fencing token."""
        self._token = token
        self._led_at = now
        self._sent_at = {}

    def step_down(self) -> None:
        """End the term; no order may be made any more."""
        self._token = None

    @property
    def is_leading(self) -> bool:
        """Whether a token is held."""
        return self._token is not None

    def may_order(self, now: float) -> bool:
        """Tell whether a predecessor's orders are over by now."""
        waited_s = now - self._led_at
        return (
            self.is_leading
            and waited_s > PREDECESSOR_LEASE_S + ORDER_TIMEOUT_S
        )

    def plan(
        self,
        endpoints: Iterable[EndpointInfo],
        wanted: dict[str, tuple[str, ...]],
        now: float,
    ) -> tuple[Order, ...]:
        """Return the orders to send now.

        `wanted` names the adapters that each model should have.
        """
        if not self.may_order(now):
            return ()
        self._forget_old(now)
        room = self.max_concurrent - len(self._sent_at)
        needed = (
            (info, adapters)
            for info in endpoints
            if info.id not in self._sent_at
            and (adapters := _adapters(info, wanted))
            and set(adapters) != set(info.adapters)
        )
        orders = tuple(
            Order(
                endpoint=info.id,
                address=info.address,
                token=self._token,
                adapters=adapters,
            )
            for info, adapters in islice(needed, max(0, room))
        )
        self._sent_at.update({order.endpoint: now for order in orders})
        return orders

    def _forget_old(self, now: float) -> None:
        """Let orders be made again whose effect was not seen in time."""
        self._sent_at = {
            endpoint: at
            for endpoint, at in self._sent_at.items()
            if now - at < REISSUE_INTERVAL_S
        }


def _adapters(
    info: EndpointInfo, wanted: dict[str, tuple[str, ...]]
) -> tuple[str, ...]:
    return tuple(
        adapter for model in info.serves for adapter in wanted.get(model, ())
    )
