"""One control process: a replica, its server and its way back in."""

from random import SystemRandom

import anyio
from absl import logging
from anyio.abc import TaskGroup
from returns.result import Failure as Bad

from chervilshift.addresses import split_address
from chervilshift.clock import Clock
from chervilshift.control.node import Node
from chervilshift.control.orders import OrderTask
from chervilshift.control.server import ControlServer
from chervilshift.control.storage import Identity, Storage
from chervilshift.core.raft.messages import Voter
from chervilshift.errors import SettingsRefused
from chervilshift.events import EventLog
from chervilshift.settings import ControlSettings
from chervilshift.wire.leader import LeaderClient
from chervilshift.wire.messages import GetControlStatus, Join
from chervilshift.wire.rpc import Clients, RpcServer

__all__ = ["ControlProcess", "format_cluster"]

JOIN_INTERVAL_S = 1.0
HAND_OVER_S = 3.0
INITIAL_INCARNATION = "initial"


class ControlProcess:
    """Runs a replica until told to stop."""

    open_membership = False

    def __init__(
        self, *, settings: ControlSettings, clock: Clock, events: EventLog
    ):
        self._settings = settings
        self._events = events
        self._clock = clock
        self._storage = Storage(folder=settings.data_folder)
        self._clients = Clients(
            hlc=events.hlc, credentials=settings.credentials()
        )
        self.node: Node | None = None

    async def run(
        self, stop: anyio.Event, *, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` is set, then hand leadership over."""
        me = self._voter(self._identity())
        self.node = Node(
            me=me,
            storage=self._storage,
            clients=self._clients,
            clock=self._clock,
            events=self._events,
            rng=SystemRandom(),
            open_membership=self.open_membership,
        )
        server = RpcServer(
            serve=self._server().serve,
            hlc=self._events.hlc,
            credentials=self._settings.credentials(),
        )
        host, port = split_address(self._settings.rpc_listen)
        async with anyio.create_task_group() as tg:
            await tg.start(self.node.run)
            await server.start(host, port)
            tg.start_soon(self._join_while_outside, me)
            await self._start_tasks(tg)
            self._events.emit("started", role="control", replica=me.id)
            task_status.started()
            await stop.wait()
            self._events.emit("stopping", role="control")
            handed = await self.node.hand_over(HAND_OVER_S)
            self._events.emit("handed_over", done=handed)
            tg.cancel_scope.cancel()
        await server.close()
        self._clients.close()
        self._storage.close()
        self._events.emit("stopped", role="control")

    def _server(self) -> ControlServer:
        return ControlServer(node=self.node)

    async def _start_tasks(self, tg: TaskGroup) -> None:
        orders = OrderTask(
            node=self.node,
            entries=tuple(self._settings.entries),
            clients=self._clients,
            clock=self._clock,
            events=self._events,
        )
        tg.start_soon(orders.run)

    def _identity(self) -> Identity:
        """Return the identity; an empty folder gets a new one."""
        identity = self._storage.identity()
        if identity is None:
            identity = self._storage.format(
                name=self._settings.process, voters=()
            )
            logging.warning(
                "data folder was empty: new incarnation %s",
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

    async def _join_while_outside(self, me: Voter) -> None:
        """Ask the leader for replication until the voter set has us."""
        leader = LeaderClient(
            addresses=tuple(self._settings.control),
            clients=self._clients,
            clock=self._clock,
        )
        while True:
            if self.node.raft.may_be_outside(self._clock.monotonic()):
                voters = (v.address for v in self.node.raft.log.voters)
                leader.addresses = tuple(
                    dict.fromkeys((*self._settings.control, *voters))
                )
                asked = await leader.call(Join(voter=me), JOIN_INTERVAL_S)
                if isinstance(asked, Bad):
                    logging.info("join: %s", asked.failure())
            await anyio.sleep(JOIN_INTERVAL_S)


async def format_cluster(
    settings: ControlSettings, events: EventLog
) -> Identity:
    """Format this replica's folder as a first voter of a new cluster.

    Raises SettingsRefused where the folder is in use, or where a replica
    named in the settings already belongs to a cluster: after a lost disk a
    replica must come back under a new identity, which starting it does.
    """
    storage = Storage(folder=settings.data_folder)
    if storage.identity() is not None:
        raise SettingsRefused(faults="the data folder is formatted already")
    clients = Clients(hlc=events.hlc, credentials=settings.credentials())
    for address in settings.control:
        reply = await clients.at(address).call(GetControlStatus(), 1.0)
        if not isinstance(reply, Bad) and reply.unwrap().commit > 0:
            clients.close()
            raise SettingsRefused(
                faults=f"{address} belongs to a cluster that is running"
            )
    clients.close()
    voters = tuple(
        Voter(
            name=voter.name,
            incarnation=INITIAL_INCARNATION,
            address=voter.address,
            failure_domain=voter.failure_domain,
        )
        for voter in settings.voters
    )
    return storage.format(name=settings.process, voters=voters)
