"""Serves one request: admission, attempts at endpoints, and its answer."""

from random import Random

import anyio

from chervilshift.clock import Clock
from chervilshift.core.fleet.model import STREAM, Customer, Route
from chervilshift.core.fleet.placement import Choice, Placed
from chervilshift.core.fleet.routes import pick_target
from chervilshift.errors import (
    EndpointFailed,
    Failure,
    OverLimit,
    Unserved,
    UpstreamFailed,
    UpstreamTimeout,
)
from chervilshift.events import EventLog
from chervilshift.gateway.admission import SOON_S, LimitGate
from chervilshift.gateway.connections import Connections
from chervilshift.gateway.dialect import Attempt, Call, Dialect, Headers
from chervilshift.gateway.downstream import Downstream
from chervilshift.gateway.exchange import Exchange
from chervilshift.gateway.outcomes import Outcomes, describe_choice
from chervilshift.gateway.relay import Relay
from chervilshift.gateway.state import GatewayState
from chervilshift.gateway.sync import ControlSync
from chervilshift.gateway.upstream import Patience, Reply, Upstream
from chervilshift.metrics import Metrics

__all__ = ["Dispatcher"]

# Connections that were refused prove nothing ran; this many are tried.
CONNECT_TRIES = 3
# An attempt that may be repeated is given up while this part of the
# objective is left: another one then still answers in time. It gets some
# multiple of the wait that was predicted in any case.
AGAIN_SHARE = 0.35
FIRST_FACTOR = 4.0
# A stream whose events pause for this multiple of the allowed gap is stuck;
# clients leave at eight times the gap.
GAP_FACTOR = 3.0


