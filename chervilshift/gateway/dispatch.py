"""Serves a request: admission, attempts at endpoints, and the response."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import anyio

from chervilshift.bytebudget import HeldBytes
from chervilshift.clock import Clock
from chervilshift.core.fleet.model import STREAM, Customer, Route
from chervilshift.core.fleet.origins import is_incarnation
from chervilshift.core.fleet.placement import Choice, Endpoint, Placed
from chervilshift.core.fleet.routes import pick_target
from chervilshift.core.fleet.stopping import Stopping
from chervilshift.errors import (
    EndpointFailed,
    Failure,
    OverLimit,
    Quarantined,
    Unserved,
    UpstreamFailed,
    UpstreamTimeout,
)
from chervilshift.events import EventLog
from chervilshift.gateway.admission import (
    OTHER_GATEWAY_RETRY_AFTER_S,
    TRANSIENT_RETRY_AFTER_S,
    RateLimiter,
)
from chervilshift.gateway.chooser import EndpointChooser
from chervilshift.gateway.connections import ConnectionPool
from chervilshift.gateway.crashprobe import CrashProbe
from chervilshift.gateway.downstream import Downstream
from chervilshift.gateway.exchange import Exchange, WholeReply
from chervilshift.gateway.origins import StreamOrigins
from chervilshift.gateway.outcomes import Outcomes, describe_choice
from chervilshift.gateway.protocol import (
    NOT_RUN_PROMISES,
    Attempt,
    ClientRequest,
    HeaderCodec,
    Headers,
)
from chervilshift.gateway.relay import Relay
from chervilshift.gateway.state import GatewayState
from chervilshift.gateway.sync import ControlSync
from chervilshift.gateway.upstream import (
    SMALL_BODY_BYTES,
    ProgressTimeouts,
    Reply,
    Upstream,
)
from chervilshift.gateway.waiting import NoRoom, RoomAdmission
from chervilshift.metrics import Metrics

__all__ = ["Dispatcher"]

# A failed connect proves that nothing ran. Until a first attempt is sent, the
# request therefore goes to another endpoint regardless of the route's
# `attempts`, until this many connects have failed.
MAX_FAILED_CONNECTS = 3
# An attempt that may be repeated is abandoned while this share of the route's
# objective is left, so that another attempt can still reply in time.
RETRY_RESERVE_SHARE = 0.35
# Such an attempt gets at least this multiple of its predicted wait.
MIN_WAIT_FACTOR = 4.0
# A stream that pauses for this multiple of the route's allowed gap is regarded
# as stuck; clients disconnect at eight times the gap.
MAX_GAP_FACTOR = 3.0
# Sound endpoints may be silent for a second or so. A longer silence is that of
# an endpoint that hangs; clients disconnect after two seconds or more.
MAX_SOUND_SILENCE_S = 1.6
# An endpoint names its incarnation at once, also one that is full.
REPORT_TIMEOUT_S = 0.5
# Larger than any event of a stream; an endpoint that sends more without
# ending the event sends no event stream.
MAX_EVENT_BYTES = 256 << 10
# Retry-After of requests in quarantine; what still comes is not released.
QUARANTINE_RETRY_AFTER_S = 60.0


class Dispatcher:
    """Admits requests, sends them to endpoints and responds.

    `stopping` is set while the gateway stops.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        sync: ControlSync,
        pool: ConnectionPool,
        crash_probe: CrashProbe,
        origins: StreamOrigins,
        codec: HeaderCodec,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        rng: Random,
    ):
        self._state = state
        self._limiter = RateLimiter(state=state, sync=sync, clock=clock)
        self._chooser = EndpointChooser(
            state=state, limiter=self._limiter, clock=clock, metrics=metrics
        )
        self._room = RoomAdmission(
            state=state, chooser=self._chooser, clock=clock, metrics=metrics
        )
        self._pool = pool
        self._crash_probe = crash_probe
        self._origins = origins
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._outcomes = Outcomes(
            state=state, clock=clock, events=events, metrics=metrics
        )
        self._rng = rng
        self._scopes: set[anyio.CancelScope] = set()
        self.stopping: Stopping | None = None

    def refuses_all(self) -> bool:
        """Whether the gateway's stop leaves no time for any request."""
        return self.stopping is not None and self.stopping.refuses_all(
            self._clock.monotonic()
        )

    def cancel_all(self) -> None:
        """End all requests now, with the response of a timeout."""
        for scope in self._scopes:
            scope.cancel()

    async def serve(
        self,
        request: ClientRequest,
        route: Route,
        customer: Customer | None,
        body: bytes,
        arrived_at: float,
        downstream: Downstream,
    ) -> None:
        """Serve one request.

        It ends at the client's timeout or its route's, whichever is earlier.
        `arrived_at` is monotonic.
        """
        service = pick_target(route.targets, self._rng.random())
        exchange = Exchange(
            request=request,
            route=route,
            customer=customer,
            body=body,
            arrived_at=arrived_at,
            service=service,
        )
        remaining_s = exchange.deadline_at - self._clock.monotonic()
        try:
            with self._cancellable(max(0.0, remaining_s)) as scope:
                try:
                    await self._serve(exchange, downstream)
                except NoRoom as exc:
                    failure = Unserved(reason=str(exc))
                    await self._refuse(
                        exchange, downstream, failure, exc.retry_after_s
                    )
            if exchange.whole_reply is None and scope.cancelled_caught:
                await self._fail_timed_out(exchange, downstream)
            if exchange.whole_reply is not None:
                # It is delivered also when it is late.
                with self._cancellable(math.inf):
                    await self._deliver(exchange.whole_reply, downstream)
        finally:
            self._limiter.refund_if_not_run(exchange)
            if exchange.room is not None:
                exchange.room.ended()
            exchange.drop_failure()
            if exchange.whole_reply is not None:
                exchange.whole_reply.held.give_back()

    @contextmanager
    def _cancellable(self, timeout_s: float) -> Iterator[anyio.CancelScope]:
        """Limit the time of what `cancel_all` may end earlier."""
        with anyio.move_on_after(timeout_s) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    async def _serve(self, exchange: Exchange, downstream: Downstream) -> None:
        part = self._blocking_part(exchange)
        if part:
            await self._refuse(
                exchange,
                downstream,
                Quarantined(part=part),
                QUARANTINE_RETRY_AFTER_S,
            )
            return
        if not await self._limiter.admit(exchange):
            retry_after_s = exchange.retry_after_s
            failure = OverLimit(
                customer=exchange.customer.name,
                needs=exchange.limit_cost,
                room_s=retry_after_s,
            )
            await self._refuse(exchange, downstream, failure, retry_after_s)
            return
        if self._pool.reply_memory.is_congested:
            await self._fail(
                exchange,
                downstream,
                "this gateway holds too many bytes of replies",
                OTHER_GATEWAY_RETRY_AFTER_S,
            )
            return
        if exchange.is_taken_up and not await self._origins.find(exchange):
            await self._fail(
                exchange,
                downstream,
                "the version that began the stream is not known",
            )
            return
        self._room.arrive(exchange)
        self._state.retry_budget(exchange.service).deposit(
            self._clock.monotonic()
        )
        choose = self._room.choose
        while True:
            choice = await choose(exchange)
            choose = self._chooser.choose
            if not exchange.attempts_sent and not self._may_begin(exchange):
                await self._fail(
                    exchange,
                    downstream,
                    "this gateway is stopping",
                    OTHER_GATEWAY_RETRY_AFTER_S,
                )
                return
            if choice is None:
                reason, wait_s = self._chooser.explain(exchange)
                retry_after_s = max(TRANSIENT_RETRY_AFTER_S, wait_s)
                await self._fail(exchange, downstream, reason, retry_after_s)
                return
            if exchange.attempts_sent and not self._pay_retry(exchange):
                await self._fail(
                    exchange,
                    downstream,
                    "retry budget of the service is spent",
                )
                return
            try:
                await self._attempt(exchange, choice, downstream)
                return
            except EndpointFailed as exc:
                self._record_failure(exchange, choice, exc)
                if not self._may_retry(exchange, exc):
                    await self._fail(exchange, downstream, str(exc))
                    return
                part = self._blocking_part(exchange)
                if part:
                    reason = f"{part} is in quarantine"
                    await self._fail(exchange, downstream, reason)
                    return

    # Attempts

    def _may_begin(self, exchange: Exchange) -> bool:
        if self.stopping is None:
            return True
        now = self._clock.monotonic()
        return self.stopping.takes(
            now,
            exchange.deadline_at - now,
            repeatable=exchange.route.repeatable,
        )

    def _blocking_part(self, exchange: Exchange) -> str:
        return self._state.blocking_part(exchange.suspect_ids)

    def _record_answer(self, exchange: Exchange) -> None:
        if not exchange.answer_recorded:
            exchange.answer_recorded = True
            self._state.crashes.record_answer(
                exchange.suspect_ids,
                self._state.wall_s(),
            )

    def _pay_retry(self, exchange: Exchange) -> bool:
        """Take a permit for another attempt, unless the exchange has one."""
        if exchange.retry_paid:
            exchange.retry_paid = False
            return True
        return self._state.retry_budget(exchange.service).withdraw(
            self._state.gateway_count, self._clock.monotonic()
        )

    def _may_retry(self, exchange: Exchange, exc: EndpointFailed) -> bool:
        if not exc.sent and not exchange.attempts_sent:
            return exchange.failed_connects < MAX_FAILED_CONNECTS
        if exchange.attempts_sent >= exchange.route.attempts:
            return False
        if not self._origins.is_clear(exchange):
            return False
        if (
            exc.broken
            and exchange.is_suspect(self._clock.monotonic())
            and not self._state.crashes.may_repeat(exchange.suspect_ids)
        ):
            return False
        return exchange.route.repeatable or not exchange.maybe_ran

    def _record_failure(
        self, exchange: Exchange, choice: Choice, exc: EndpointFailed
    ) -> None:
        reason = str(exc.fields.get("reason", ""))
        exchange.failures.append(f"{choice.endpoint.id}: {reason}")
        exchange.failed_ids.add(choice.endpoint.id)
        if exc.broken:
            self._outcomes.record_break(exchange, choice.endpoint)
            self._crash_probe.record_break(exchange, choice.endpoint)
        self._metrics.count("attempts_failed")

    async def _attempt(
        self, exchange: Exchange, choice: Choice, downstream: Downstream
    ) -> None:
        self._state.record_prefill(exchange.service, choice.uncached_tokens)
        self._state.versions.record_placed(
            exchange.service, choice.endpoint.record.version
        )
        exchange.measures_speed = (
            exchange.relay is None
            and not exchange.attempts_sent
            and exchange.request.last_event_id is None
            and self._state.measures_speed(exchange.work, choice)
        )
        now = self._clock.monotonic()
        self._state.spill.record_sent(
            exchange.service,
            choice.endpoint.record.failure_domain,
            choice.zone,
            now,
            tokens=choice.uncached_tokens,
            shared_tokens=exchange.work.shared_tokens,
            size_bytes=len(exchange.body),
        )
        with Placed(choice=choice, now=now) as placed:
            await self._send(exchange, placed, downstream)

    async def _send(
        self, exchange: Exchange, placed: Placed, downstream: Downstream
    ) -> None:
        endpoint = placed.endpoint
        record = endpoint.record
        connect_began_at = self._clock.monotonic()
        self._metrics.observe("placed", connect_began_at - exchange.arrived_at)
        with self._connecting(exchange, endpoint):
            upstream = await Upstream.connect(
                record.id,
                record.address,
                exchange.request.id,
                self._pool,
                self._codec,
            )
        async with upstream:
            with self._connecting(exchange, endpoint):
                await self._check_incarnation(exchange, endpoint, upstream)
            sent_at = self._clock.monotonic()
            self._metrics.observe("connect", sent_at - connect_began_at)
            exchange.attempts_sent += 1
            self._record_version(exchange, placed.choice, sent_at)
            exchange.attempts.append(
                describe_choice(placed.choice, sent_at - exchange.arrived_at)
                + f" connection {upstream.connection}"
            )
            maybe_ran_before = exchange.maybe_ran
            exchange.maybe_ran = True
            refused = False
            try:
                reply = await upstream.send(
                    exchange.request.method,
                    exchange.request.target,
                    self._attempt_headers(exchange, record.id, sent_at),
                    exchange.body,
                    exchange.request.id,
                    self._progress_timeouts(exchange, placed.choice),
                )
            except EndpointFailed as exc:
                now = self._clock.monotonic()
                if upstream.head is not None:
                    endpoint.health.record_activity(now)
                endpoint.health.record_failure(now)
                if not exc.sent:
                    refused = True
                    exchange.maybe_ran = maybe_ran_before
                elif exchange.rollout_attempt is not None:
                    exchange.rollout_attempt.record_failure(
                        now, broken=exc.broken
                    )
                raise
            finally:
                if upstream.head is not None:
                    self._state.record_statements(record, upstream.head)
                if exchange.route.kind != STREAM or (
                    upstream.bytes_came and not upstream.ok
                ):
                    exchange.barred_ids.add(record.id)
                if not refused and self._has_begun(exchange, upstream):
                    self._count_usage(exchange)
            if exchange.route.kind == STREAM and reply.ok:
                serve_reply = self._relay_stream
            else:
                serve_reply = self._forward_reply
            try:
                await serve_reply(
                    exchange, placed, upstream, reply, downstream, sent_at
                )
            except EndpointFailed as exc:
                if exchange.rollout_attempt is not None:
                    exchange.rollout_attempt.record_failure(
                        self._clock.monotonic(), broken=exc.broken
                    )
                # A crash breaks off all streams that have begun.
                if not (exc.broken and downstream.started):
                    endpoint.health.record_failure(self._clock.monotonic())
                raise

    def _record_version(
        self, exchange: Exchange, choice: Choice, now: float
    ) -> None:
        """Count an attempt for the rollout of its service, if any."""
        versions = self._state.versions
        if not versions.has_rule(exchange.service):
            return
        spec = self._state.table.cfg.services.get(exchange.service)
        exchange.rollout_attempt = versions.begin(
            exchange.service,
            exchange.route.name,
            choice,
            exchange.work,
            now,
            is_first=exchange.attempts_sent == 1,
            is_engine=spec is not None and spec.engine is not None,
        )

    @contextmanager
    def _connecting(
        self, exchange: Exchange, endpoint: Endpoint
    ) -> Iterator[None]:
        """Record a failure before anything was sent."""
        try:
            yield
        except EndpointFailed:
            exchange.failed_connects += 1
            endpoint.health.record_unreachable(self._clock.monotonic())
            raise

    async def _check_incarnation(
        self, exchange: Exchange, endpoint: Endpoint, upstream: Upstream
    ) -> None:
        """Check that a stream which may be taken up reaches what it should.

        An endpoint that has started anew under its id may be of another
        version. Raises EndpointFailed; nothing was sent then.
        """
        if exchange.route.kind != STREAM or not exchange.route.resumable:
            return
        born_ms = endpoint.record.born_ms
        named_ms = await upstream.named_born_ms(REPORT_TIMEOUT_S)
        goes_on = exchange.version is not None
        if not is_incarnation(born_ms, named_ms, goes_on=goes_on):
            raise upstream.not_sent(
                f"serves as incarnation {named_ms}, announced is {born_ms}"
            )

    def _progress_timeouts(
        self, exchange: Exchange, choice: Choice
    ) -> ProgressTimeouts:
        """Return how long an attempt may take before another is made.

        There is no bound but the deadline if no other attempt may be made.
        """
        route = exchange.route
        if not route.repeatable or exchange.attempts_sent >= route.attempts:
            return ProgressTimeouts()
        budget = self._state.retry_budget(exchange.service)
        now = self._clock.monotonic()
        if not budget.available(self._state.gateway_count, now):
            return ProgressTimeouts()
        retry_at = (
            exchange.arrived_at + (1 - RETRY_RESERVE_SHARE) * route.objective_s
        )
        head_s = max(retry_at - now, MIN_WAIT_FACTOR * choice.wait_s)

        def may_leave(silence_s: float) -> bool:
            return self._may_leave(exchange, choice.endpoint, silence_s)

        if route.kind != STREAM:
            return ProgressTimeouts(
                head_s=head_s,
                first_chunk_s=head_s,
                chunk_s=head_s,
                may_leave=may_leave,
            )
        max_gap_s = MAX_GAP_FACTOR * route.gap_s
        return ProgressTimeouts(
            head_s=head_s,
            first_chunk_s=max_gap_s,
            chunk_s=max(max_gap_s, MAX_SOUND_SILENCE_S),
            may_leave=may_leave,
        )

    def _may_leave(
        self, exchange: Exchange, endpoint: Endpoint, silence_s: float
    ) -> bool:
        """Return whether an attempt without progress is given up now.

        An endpoint that may be sound is left only for one that is not silent
        too. The permit of the next attempt is taken at once: without it, the
        answer that may still come would be lost.
        """
        budget = self._state.retry_budget(exchange.service)
        now = self._clock.monotonic()
        if not budget.available(self._state.gateway_count, now):
            return False
        if not self._origins.is_clear(exchange):
            return False
        hangs = silence_s >= MAX_SOUND_SILENCE_S
        if not hangs and not self._chooser.has_alternative(exchange, endpoint):
            return False
        if exchange.route.kind != STREAM and not self._chooser.has_other(
            exchange, endpoint
        ):
            return False
        exchange.retry_paid = budget.withdraw(self._state.gateway_count, now)
        return exchange.retry_paid

    def _attempt_headers(
        self, exchange: Exchange, endpoint_id: str, now: float
    ) -> Headers:
        resume_id = exchange.relay.last_event_id if exchange.relay else None
        if resume_id is None:
            resume_id = exchange.request.last_event_id
        attempt = Attempt(
            endpoint_id=endpoint_id,
            customer=exchange.customer.name if exchange.customer else "",
            remaining_s=exchange.deadline_at - now,
            priority=exchange.priority,
            last_event_id=resume_id,
        )
        return self._codec.attempt_headers(exchange.request, attempt)

    async def _forward_reply(
        self,
        exchange: Exchange,
        placed: Placed,
        upstream: Upstream,
        reply: Reply,
        downstream: Downstream,
        sent_at: float,
    ) -> None:
        """Read a whole reply, which is delivered after the attempt.

        Raises EndpointFailed if it is an error and the request may be retried,
        if it would promise that a request which may have run did not, or if a
        stream has begun already.
        """
        if reply.waits_for_room:
            # Nothing is held while waiting for memory.
            exchange.drop_failure()
        held = HeldBytes(budget=self._pool.reply_memory)
        chunks = await upstream.read(reply, held)
        length_bytes = sum(map(len, chunks))
        headers = self._codec.response_headers(reply.headers)
        headers.append((b"content-length", str(length_bytes).encode()))
        whole_reply = WholeReply(
            status=reply.status, headers=headers, chunks=chunks, held=held
        )
        now = self._clock.monotonic()
        promises_not_run = reply.status in NOT_RUN_PROMISES
        failed = reply.status >= 500 or promises_not_run
        if not failed:
            exchange.room.answered(now)
        placed.endpoint.health.record_activity(now)
        if exchange.rollout_attempt is not None:
            exchange.rollout_attempt.record_reply(now, ok=reply.status < 400)
        repeatable = exchange.route.repeatable
        retry = (
            failed
            and repeatable
            and exchange.attempts_sent < exchange.route.attempts
        )
        breaks_promise = promises_not_run and not repeatable
        # A reply that is not a stream can't continue one that has begun.
        if retry or breaks_promise or downstream.started:
            if (
                downstream.started
                or promises_not_run
                or length_bytes > SMALL_BODY_BYTES
            ):
                held.give_back()
            else:
                exchange.keep_failure(whole_reply)
            reason = f"status {reply.status}"
            if promises_not_run:
                reason += " without the statement that it did not run"
            raise upstream.failure(reason)
        if failed:
            placed.endpoint.health.record_failure(now)
        else:
            placed.endpoint.health.record_success(now)
            self._state.observe(placed.choice, now - sent_at, now)
            self._record_answer(exchange)
        exchange.drop_failure()
        exchange.whole_reply = whole_reply
        self._outcomes.record(exchange, str(reply.status))

    async def _deliver(
        self, reply: WholeReply, downstream: Downstream
    ) -> None:
        """Send a whole reply in parts, as fast as the client reads it.

        It is cut off if the client does not read for the idle timeout.
        """
        await downstream.start(reply.status, reply.headers)
        part = reply.take_part()
        while reply.chunks:
            with anyio.move_on_after(
                self._state.table.cfg.limits.idle_timeout_s
            ) as scope:
                await downstream.write(part)
            if scope.cancelled_caught:
                self._metrics.count("replies_cut_unread")
                return
            reply.held.release(len(part))
            part = reply.take_part()
        await downstream.finish(part)

    async def _relay_stream(
        self,
        exchange: Exchange,
        placed: Placed,
        upstream: Upstream,
        reply: Reply,
        downstream: Downstream,
        sent_at: float,
    ) -> None:
        """Relay a stream's events, continuing those already relayed."""
        if exchange.relay is None:
            exchange.relay = Relay(downstream=downstream)
        relay = exchange.relay
        endpoint = placed.endpoint
        first = True
        progress_at = sent_at
        max_pause_s = self._progress_timeouts(exchange, placed.choice).chunk_s
        relay.begin_attempt(
            reply.status, self._codec.response_headers(reply.headers)
        )
        async for chunk in upstream.iterate(reply):
            self._count_usage(exchange)
            now = self._clock.monotonic()
            events = relay.split(chunk)
            if not events:
                if relay.incomplete_bytes > MAX_EVENT_BYTES:
                    raise upstream.failure("event exceeds the size limit")
                if max_pause_s and now - progress_at > max_pause_s:
                    # Bytes that complete no event are no progress.
                    raise upstream.failure(
                        f"no whole event within {max_pause_s:.3f} s"
                    )
                continue
            if first:
                # Before the client has an event, it can't take the stream up.
                self._origins.record_event(exchange, endpoint)
                exchange.drop_failure()
            await relay.send(events)
            progress_at = now
            endpoint.health.record_activity(now)
            exchange.record_events(now)
            if exchange.has_begun(now):
                self._record_answer(exchange)
            if first:
                first = False
                placed.prefill_done()
                exchange.room.answered(now)
                endpoint.add_cached(exchange.work, now)
                endpoint.health.record_success(now)
                if exchange.rollout_attempt is not None:
                    exchange.rollout_attempt.record_reply(now)
                self._state.observe(placed.choice, now - sent_at, now)
                if exchange.measures_speed:
                    self._state.record_first_event(
                        placed.choice, now - sent_at, now
                    )
                self._metrics.observe("first_event", now - exchange.arrived_at)
        if relay.incomplete_bytes:
            raise upstream.failure("stream ended inside an event", broken=True)
        if first and not reply.framed:
            raise upstream.failure(
                "stream ended with its connection before its first event",
                broken=True,
            )
        if reply.framed:
            self._record_answer(exchange)
        await relay.finish()
        self._origins.record_end(exchange)
        self._outcomes.record(exchange, "whole")

    def _has_begun(self, exchange: Exchange, upstream: Upstream) -> bool:
        """Whether an endpoint that did not refuse a request has begun it.

        That is likely for plain services at once, for engines with their
        reply, or with what follows the head of a stream.
        """
        if exchange.route.kind == STREAM and upstream.ok:
            return False
        spec = self._state.table.cfg.services.get(exchange.service)
        return upstream.reply_begun or not (spec and spec.engine)

    def _count_usage(self, exchange: Exchange) -> None:
        """Count a request for usage once an endpoint has begun to run it."""
        if exchange.customer is None or exchange.usage_counted:
            return
        exchange.usage_counted = True
        self._state.count_usage(exchange.customer.name)

    # Failures

    async def _fail(
        self,
        exchange: Exchange,
        downstream: Downstream,
        reason: str,
        retry_after_s: float = TRANSIENT_RETRY_AFTER_S,
    ) -> None:
        if self._pass_on_failure(exchange, reason):
            return
        if exchange.maybe_ran:
            failure = UpstreamFailed(
                endpoint=", ".join(exchange.failed_ids) or "?", reason=reason
            )
        else:
            failure = Unserved(reason=reason)
        await self._refuse(exchange, downstream, failure, retry_after_s)

    def _pass_on_failure(self, exchange: Exchange, reason: str) -> bool:
        """Answer with the failure of an earlier run, if there is one."""
        if exchange.failed_reply is None:
            return False
        exchange.whole_reply = exchange.failed_reply
        self._outcomes.record(
            exchange, str(exchange.failed_reply.status), reason
        )
        return True

    async def _fail_timed_out(
        self, exchange: Exchange, downstream: Downstream
    ) -> None:
        now = self._clock.monotonic()
        elapsed_s = now - exchange.arrived_at
        if exchange.rollout_attempt is not None and (
            now >= exchange.deadline_at
        ):
            exchange.rollout_attempt.record_timeout(now)
        if self._pass_on_failure(exchange, f"no answer in {elapsed_s:.3f} s"):
            return
        if exchange.maybe_ran:
            failure = UpstreamTimeout(timeout_s=round(elapsed_s, 3))
        else:
            failure = Unserved(
                reason="timed out before it was sent to an endpoint"
            )
        await self._refuse(
            exchange, downstream, failure, TRANSIENT_RETRY_AFTER_S
        )

    async def _refuse(
        self,
        exchange: Exchange,
        downstream: Downstream,
        failure: Failure,
        retry_after_s: float,
    ) -> None:
        self._outcomes.record(exchange, failure.name, str(failure))
        if downstream.started:
            # The response is cut off, so that it does not look complete.
            return
        await downstream.refuse(failure, retry_after_s)
