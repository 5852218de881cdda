"""Control process that serves gateways: replica, HTTP interfaces, duties."""

from collections.abc import Callable

from anyio.abc import TaskGroup

from chervilshift.clock import Clock
from chervilshift.control.duties import Cloud, DutyTask
from chervilshift.control.fleet import DecodeConfig, FleetService
from chervilshift.control.replica import INITIAL_INCARNATION, ReplicaProcess
from chervilshift.control.server import ControlServer
from chervilshift.control.storage import Identity
from chervilshift.core.fleet.sync import ControlInfo
from chervilshift.core.fleet.zones import share_gauges
from chervilshift.core.raft.messages import Voter
from chervilshift.events import EventLog
from chervilshift.httpserver import serve_app
from chervilshift.metrics import Metrics
from chervilshift.settings import RoutedControlSettings

__all__ = ["PlatformAdapter", "RoutedControl"]

# Longer than the interval of announcements, so that endpoints can keep their
# connections open in between.
IDLE_TIMEOUT_S = 15.0


class PlatformAdapter:
    """What a platform provides: its document decoder, ASGI apps and cloud."""

    __slots__ = ("cloud", "control_app", "decode", "directory_app")

    def __init__(
        self,
        *,
        decode: DecodeConfig,
        control_app: Callable[[FleetService], Callable],
        directory_app: Callable[[FleetService], Callable],
        cloud: Cloud,
    ):
        self.decode = decode
        self.control_app = control_app
        self.directory_app = directory_app
        self.cloud = cloud


class RoutedControl(ReplicaProcess):
    """Runs a replica of a cluster that discovers its members from seeds."""

    open_membership = True

    def __init__(
        self,
        *,
        settings: RoutedControlSettings,
        adapter: PlatformAdapter,
        clock: Clock,
        events: EventLog,
    ):
        super().__init__(settings=settings, clock=clock, events=events)
        self._adapter = adapter
        self.fleet: FleetService | None = None

    def reload(self, settings: RoutedControlSettings) -> None:
        """Apply changed seeds; changed addresses need a restart."""
        self._settings = settings
        self._events.emit("reloaded", seeds=settings.seeds)

    def _server(self) -> ControlServer:
        self.fleet = FleetService(
            node=self.node,
            clients=self._clients,
            decode=self._adapter.decode,
            announce_interval_s=self._settings.announce_interval_ms / 1000,
            limit_policy=self._settings.limit_policy(),
            make_spill=self._settings.spill_planner,
            info=ControlInfo(
                address=self._settings.rpc_listen,
                failure_domain=self._settings.failure_domain,
                region=self._settings.region,
            ),
            clock=self._clock,
            events=self._events,
            rollout_policy=self._settings.rollout_policy(),
        )
        return ControlServer(node=self.node, fleet=self.fleet)

    async def _start_tasks(self, tg: TaskGroup) -> None:
        duties = DutyTask(
            node=self.node,
            presence=self.fleet.presence,
            cloud=self._adapter.cloud,
            serving_config=self.fleet.serving_config,
            speeds=self.fleet.prefill_speeds,
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
                self._guard.listener(probes=True),
            )
        self._tasks.start(tg, "fleet", self.fleet.run)
        self._tasks.start(tg, "duties", duties.run)
        for app, address in (
            (self._adapter.control_app, self._settings.api_listen),
            (self._adapter.directory_app, self._settings.directory_listen),
        ):
            await tg.start(
                serve_app,
                app(self.fleet),
                address,
                IDLE_TIMEOUT_S,
                self._guard.listener(),
            )

    def _metrics(self) -> Metrics:
        """Return the metrics of this replica."""
        node = self.node
        metrics = Metrics()
        self._guard.register(metrics)
        metrics.gauge("leads", lambda: node.raft.is_leader)
        metrics.gauge("lease_held", node.has_lease)
        metrics.gauge("term", lambda: node.raft.term)
        metrics.gauge("log_commit", lambda: node.raft.commit)
        metrics.gauge("stale_seconds", node.stale_s)
        metrics.gauge_family(
            "spill_share", lambda: share_gauges(self.fleet.spill)
        )
        metrics.gauge("voters", lambda: len(node.raft.voter_ids))
        metrics.gauge("config_version", lambda: node.machine.fleet.version)
        metrics.gauge(
            "endpoints_known", lambda: len(node.machine.fleet.endpoints())
        )
        metrics.gauge(
            "parts_suspected",
            lambda: len(node.machine.fleet.crashes.suspicion().suspects),
        )
        metrics.gauge(
            "parts_quarantined",
            lambda: len(node.machine.fleet.crashes.quarantined),
        )
        metrics.gauge(
            "gateways_listed",
            lambda: len(self.fleet.listed_gateways()),
        )
        metrics.gauge("room_levels", lambda: self.fleet.level_count)
        metrics.gauge("gateways_served", lambda: self.fleet.served_count)
        metrics.gauge("leader_age_seconds", lambda: self.fleet.leader_age_s)
        metrics.gauge(
            "reports_refused", lambda: self.fleet.presence.refused_reports
        )
        metrics.gauge_by(
            "prefill_tokens_per_second",
            "service",
            lambda: {
                service: speed.tokens_per_s
                for service, speed in self.fleet.prefill_speeds().items()
            },
        )
        metrics.gauge(
            "rollouts_running",
            lambda: sum(r.is_running for r in self.fleet.rollouts.current()),
        )
        metrics.gauge("rollout_share", self.fleet.rollouts.largest_share)
        metrics.gauge("rollout_suspicion", self.fleet.rollouts.suspicion)
        metrics.gauge("rollout_attempts", self.fleet.rollouts.attempts)
        return metrics

    def _identity(self) -> Identity:
        """Return the identity; format the data folder if it is empty.

        With the `bootstrap` setting the seeds become the first voters of a new
        cluster. Without it an empty folder means a lost disk, and the replica
        gets a new identity with which it asks to join.
        """
        identity = self._storage.identity()
        if identity is not None:
            return identity
        own_address = self._settings.rpc_listen
        voters = ()
        if self._settings.bootstrap and own_address in self._settings.control:
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
        return self._storage.format(name=own_address, voters=voters)
