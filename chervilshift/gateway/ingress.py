"""The ASGI application that clients' requests come to."""

from collections.abc import Callable

import anyio
from absl import logging
from returns.result import Failure as Bad

from chervilshift.clock import Clock
from chervilshift.core.fleet.model import Customer, Route
from chervilshift.errors import (
    Failure,
    NotFound,
    NotReady,
    Unauthorized,
    Unserved,
)
from chervilshift.events import EventLog
from chervilshift.gateway.dialect import Call, Dialect
from chervilshift.gateway.dispatch import Dispatcher
from chervilshift.gateway.downstream import ClientGone, Downstream
from chervilshift.gateway.state import GatewayState

__all__ = ["Ingress"]

# A client refused here may come back to another gateway at once.
ELSEWHERE_S = 0.05
# A started gateway has its configuration within a sync or two; a request
# that comes earlier waits this long for it, in seconds.
STARTING_WAIT_S = 0.8
# Without a configuration by then, control is away for longer.
STARTING_S = 0.5


class Ingress:
    """Decodes requests and answers each; counts those under way.

    While `stopping` answers ask the client to leave, and with `refusing`
    new requests are refused.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        dispatcher: Dispatcher,
        dialect: Dialect,
        clock: Clock,
        events: EventLog,
    ):
        self._events = events
        self._state = state
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._clock = clock
        self.stopping = False
        self.refusing = False
        self.under_way = 0

    async def __call__(
        self, scope: dict, receive: Callable, send: Callable
    ) -> None:
        """Serve one request."""
        down = Downstream(receive=receive, send=send, closing=self.stopping)
        self.under_way += 1
        try:
            await self._serve(scope, down)
        except ClientGone:
            return
        except Failure as exc:
            self._log_refusal(scope, exc)
            await down.refuse(exc, _retry_after_s(exc))
        except Exception:
            # A fault of ours: what ran is unknown, so nothing is promised.
            logging.exception("request failed")
            if not down.started:
                await down.refuse(Failure())
        finally:
            self.under_way -= 1

    def _log_refusal(self, scope: dict, exc: Failure) -> None:
        """Tell why a request got no further than its head."""
        self._events.emit(
            "refused",
            urgent=True,
            request=self._dialect.request_id(scope),
            reason=exc.name,
            text=str(exc),
            path=scope["path"],
            version=self._state.version,
        )

    async def _serve(self, scope: dict, down: Downstream) -> None:
        arrived_at = self._clock.monotonic()
        decoded = self._dialect.decode(scope)
        if isinstance(decoded, Bad):
            down.closing = True
            raise decoded.failure()
        call = decoded.unwrap()
        if self._state.table is None:
            await self._state.wait_configured(STARTING_WAIT_S)
        table = self._state.table
        if table is None:
            raise NotReady(reason="no configuration yet")
        if self.refusing:
            raise Unserved(reason="this gateway is stopping")
        body = await down.read_body(table.cfg.limits.body_bytes)
        route, customer = self._authorize(call)
        async with anyio.create_task_group() as tg:
            tg.start_soon(_watch, down, tg.cancel_scope)
            await self._dispatcher.serve(
                call, route, customer, body, arrived_at, down
            )
            tg.cancel_scope.cancel()

    def _authorize(self, call: Call) -> tuple[Route, Customer | None]:
        """Return the route and the customer; raises what forbids it."""
        table = self._state.table
        route = table.match(call.host, call.path)
        if route is None:
            raise NotFound(kind="route", name=call.path)
        customer = table.customer(call.key)
        if customer is None and table.needs_key and not route.public:
            raise Unauthorized()
        return route, customer


def _retry_after_s(exc: Failure) -> float | None:
    if isinstance(exc, NotReady):
        return STARTING_S
    return ELSEWHERE_S if isinstance(exc, Unserved) else None


async def _watch(down: Downstream, scope: anyio.CancelScope) -> None:
    """Cancel the request when its client leaves."""
    await down.wait_gone()
    if not down.finished:
        scope.cancel()
