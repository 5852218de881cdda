"""One entry process: construction of its parts, readiness and draining."""

from random import SystemRandom

import anyio
import uvicorn
from absl import logging

from chervilshift.addresses import split_address
from chervilshift.clock import Clock
from chervilshift.connguard import ConnectionGuard
from chervilshift.core.registry import LEASE_S, EntryInfo
from chervilshift.endpoints.engine import EngineClient
from chervilshift.endpoints.service import ServiceClient
from chervilshift.entry.announcements import AnnouncementHandler
from chervilshift.entry.app import EntryApp
from chervilshift.entry.auth import Authenticator
from chervilshift.entry.calls import CallHandler
from chervilshift.entry.chat import ChatHandler
from chervilshift.entry.claims import Claims
from chervilshift.entry.directory import Directory
from chervilshift.entry.operators import OperatorHandler
from chervilshift.entry.recorder import Recorder
from chervilshift.entry.scheduler import Scheduler
from chervilshift.entry.server import EntryServer
from chervilshift.entry.sessions import Sessions
from chervilshift.entry.watch import ConfigWatch
from chervilshift.events import EventLog
from chervilshift.httpserver import HttpServer, server_config
from chervilshift.metrics import Metrics
from chervilshift.settings import EntrySettings
from chervilshift.wire.leader import LeaderClient
from chervilshift.wire.rpc import Clients, RpcServer

__all__ = ["EntryProcess"]

# Longest time until a notice or a change in the number of streams is seen.
REFRESH_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.1
# Streams are stopped this long before the host is reclaimed, so that their
# callers can reconnect to another entry.
RECLAIM_MARGIN_S = 3.0
# Limit for stopped streams to end, and for open connections to close.
CLOSE_TIMEOUT_S = 5


