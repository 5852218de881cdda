"""uvicorn servers without signal handlers, stopped by cancellation.

What clients send is parsed in slices, so that a client that sends many small
chunks or requests at once does not hold up all others. While a request is
being served, what follows it is read up to a limit and not parsed.
"""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from functools import partial

import anyio
import h11
import uvicorn
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from chervilshift.addresses import split_address
from chervilshift.connguard import (
    LATE_HEAD,
    ClientLimits,
    ConnectionGuard,
    Listener,
)

__all__ = [
    "HttpServer",
    "listen_on",
    "raw_target",
    "serve_app",
    "server_config",
]

LISTEN_BACKLOG = 2048
START_POLL_INTERVAL_S = 0.02
GRACEFUL_SHUTDOWN_TIMEOUT_S = 1
MIN_SLICE_BYTES, MAX_SLICE_BYTES = 1 << 10, 8 << 10
# Other tasks wait for about this long at most while one client's bytes are
# parsed.
SLICE_S = 0.005
# Name of the scope extension that holds the target of the request.
TARGET_EXTENSION = "chervilshift.target"
# Until a configuration sets it.
INITIAL_HEAD_TIMEOUT_S = 3.0
# Largest read; one buffer of this size serves all connections of a server.
READ_BYTES = 64 << 10
# A connection that may hold more reads at least this much.
MIN_READ_BYTES = 1 << 10
# Nothing of a request is left to come.
COMPLETE_STATES = frozenset(
    (
        h11.DONE,
        h11.MUST_CLOSE,
        h11.CLOSED,
        h11.MIGHT_SWITCH_PROTOCOL,
        h11.SWITCHED_PROTOCOL,
    )
)
# A process that was paused reads what has come meanwhile in this time.
PAUSE_MARGIN_S = 0.25
LATE_HEAD_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)
REFUSAL_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    b"Retry-After: 1\r\nContent-Length: 0\r\n\r\n"
)


class _Config(uvicorn.Config):
    """The configuration of a server, with the time limit of a head.

    `listener` bounds its connections, and they read into `buffer`.
    """

    head_timeout_s = INITIAL_HEAD_TIMEOUT_S
    listener: Listener
    buffer: memoryview


class HttpServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextmanager
    def capture_signals(self):
        """Leave signal handling to the process."""
        yield

    def unsent_bytes(self) -> int:
        """Return how much of the responses clients have not taken yet."""
        return sum(
            conn.transport.get_write_buffer_size()
            for conn in self.server_state.connections
        )

    def abort_blocked(self) -> None:
        """Close connections whose clients hold up their answers.

        The task of a request waits for its client also when it is cancelled,
        and the end of the process for the task.
        """
        for conn in tuple(self.server_state.connections):
            if conn.flow.write_paused:
                conn.transport.abort()


class _Reader(asyncio.BufferedProtocol):
    """Reads for a `_SlicedProtocol` no more than it may hold.

    With a plain protocol uvloop decides how much it reads at once: 250 KB.
    """

    def __init__(self, inner: "_SlicedProtocol", buffer: memoryview):
        self._buffer = buffer
        self.get_buffer = inner.get_buffer
        self._data_received = inner.data_received
        self.connection_made = inner.connection_made
        self.connection_lost = inner.connection_lost
        self.eof_received = inner.eof_received
        self.pause_writing = inner.pause_writing
        self.resume_writing = inner.resume_writing

    def buffer_updated(self, size_bytes: int) -> None:
        """Take what was read into the buffer."""
        self._data_received(bytes(self._buffer[:size_bytes]))


class _Parser(h11.Connection):
    """Keeps the target of the latest request as the client sent it."""

    target = b""

    def next_event(self) -> h11.Event | type[h11.NEED_DATA | h11.PAUSED]:
        """Return the next event."""
        event = super().next_event()
        if type(event) is h11.Request:
            self.target = event.target
        return event


def _pass_target(
    parser: _Parser,
    app: Callable,
    scope: dict,
    receive: Callable,
    send: Callable,
) -> Awaitable[None]:
    """Call an application; the scope shows no "?" of an empty query."""
    scope["extensions"] = {TARGET_EXTENSION: {"target": parser.target}}
    return app(scope, receive, send)


def raw_target(scope: dict) -> bytes:
    """Return the target of a request as its client sent it."""
    return scope["extensions"][TARGET_EXTENSION]["target"]


class _ReadAheadFlow(FlowControl):
    """Pauses parsing where uvicorn pauses reading."""

    def __init__(self, transport: asyncio.Transport, parse: Callable):
        super().__init__(transport)
        self._parse = parse

    def pause_reading(self) -> None:
        """Parse nothing until the application asks for more."""
        self.read_paused = True

    def resume_reading(self) -> None:
        """Parse what has been read."""
        if self.read_paused:
            self.read_paused = False
            self._parse()


