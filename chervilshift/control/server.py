"""RPC server of a control process."""

from collections.abc import Callable
from functools import singledispatchmethod

from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.control.fleet import FleetService
from chervilshift.control.lease import wait_lease
from chervilshift.control.node import Node
from chervilshift.core.commands import Command
from chervilshift.core.fleet.sync import (
    FindOrigin,
    GatewaySync,
    OriginFound,
    ReadOrigin,
    ReadRollout,
    ReadServing,
    RecordStreams,
    Relay,
    RelayReply,
    RolloutFound,
    ServingDocument,
    StreamsRecorded,
    SyncReply,
)
from chervilshift.core.message import Message
from chervilshift.errors import BadRequest, Failure, NotLeader
from chervilshift.wire.messages import (
    Ack,
    ControlStatus,
    GetControlStatus,
    GetHistory,
    History,
    Join,
    RaftBatch,
    ReadVersion,
    Submit,
    SubmitReply,
    Version,
    WatchConfig,
    WatchReply,
)

__all__ = ["Check", "ControlServer"]

# Longest time that `WatchConfig` waits for a newer version.
MAX_WATCH_S = 10.0

Check = Callable[[Command], Result[None, Failure]]


def _accept_any(command: Command) -> Result[None, Failure]:
    """Accept every command; the default of `ControlServer`."""
    return Success(None)


class ControlServer:
    """Passes requests to the node and the fleet service.

    Raises a `Failure`, which is sent to the caller. `check` validates a
    command before it is committed. Without `fleet`, the requests that the
    fleet service answers are refused.
    """

    __slots__ = ("_check", "_fleet", "_node")

    def __init__(
        self,
        *,
        node: Node,
        fleet: FleetService | None = None,
        check: Check = _accept_any,
    ):
        self._node = node
        self._fleet = fleet
        self._check = check

    async def serve(self, message: Message) -> Message:
        """Return the reply to one request."""
        return await self._serve(message)

    @singledispatchmethod
    async def _serve(self, message: Message) -> Message:
        raise BadRequest(
            reason=f"not a request to control: {type(message).__name__}"
        )

    @_serve.register
    async def _(self, message: RaftBatch) -> RaftBatch | Ack:
        if message.takes_answers:
            answers = await self._node.exchange(message.messages)
            return RaftBatch(messages=answers)
        for item in message.messages:
            self._node.deliver(item)
        return Ack()

    @_serve.register
    async def _(self, message: Join) -> Ack:
        _unwrap(self._node.join(message.voter))
        return Ack()

    @_serve.register
    async def _(self, message: Submit) -> SubmitReply:
        _unwrap(self._check(message.command))
        reply = _unwrap(await self._node.submit(message.command))
        return SubmitReply(reply=reply)

    @_serve.register
    async def _(self, message: WatchConfig) -> WatchReply:
        wait_s = min(message.wait_s, MAX_WATCH_S)
        await self._node.wait_config(message.version, wait_s)
        machine = self._node.machine
        newer = machine.version > message.version
        return WatchReply(
            version=machine.version,
            stale_s=self._node.stale_s(),
            document=machine.document if newer else None,
        )

    @_serve.register
    async def _(self, message: ReadVersion) -> Version:
        if not await wait_lease(self._node):
            raise NotLeader(leader=self._node.leader_address())
        return Version(version=self._node.machine.version)

    @_serve.register
    async def _(self, message: GetHistory) -> History:
        if not await wait_lease(self._node):
            raise NotLeader(leader=self._node.leader_address())
        return History(changes=self._node.machine.history(message.last))

    @_serve.register
    async def _(self, message: GatewaySync) -> SyncReply:
        return await self._fleet_service().sync(message)

    @_serve.register
    async def _(self, message: Relay) -> RelayReply:
        return await self._fleet_service().receive_relay(message)

    @_serve.register
    async def _(self, message: ReadServing) -> ServingDocument:
        return await self._fleet_service().answer_read()

    @_serve.register
    async def _(self, message: ReadRollout) -> RolloutFound:
        return await self._fleet_service().rollouts.answer_read(message)

    @_serve.register
    async def _(self, message: RecordStreams) -> StreamsRecorded:
        return await self._fleet_service().origins.record(message)

    @_serve.register
    async def _(self, message: FindOrigin) -> OriginFound:
        return await self._fleet_service().origins.find(message)

    @_serve.register
    async def _(self, message: ReadOrigin) -> OriginFound:
        return await self._fleet_service().origins.read(message)

    def _fleet_service(self) -> FleetService:
        if self._fleet is None:
            raise BadRequest(reason="this control process serves no gateways")
        return self._fleet

    @_serve.register
    async def _(self, message: GetControlStatus) -> ControlStatus:
        return self._node.status()


def _unwrap(result: Result) -> object:
    """Return the value of a result, or raise its failure."""
    if isinstance(result, Bad):
        raise result.failure()
    return result.unwrap()