class EntryProcess:
    """Runs an entry until its stop event is set, then drains it."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ):
        self._settings = settings
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._guard = ConnectionGuard(
            limits=settings.client_limits, now=clock.monotonic
        )
        self._guard.register(metrics)
        credentials = settings.credentials()
        self._clients = Clients(hlc=events.hlc, credentials=credentials)
        self._leader = LeaderClient(
            addresses=tuple(settings.control),
            clients=self._clients,
            clock=clock,
        )
        self.directory = Directory(
            info=_entry_info(settings),
            seeds=tuple(settings.peers),
            clients=self._clients,
            clock=clock,
            events=events,
        )
        self.watch = ConfigWatch(
            site=settings.site,
            leader=self._leader,
            clients=self._clients,
            clock=clock,
            events=events,
        )
        self._build()

    def _build(self) -> None:
        self.scheduler = Scheduler(
            directory=self.directory,
            region=self._settings.region,
            rng=SystemRandom(),
        )
        self._recorder = Recorder(
            directory=self.directory,
            clients=self._clients,
            events=self._events,
        )
        self.sessions = Sessions(
            scheduler=self.scheduler,
            directory=self.directory,
            recorder=self._recorder,
            engines=EngineClient(),
            clients=self._clients,
            events=self._events,
            metrics=self._metrics,
        )
        self._claims = Claims(leader=self._leader)
        self._calls = CallHandler(
            scheduler=self.scheduler,
            directory=self.directory,
            claims=self._claims,
            services=ServiceClient(),
            events=self._events,
            metrics=self._metrics,
        )
        self._auth = Authenticator(
            operator_keys=self._settings.operator_keys,
            endpoint_keys=self._settings.endpoint_keys,
        )

    async def run(
        self, stop: anyio.Event, *, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` is set, then drain and return."""
        app = self._make_app(stop)
        rpc = RpcServer(
            serve=EntryServer(
                directory=self.directory,
                store=self._recorder.store,
                sessions=self.sessions,
            ).serve,
            hlc=self._events.hlc,
            credentials=self._settings.credentials(),
            listener=self._guard.listener(),
        )
        http = HttpServer(self._uvicorn_config(app))
        async with anyio.create_task_group() as tg:
            self.sessions.attach(tg)
            self._claims.attach(tg)
            await rpc.start(*split_address(self._settings.rpc_listen))
            await tg.start(self.directory.run)
            await tg.start(self._recorder.run)
            tg.start_soon(self.watch.run)
            tg.start_soon(self.scheduler.run)
            tg.start_soon(self._apply_changes, stop)
            tg.start_soon(self._guard.run)
            tg.start_soon(http.serve)
            self._events.emit("started", role="entry")
            while not http.started:
                await anyio.sleep(POLL_INTERVAL_S)
            task_status.started()
            await stop.wait()
            await self._drain(app)
            http.should_exit = True
            while http.servers and any(s.is_serving() for s in http.servers):
                await anyio.sleep(POLL_INTERVAL_S)
            tg.cancel_scope.cancel()
        await rpc.close()
        self._clients.close()
        self._events.emit("stopped", role="entry")

    def _make_app(self, stop: anyio.Event) -> EntryApp:
        operators = OperatorHandler(
            watch=self.watch,
            directory=self.directory,
            leader=self._leader,
            clients=self._clients,
        )
        return EntryApp(
            auth=self._auth,
            chat=ChatHandler(sessions=self.sessions),
            calls=self._calls,
            operators=operators,
            announcements=AnnouncementHandler(directory=self.directory),
            directory=self.directory,
            watch=self.watch,
            metrics=self._metrics,
            stop=stop,
            lookup_ttl_s=self._settings.lookup_ttl_s,
        )

    def _uvicorn_config(self, app: EntryApp) -> uvicorn.Config:
        return server_config(
            app.build(),
            self._settings.listen,
            self._guard.listener(),
            timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
        )

    async def _apply_changes(self, stop: anyio.Event) -> None:
        """Apply new configurations, announce changes, stop on a notice.

        A reclaim notice for this host sets `stop`.
        """
        version = -1
        while True:
            if self.watch.version != version:
                version = self.watch.version
                self.scheduler.configure(self.watch.config)
                self._auth.configure(self.watch.config)
            self.directory.update_info(
                ready=self.watch.confirmed,
                streams=self.sessions.active,
                config_version=self.watch.version,
            )
            if self.directory.own_host_leaves_in_s() is not None:
                stop.set()
            with anyio.move_on_after(REFRESH_INTERVAL_S):
                await self.watch.changed.wait()

    # Draining

    async def _drain(self, app: EntryApp) -> None:
        """Withdraw from the lookup, then finish the work in progress.

        New requests are served until no caller can hold a lookup reply that
        names this entry. Streams that are still running when time is up are
        stopped; their callers reconnect to another entry.
        """
        started_at = self._clock.monotonic()
        timeout_s = self._settings.drain_timeout_s
        remaining_s = self.directory.own_host_leaves_in_s()
        self._events.emit("draining", notice_s=remaining_s)
        self.directory.announce_leaving(
            timeout_s if remaining_s is None else remaining_s
        )
        withdrawn_at = started_at + self._settings.lookup_ttl_s + LEASE_S
        await self._sleep_until(withdrawn_at, started_at + timeout_s)
        app.close_connections = True
        self.sessions.draining = True
        self._calls.draining = True
        while self._has_work() and not self._must_stop(started_at + timeout_s):
            await anyio.sleep(POLL_INTERVAL_S)
        if self._has_work():
            logging.info(
                "drain time is over: stopping %d unfinished streams",
                self.sessions.active,
            )
            self.sessions.stop_all()
            with anyio.move_on_after(CLOSE_TIMEOUT_S):
                while self._has_work():
                    await anyio.sleep(POLL_INTERVAL_S)
        self._events.emit("drained", active=self.sessions.active)

    def _has_work(self) -> bool:
        return bool(self.sessions.active or self._calls.active)

    def _must_stop(self, deadline_at: float) -> bool:
        """Tell whether the drain must end.

        The host's notice is read each time, as it may come during a drain.
        """
        remaining_s = self.directory.own_host_leaves_in_s()
        if remaining_s is not None and remaining_s < RECLAIM_MARGIN_S:
            return True
        return self._clock.monotonic() >= deadline_at

    async def _sleep_until(self, wake_at: float, deadline_at: float) -> None:
        """Sleep until `wake_at`, or less if the drain must end before."""
        while self._clock.monotonic() < wake_at and not self._must_stop(
            deadline_at
        ):
            await anyio.sleep(POLL_INTERVAL_S)


def _entry_info(settings: EntrySettings) -> EntryInfo:
    return EntryInfo(
        id=settings.process,
        address=settings.address or settings.listen,
        rpc_address=settings.rpc_address or settings.rpc_listen,
        host=settings.host,
        failure_domain=settings.failure_domain,
        region=settings.region,
    )
