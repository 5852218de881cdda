"""Connections of outgoing calls.

An ordinary close leaves what was sent and not acknowledged in the kernel,
which goes on sending it for minutes after the call, or its process, has
ended. A call that was given up could thus still arrive after another one
that was made in its place.
"""

import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Iterable

import anyio
import anyio.lowlevel
import httpcore

__all__ = [
    "RESET_ON_CLOSE",
    "CallBackend",
    "CallStream",
    "CommandBackend",
    "socket_options",
]

SocketOption = tuple[int, int, int | bytes]

# struct linger: enabled, for 0 s. Closing then drops unsent data and resets
# the connection; so does the end of the process.
RESET_ON_CLOSE: SocketOption = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack("ii", 1, 0),
)
ACK_POLL_INTERVAL_S = 0.005
# More than a transport reads at once.
MAX_READ_BYTES = 1 << 20
# More than the head of most replies.
MAX_PEEK_BYTES = 2048
# Replies to commands are a status and little text.
MAX_COMMAND_REPLY_BYTES = 64 << 10


def socket_options(unacked_timeout_s: float) -> list[SocketOption]:
    """Return the options of a connection that carries calls.

    The kernel ends the connection once data stays unacknowledged for
    `unacked_timeout_s`, also while the process is stopped.
    """
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(unacked_timeout_s * 1000),
        ),
        RESET_ON_CLOSE,
    ]


class CallStream(httpcore.AsyncNetworkStream):
    """A network stream that bounds what is read, and read at once.

    With `remaining_bytes`, reading more than that raises ReadError. Parsing
    what one read returns does not let other tasks run, so it is at most
    `max_slice_bytes`.
    """

    max_slice_bytes = 2048

    def __init__(self, *, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        self._unread = memoryview(b"")
        self.remaining_bytes: int | None = None

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read a part of what has arrived; raises ReadError at the limit."""
        if self._unread:
            await anyio.lowlevel.checkpoint()
        else:
            data = await self._stream.read(MAX_READ_BYTES, timeout)
            self._unread = memoryview(data)
        size = min(max_bytes, self.max_slice_bytes)
        data, self._unread = bytes(self._unread[:size]), self._unread[size:]
        if self.remaining_bytes is not None:
            self.remaining_bytes -= len(data)
            if self.remaining_bytes < 0:
                raise httpcore.ReadError("reply exceeds the size limit")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> object:
        """Return information on the stream, as httpcore asks for it."""
        return self._stream.get_extra_info(info)

    def peek(self) -> bytes | None:
        """Return the beginning of what has arrived and was not read.

        Empty if the connection has ended, None if nothing has arrived.
        """
        if self._unread:
            return bytes(self._unread[:MAX_PEEK_BYTES])
        stream = self._stream._stream
        # Of large reads the transport delivers several before one is taken.
        if stream._protocol.read_queue:
            return stream._protocol.read_queue[0][:MAX_PEEK_BYTES]
        if stream._transport.is_closing():
            return b""
        return _peek_socket(self.get_extra_info("socket").fileno())


class _CommandStream(CallStream):
    """A stream of calls that must not arrive late, with short replies.

    Writes wait until those before have been acknowledged. As long as the
    path holds up the head of a request, its body thus stays in the process;
    a head alone is no call.
    """

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes once those before have been acknowledged."""
        if not buffer:
            return
        self.remaining_bytes = MAX_COMMAND_REPLY_BYTES
        sock = self._stream.get_extra_info("socket")
        while _unacked_bytes(sock):
            await anyio.sleep(ACK_POLL_INTERVAL_S)
        await self._stream.write(buffer, timeout)


class CallBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose streams are of one type.

    From each connection at most `max_bytes` are read, None for no limit.
    """

    def __init__(
        self,
        *,
        stream_type: type[CallStream] = CallStream,
        max_bytes: int | None = None,
    ):
        self._backend = httpcore.AnyIOBackend()
        self._stream_type = stream_type
        self._max_bytes = max_bytes

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[SocketOption] | None = None,
    ) -> CallStream:
        """Connect; raises httpcore's connect errors."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        call_stream = self._stream_type(stream=stream)
        call_stream.remaining_bytes = self._max_bytes
        return call_stream


class CommandBackend(CallBackend):
    """Opens connections for commands, whose replies are short."""

    def __init__(self):
        super().__init__(stream_type=_CommandStream)


def _peek_socket(fd: int) -> bytes | None:
    """Return as `CallStream.peek` what the kernel holds of a connection."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
    try:
        return sock.recv(MAX_PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        sock.detach()


def _unacked_bytes(sock: socket.socket) -> int:
    """Return how much was written that the peer has not acknowledged."""
    size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(size, sys.byteorder)
