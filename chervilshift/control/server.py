"""Answers the messages that other processes send to a control process."""

from collections.abc import Callable
from functools import singledispatchmethod

from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.control.fleet import FleetService
from chervilshift.control.node import Node
from chervilshift.core.commands import Command
from chervilshift.core.fleet.sync import (
    GatewaySync,
    Heartbeats,
    ReadServing,
    ServingDocument,
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

MAX_WAIT_S = 10.0

Check = Callable[[Command], Result[None, Failure]]


def _accept(command: Command) -> Result[None, Failure]:
    """Find no fault in a command."""
    return Success(None)


class ControlServer:
    """Maps messages to the node; raises typed failures.

    `check` tells what is wrong with a command before it is committed.
    """

    __slots__ = ("_check", "_fleet", "_node")

    def __init__(
        self,
        *,
        node: Node,
        fleet: FleetService | None = None,
        check: Check = _accept,
    ):
        self._node = node
        self._fleet = fleet
        self._check = check

    async def serve(self, message: Message) -> Message:
        """Answer one message."""
        return await self._serve(message)

    @singledispatchmethod
    async def _serve(self, message: Message) -> Message:
        raise BadRequest(reason=f"not for control: {type(message).__name__}")

    @_serve.register
    async def _(self, message: RaftBatch) -> Ack:
        for item in message.messages:
            self._node.deliver(item)
        return Ack()

    @_serve.register
    async def _(self, message: Join) -> Ack:
        _raise(self._node.join(message.voter))
        return Ack()

    @_serve.register
    async def _(self, message: Submit) -> SubmitReply:
        _raise(self._check(message.command))
        reply = _raise(await self._node.submit(message.command))
        return SubmitReply(reply=reply)

    @_serve.register
    async def _(self, message: WatchConfig) -> WatchReply:
        wait_s = min(message.wait_s, MAX_WAIT_S)
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
        if not self._node.has_lease():
            raise NotLeader(leader=self._node.leader_address())
        return Version(version=self._node.machine.version)

    @_serve.register
    async def _(self, message: GetHistory) -> History:
        if not self._node.has_lease():
            raise NotLeader(leader=self._node.leader_address())
        return History(changes=self._node.machine.history(message.last))

    @_serve.register
    async def _(self, message: GatewaySync) -> SyncReply:
        return self._routed().sync(message)

    @_serve.register
    async def _(self, message: Heartbeats) -> Ack:
        self._routed().hear(message)
        return Ack()

    @_serve.register
    async def _(self, message: ReadServing) -> ServingDocument:
        return self._routed().read()

    def _routed(self) -> FleetService:
        if self._fleet is None:
            raise BadRequest(reason="this cluster routes no traffic")
        return self._fleet

    @_serve.register
    async def _(self, message: GetControlStatus) -> ControlStatus:
        return self._node.status()


def _raise(result: Result) -> object:
    if isinstance(result, Bad):
        raise result.failure()
    return result.unwrap()
