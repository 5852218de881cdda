"""One gRPC method between the system's processes.

A call has a deadline; when it passes, the connection is dropped, since
something between the two ends may have lost track of it, and the next call
opens a new one.
"""

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import anyio
from absl import logging
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift import errors
from chervilshift.core.message import Message
from chervilshift.events import HybridClock
from chervilshift.wire.messages import (
    DECODER,
    ENCODER,
    Envelope,
    FailureReply,
)

__all__ = ["Client", "Clients", "Credentials", "RpcServer"]

METHOD = "/chervilshift.Peer/Call"
KEY_HEADER = "x-cluster-key"
DEFAULT_TIMEOUT_S = 2.0

Serve = Callable[[Message], Awaitable[Message]]


class _Codec(CodecBase):
    """Encodes envelopes as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Envelope, message_type: type) -> bytes:
        return ENCODER.encode(message)

    def decode(self, data: bytes, message_type: type) -> Envelope:
        return DECODER.decode(data)


class Credentials:
    """The key between processes, and TLS contexts where settings ask."""

    __slots__ = ("client_tls", "key", "server_tls")

    def __init__(
        self,
        *,
        key: str,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ):
        self.key = key
        self.server_tls = server_tls
        self.client_tls = client_tls


class RpcServer:
    """Serves calls of other processes with one handler."""

    __slots__ = ("_credentials", "_hlc", "_serve", "_server")

    def __init__(
        self, *, serve: Serve, hlc: HybridClock, credentials: Credentials
    ):
        self._serve = serve
        self._hlc = hlc
        self._credentials = credentials
        self._server = Server([self], codec=_Codec())

    def __mapping__(self) -> dict[str, Handler]:
        """Return the method table that grpclib asks for."""
        handler = Handler(
            self._call, Cardinality.UNARY_UNARY, Envelope, Envelope
        )
        return {METHOD: handler}

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; raises CannotListen."""
        try:
            await self._server.start(
                host, port, ssl=self._credentials.server_tls
            )
        except OSError as exc:
            raise errors.CannotListen(
                address=f"{host}:{port}", reason=exc.strerror
            ) from exc

    async def close(self) -> None:
        """Stop listening and end open calls."""
        self._server.close()
        await self._server.wait_closed()

    async def _call(self, stream: Stream) -> None:
        envelope = await stream.recv_message()
        if stream.metadata.get(KEY_HEADER) != self._credentials.key:
            raise GRPCError(Status.UNAUTHENTICATED)
        if envelope is None:
            raise GRPCError(Status.INVALID_ARGUMENT)
        self._hlc.observe(envelope.hlc)
        try:
            body = await self._serve(envelope.body)
        except errors.Failure as exc:
            body = FailureReply(name=exc.name, fields=exc.fields)
        except Exception:
            logging.exception("call failed: %s", type(envelope.body).__name__)
            raise
        await stream.send_message(Envelope(hlc=self._hlc.tick(), body=body))


class Client:
    """Calls one process at `address`, given as HOST:PORT."""

    __slots__ = ("_channel", "_credentials", "_hlc", "address")

    def __init__(
        self, *, address: str, hlc: HybridClock, credentials: Credentials
    ):
        self.address = address
        self._hlc = hlc
        self._credentials = credentials
        self._channel: Channel | None = None

    async def call(
        self, body: Message, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[Message, errors.Failure]:
        """Send a message and return the reply, or why there is none."""
        channel = self._open()
        method = UnaryUnaryMethod(channel, METHOD, Envelope, Envelope)
        envelope = Envelope(hlc=self._hlc.tick(), body=body)
        metadata = {KEY_HEADER: self._credentials.key}
        cancelling = _cancelling()
        try:
            with anyio.fail_after(timeout_s):
                reply = await method(envelope, metadata=metadata)
        except (
            OSError,
            TimeoutError,
            GRPCError,
            StreamTerminatedError,
        ) as exc:
            _uncancel(cancelling)
            self._drop(channel)
            reason = str(exc) or type(exc).__name__
            return Bad(
                errors.PeerUnreachable(address=self.address, reason=reason)
            )
        self._hlc.observe(reply.hlc)
        return _unwrap(reply.body)

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._drop(self._channel)

    def _open(self) -> Channel:
        if self._channel is None:
            host, _, port = self.address.rpartition(":")
            self._channel = Channel(
                host,
                int(port),
                codec=_Codec(),
                ssl=self._credentials.client_tls,
            )
        return self._channel

    def _drop(self, channel: Channel) -> None:
        channel.close()
        if self._channel is channel:
            self._channel = None


class Clients:
    """One client per address, made on first use."""

    __slots__ = ("_clients", "_credentials", "_hlc")

    def __init__(self, *, hlc: HybridClock, credentials: Credentials):
        self._hlc = hlc
        self._credentials = credentials
        self._clients: dict[str, Client] = {}

    def at(self, address: str) -> Client:
        """Return the client for an address."""
        if address not in self._clients:
            self._clients[address] = Client(
                address=address,
                hlc=self._hlc,
                credentials=self._credentials,
            )
        return self._clients[address]

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()


def _cancelling() -> int:
    task = asyncio.current_task()
    return task.cancelling() if task else 0


def _uncancel(count: int) -> None:
    """Take back the cancellation by which grpclib ended its own wait.

    It turns that into an error of its own but leaves the task marked, and
    cancel scopes further out would take the mark for theirs.
    """
    task = asyncio.current_task()
    while task and task.cancelling() > count:
        task.uncancel()


def _unwrap(body: Message) -> Result[Message, errors.Failure]:
    if not isinstance(body, FailureReply):
        return Success(body)
    kind = getattr(errors, body.name, errors.Failure)
    return Bad(kind(**body.fields))
