"""A control process that serves gateways: replica, interfaces, duties."""

from collections.abc import Callable

from anyio.abc import TaskGroup

from chervilshift.clock import Clock
from chervilshift.control.duties import Cloud, DutyTask
from chervilshift.control.fleet import Decode, FleetService
from chervilshift.control.replica import INITIAL_INCARNATION, ReplicaProcess
from chervilshift.control.server import ControlServer
from chervilshift.control.storage import Identity
from chervilshift.core.raft.messages import Voter
from chervilshift.events import EventLog
from chervilshift.httpserver import serve_app
from chervilshift.metrics import Metrics
from chervilshift.settings import RoutedControlSettings

__all__ = ["Adapter", "RoutedControl"]

# Callers keep connections to control between announcements.
IDLE_TIMEOUT_S = 15.0


class Adapter:
    """What an outside protocol brings: its decoder, apps and cloud."""

    __slots__ = ("cloud", "control_app", "decode", "directory_app")

    def __init__(
        self,
        *,
        decode: Decode,
        control_app: Callable[[FleetService], Callable],
        directory_app: Callable[[FleetService], Callable],
        cloud: Cloud,
    ):
        self.decode = decode
        self.control_app = control_app
        self.directory_app = directory_app
        self.cloud = cloud


class RoutedControl(ReplicaProcess):
    """Runs a replica whose cluster finds its members from seeds."""

    open_membership = True

    def __init__(
        self,
        *,
        settings: RoutedControlSettings,
        adapter: Adapter,
        clock: Clock,
        events: EventLog,
    ):
        super().__init__(settings=settings, clock=clock, events=events)
        self._adapter = adapter
        self.fleet: FleetService | None = None

    def reload(self, settings: RoutedControlSettings) -> None:
        """Take changed seeds; addresses change only with a restart."""
        self._settings = settings
        self._events.emit("reloaded", seeds=settings.seeds)

    def _server(self) -> ControlServer:
        self.fleet = FleetService(
            node=self.node,
            clients=self._clients,
            decode=self._adapter.decode,
            beat_s=self._settings.announce_interval_ms / 1000,
            limit_policy=self._settings.limit_policy(),
            clock=self._clock,
            events=self._events,
        )
        return ControlServer(node=self.node, fleet=self.fleet)

    async def _start_tasks(self, tg: TaskGroup) -> None:
        duties = DutyTask(
            node=self.node,
            presence=self.fleet.presence,
            cloud=self._adapter.cloud,
            serving=self.fleet.serving,
            wall_s=self.fleet.wall_s,
            usage_window_s=self._settings.usage_window_s,
            lease_s=self._settings.duty_lease_ms / 1000,
            clock=self._clock,
            events=self._events,
        )
        if self._settings.metrics_listen:
            await tg.start(
                serve_app,
                self._metrics(),
                self._settings.metrics_listen,
                IDLE_TIMEOUT_S,
            )
        tg.start_soon(self.fleet.run)
        tg.start_soon(duties.run)
        for app, address in (
            (self._adapter.control_app, self._settings.api_listen),
            (self._adapter.directory_app, self._settings.directory_listen),
        ):
            await tg.start(serve_app, app(self.fleet), address, IDLE_TIMEOUT_S)

    def _metrics(self) -> Metrics:
        """Return this replica's gauges."""
        node, presence = self.node, self.fleet.presence
        metrics = Metrics()
        metrics.gauge("leads", lambda: node.raft.is_leader)
        metrics.gauge("lease_held", node.has_lease)
        metrics.gauge("term", lambda: node.raft.term)
        metrics.gauge("log_commit", lambda: node.raft.commit)
        metrics.gauge("stale_seconds", node.stale_s)
        metrics.gauge("voters", lambda: len(node.raft.voter_ids))
        metrics.gauge("config_version", lambda: node.machine.fleet.version)
        metrics.gauge(
            "endpoints_known", lambda: len(node.machine.fleet.endpoints())
        )
        metrics.gauge(
            "gateways_listed",
            lambda: len(presence.listed_gateways(self._clock.monotonic())),
        )
        return metrics

    def _identity(self) -> Identity:
        """Return the identity; the first voters know each other from seeds.

        An empty folder after the first start is a lost disk: the replica
        must come back as a new one and ask to join.
        """
        identity = self._storage.identity()
        if identity is not None:
            return identity
        me = self._settings.rpc_listen
        voters = ()
        if self._settings.bootstrap and me in self._settings.control:
            voters = tuple(
                Voter(
                    name=address,
                    incarnation=INITIAL_INCARNATION,
                    address=address,
                    failure_domain="",
                )
                for address in self._settings.control
            )
        self._events.emit("formatted", first=bool(voters))
        return self._storage.format(name=me, voters=voters)
