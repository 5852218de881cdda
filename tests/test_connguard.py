"""Bounds on connections and on what they hold, with fakes and real sockets.

Guards against connections that hold memory or descriptors without progress,
and against ordinary clients being cut off by the bounds.
"""

import resource
import socket
import time

import anyio
import msgspec
import pytest

from chervilshift.connguard import (
    EVICTED,
    HALTED,
    REFUSED,
    UNREAD,
    ClientLimits,
    ConnectionGuard,
)
from chervilshift.httpserver import serve_app
from chervilshift.metrics import Metrics
from tests.cluster import free_address

LIMITS = ClientLimits(max_connections=3, held_bytes=1 << 20)
MEGABYTE = 1 << 20
ANSWER_TIMEOUT_S = 10.0


class FakeConnection:
    """A connection with a state that a test sets."""

    def __init__(self, name: str, *, read: int = 0, unsent: int = 0):
        self.name = name
        self.moves = 0
        self.read = read
        self.unsent = unsent
        self.halted = False
        self.closed = ""

    def count_read(self) -> int:
        return self.read

    def unsent_bytes(self) -> int:
        return self.unsent

    def waits_for_client(self) -> bool:
        return self.halted

    def evict(self) -> None:
        self.closed = "evicted"

    def end(self) -> None:
        self.closed = "ended"


class World:
    """A guard with one listener and a clock that the test moves."""

    def __init__(self, limits: ClientLimits = LIMITS):
        self.now = 100.0
        self.guard = ConnectionGuard(limits=limits, now=lambda: self.now)
        self.listener = self.guard.listener()

    def open(self, name: str, **state) -> FakeConnection:
        conn = FakeConnection(name, **state)
        if not self.listener.admit(conn):
            conn.closed = "refused"
        self.guard.read_bytes += conn.read
        return conn

    def sweep(self, after_s: float) -> None:
        self.now += after_s
        self.guard.sweep()


def test_oldest_unused_connection_gives_way_and_then_the_one_idle_longest():
    world = World()
    idle, used, unused = (world.open(name) for name in "abc")
    for conn in (idle, used):
        world.listener.note_request(conn)
    world.listener.note_idle(idle)
    world.now += 2.0
    late = world.open("d")
    assert unused.closed == "evicted"
    world.listener.note_request(late)
    world.open("e")
    assert idle.closed == "evicted"
    assert not used.closed
    assert world.guard.closed == {EVICTED: 2}


def test_new_connection_does_not_give_way_to_the_next_one():
    """It may be about to send its request."""
    world = World()
    idle = [world.open(name) for name in "abc"]
    for conn in idle:
        world.listener.note_request(conn)
        world.listener.note_idle(conn)
    late = [world.open(name) for name in "de"]
    assert [conn.closed for conn in idle] == ["evicted", "evicted", ""]
    assert not any(conn.closed for conn in late)


def test_connections_with_requests_do_not_give_way():
    world = World()
    conns = [world.open(name) for name in "abc"]
    for conn in conns:
        world.listener.note_request(conn)
    assert world.open("d").closed == "refused"
    assert not any(conn.closed for conn in conns)
    assert world.guard.closed == {REFUSED: 1}


def test_request_that_has_stopped_gives_way_first():
    world = World()
    stopped, goes_on, unused = (world.open(name) for name in "abc")
    for conn in (stopped, goes_on):
        conn.halted = True
        world.listener.note_request(conn)
    world.sweep(0.5)
    goes_on.moves += 1
    world.sweep(0.6)
    world.open("d")
    assert [stopped.closed, goes_on.closed, unused.closed] == ["ended", "", ""]
    assert world.guard.closed == {HALTED: 1}


