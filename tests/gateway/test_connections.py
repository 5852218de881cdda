"""Connections to endpoints that accept none for a while.

A connection that isn't accepted is no refusal: an endpoint that pauses must
not be taken for one that has crashed.
"""

import fcntl
import socket
import sys
import termios
from contextlib import ExitStack

import anyio
import httpcore
import pytest

from chervilshift.clock import SystemClock
from chervilshift.gateway import connections
from chervilshift.gateway.connections import ConnectionPool
from chervilshift.gateway.upstream import Upstream
from chervilshift.outgoing import CallBackend
from chervilshift.platform.headers import PlatformHeaderCodec
from tests.cluster import free_address
from tests.platform.standin import eventually

# More than a listener with the shortest queue holds.
FILLING_CONNECTIONS = 4


def listen(
    stack: ExitStack, address: str, backlog: int = 0
) -> tuple[str, int]:
    """Listen without accepting; return the address."""
    host, port = address.split(":")
    listener = stack.enter_context(socket.socket())
    listener.bind((host, int(port)))
    listener.listen(backlog)
    return host, int(port)


def test_endpoint_that_accepts_no_connection_is_not_refused():
    address = free_address()

    async def run() -> None:
        pool = ConnectionPool(clock=SystemClock())
        assert await pool.is_refused("e1", address)
        with ExitStack() as stack:
            target = listen(stack, address)
            for _ in range(FILLING_CONNECTIONS):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(target)
            assert not await pool.is_refused("e1", address)
            with pytest.raises(httpcore.ConnectTimeout):
                await pool.acquire("e1", address, b"r1")
        assert pool.open_count("e1") == 0

    anyio.run(run)


class PrunedPool(ConnectionPool):
    """A pool whose upkeep runs while a connection is being closed."""

    async def discard(self, conn) -> None:
        await self.prune(frozenset((conn.endpoint_id,)))
        await super().discard(conn)


def test_connection_is_not_given_to_two_requests_beside_upkeep():
    address = free_address()

    async def run() -> None:
        pool = PrunedPool(clock=SystemClock())
        with ExitStack() as stack:
            listen(stack, address, backlog=8)
            old, idle = [
                await pool.acquire("e1", address, b"r1") for _ in range(2)
            ]
            for conn in (idle, old):
                conn.http._state = conn.http._state.IDLE
                await pool.release(conn, None)
            old.expires_at = float("-inf")
            first = await pool.acquire("e1", address, b"r1")
            second = await pool.acquire("e1", address, b"r1")
            assert first is not second

    anyio.run(run)


def test_idle_connection_to_a_former_address_is_not_reused():
    addresses = [free_address(), free_address()]

    async def run() -> None:
        pool = ConnectionPool(clock=SystemClock())
        with ExitStack() as stack:
            for address in addresses:
                listen(stack, address, backlog=8)
            idle = await pool.acquire("e1", addresses[0], b"r1")
            idle.http._state = idle.http._state.IDLE
            await pool.release(idle, None)
            conn = await pool.acquire("e1", addresses[1], b"r2")
            target = f"{conn.origin.host.decode()}:{conn.origin.port}"
            assert target == addresses[1]
            assert pool.open_count("e1") == 1

    anyio.run(run)


def test_repeated_request_id_leaves_a_bounded_number_of_connections(
    monkeypatch,
):
    """One client opened 340 connections a second, until none were left."""
    monkeypatch.setattr(connections, "MIN_IDLE_PER_ENDPOINT", 3)
    monkeypatch.setattr(connections, "IDLE_PART", 1 << 30)
    address = free_address()

    async def run() -> None:
        pool = ConnectionPool(clock=SystemClock())
        with ExitStack() as stack:
            listen(stack, address, backlog=32)
            for _ in range(10):
                conn = await pool.acquire("e1", address, b"r1")
                conn.http._state = conn.http._state.IDLE
                await pool.release(conn, None)
            assert pool.open_count("e1") == 3
            newest = await pool.acquire("e1", address, b"r2")
            assert newest is conn

    anyio.run(run)


def test_second_answer_that_is_read_with_the_first_is_not_overlooked():
    # uvloop reads that much at once.
    answer = b"x" * 256_000
    late = b"HTTP/1.1 200 OK\r\n"

    async def handle(stream) -> None:
        async with stream:
            await stream.send(answer + late)
            await anyio.sleep_forever()

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, handle)
            stream = await CallBackend().connect_tcp(
                "127.0.0.1",
                port,
                socket_options=[
                    (socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * len(answer))
                ],
            )
            fd = stream.get_extra_info("socket").fileno()
            await eventually(lambda: _arrived_bytes(fd) == len(answer + late))
            read_bytes = 0
            while read_bytes < len(answer):
                read_bytes += len(await stream.read(1 << 20))
            assert read_bytes == len(answer)
            assert stream.peek() == late
            await stream.aclose()
            tg.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})


def _arrived_bytes(fd: int) -> int:
    """Return how much the kernel holds that was not read."""
    size = fcntl.ioctl(fd, termios.FIONREAD, bytes(4))
    return int.from_bytes(size, sys.byteorder)


def test_end_of_an_idle_connection_with_408_is_no_second_answer():
    address = free_address()
    late_replies = []
    released = anyio.Event()

    async def handle(stream) -> None:
        await released.wait()
        await stream.send(b"HTTP/1.1 408 Idle\r\nContent-Length: 0\r\n\r\n")
        await stream.aclose()

    async def run() -> None:
        host, port = address.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        pool = ConnectionPool(
            clock=SystemClock(), on_late_reply=late_replies.append
        )
        async with listener, anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, handle)
            idle = await pool.acquire("e1", address, b"r1")
            idle.http._state = idle.http._state.IDLE
            await pool.release(idle, None)
            released.set()
            await eventually(lambda: bool(idle.unread()))
            assert await pool.acquire("e1", address, b"r2") is not idle
            tg.cancel_scope.cancel()

    anyio.run(run)
    assert not late_replies


def test_connection_that_is_accepted_late_is_open_at_once():
    address = free_address()

    async def run() -> None:
        pool = ConnectionPool(clock=SystemClock())
        with ExitStack() as stack:
            listen(stack, address)
            with anyio.fail_after(0.5):
                conn = await pool.acquire("e1", address, b"r1")
            await pool.discard(conn)

    anyio.run(run)


def test_endpoint_that_names_no_incarnation_is_asked_once_a_connection():
    address = free_address()
    heads: list[bytes] = []

    async def handle(stream) -> None:
        async with stream:
            while True:
                heads.append(await stream.receive())
                await stream.send(
                    b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
                )

    async def run() -> None:
        host, port = address.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        pool = ConnectionPool(clock=SystemClock())
        async with listener, anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, handle)
            upstream = await Upstream.connect(
                "e1", address, b"r1", pool, PlatformHeaderCodec()
            )
            for _ in range(3):
                assert await upstream.named_born_ms(1.0) is None
            tg.cancel_scope.cancel()

    anyio.run(run)
    assert len(heads) == 1
