"""Finds out whether an endpoint that broke off a request has crashed."""

import anyio

from chervilshift.clock import Clock
from chervilshift.core.fleet.model import READY, SILENT
from chervilshift.core.fleet.placement import Endpoint
from chervilshift.gateway.connections import ConnectionPool
from chervilshift.gateway.exchange import Exchange
from chervilshift.gateway.state import GatewayState
from chervilshift.gateway.sync import ControlSync
from chervilshift.metrics import Metrics

__all__ = ["CrashProbe"]

# The other requests at the endpoint break off within this time.
GATHER_S = 0.02
MAX_PENDING_PROBES = 256


class CrashProbe:
    """Connects to endpoints that broke off requests, and reports crashes."""

    def __init__(
        self,
        *,
        state: GatewayState,
        sync: ControlSync,
        pool: ConnectionPool,
        clock: Clock,
        metrics: Metrics,
    ):
        self._state = state
        self._sync = sync
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._send, self._receive = anyio.create_memory_object_stream(
            MAX_PENDING_PROBES
        )

    def record_break(self, exchange: Exchange, endpoint: Endpoint) -> None:
        """Record that an endpoint broke off a request.

        One that announced that it leaves may do so.
        """
        now = self._clock.monotonic()
        record = endpoint.record
        if not exchange.is_suspect(now) or record.state not in (READY, SILENT):
            return
        is_new = self._state.crashes.record_break(
            (record.id, record.born_ms),
            exchange.suspect_parts,
            now,
            self._state.wall_s(),
        )
        if is_new:
            try:
                self._send.send_nowait(endpoint)
            except anyio.WouldBlock:
                # Control's news that the endpoint has ended settles it.
                self._metrics.count("probes_dropped")

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as tg:
            async for endpoint in self._receive:
                tg.start_soon(self._probe, endpoint)

    async def _probe(self, endpoint: Endpoint) -> None:
        await anyio.sleep(GATHER_S)
        record = endpoint.record
        if not await self._pool.is_refused(record.id, record.address):
            return
        endpoint.health.record_unreachable(self._clock.monotonic())
        if self._state.record_crash(record):
            self._sync.request()
