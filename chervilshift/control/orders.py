"""Task of the control leader that sends adapter orders to endpoints."""

import anyio
from absl import logging
from returns.result import Failure as Bad

from chervilshift.clock import Clock
from chervilshift.config import compile_site
from chervilshift.control.node import Node
from chervilshift.core.commands import IssueFence
from chervilshift.core.orders import ORDER_TIMEOUT_S, Order, OrderPlanner
from chervilshift.core.registry import Delta, Pull, Registry
from chervilshift.endpoints.orders import OrderClient
from chervilshift.events import EventLog
from chervilshift.wire.rpc import Clients

__all__ = ["OrderTask"]

# Interval at which announced and configured adapters are compared.
PLAN_INTERVAL_S = 0.5
PULL_TIMEOUT_S = 1.0
# Limits the load on the store of model weights.
MAX_CONCURRENT_ORDERS = 4


class OrderTask:
    """Reads the endpoints from an entry and orders missing adapters."""

    def __init__(
        self,
        *,
        node: Node,
        entries: tuple[str, ...],
        clients: Clients,
        clock: Clock,
        events: EventLog,
    ):
        self._node = node
        self._entries = list(entries)
        self._clients = clients
        self._clock = clock
        self._events = events
        self._registry = Registry(name=f"control/{node.local_voter.id}")
        self._last_delta = Delta(registry="", cursor=0)
        self._planner = OrderPlanner(max_concurrent=MAX_CONCURRENT_ORDERS)
        self._orders = OrderClient()

    async def run(self) -> None:
        """Send orders until cancelled, while this replica holds the lease."""
        async with anyio.create_task_group() as tg:
            while True:
                await anyio.sleep(PLAN_INTERVAL_S)
                if not self._node.has_lease():
                    self._planner.step_down()
                    continue
                if not self._planner.is_leading:
                    await self._acquire_token()
                await self._pull()
                for order in self._plan():
                    tg.start_soon(self._send, order)

    async def _acquire_token(self) -> None:
        command = IssueFence(holder=self._node.local_voter.id)
        fenced = await self._node.submit(command)
        if isinstance(fenced, Bad):
            logging.info(
                "no fencing token, not sending orders: %s", fenced.failure()
            )
            return
        token = fenced.unwrap().token
        self._events.emit("fenced", token=token)
        self._planner.start_term(token, self._clock.monotonic())

    async def _pull(self) -> None:
        """Fetch registry changes from an entry.

        If it does not reply, the next call tries the next entry.
        """
        if not self._entries:
            return
        pull = Pull(
            registry=self._last_delta.registry, cursor=self._last_delta.cursor
        )
        sent_at = self._clock.monotonic()
        client = self._clients.at(self._entries[0])
        reply = await client.call(pull, PULL_TIMEOUT_S)
        now = self._clock.monotonic()
        if isinstance(reply, Bad):
            self._entries.append(self._entries.pop(0))
            return
        self._last_delta = reply.unwrap()
        self._registry.merge_delta(self._last_delta, now - sent_at, now)
        self._registry.expire(now)

    def _plan(self) -> tuple[Order, ...]:
        document = self._node.machine.document
        now = self._clock.monotonic()
        if document is None or not self._node.has_lease():
            return ()
        # The base configuration, without the overlay of a site.
        cfg = compile_site(document, "").value_or(None)
        if cfg is None:
            return ()
        wanted = {
            name: tuple(model.adapters) for name, model in cfg.models.items()
        }
        endpoints = [held.item.body for held in self._registry.endpoints(now)]
        return self._planner.plan(endpoints, wanted, now)

    async def _send(self, order: Order) -> None:
        """Send an order, unless the lease has expired since it was planned."""
        if not self._node.has_lease():
            return
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            accepted = await self._orders.send(order)
            self._events.emit(
                "order",
                endpoint=order.endpoint,
                token=order.token,
                adapters=order.adapters,
                taken=accepted,
            )
