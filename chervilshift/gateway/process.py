"""One gateway process: wiring, readiness and graceful shutdown."""

from collections.abc import Callable
from random import SystemRandom
from secrets import token_hex

import anyio
from returns.result import Result

from chervilshift.background import BackgroundTasks
from chervilshift.clock import Clock
from chervilshift.connguard import ConnectionGuard
from chervilshift.core.fleet.controls import ControlChooser
from chervilshift.core.fleet.model import ServingConfig
from chervilshift.core.fleet.placement import Placement
from chervilshift.core.fleet.retries import RetryPolicy
from chervilshift.core.fleet.stopping import Stopping
from chervilshift.core.fleet.sync import GatewayInfo
from chervilshift.core.fleet.zones import SpillGate
from chervilshift.errors import Failure
from chervilshift.events import EventLog
from chervilshift.gateway.connections import (
    ConnectionPool,
    LateReply,
    request_key,
)
from chervilshift.gateway.crashprobe import CrashProbe
from chervilshift.gateway.dispatch import Dispatcher
from chervilshift.gateway.ingress import Ingress
from chervilshift.gateway.origins import StreamOrigins
from chervilshift.gateway.protocol import HeaderCodec
from chervilshift.gateway.state import GatewayState
from chervilshift.gateway.sync import ControlSync
from chervilshift.httpserver import HttpServer, serve_app
from chervilshift.metrics import Metrics
from chervilshift.settings import GatewaySettings
from chervilshift.stopsignal import stop_received_at
from chervilshift.wire.rpc import Clients

__all__ = ["ClientProtocol", "GatewayProcess"]

DRAIN_POLL_INTERVAL_S = 0.05
PRUNE_INTERVAL_S = 0.5
# For clients' connections until a configuration sets their idle timeout.
INITIAL_IDLE_TIMEOUT_S = 15.0
# For connections of readiness and metrics probes, which come a few seconds
# apart.
PROBE_IDLE_TIMEOUT_S = 5.0
INCARNATION_ID_BYTES = 8
# Clients cache a lookup of gateways for at most three times its TTL of 1 s, so
# they may still connect for this long after this gateway has left the lookup.
MAX_LOOKUP_CACHE_S = 3.0
ANNOUNCE_TIMEOUT_S = 0.5
# Part of the time to stop that is reserved for the last responses and for
# closing connections.
CLOSE_MARGIN_S = 0.8
# How long requests that draining cut off may take to send their response.
LAST_RESPONSES_TIMEOUT_S = 0.3


class ClientProtocol:
    """What a client protocol provides.

    `ready_app` makes the ASGI app of readiness probes from a function that
    tells whether the gateway is ready.
    """

    __slots__ = ("decode_config", "codec", "ready_app")

    def __init__(
        self,
        *,
        codec: HeaderCodec,
        decode_config: Callable[[bytes], Result[ServingConfig, Failure]],
        ready_app: Callable[[Callable[[], bool]], Callable],
    ):
        self.codec = codec
        self.decode_config = decode_config
        self.ready_app = ready_app


