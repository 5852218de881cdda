"""Planning of the orders that a leader sends to endpoints.

Orders are level-triggered: an endpoint's announced adapters are compared with
the wanted ones, and an order is repeated until they match. The next comparison
thus corrects a lost order or a late one of a deposed leader. Some endpoints
do not check fencing tokens, so a new leader first waits until its
predecessor's lease and last order must have ended.
"""

from collections.abc import Iterable
from itertools import islice

from chervilshift.core.message import Message
from chervilshift.core.registry import EndpointInfo

__all__ = ["Order", "OrderPlanner"]

ORDER_TIMEOUT_S = 2.0
# The longest time for which a deposed leader may still rely on its lease.
PREDECESSOR_LEASE_S = 2.0
# An order without visible effect is sent again after this time.
REISSUE_INTERVAL_S = 5.0


class Order(Message):
    """Tell an endpoint which adapters to load.

    `token` is the sender's fencing token.
    """

    endpoint: str
    address: str
    token: int
    adapters: tuple[str, ...]


class OrderPlanner:
    """Plans the orders of one leader.

    `max_concurrent` bounds the orders within `REISSUE_INTERVAL_S`, to limit
    the load on the weight store.
    """

    __slots__ = ("_sent_at", "_term_started_at", "_token", "max_concurrent")

    def __init__(self, *, max_concurrent: int):
        self.max_concurrent = max_concurrent
        self._token: int | None = None
        self._term_started_at = 0.0
        self._sent_at: dict[str, float] = {}

    def start_term(self, token: int, now: float) -> None:
        """Start a term of leadership under a new fencing token."""
        self._token = token
        self._term_started_at = now
        self._sent_at = {}

    def step_down(self) -> None:
        """End the term; no orders are planned until the next one."""
        self._token = None

    @property
    def is_leading(self) -> bool:
        """Whether this process is in a term of leadership."""
        return self._token is not None

    def may_order(self, now: float) -> bool:
        """Return whether this leader's predecessor can send no more orders."""
        term_age_s = now - self._term_started_at
        return (
            self.is_leading
            and term_age_s > PREDECESSOR_LEASE_S + ORDER_TIMEOUT_S
        )

    def plan(
        self,
        endpoints: Iterable[EndpointInfo],
        wanted: dict[str, tuple[str, ...]],
        now: float,
    ) -> tuple[Order, ...]:
        """Return the orders to send now.

        `wanted` maps models to the adapters that their endpoints should load.
        """
        if not self.may_order(now):
            return ()
        self._drop_old_orders(now)
        free_slots = self.max_concurrent - len(self._sent_at)
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
            for info, adapters in islice(needed, max(0, free_slots))
        )
        self._sent_at.update({order.endpoint: now for order in orders})
        return orders

    def _drop_old_orders(self, now: float) -> None:
        """Drop orders older than `REISSUE_INTERVAL_S`, to allow new ones."""
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
