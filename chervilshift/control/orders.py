"""The task by which the control leader gives orders to endpoints."""

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

INTERVAL_S = 0.5
PULL_TIMEOUT_S = 1.0
CONCURRENT_ORDERS = 4


class OrderTask:
    """Learns of endpoints from an entry and orders what they lack."""

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
        self._seen = Delta(registry="", cursor=0)
        self._planner = OrderPlanner(max_concurrent=CONCURRENT_ORDERS)
        self._orders = OrderClient()

    async def run(self) -> None:
        """Compare and order until cancelled, while this replica leads."""
        async with anyio.create_task_group() as tg:
            while True:
                await anyio.sleep(INTERVAL_S)
                if not self._node.has_lease():
                    self._planner.step_down()
                    continue
                if not self._planner.is_leading:
                    await self._take_token()
                await self._pull()
                for order in self._plan():
                    tg.start_soon(self._send, order)

    async def _take_token(self) -> None:
        asked = IssueFence(holder=self._node.local_voter.id)
        fenced = await self._node.submit(asked)
        if isinstance(fenced, Bad):
            logging.info("no fencing token: %s", fenced.failure())
            return
        token = fenced.unwrap().token
        self._events.emit("fenced", token=token)
        self._planner.start_term(token, self._clock.monotonic())

    async def _pull(self) -> None:
        """Learn what changed from the first entry that answers."""
        if not self._entries:
            return
        pull = Pull(registry=self._seen.registry, cursor=self._seen.cursor)
        sent_at = self._clock.monotonic()
        client = self._clients.at(self._entries[0])
        reply = await client.call(pull, PULL_TIMEOUT_S)
        now = self._clock.monotonic()
        if isinstance(reply, Bad):
            self._entries.append(self._entries.pop(0))
            return
        self._seen = reply.unwrap()
        self._registry.merge_delta(self._seen, now - sent_at, now)
        self._registry.expire(now)

    def _plan(self) -> tuple[Order, ...]:
        document = self._node.machine.document
        now = self._clock.monotonic()
        if document is None or not self._node.has_lease():
            return ()
        cfg = compile_site(document, "").value_or(None)
        if cfg is None:
            return ()
        wanted = {
            name: tuple(model.adapters) for name, model in cfg.models.items()
        }
        endpoints = [held.item.body for held in self._registry.endpoints(now)]
        return self._planner.plan(endpoints, wanted, now)

    async def _send(self, order: Order) -> None:
        """Send an order, unless the lease ran out on the way here."""
        if not self._node.has_lease():
            return
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            taken = await self._orders.send(order)
            self._events.emit(
                "order",
                endpoint=order.endpoint,
                token=order.token,
                adapters=order.adapters,
                taken=taken,
            )
