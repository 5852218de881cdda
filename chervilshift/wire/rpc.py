"""RPC between the processes of the system, over one gRPC method.

Every call has a timeout. After a timeout or an error the connection is
reset, since something between the two ends may have lost its state, and so
that the call does not arrive later. The next call opens a new one.
"""

import asyncio
import ssl
import time
from collections.abc import Awaitable, Callable

import anyio
import msgspec
from absl import logging
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.client import Stream as ClientStream
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift import errors
from chervilshift.connguard import ClientLimits, ConnectionGuard, Listener
from chervilshift.core.message import Message
from chervilshift.events import HybridClock
from chervilshift.outgoing import socket_options
from chervilshift.wire.callreader import READ_BYTES, CallReader
from chervilshift.wire.messages import (
    DECODER,
    ENCODER,
    Envelope,
    FailureReply,
)

__all__ = ["Client", "Clients", "Credentials", "RpcServer"]

RPC_METHOD = "/chervilshift.Peer/Call"
CLUSTER_KEY_HEADER = "x-cluster-key"
DEFAULT_TIMEOUT_S = 2.0
# Larger than any message, snapshots included.
MAX_MESSAGE_BYTES = 64 << 20

MessageHandler = Callable[[Message], Awaitable[Message]]


class _Codec(CodecBase):
    """Encodes envelopes as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Envelope, message_type: type) -> bytes:
        return ENCODER.encode(message)

    def decode(self, data: bytes, message_type: type) -> Envelope:
        return DECODER.decode(data)


class Credentials:
    """The cluster key, and TLS contexts if TLS is configured.

    The key is sent with each call and must be the same at both ends.
    """

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


class _Server(Server):
    """A server whose connections a listener bounds."""

    def __init__(self, handlers: list, *, codec: _Codec, listener: Listener):
        super().__init__(handlers, codec=codec)
        self._listener = listener
        self._buffer = memoryview(bytearray(READ_BYTES))

    def _protocol_factory(self) -> CallReader:
        return CallReader(
            inner=super()._protocol_factory(),
            listener=self._listener,
            buffer=self._buffer,
        )


class RpcServer:
    """Serves calls of other processes.

    `serve` returns the reply to a message. A Failure that it raises is sent
    as the reply; any other exception fails the call. `listener` bounds the
    connections, by default with the default limits.
    """

    __slots__ = ("_credentials", "_hlc", "_serve", "_server")

    def __init__(
        self,
        *,
        serve: MessageHandler,
        hlc: HybridClock,
        credentials: Credentials,
        listener: Listener | None = None,
    ):
        self._serve = serve
        self._hlc = hlc
        self._credentials = credentials
        if listener is None:
            listener = ConnectionGuard(
                limits=ClientLimits(), now=time.monotonic
            ).listener()
        self._server = _Server([self], codec=_Codec(), listener=listener)

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods of this service, as grpclib requires."""
        handler = Handler(
            self._handle_call, Cardinality.UNARY_UNARY, Envelope, Envelope
        )
        return {RPC_METHOD: handler}

    async def start(self, host: str, port: int) -> None:
        """Start listening; raises CannotListen."""
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

    async def _handle_call(self, stream: Stream) -> None:
        if stream.metadata.get(CLUSTER_KEY_HEADER) != self._credentials.key:
            raise GRPCError(Status.UNAUTHENTICATED)
        stream._stream._transport.get_protocol().trust()
        _limit_message(stream)
        envelope = await stream.recv_message()
        if envelope is None:
            raise GRPCError(Status.INVALID_ARGUMENT)
        self._hlc.observe(envelope.hlc)
        try:
            body = await self._serve(envelope.body)
        except errors.Failure as exc:
            body = FailureReply(name=exc.name, fields=exc.fields)
        except Exception:
            logging.exception(
                "unhandled exception while serving a %s message",
                type(envelope.body).__name__,
            )
            raise
        await stream.send_message(Envelope(hlc=self._hlc.tick(), body=body))


class _Channel(Channel):
    """A channel that drops what it has not sent when it is closed."""

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        self._transport = protocol.connection._transport
        sock = self._transport.get_extra_info("socket")
        for option in socket_options(DEFAULT_TIMEOUT_S):
            sock.setsockopt(*option)
        return protocol

    def close(self) -> None:
        connected = self._connected
        super().close()
        if connected:
            self._transport.abort()


class Client:
    """Calls the process at `address`, given as HOST:PORT."""

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
        """Send a message and return the reply, or a Failure.

        The failure is PeerUnreachable if the call fails or no reply that can
        be decoded arrives within `timeout_s`, and otherwise the one that the
        peer raised.
        """
        channel = self._open_channel()
        method = UnaryUnaryMethod(channel, RPC_METHOD, Envelope, Envelope)
        envelope = Envelope(hlc=self._hlc.tick(), body=body)
        metadata = {CLUSTER_KEY_HEADER: self._credentials.key}
        cancellations = _pending_cancellations()
        try:
            with anyio.fail_after(timeout_s):
                async with method.open(metadata=metadata) as stream:
                    await stream.send_message(envelope, end=True)
                    _limit_message(stream)
                    reply = await stream.recv_message()
                    if reply is None:
                        raise StreamTerminatedError("no reply")
        except (
            OSError,
            TimeoutError,
            GRPCError,
            StreamTerminatedError,
            msgspec.DecodeError,
        ) as exc:
            _restore_cancellations(cancellations)
            self._close_channel(channel)
            reason = str(exc) or type(exc).__name__
            return Bad(
                errors.PeerUnreachable(address=self.address, reason=reason)
            )
        self._hlc.observe(reply.hlc)
        return _to_result(reply.body)

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._close_channel(self._channel)

    def _open_channel(self) -> Channel:
        if self._channel is None:
            host, _, port = self.address.rpartition(":")
            self._channel = _Channel(
                host,
                int(port),
                codec=_Codec(),
                ssl=self._credentials.client_tls,
            )
        return self._channel

    def _close_channel(self, channel: Channel) -> None:
        channel.close()
        if self._channel is channel:
            self._channel = None


class Clients:
    """Clients by address, created on first use."""

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


def _limit_message(stream: Stream | ClientStream) -> None:
    """Refuse a message whose announced size exceeds the limit.

    grpclib would hold all of it before it is decoded.
    """
    receive = stream._stream.recv_data

    async def receive_limited(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED, f"message of {size} bytes"
            )
        return await receive(size)

    stream._stream.recv_data = receive_limited


def _pending_cancellations() -> int:
    task = asyncio.current_task()
    return task.cancelling() if task else 0


def _restore_cancellations(count: int) -> None:
    """Undo a cancellation by which grpclib ended its own wait.

    grpclib turns it into an error but leaves it pending in the task, where
    enclosing cancel scopes would take it for their own cancellation.
    """
    task = asyncio.current_task()
    while task and task.cancelling() > count:
        task.uncancel()


def _to_result(body: Message) -> Result[Message, errors.Failure]:
    """Return the reply, or the Failure that a FailureReply stands for.

    A name that `errors` does not define becomes a plain Failure.
    """
    if not isinstance(body, FailureReply):
        return Success(body)
    failure_type = getattr(errors, body.name, errors.Failure)
    return Bad(failure_type(**body.fields))