class _SlicedProtocol(H11Protocol):
    """Parses at most `MAX_SLICE_BYTES` before other tasks run.

    Slices are smaller for a client whose bytes take long to parse.
    A head that is not complete in the configured time after its first byte
    gets 408, and its connection is closed.

    uvicorn resumes reading for each request and whenever an application waits
    for the client to disconnect. So reading depends here only on what was
    read and not processed yet, and what uvicorn pauses is the parser. `moves`
    counts reads and resumed writing.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.conn = _Parser(h11.SERVER)
        self.app = partial(_pass_target, self.conn, self.app)
        self._listener: Listener = self.config.listener
        self._guard = self._listener.guard
        self._buffer: memoryview = self.config.buffer
        self._unparsed = memoryview(b"")
        self._is_parsing = False
        # Whether it is among the listener's unused or idle connections.
        self._is_listed = True
        self._reading_paused = False
        self._held_bytes = 0
        self._slice_bytes = MIN_SLICE_BYTES
        self._head_timer: asyncio.TimerHandle | None = None
        self.moves = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Serve a connection, or close it if there are too many."""
        super().connection_made(transport)
        self.flow = _ReadAheadFlow(transport, self._continue_parsing)
        if not self._listener.admit(self):
            transport.write(REFUSAL_RESPONSE)
            transport.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are read to."""
        if not self._held_bytes and not self._unparsed:
            return self._buffer
        held_bytes = max(self._held_bytes, len(self._unparsed))
        rest_bytes = self._guard.read_ahead_bytes - held_bytes
        return self._buffer[: max(MIN_READ_BYTES, rest_bytes)]

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, the first slice at once."""
        self.moves += 1
        if self._unparsed:
            self._unparsed = memoryview(bytes(self._unparsed) + data)
            self._count_unprocessed()
        else:
            self._unparsed = memoryview(data)
            self._parse()

    def _continue_parsing(self) -> None:
        if self._unparsed and not self._is_parsing:
            self._is_parsing = True
            self.loop.call_soon(self._parse)

    def _must_wait(self) -> bool:
        """Whether the request in work must end, or take its body, first."""
        if self.flow.read_paused:
            return True
        # h11 would hold what follows a request, or call it an error.
        return (
            self.conn.their_state in COMPLETE_STATES
            and self.conn.our_state is not h11.IDLE
        )

    def _parse(self) -> None:
        self._is_parsing = False
        if self.transport.is_closing():
            self._drop_unprocessed()
            return
        if not self._must_wait():
            self._parse_slice()
        if self.transport.is_closing():
            self._drop_unprocessed()
            return
        if self._unparsed and not self._must_wait():
            self._continue_parsing()
            if not self._held_bytes:
                # It is counted once more is read or it has to wait.
                return
        # Nothing is left of a request that was parsed whole, apart from a
        # small body, which its application takes next.
        if (
            self._unparsed
            or self._held_bytes
            or self.flow.read_paused
            or self.conn.their_state is not h11.DONE
        ):
            self._count_unprocessed()

    def _parse_slice(self) -> None:
        part = bytes(self._unparsed[: self._slice_bytes])
        self._unparsed = self._unparsed[self._slice_bytes :]
        began_at = time.perf_counter()
        super().data_received(part)
        if time.perf_counter() - began_at > SLICE_S:
            self._slice_bytes = MIN_SLICE_BYTES
        else:
            self._slice_bytes = min(MAX_SLICE_BYTES, 2 * self._slice_bytes)
        self._watch_head()
        if self._is_listed and self.conn.their_state is not h11.IDLE:
            self._is_listed = False
            self._listener.note_request(self)

    def on_response_complete(self) -> None:
        """Go on with the next request."""
        # An application may answer without reading the body.
        if self.cycle.body:
            self.cycle.body = bytearray()
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._held_bytes:
            self._watch_head()
            self._continue_parsing()
            self._count_unprocessed()
        if self.conn.their_state is h11.IDLE:
            self._is_listed = True
            self._listener.note_idle(self)

    def resume_writing(self) -> None:
        """Note that the client takes its answers."""
        self.moves += 1
        super().resume_writing()

    def count_read(self) -> int:
        """Count what was read and not processed; return its size."""
        body = self.cycle.body if self.cycle is not None else b""
        if self._held_bytes or body:
            self._count_unprocessed(len(body))
        return self._held_bytes

    def _count_unprocessed(self, body_bytes: int = 0) -> None:
        """Count what was read and not processed; pause or resume reading.

        Applications take bodies at once, so that the part of one that waits
        for its application is counted by sweeps only.
        """
        held_bytes = (
            len(self._unparsed) + len(self.conn.trailing_data[0]) + body_bytes
        )
        if held_bytes != self._held_bytes:
            self._guard.read_bytes += held_bytes - self._held_bytes
            self._held_bytes = held_bytes
        if held_bytes and held_bytes >= self._guard.read_ahead_bytes:
            self._reading_paused = True
            self.transport.pause_reading()
        elif self._reading_paused and not self.transport.is_closing():
            self._reading_paused = False
            self.transport.resume_reading()

    def _drop_unprocessed(self) -> None:
        """Forget what has not been parsed."""
        self._unparsed = memoryview(b"")
        self._guard.read_bytes -= self._held_bytes
        self._held_bytes = 0

    def unsent_bytes(self) -> int:
        """Return how much of its answers the client has not taken."""
        return self.transport.get_write_buffer_size()

    def waits_for_client(self) -> bool:
        """Whether a request has begun and the rest of it has not come."""
        if self._unparsed or self.flow.read_paused:
            return False
        if self.transport.is_closing():
            return False
        their_state = self.conn.their_state
        return their_state is h11.SEND_BODY or (
            their_state is h11.IDLE and bool(self._held_bytes)
        )

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that is idle for too long.

        h11 has no event for it once a client has asked for a tunnel.
        """
        if not self.transport.is_closing():
            self.transport.close()

    def evict(self) -> None:
        """Close a connection on which no request is being served."""
        if self.unsent_bytes():
            self.transport.abort()
        else:
            self.timeout_keep_alive_handler()

    def end(self) -> None:
        """Close a connection whose client makes no progress."""
        if self._may_say_not_run():
            self.transport.write(LATE_HEAD_RESPONSE)
            self.transport.close()
        else:
            self.transport.abort()

    def _may_say_not_run(self) -> bool:
        """Whether the next response is that to an incomplete request."""
        return (
            self.waits_for_client()
            and not self.unsent_bytes()
            and self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)
        )

    def _watch_head(self) -> None:
        """Time a head that has begun and is not complete."""
        begun = (
            self.conn.their_state is h11.IDLE
            and self.conn.trailing_data[0] != b""
        )
        if not begun:
            self._unwatch_head()
        elif self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.config.head_timeout_s, self._grant_margin
            )

    def _unwatch_head(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _grant_margin(self) -> None:
        self._head_timer = self.loop.call_later(
            PAUSE_MARGIN_S, self._end_late_head
        )

    def _end_late_head(self) -> None:
        if not self.transport.is_closing():
            self._guard.count(LATE_HEAD)
            self.transport.write(LATE_HEAD_RESPONSE)
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection and what has not been parsed."""
        self._listener.forget(self)
        self._drop_unprocessed()
        self._unwatch_head()
        super().connection_lost(exc)


