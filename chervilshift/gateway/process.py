"""One gateway process: wiring, readiness and stopping in good order."""

from collections.abc import Callable
from random import SystemRandom
from secrets import token_hex

import anyio
from returns.result import Result

from chervilshift.clock import Clock
from chervilshift.core.fleet.model import ServingConfig
from chervilshift.core.fleet.placement import Placement
from chervilshift.core.fleet.retries import RetryPolicy
from chervilshift.core.fleet.sync import GatewayInfo
from chervilshift.errors import Failure
from chervilshift.events import EventLog
from chervilshift.gateway.connections import Connections
from chervilshift.gateway.dialect import Dialect
from chervilshift.gateway.dispatch import Dispatcher
from chervilshift.gateway.ingress import Ingress
from chervilshift.gateway.state import GatewayState
from chervilshift.gateway.sync import ControlSync
from chervilshift.httpserver import HttpServer, serve_app
from chervilshift.metrics import Metrics
from chervilshift.settings import GatewaySettings
from chervilshift.wire.rpc import Clients

__all__ = ["ClientProtocol", "GatewayProcess"]

POLL_S = 0.05
PRUNE_S = 0.5
# Until a configuration says how long clients may stay idle.
IDLE_TIMEOUT_S = 15.0
# For probes of readiness and metrics, a few seconds apart.
READY_IDLE_S = 5.0
INCARNATION_BYTES = 8
# Clients keep a lookup's answer for three times its second at most.
LOOKUPS_OUT_S = 3.0
ANNOUNCE_TIMEOUT_S = 0.5
# Left of the time to stop for the last answers and closing connections.
CLOSE_MARGIN_S = 0.8
LAST_ANSWERS_S = 0.3


class ClientProtocol:
    """What an outside protocol brings: decoders and the readiness app."""

    __slots__ = ("decode_config", "dialect", "ready_app")

    def __init__(
        self,
        *,
        dialect: Dialect,
        decode_config: Callable[[bytes], Result[ServingConfig, Failure]],
        ready_app: Callable[[Callable[[], bool]], Callable],
    ):
        self.dialect = dialect
        self.decode_config = decode_config
        self.ready_app = ready_app


class GatewayProcess:
    """Runs a gateway until told to stop, then drains it."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        protocol: ClientProtocol,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ):
        self._settings = settings
        self._protocol = protocol
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._incarnation = token_hex(INCARNATION_BYTES)
        self._http: HttpServer | None = None
        self._clients = Clients(
            hlc=events.hlc, credentials=settings.credentials()
        )
        self._conns = Connections(clock=clock)
        self.state = self._make_state()
        self._sync = ControlSync(
            state=self.state,
            seeds=tuple(settings.control),
            clients=self._clients,
            clock=clock,
        )
        self._dispatcher = Dispatcher(
            state=self.state,
            sync=self._sync,
            conns=self._conns,
            dialect=protocol.dialect,
            clock=clock,
            events=events,
            metrics=metrics,
            rng=SystemRandom(),
        )
        self.ingress = Ingress(
            state=self.state,
            dispatcher=self._dispatcher,
            dialect=protocol.dialect,
            clock=clock,
            events=events,
        )
        self._show_gauges(metrics)

    async def run(
        self, stop: anyio.Event, *, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` is set, then drain and return."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._sync.run)
            self._http = await tg.start(
                serve_app,
                self.ingress,
                self._settings.listen,
                IDLE_TIMEOUT_S,
            )
            ready = self._protocol.ready_app(self._is_ready)
            await tg.start(
                serve_app, ready, self._settings.ready_listen, READY_IDLE_S
            )
            if self._settings.metrics_listen:
                await tg.start(
                    serve_app,
                    self._metrics,
                    self._settings.metrics_listen,
                    READY_IDLE_S,
                )
            tg.start_soon(self._maintain)
            self._events.emit("started", role="gateway")
            task_status.started()
            await stop.wait()
            await self._drain()
            tg.cancel_scope.cancel()
        self._clients.close()
        self._events.emit("stopped", role="gateway")

    def reload(self, settings: GatewaySettings) -> None:
        """Take changed seeds; addresses change only with a restart."""
        self._sync.use_seeds(tuple(settings.control))
        self._events.emit("reloaded", seeds=settings.seeds)

    def _make_state(self) -> GatewayState:
        cfg = self._settings
        return GatewayState(
            info=self._info,
            placement=Placement(region=cfg.region, regions=cfg.regions),
            limit_policy=cfg.limit_policy(),
            retry_policy=RetryPolicy(
                ratio=cfg.retry_ratio,
                fixed_retries=cfg.retry_extra,
                window_s=cfg.retry_window_s,
            ),
            usage_window_s=cfg.usage_window_s,
            decode=self._protocol.decode_config,
            clock=self._clock,
            events=self._events,
        )

    def _show_gauges(self, metrics: Metrics) -> None:
        state = self.state
        placement = state.placement
        metrics.gauge("config_version", lambda: state.version)
        metrics.gauge("ready", self._is_ready)
        metrics.gauge("gateways_known", lambda: state.gateways)
        metrics.gauge("requests_under_way", lambda: self.ingress.under_way)
        metrics.gauge("endpoints_known", lambda: len(placement.endpoints()))
        metrics.gauge(
            "endpoints_resting",
            lambda: sum(
                e.health.is_excluded(self._clock.monotonic())
                for e in placement.endpoints()
            ),
        )
        metrics.gauge(
            "limits_fallen_back",
            lambda: state.limits.uses_fallback(self._clock.monotonic()),
        )

    def _info(self) -> GatewayInfo:
        return GatewayInfo(
            id=self._settings.process,
            incarnation=self._incarnation,
            address=self._settings.listen,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
            ready=self._is_ready(),
        )

    def _is_ready(self) -> bool:
        return self.state.table is not None and not self.ingress.stopping

    async def _maintain(self) -> None:
        """Close idle connections and follow the configured idle time."""
        while True:
            await anyio.sleep(PRUNE_S)
            live = frozenset(e.id for e in self.state.placement.endpoints())
            await self._conns.prune(live)
            if self.state.table is not None:
                limits = self.state.table.cfg.limits
                self._http.config.timeout_keep_alive = limits.idle_timeout_s

    async def _drain(self) -> None:
        """Leave the lookups, serve who still comes, finish what runs."""
        began_at = self._clock.monotonic()
        self.ingress.stopping = True
        self._events.emit("stopping", role="gateway")
        await self._sync.announce(ANNOUNCE_TIMEOUT_S)
        until = began_at + self._settings.stop_within_s - CLOSE_MARGIN_S
        while (now := self._clock.monotonic()) < until:
            self.ingress.refusing = now - began_at > LOOKUPS_OUT_S
            if self.ingress.refusing and not self.ingress.under_way:
                break
            await anyio.sleep(POLL_S)
        self._events.emit("drained", under_way=self.ingress.under_way)
        self._dispatcher.end_all()
        with anyio.move_on_after(LAST_ANSWERS_S):
            while self.ingress.under_way:
                await anyio.sleep(POLL_S)
