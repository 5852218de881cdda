"""Process of one replica: its storage, RPC server and rejoining."""

from functools import partial
from random import SystemRandom

import anyio
from absl import logging
from anyio.abc import TaskGroup
from returns.result import Failure as Bad

from chervilshift.addresses import split_address
from chervilshift.background import BackgroundTasks
from chervilshift.clock import Clock
from chervilshift.connguard import ConnectionGuard
from chervilshift.control.node import Node
from chervilshift.control.server import ControlServer
from chervilshift.control.storage import Identity, Storage
from chervilshift.core.raft.messages import Voter
from chervilshift.core.raft.state import Timing
from chervilshift.events import EventLog
from chervilshift.settings import ControlSettings
from chervilshift.wire.leader import LeaderClient
from chervilshift.wire.messages import Join
from chervilshift.wire.rpc import Clients, RpcServer

__all__ = ["INITIAL_INCARNATION", "ReplicaProcess"]

# Time between two checks of membership, and the time limit of a join call.
JOIN_INTERVAL_S = 0.3
# Time limit of the leadership transfer before a planned stop.
TRANSFER_TIMEOUT_S = 3.0
# Incarnation of the first voters of a cluster, which know each other's
# identity before any of them has started.
INITIAL_INCARNATION = "initial"


class ReplicaProcess:
    """Runs a replica until stopped; base class of the control processes."""

    open_membership = False

    def __init__(
        self, *, settings: ControlSettings, clock: Clock, events: EventLog
    ):
        self._settings = settings
        self._events = events
        self._clock = clock
        self._tasks = BackgroundTasks(clock=clock, events=events)
        self._storage = Storage(folder=settings.data_folder)
        self._clients = Clients(
            hlc=events.hlc, credentials=settings.credentials()
        )
        self._guard = ConnectionGuard(
            limits=settings.client_limits, now=clock.monotonic
        )
        self.node: Node | None = None

    async def run(
        self, stop: anyio.Event, *, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` is set, then transfer leadership."""
        local_voter = self._voter(self._identity())
        self.node = Node(
            local_voter=local_voter,
            storage=self._storage,
            clients=self._clients,
            clock=self._clock,
            events=self._events,
            rng=SystemRandom(),
            open_membership=self.open_membership,
            tolerated_losses=self._settings.tolerated_losses,
            timing=Timing(election_timeout_min_s=self._settings.election_s),
        )
        server = RpcServer(
            serve=self._server().serve,
            hlc=self._events.hlc,
            credentials=self._settings.credentials(),
            listener=self._guard.listener(),
        )
        host, port = split_address(self._settings.rpc_listen)
        async with anyio.create_task_group() as tg:
            await tg.start(self.node.run)
            await server.start(host, port)
            rejoin = partial(self._rejoin_loop, local_voter)
            self._tasks.start(tg, "rejoin", rejoin)
            self._tasks.start(tg, "client connections", self._guard.run)
            await self._start_tasks(tg)
            self._events.emit(
                "started", role="control", replica=local_voter.id
            )
            task_status.started()
            await stop.wait()
            self._events.emit("stopping", role="control")
            transferred = await self.node.transfer_leadership(
                TRANSFER_TIMEOUT_S
            )
            self._events.emit("handed_over", done=transferred)
            tg.cancel_scope.cancel()
        await server.close()
        self._clients.close()
        self._storage.close()
        self._events.emit("stopped", role="control")

    def _server(self) -> ControlServer:
        return ControlServer(node=self.node)

    async def _start_tasks(self, tg: TaskGroup) -> None:
        """Start further tasks of the process; none in the base class."""

    def _identity(self) -> Identity:
        """Return the identity; format the data folder if it is empty."""
        identity = self._storage.identity()
        if identity is None:
            identity = self._storage.format(
                name=self._settings.process, voters=()
            )
            logging.warning(
                "data folder was empty; formatted with new incarnation %s",
                identity.incarnation,
            )
        return identity

    def _voter(self, identity: Identity) -> Voter:
        address = self._settings.rpc_address or self._settings.rpc_listen
        return Voter(
            name=identity.name,
            incarnation=identity.incarnation,
            address=address,
            failure_domain=self._settings.failure_domain,
        )

    async def _rejoin_loop(self, local_voter: Voter) -> None:
        """Ask to join while no leader replicates to this replica.

        That is the case for a replica that is not in the voter set or hears
        from no leader.
        """
        leader = LeaderClient(
            addresses=tuple(self._settings.control),
            clients=self._clients,
            clock=self._clock,
        )
        while True:
            if self.node.raft.should_rejoin(self._clock.monotonic()):
                voters = (v.address for v in self.node.raft.log.voters)
                leader.addresses = tuple(
                    dict.fromkeys((*self._settings.control, *voters))
                )
                joined = await leader.call(
                    Join(voter=local_voter), JOIN_INTERVAL_S
                )
                if isinstance(joined, Bad):
                    logging.info(
                        "join request failed, retrying: %s", joined.failure()
                    )
            await anyio.sleep(JOIN_INTERVAL_S)