def _make_protocol(config: _Config, **options: object) -> _Reader:
    """Return the protocol of one connection."""
    inner = _SlicedProtocol(config=config, **options)
    return _Reader(inner, config.buffer)


class _CancelledServer(HttpServer):
    """A server that only cancellation stops, not `should_exit`.

    Its loop does not wake up ten times a second to look at that flag.
    """

    async def main_loop(self) -> None:
        """Serve until cancelled."""
        await self.on_tick(0)
        await anyio.sleep_forever()


def listen_on(host: str, port: int) -> socket.socket:
    """Return a non-blocking IPv4 socket that listens on an address.

    Connections in TIME_WAIT on that address don't prevent it. Raises OSError
    if the address is in use or not local.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def server_config(
    app: object, address: str, listener: Listener, **options: object
) -> uvicorn.Config:
    """Return the configuration of a server at HOST:PORT.

    It bounds what clients send in a head and what is parsed at once, and
    `listener` bounds the connections and what they hold.
    """
    host, port = split_address(address)
    cfg = _Config(
        app,
        host=host,
        port=port,
        log_config=None,
        access_log=False,
        lifespan="off",
        http=_make_protocol,
        ws="none",
        **options,
    )
    cfg.listener = listener
    cfg.buffer = memoryview(bytearray(READ_BYTES))
    return cfg


async def serve_app(
    app: object,
    address: str,
    idle_timeout_s: float,
    listener: Listener | None = None,
    *,
    task_status=anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application at HOST:PORT until cancelled.

    Connections may stay idle for `idle_timeout_s` seconds. Reports the
    running `HttpServer` through `task_status`. Without a `listener` the
    default limits hold for this server alone. Raises OSError if it can't
    listen on the address.
    """
    host, port = split_address(address)
    own_guard = None
    if listener is None:
        own_guard = ConnectionGuard(limits=ClientLimits(), now=time.monotonic)
        listener = own_guard.listener()
    cfg = server_config(
        app,
        address,
        listener,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=idle_timeout_s,
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_TIMEOUT_S,
    )
    server = _CancelledServer(cfg)
    with listen_on(host, port) as sock:
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(server.serve, [sock])
                if own_guard is not None:
                    tg.start_soon(own_guard.run)
                while not server.started:
                    await anyio.sleep(START_POLL_INTERVAL_S)
                task_status.started(server)
        finally:
            # uvicorn does not close its listeners when it is cancelled.
            for open_listener in getattr(server, "servers", ()):
                open_listener.close()
            server.abort_blocked()
