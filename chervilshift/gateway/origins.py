"""Keeps streams at the version of their service that began them."""

from collections.abc import Iterable

import anyio
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.clock import Clock
from chervilshift.core.fleet.origins import (
    KEY_BYTES,
    Origin,
    OriginBatch,
    decide_origin,
    keep_s,
)
from chervilshift.core.fleet.placement import Endpoint
from chervilshift.core.fleet.sync import (
    FindOrigin,
    OriginFound,
    RecordStreams,
)
from chervilshift.core.message import Message
from chervilshift.errors import Failure
from chervilshift.events import EventLog
from chervilshift.gateway.exchange import Exchange
from chervilshift.gateway.state import GatewayState
from chervilshift.gateway.sync import ControlSync

__all__ = ["StreamOrigins"]

REPORT_INTERVAL_S = 0.1
# Streams in one report; the rest follows in the next.
MAX_REPORTED_STREAMS = 4096
# Longer than a control process takes to commit or to ask the leader; a call
# that times out ends the others to the same process.
REPORT_TIMEOUT_S = 1.5
FIND_TIMEOUT_S = 1.0
# The gateway that began a stream has reported it within this time.
MAX_FIND_S = 0.5
FIND_INTERVAL_S = 0.1
# A report that takes longer is logged, and not waited for: the next one is
# sent besides it, to the control process that is then in use.
SLOW_REPORT_S = 0.3


class StreamOrigins:
    """Finds and records the versions that began streams."""

    def __init__(
        self,
        *,
        state: GatewayState,
        sync: ControlSync,
        clock: Clock,
        events: EventLog,
    ):
        self._state = state
        self._sync = sync
        self._clock = clock
        self._events = events

    # Requests

    async def find(self, exchange: Exchange) -> bool:
        """Set the service and version at which a taken-up stream goes on.

        Returns whether they are known.
        """
        streams = self._state.open_streams
        services = tuple(t.service for t in exchange.route.targets)
        key = exchange.stream_key
        local = [o for o in streams.find(key) if o.service in services]
        if local:
            origin = decide_origin(local, services)
            self._set(exchange, origin, "local", ())
            return origin is not None
        until = self._clock.monotonic() + MAX_FIND_S
        answers: list[str] = []
        while True:
            found = await self._ask(exchange, services, answers)
            origin = found and _decide(exchange, found, services)
            if origin is not None:
                streams.begin(
                    key,
                    origin,
                    "",
                    self._clock.monotonic(),
                    reported=found.recorded,
                )
                source = "recorded" if found.recorded else "only version"
                self._set(exchange, origin, source, answers)
                return True
            is_final = found is not None and found.recorded
            if is_final or self._clock.monotonic() >= until:
                source = "recorded" if is_final else "none"
                self._set(exchange, None, source, answers)
                return False
            await anyio.sleep(FIND_INTERVAL_S)

    def record_event(self, exchange: Exchange, endpoint: Endpoint) -> None:
        """Record that a stream's first event here came from an endpoint."""
        record = endpoint.record
        exchange.version = record.version
        self._state.open_streams.begin(
            exchange.stream_key,
            Origin(service=exchange.service, version=record.version),
            record.id,
            self._clock.monotonic(),
        )

    def is_clear(self, exchange: Exchange) -> bool:
        """Whether a stream that has begun here has one possible origin."""
        found = self._state.open_streams.find(exchange.stream_key)
        return sum(o.service == exchange.service for o in found) <= 1

    def record_end(self, exchange: Exchange) -> None:
        """Record that the client got the whole stream."""
        self._state.open_streams.end(exchange.stream_key)

    # Control

    async def run(self) -> None:
        """Report streams of services with several versions, until cancelled.

        Streams that began before the second version came are reported once
        that is known.
        """
        streams = self._state.open_streams
        async with anyio.create_task_group() as tg:
            while True:
                await anyio.sleep(REPORT_INTERVAL_S)
                table = self._state.table
                cfg = table.cfg if table else None
                streams.expire(self._clock.monotonic(), keep_s(cfg))
                services = self._state.mixed_services()
                batches = streams.unreported(services, MAX_REPORTED_STREAMS)
                if not batches:
                    continue
                ended = anyio.Event()
                tg.start_soon(self._report, batches, ended)
                with anyio.move_on_after(SLOW_REPORT_S):
                    await ended.wait()

    async def _report(
        self, batches: tuple[OriginBatch, ...], ended: anyio.Event
    ) -> None:
        began_at = self._clock.monotonic()
        address = self._sync.address
        reply = await self._sync.call(
            RecordStreams(batches=batches), REPORT_TIMEOUT_S
        )
        took_s = self._clock.monotonic() - began_at
        if not isinstance(reply, Bad):
            self._state.open_streams.record_reported(batches)
        if isinstance(reply, Bad) or took_s > SLOW_REPORT_S:
            self._log_report(batches, address, took_s, reply)
        ended.set()

    def _log_report(
        self,
        batches: Iterable[OriginBatch],
        address: str,
        took_s: float,
        reply: Result[Message, Failure],
    ) -> None:
        is_failed = isinstance(reply, Bad)
        self._events.emit(
            "streams_not_recorded" if is_failed else "streams_recorded_late",
            urgent=is_failed,
            address=address,
            streams=sum(len(b.keys) // KEY_BYTES for b in batches),
            took_s=round(took_s, 3),
            reason=str(reply.failure()) if is_failed else "",
        )

    async def _ask(
        self,
        exchange: Exchange,
        services: tuple[str, ...],
        answers: list[str],
    ) -> OriginFound | None:
        """Ask control; what it answered is added to `answers`, for logs."""
        key = exchange.stream_key if exchange.request.resumed_id else b""
        began_at = self._clock.monotonic()
        address = self._sync.address
        reply = await self._sync.call(
            FindOrigin(key=key, services=services), FIND_TIMEOUT_S
        )
        took_s = self._clock.monotonic() - began_at
        answers.append(f"{address} after {took_s:.3f}: {_describe(reply)}")
        return None if isinstance(reply, Bad) else reply.unwrap()

    def _set(
        self,
        exchange: Exchange,
        origin: Origin | None,
        source: str,
        answers: Iterable[str],
    ) -> None:
        if origin is not None:
            exchange.service, exchange.version = origin.service, origin.version
        self._events.emit(
            "stream_taken_up",
            urgent=origin is None,
            request=exchange.id,
            resumes=exchange.request.resumed_id.decode("latin-1"),
            after=exchange.request.last_event_id,
            service=exchange.service,
            version=None if origin is None else origin.version,
            source=source,
            answers=list(answers),
        )


def _describe(reply: Result[Message, Failure]) -> str:
    if isinstance(reply, Bad):
        return str(reply.failure())
    found: OriginFound = reply.unwrap()
    origins = ", ".join(f"{o.service} {o.version}" for o in found.origins)
    # Only the leader, under its lease, says that there is no record.
    return f"{'recorded' if found.recorded else 'not recorded'}: {origins}"


def _decide(
    exchange: Exchange, found: OriginFound, services: tuple[str, ...]
) -> Origin | None:
    """Return where a stream goes on, None if that is unclear.

    One that is not recorded goes on at the service that is chosen, if that
    had one version only.
    """
    if found.recorded:
        return decide_origin(found.origins, services)
    return decide_origin(found.origins, (exchange.service,))