class Dispatcher:
    """Takes requests through admission and attempts to an answer."""

    def __init__(
        self,
        *,
        state: GatewayState,
        sync: ControlSync,
        conns: Connections,
        dialect: Dialect,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        rng: Random,
    ):
        self._state = state
        self._limits = LimitGate(state=state, sync=sync, clock=clock)
        self._conns = conns
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self._outcomes = Outcomes(
            state=state, clock=clock, events=events, metrics=metrics
        )
        self._rng = rng
        self._scopes: set[anyio.CancelScope] = set()

    def end_all(self) -> None:
        """Answer what is under way now, as at its timeout."""
        for scope in self._scopes:
            scope.cancel()

    async def serve(
        self,
        call: Call,
        route: Route,
        customer: Customer | None,
        body: bytes,
        arrived_at: float,
        down: Downstream,
    ) -> None:
        """Answer one request, by its route's timeout at the latest."""
        service = pick_target(route.targets, self._rng.random())
        exchange = Exchange(
            call=call,
            route=route,
            customer=customer,
            body=body,
            arrived_at=arrived_at,
            service=service,
        )
        left_s = exchange.ends_at - self._clock.monotonic()
        try:
            with anyio.move_on_after(max(0.0, left_s)) as scope:
                self._scopes.add(scope)
                await self._serve(exchange, down)
            if scope.cancelled_caught:
                await self._time_out(exchange, down)
        finally:
            self._scopes.discard(scope)
            self._limits.settle(exchange)

    async def _serve(self, exchange: Exchange, down: Downstream) -> None:
        if not await self._limits.admit(exchange):
            room_s = self._limits.available_in_s(exchange)
            failure = OverLimit(
                customer=exchange.customer.name,
                needs=exchange.amount,
                room_s=room_s,
            )
            await self._refuse(exchange, down, failure, room_s)
            return
        self._state.budget(exchange.service).deposit()
        while True:
            choice = self._choose(exchange)
            if choice is None:
                await self._give_up(exchange, down, "no endpoint")
                return
            if exchange.sends and not self._spend_retry(exchange):
                await self._give_up(exchange, down, "retry budget is spent")
                return
            try:
                await self._attempt(exchange, choice, down)
                return
            except EndpointFailed as exc:
                self._note_failure(exchange, choice, exc)
                if not self._may_retry(exchange, exc):
                    await self._give_up(exchange, down, str(exc))
                    return

    # Attempts

    def _choose(self, exchange: Exchange) -> Choice | None:
        table = self._state.table
        spec = table.cfg.services.get(exchange.service)
        if spec is None:
            return None
        now = self._clock.monotonic()
        choose = self._state.placement.choose
        tried = frozenset(exchange.tried)
        choice = choose(spec, exchange.work, now, tried)
        if choice is None and exchange.route.repeatable:
            # The only endpoint may have failed for a moment.
            choice = choose(spec, exchange.work, now)
        return choice

    def _spend_retry(self, exchange: Exchange) -> bool:
        return self._state.budget(exchange.service).withdraw(
            self._state.gateways, self._clock.monotonic()
        )

    def _may_retry(self, exchange: Exchange, exc: EndpointFailed) -> bool:
        if not exc.sent and not exchange.sends:
            return exchange.connects < CONNECT_TRIES
        if exchange.sends >= exchange.route.attempts:
            return False
        return exchange.route.repeatable or not exchange.maybe_ran

    def _note_failure(
        self, exchange: Exchange, choice: Choice, exc: EndpointFailed
    ) -> None:
        reason = str(exc.fields.get("reason", ""))
        exchange.failures.append(f"{choice.endpoint.id}: {reason}")
        exchange.tried.add(choice.endpoint.id)
        self._metrics.count("attempts_failed")

    async def _attempt(
        self, exchange: Exchange, choice: Choice, down: Downstream
    ) -> None:
        self._state.note_reading(exchange.service, choice.uncached_tokens)
        now = self._clock.monotonic()
        with Placed(choice=choice, now=now) as placed:
            await self._send(exchange, placed, down)

    async def _send(
        self, exchange: Exchange, placed: Placed, down: Downstream
    ) -> None:
        endpoint = placed.endpoint
        record = endpoint.record
        asked_at = self._clock.monotonic()
        self._metrics.observe("placed", asked_at - exchange.arrived_at)
        try:
            up = await Upstream.connect(
                record.id, record.address, self._conns, self._dialect
            )
        except EndpointFailed:
            exchange.connects += 1
            endpoint.health.record_unreachable(self._clock.monotonic())
            raise
        async with up:
            sent_at = self._clock.monotonic()
            self._metrics.observe("connect", sent_at - asked_at)
            exchange.sends += 1
            exchange.endpoints.append(
                describe_choice(placed.choice, sent_at - exchange.arrived_at)
            )
            before = exchange.maybe_ran
            exchange.maybe_ran = True
            try:
                reply = await up.send(
                    exchange.call.method,
                    exchange.call.target,
                    self._headers(exchange, record.id, sent_at),
                    exchange.body,
                    exchange.call.id,
                    self._patience(exchange, placed.choice),
                )
            except EndpointFailed as exc:
                endpoint.health.record_failure(self._clock.monotonic())
                if not exc.sent:
                    exchange.maybe_ran = before
                raise
            if exchange.route.kind == STREAM and reply.ok:
                await self._relay(exchange, placed, up, reply, down, sent_at)
            else:
                await self._pass_on(exchange, placed, up, reply, down, sent_at)

    def _patience(self, exchange: Exchange, choice: Choice) -> Patience:
        """Return how long to wait before another endpoint is tried.

        Without another attempt to make, waiting is all that is left.
        """
        route = exchange.route
        if not route.repeatable or exchange.sends >= route.attempts:
            return Patience()
        budget = self._state.budget(exchange.service)
        now = self._clock.monotonic()
        if not budget.available(self._state.gateways, now):
            return Patience()
        due_at = exchange.arrived_at + (1 - AGAIN_SHARE) * route.objective_s
        first_s = max(due_at - now, FIRST_FACTOR * choice.wait_s)
        if route.kind != STREAM:
            return Patience(first_s=first_s, next_s=first_s)
        return Patience(first_s=first_s, next_s=GAP_FACTOR * route.gap_s)

    def _headers(
        self, exchange: Exchange, endpoint_id: str, now: float
    ) -> Headers:
        resumed = exchange.relay.last_id if exchange.relay else None
        if resumed is None:
            resumed = exchange.call.last_event_id
        attempt = Attempt(
            endpoint_id=endpoint_id,
            customer=exchange.customer.name if exchange.customer else "",
            left_s=exchange.ends_at - now,
            priority=exchange.priority,
            last_event_id=resumed,
        )
        return self._dialect.attempt_headers(exchange.call, attempt)

    async def _pass_on(
        self,
        exchange: Exchange,
        placed: Placed,
        up: Upstream,
        reply: Reply,
        down: Downstream,
        sent_at: float,
    ) -> None:
        """Pass a whole reply on, or try again where that is allowed."""
        body = await up.read(reply)
        now = self._clock.monotonic()
        self._begun(exchange)
        failed = reply.status >= 500
        if failed:
            placed.endpoint.health.record_failure(now)
        else:
            placed.endpoint.health.record_success(now)
            self._state.placement.observe(placed.choice, now - sent_at, now)
        again = (
            failed
            and exchange.route.repeatable
            and exchange.sends < exchange.route.attempts
        )
        # A reply can't be spliced into a stream that has begun.
        if again or down.started:
            raise EndpointFailed(
                endpoint=placed.endpoint.id,
                reason=f"status {reply.status}",
                sent=True,
            )
        headers = self._dialect.reply_headers(reply.headers)
        headers.append((b"content-length", str(len(body)).encode()))
        await down.start(reply.status, headers)
        await down.finish(body)
        self._outcomes.note(exchange, str(reply.status))

    async def _relay(
        self,
        exchange: Exchange,
        placed: Placed,
        up: Upstream,
        reply: Reply,
        down: Downstream,
        sent_at: float,
    ) -> None:
        """Relay a stream's events, spliced behind those already relayed."""
        if exchange.relay is None:
            exchange.relay = Relay(down=down)
        relay = exchange.relay
        endpoint = placed.endpoint
        first = True
        relay.take_head(
            reply.status, self._dialect.reply_headers(reply.headers)
        )
        async for chunk in up.iterate(reply):
            now = self._clock.monotonic()
            endpoint.health.record_activity(now)
            if not await relay.feed(chunk):
                continue
            exchange.saw_events(now)
            if first:
                first = False
                placed.prefill_done()
                endpoint.add_cached(exchange.work)
                endpoint.health.record_success(now)
                self._state.placement.observe(
                    placed.choice, now - sent_at, now
                )
                self._metrics.observe("first_event", now - exchange.arrived_at)
                self._begun(exchange)
        await relay.finish()
        self._outcomes.note(exchange, "whole")

    def _begun(self, exchange: Exchange) -> None:
        """Count a request once an endpoint is known to have begun it."""
        if exchange.customer is None or exchange.counted:
            return
        exchange.counted = True
        self._state.begun(exchange.customer.name)

    # Ends

    async def _give_up(
        self, exchange: Exchange, down: Downstream, reason: str
    ) -> None:
        if exchange.maybe_ran:
            failure = UpstreamFailed(
                endpoint=", ".join(exchange.tried) or "?", reason=reason
            )
        else:
            failure = Unserved(reason=reason)
        await self._refuse(exchange, down, failure, SOON_S)

    async def _time_out(self, exchange: Exchange, down: Downstream) -> None:
        timeout_s = self._clock.monotonic() - exchange.arrived_at
        if exchange.maybe_ran:
            failure = UpstreamTimeout(timeout_s=round(timeout_s, 3))
        else:
            failure = Unserved(reason="timed out before it was sent")
        await self._refuse(exchange, down, failure, SOON_S)

    async def _refuse(
        self,
        exchange: Exchange,
        down: Downstream,
        failure: Failure,
        retry_after_s: float,
    ) -> None:
        self._outcomes.note(exchange, failure.name, str(failure))
        if down.started:
            # The answer ends without its end; it must not look complete.
            return
        await down.refuse(failure, retry_after_s)
