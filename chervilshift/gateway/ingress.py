"""The ASGI application that receives clients' requests."""

from collections.abc import Callable

import anyio
from absl import logging
from returns.result import Failure as Bad

from chervilshift.bytebudget import ByteBudget, HeldBody
from chervilshift.clock import Clock
from chervilshift.core.fleet.model import Customer, Route
from chervilshift.core.fleet.routes import RouteTable
from chervilshift.errors import (
    BodyTimeout,
    Failure,
    NotFound,
    NotReady,
    Unauthorized,
    Unserved,
)
from chervilshift.events import EventLog
from chervilshift.gateway.admission import OTHER_GATEWAY_RETRY_AFTER_S
from chervilshift.gateway.dispatch import Dispatcher
from chervilshift.gateway.downstream import ClientDisconnected, Downstream
from chervilshift.gateway.protocol import ClientRequest, HeaderCodec
from chervilshift.gateway.state import GatewayState

__all__ = ["Ingress"]

# A gateway gets its configuration within one or two syncs of its start. A
# request that arrives earlier waits up to this long for it.
MAX_CONFIG_WAIT_S = 0.8
# Retry-After without a configuration after that wait: control is then likely
# to stay unreachable for longer.
NOT_READY_RETRY_AFTER_S = 0.5
# A part of the memory of the smallest gateway host.
MAX_BODY_MEMORY_BYTES = 48 << 20


class Ingress:
    """Decodes requests, authorizes them and passes them to the dispatcher.

    `active_requests` counts the requests being served. While `stopping`,
    responses ask the client to close its connection.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        dispatcher: Dispatcher,
        codec: HeaderCodec,
        clock: Clock,
        events: EventLog,
    ):
        self._events = events
        self._state = state
        self._dispatcher = dispatcher
        self._codec = codec
        self._clock = clock
        self.stopping = False
        self.active_requests = 0
        self._body_memory = ByteBudget(limit_bytes=MAX_BODY_MEMORY_BYTES)

    async def __call__(
        self, scope: dict, receive: Callable, send: Callable
    ) -> None:
        """Serve one request."""
        downstream = Downstream(
            receive=receive,
            send=send,
            close_connection=self.stopping,
            body=HeldBody(budget=self._body_memory),
        )
        self.active_requests += 1
        try:
            await self._serve(scope, downstream)
        except ClientDisconnected:
            return
        except Failure as exc:
            self._log_refusal(scope, exc)
            await downstream.refuse(exc, _retry_after_s(exc))
        except Exception:
            # An internal error: whether the request ran is unknown, so the
            # response does not suggest that it may be repeated.
            logging.exception("request failed with an internal error")
            if not downstream.started:
                await downstream.refuse(Failure())
        finally:
            self.active_requests -= 1
            downstream.body.give_back()

    def _log_refusal(self, scope: dict, exc: Failure) -> None:
        """Log why a request was refused before it reached the dispatcher."""
        self._events.emit(
            "refused",
            urgent=True,
            request=self._codec.request_id(scope),
            reason=exc.name,
            text=str(exc),
            path=scope["path"],
            version=self._state.version,
        )

    async def _serve(self, scope: dict, downstream: Downstream) -> None:
        arrived_at = self._clock.monotonic()
        decoded = self._codec.decode(scope)
        if isinstance(decoded, Bad):
            downstream.close_connection = True
            raise decoded.failure()
        request = decoded.unwrap()
        if self._state.table is None:
            await self._state.wait_configured(MAX_CONFIG_WAIT_S)
        table = self._state.table
        if table is None:
            raise NotReady(reason="no configuration received from control yet")
        if self._dispatcher.refuses_all():
            raise Unserved(reason="this gateway is stopping")
        body = await self._read_body(table, request, downstream)
        route, customer = self._authorize(request)
        async with anyio.create_task_group() as tg:
            tg.start_soon(_cancel_on_disconnect, downstream, tg.cancel_scope)
            await self._dispatcher.serve(
                request, route, customer, body, arrived_at, downstream
            )
            tg.cancel_scope.cancel()

    async def _read_body(
        self, table: RouteTable, request: ClientRequest, downstream: Downstream
    ) -> bytes:
        """Return the whole request body.

        Raises BodyTimeout if it arrives too late for any response, and what
        `Downstream.read_body` raises.
        """
        limits = table.cfg.limits
        route = table.match(request.host, request.path)
        timeout_s = route.timeout_s if route else limits.idle_timeout_s
        timeout_s = min(request.client_timeout_s or timeout_s, timeout_s)
        with anyio.move_on_after(timeout_s):
            return await downstream.read_body(limits.body_bytes)
        downstream.close_connection = True
        raise BodyTimeout(timeout_s=timeout_s)

    def _authorize(
        self, request: ClientRequest
    ) -> tuple[Route, Customer | None]:
        """Return the request's route and customer.

        Raises NotFound without a route, and Unauthorized without a known key
        where one is needed.
        """
        table = self._state.table
        route = table.match(request.host, request.path)
        if route is None:
            raise NotFound(kind="route", name=request.path)
        customer = table.customer(request.customer_key)
        if customer is None and table.needs_key and not route.public:
            raise Unauthorized()
        return route, customer


def _retry_after_s(exc: Failure) -> float | None:
    if isinstance(exc, NotReady):
        return NOT_READY_RETRY_AFTER_S
    return OTHER_GATEWAY_RETRY_AFTER_S if isinstance(exc, Unserved) else None


async def _cancel_on_disconnect(
    downstream: Downstream, scope: anyio.CancelScope
) -> None:
    """Cancel a request whose client disconnects before its response ends."""
    await downstream.wait_disconnected()
    if not downstream.finished:
        scope.cancel()
