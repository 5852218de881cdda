"""Control process of a cluster with entries; sends orders to endpoints."""

from anyio.abc import TaskGroup
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.config import validate
from chervilshift.control.orders import OrderTask
from chervilshift.control.replica import INITIAL_INCARNATION, ReplicaProcess
from chervilshift.control.server import ControlServer
from chervilshift.control.storage import Identity, Storage
from chervilshift.core.commands import ApplyConfig, Command
from chervilshift.core.raft.messages import Voter
from chervilshift.errors import Failure, SettingsRefused
from chervilshift.events import EventLog
from chervilshift.settings import ControlSettings
from chervilshift.wire.messages import GetControlStatus
from chervilshift.wire.rpc import Clients

__all__ = ["ControlProcess", "format_cluster"]


class ControlProcess(ReplicaProcess):
    """Runs a replica which, as leader, orders adapters that endpoints lack."""

    def _server(self) -> ControlServer:
        return ControlServer(node=self.node, check=_check_command)

    async def _start_tasks(self, tg: TaskGroup) -> None:
        orders = OrderTask(
            node=self.node,
            entries=tuple(self._settings.entries),
            clients=self._clients,
            clock=self._clock,
            events=self._events,
        )
        self._tasks.start(tg, "orders", orders.run)


def _check_command(command: Command) -> Result[None, Failure]:
    """Check the configuration in an `ApplyConfig` command."""
    if isinstance(command, ApplyConfig):
        return validate(command.document)
    return Success(None)


async def format_cluster(
    settings: ControlSettings, events: EventLog
) -> Identity:
    """Format this replica's data folder for a first voter of a new cluster.

    Raises SettingsRefused if the folder is already formatted, or if a replica
    in the settings already belongs to a cluster: a replica that lost its disk
    must rejoin under a new identity, which it gets when it is started.
    """
    storage = Storage(folder=settings.data_folder)
    if storage.identity() is not None:
        raise SettingsRefused(faults="the data folder is already formatted")
    clients = Clients(hlc=events.hlc, credentials=settings.credentials())
    for address in settings.control:
        reply = await clients.at(address).call(GetControlStatus(), 1.0)
        if not isinstance(reply, Bad) and reply.unwrap().commit > 0:
            clients.close()
            raise SettingsRefused(
                faults=f"{address} already belongs to a running cluster"
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