class GatewayProcess:
    """Runs a gateway until it is told to stop, then drains it."""

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
        self._incarnation = token_hex(INCARNATION_ID_BYTES)
        self._guard = ConnectionGuard(
            limits=settings.client_limits,
            now=clock.monotonic,
        )
        self._http: HttpServer | None = None
        self._clients = Clients(
            hlc=events.hlc, credentials=settings.credentials()
        )
        self._pool = ConnectionPool(
            clock=clock, on_late_reply=self._record_late_reply
        )
        chooser = ControlChooser(
            gateway_id=settings.process,
            failure_domain=settings.failure_domain,
            region=settings.region,
            seeds=settings.control,
        )
        self._controls_digest = lambda: chooser.digest
        self.state = self._make_state()
        self._sync = ControlSync(
            state=self.state,
            chooser=chooser,
            clients=self._clients,
            clock=clock,
            events=events,
        )
        self._crash_probe = CrashProbe(
            state=self.state,
            sync=self._sync,
            pool=self._pool,
            clock=clock,
            metrics=metrics,
        )
        self._origins = StreamOrigins(
            state=self.state, sync=self._sync, clock=clock, events=events
        )
        self._dispatcher = Dispatcher(
            state=self.state,
            sync=self._sync,
            pool=self._pool,
            crash_probe=self._crash_probe,
            origins=self._origins,
            codec=protocol.codec,
            clock=clock,
            events=events,
            metrics=metrics,
            rng=SystemRandom(),
        )
        self.ingress = Ingress(
            state=self.state,
            dispatcher=self._dispatcher,
            codec=protocol.codec,
            clock=clock,
            events=events,
        )
        self._register_gauges(metrics)

    async def run(
        self, stop: anyio.Event, *, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` is set, then drain and return."""
        async with anyio.create_task_group() as tg:
            tasks = BackgroundTasks(clock=self._clock, events=self._events)
            tasks.start(tg, "sync", self._sync.run)
            tasks.start(tg, "crash probe", self._crash_probe.run)
            tasks.start(tg, "stream origins", self._origins.run)
            self._http = await tg.start(
                serve_app,
                self.ingress,
                self._settings.listen,
                INITIAL_IDLE_TIMEOUT_S,
                self._guard.listener(),
            )
            ready_app = self._protocol.ready_app(self._is_ready)
            await tg.start(
                serve_app,
                ready_app,
                self._settings.ready_listen,
                PROBE_IDLE_TIMEOUT_S,
                self._guard.listener(probes=True),
            )
            if self._settings.metrics_listen:
                await tg.start(
                    serve_app,
                    self._metrics,
                    self._settings.metrics_listen,
                    PROBE_IDLE_TIMEOUT_S,
                    self._guard.listener(probes=True),
                )
            tasks.start(tg, "connections", self._maintain)
            tasks.start(tg, "client connections", self._guard.run)
            self._events.emit("started", role="gateway")
            task_status.started()
            await stop.wait()
            await self._drain()
            tg.cancel_scope.cancel()
        self._clients.close()
        self._events.emit("stopped", role="gateway")

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed seeds; changed addresses need a restart."""
        self._sync.set_seeds(tuple(settings.control))
        self._events.emit("reloaded", seeds=settings.seeds)

    def _make_state(self) -> GatewayState:
        settings = self._settings
        rng = SystemRandom()
        return GatewayState(
            rng=rng,
            gateway_id=settings.process,
            info=self._info,
            placement=Placement(
                region=settings.region, regions=settings.regions, rng=rng
            ),
            limit_policy=settings.limit_policy(),
            retry_policy=RetryPolicy(
                ratio=settings.retry_ratio,
                fixed_retries=settings.retry_extra,
                window_s=settings.retry_window_s,
            ),
            usage_window_s=settings.usage_window_s,
            decode=self._protocol.decode_config,
            controls_digest=self._controls_digest,
            clock=self._clock,
            events=self._events,
            rollout_policy=settings.rollout_policy(),
            spill=SpillGate(
                enabled=settings.zone_spill,
                domain=settings.failure_domain,
                regions=settings.regions,
                rng=rng,
            ),
        )

    def _register_gauges(self, metrics: Metrics) -> None:
        state = self.state
        placement = state.placement
        self._guard.register(metrics)
        metrics.gauge("config_version", lambda: state.version)
        metrics.gauge("ready", self._is_ready)
        metrics.gauge("gateways_known", lambda: state.gateway_count)
        metrics.gauge(
            "requests_under_way", lambda: self.ingress.active_requests
        )
        metrics.gauge_family(
            "spill_sent_share",
            lambda: state.spill.shares_sent(self._clock.monotonic()),
        )
        metrics.gauge("room_levels", lambda: state.room.level_count)
        metrics.gauge("endpoints_known", lambda: len(placement.endpoints()))
        metrics.gauge(
            "endpoints_resting",
            lambda: sum(
                e.health.is_excluded(self._clock.monotonic())
                for e in placement.endpoints()
            ),
        )
        metrics.gauge(
            "endpoints_limited",
            lambda: len(state.endpoint_limits.limited_ids()),
        )
        metrics.gauge(
            "endpoints_held",
            lambda: state.holds.held_count(self._clock.monotonic()),
        )
        metrics.gauge("endpoint_crashes", lambda: state.crashes.count)
        metrics.gauge(
            "parts_quarantined", lambda: len(state.crashes.quarantined)
        )
        metrics.gauge(
            "limits_fallen_back",
            lambda: state.limits.uses_fallback(self._clock.monotonic()),
        )
        metrics.gauge_by(
            "prefill_tokens_per_second", "service", state.speeds.tokens_per_s
        )
        metrics.gauge_by(
            "latency_ratio",
            "service",
            lambda: {
                service: placement.latency_ratio(service)
                for service in state.speeds.speeds
            },
        )
        metrics.gauge("rollout_requests", state.versions.requests)
        metrics.gauge("rollout_attempts", state.versions.attempts)

    def _info(self) -> GatewayInfo:
        return GatewayInfo(
            id=self._settings.process,
            incarnation=self._incarnation,
            address=self._settings.listen,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
            ready=self._is_ready(),
        )

    def _record_late_reply(self, late: LateReply) -> None:
        """Log a second answer, which may name its request or none."""
        head = self._protocol.codec.reply_head(late.status, late.headers)
        statuses = late.conn.statuses
        first_status = statuses.get(request_key(head.request_id))
        self._metrics.count("second_answers")
        if first_status is not None and late.status != first_status:
            self._metrics.count("second_answers_unlike_first")
        self._events.emit(
            "second_answer",
            endpoint=late.conn.endpoint_id,
            connection=late.conn.number,
            request=head.request_id.decode("latin-1"),
            status=late.status,
            first_status=first_status,
            last_request=late.conn.last_id.decode("latin-1"),
            last_status=next(reversed(statuses.values()), None),
        )

    def _is_ready(self) -> bool:
        return self.state.table is not None and not self.ingress.stopping

    async def _maintain(self) -> None:
        """Close unused connections and apply the configured timeouts."""
        while True:
            await anyio.sleep(PRUNE_INTERVAL_S)
            known_ids = frozenset(
                e.id for e in self.state.placement.endpoints()
            )
            await self._pool.prune(known_ids)
            if self.state.table is not None:
                limits = self.state.table.cfg.limits
                self._http.config.timeout_keep_alive = limits.idle_timeout_s
                self._http.config.head_timeout_s = limits.header_timeout_s

    async def _drain(self) -> None:
        """Leave the clients' lookups and finish the requests being served.

        Clients with a cached lookup are served while it may last; then new
        requests are refused. The time runs from the arrival of the signal.
        """
        now = self._clock.monotonic()
        began_at = min(now, stop_received_at() or now)
        self.ingress.stopping = True
        self._events.emit("stopping", role="gateway")
        await self._sync.announce(ANNOUNCE_TIMEOUT_S)
        drain_until = began_at + self._settings.stop_within_s - CLOSE_MARGIN_S
        self._dispatcher.stopping = Stopping(
            refuse_at=began_at + MAX_LOOKUP_CACHE_S, cut_at=drain_until
        )
        while self._clock.monotonic() < drain_until:
            is_idle = (
                not self.ingress.active_requests
                and not self._http.unsent_bytes()
            )
            if is_idle and self._dispatcher.refuses_all():
                break
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        self._events.emit("drained", under_way=self.ingress.active_requests)
        self._dispatcher.cancel_all()
        with anyio.move_on_after(LAST_RESPONSES_TIMEOUT_S):
            while self.ingress.active_requests:
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