def test_worst_connection_without_progress_is_closed_first():
    world = World()
    small = world.open("a", unsent=MEGABYTE // 4)
    large = world.open("b", unsent=MEGABYTE // 2)
    takes = world.open("c", unsent=MEGABYTE)
    world.sweep(0.1)
    takes.unsent -= 1
    world.sweep(1.1)
    assert [small.closed, large.closed] == ["ended", "ended"]
    assert not takes.closed
    world = World()
    small = world.open("a", unsent=MEGABYTE // 4)
    large = world.open("b", unsent=MEGABYTE)
    world.sweep(0.1)
    world.sweep(1.1)
    assert [small.closed, large.closed] == ["", "ended"]
    assert world.guard.closed == {UNREAD: 1}


def test_connection_that_waits_for_its_endpoint_is_not_closed():
    """What waits behind a request in work is no reason to cut it off."""
    world = World()
    waiting = world.open("a", read=2 * MEGABYTE)
    for _ in range(10):
        world.sweep(1.0)
    assert not waiting.closed


def test_answer_that_nobody_takes_ends_its_connection_in_any_case():
    world = World()
    conn = world.open("a", unsent=1)
    world.sweep(0.1)
    world.sweep(14.8)
    assert not conn.closed
    world.sweep(0.2)
    assert conn.closed == "ended"


def test_connections_read_ahead_less_while_memory_is_short():
    world = World()
    assert world.guard.read_ahead_bytes == LIMITS.read_ahead_bytes
    world.open("a", read=MEGABYTE // 2)
    assert world.guard.read_ahead_bytes < LIMITS.read_ahead_bytes
    # A whole head fits, or no request could ever be parsed.
    assert world.guard.read_ahead_bytes > 16 << 10


def test_listeners_have_a_part_of_the_descriptors(monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (64, 64))
    world = World(ClientLimits())
    conns = [world.open(str(number)) for number in range(40)]
    assert sum(not conn.closed for conn in conns) == 32


def test_metrics_show_what_was_closed_and_why():
    world = World()
    metrics = Metrics()
    world.guard.register(metrics)
    for name in "abcd":
        world.open(name)
    lines = metrics.render().splitlines()
    assert "chervilshift_client_connections 3" in lines
    closed = "chervilshift_client_connections_closed_evicted_total 1"
    assert closed in lines


async def _app(scope, receive, send) -> None:
    """Answer with the path and the size of the body, after a while."""
    size_bytes = 0
    while True:
        message = await receive()
        size_bytes += len(message.get("body", b""))
        if not message.get("more_body"):
            break
    async with anyio.create_task_group() as tg:
        tg.start_soon(receive)
        await anyio.sleep(0.01)
        tg.cancel_scope.cancel()
    body = f"{scope['path']}={size_bytes};".encode()
    headers = [(b"content-length", str(len(body)).encode())]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


def _serve(exchange, limits: ClientLimits) -> object:
    """Serve `_app` on loopback; run `exchange` in a thread."""
    guard = ConnectionGuard(limits=limits, now=time.monotonic)

    async def run() -> object:
        address = free_address()
        host, port = address.split(":")
        async with anyio.create_task_group() as tg:
            await tg.start(serve_app, _app, address, 5.0, guard.listener())
            tg.start_soon(guard.run)
            result = await anyio.to_thread.run_sync(
                exchange, (host, int(port))
            )
            tg.cancel_scope.cancel()
        return result

    result = anyio.run(run, backend_options={"use_uvloop": True})
    assert guard.read_bytes == 0
    return result, guard


@pytest.mark.parametrize("size_bytes", [0, 100, 70_000, 200_000])
@pytest.mark.parametrize("held_bytes", [1 << 20, 24 << 20])
def test_pipelined_requests_are_answered_whole_and_in_order(
    size_bytes, held_bytes
):
    """Reading stops while they wait, and has to go on after each answer."""
    count = 12

    def exchange(address) -> bytes:
        requests = b"".join(
            b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            % (number, size_bytes)
            + b"x" * size_bytes
            for number in range(count)
        )
        received = b""
        last = b"/%d=%d;" % (count - 1, size_bytes)
        with socket.create_connection(address, ANSWER_TIMEOUT_S) as sock:
            sock.sendall(requests)
            while last not in received:
                data = sock.recv(65536)
                assert data, received
                received += data
        return received

    limits = msgspec.structs.replace(ClientLimits(), held_bytes=held_bytes)
    received, guard = _serve(exchange, limits)
    places = [
        received.index(b"/%d=%d;" % (number, size_bytes))
        for number in range(count)
    ]
    assert places == sorted(places)
    assert not guard.closed


def test_bytes_after_the_last_request_of_a_connection_do_not_spoil_it():
    """They were answered with 400 in place of the request's answer."""

    def exchange(address) -> bytes:
        with socket.create_connection(address, ANSWER_TIMEOUT_S) as sock:
            sock.sendall(
                b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            )
            time.sleep(0.003)
            sock.sendall(b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
            return sock.recv(65536)

    received, _ = _serve(exchange, ClientLimits())
    assert received.startswith(b"HTTP/1.1 200 ")


def test_connection_over_the_limit_is_refused_as_not_run():
    def exchange(address) -> bytes:
        with (
            socket.create_connection(address, ANSWER_TIMEOUT_S) as first,
            socket.create_connection(address, ANSWER_TIMEOUT_S) as second,
        ):
            # Their requests are in work until the bodies have come.
            for sock in (first, second):
                sock.sendall(
                    b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
                )
            time.sleep(0.1)
            with socket.create_connection(address, ANSWER_TIMEOUT_S) as third:
                refused = third.recv(4096)
            first.sendall(b"x" * 9)
            return refused, first.recv(4096)

    limits = msgspec.structs.replace(ClientLimits(), max_connections=2)
    (refused, answered), guard = _serve(exchange, limits)
    assert answered.startswith(b"HTTP/1.1 200 ")
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert guard.closed == {REFUSED: 1}
