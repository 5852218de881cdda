"""Endpoints that send bytes without end, until the caller closes.

Without bounds of the gateway, such a reply holds a request until its
deadline, and takes the memory and the processor of all others.
"""

import anyio
import h11
import httpcore
import pytest

from chervilshift.bytebudget import HeldBytes
from chervilshift.clock import SystemClock
from chervilshift.core.pacing import (
    MAX_BURST_PARTS,
    PARTS_PER_TURN,
    PartPacer,
)
from chervilshift.errors import EndpointFailed
from chervilshift.gateway import connections
from chervilshift.gateway.connections import ConnectionPool
from chervilshift.gateway.events import EventSplitter
from chervilshift.gateway.upstream import ProgressTimeouts, Upstream
from chervilshift.platform.headers import PlatformHeaderCodec
from tests.cluster import free_address

REQUEST_ID = b"r1"
TIME_LIMIT_S = 5.0
# The stream events of a node at the target load, and half a second's burst.
MAX_PARTS_PER_S = 8192
MAX_PARTS_AT_ONCE = 4096
MAX_LAG_S = 0.05
HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
# What is sent first, and then without end.
REPLIES = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 4096),
    "header": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 4096),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 500),
    "interim replies": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    "chunk size": (HEAD, b"0" * 4096),
    "trailers": (HEAD + b"0\r\n", b"A: b\r\n" * 500),
    "body in chunks": (HEAD, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "body without length": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\n",
        b"x" * 65536,
    ),
}


async def request(pool: ConnectionPool, address: str, head_s=None) -> None:
    """Send a request and read its reply whole."""
    async with await Upstream.connect(
        "e1", address, REQUEST_ID, pool, PlatformHeaderCodec()
    ) as upstream:
        reply = await upstream.send(
            "GET",
            b"/x",
            [(b"host", b"h")],
            b"",
            REQUEST_ID,
            ProgressTimeouts(head_s=head_s),
        )
        held = HeldBytes(budget=pool.reply_memory)
        await upstream.read(reply, held)


async def measure_lag(lags: list[float]) -> None:
    """Record how late the loop runs a task that is due every 2 ms."""
    while True:
        due = anyio.current_time() + 0.002
        await anyio.sleep(0.002)
        lags.append(anyio.current_time() - due)


async def serve_endlessly(address: str, first: bytes, then: bytes, *, pause_s):
    """Send `first` and then `then` again and again to each connection."""
    closed = anyio.Event()

    async def handle(stream) -> None:
        async with stream:
            await stream.receive()
            try:
                await stream.send(first)
                while True:
                    await stream.send(then)
                    await anyio.sleep(pause_s)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                closed.set()

    host, port = address.split(":")
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    return listener, handle, closed


def read_reply(first: bytes, then: bytes, *, pause_s=0.0, head_s=None):
    """Send a request and read its reply whole; return the failure."""
    failures = []

    async def run() -> None:
        address = free_address()
        listener, handle, closed = await serve_endlessly(
            address, first, then, pause_s=pause_s
        )
        pool = ConnectionPool(clock=SystemClock())
        async with anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, handle)
            with anyio.fail_after(TIME_LIMIT_S):
                try:
                    await request(pool, address, head_s=head_s)
                except EndpointFailed as exc:
                    failures.append(exc)
                await closed.wait()
            assert pool.open_count("e1") == 0
            assert pool.reply_memory.take(0)
            tg.cancel_scope.cancel()

    anyio.run(run)
    return failures[0]


@pytest.mark.parametrize("kind", sorted(REPLIES))
def test_endless_reply_is_closed_and_may_have_run(kind):
    failure = read_reply(*REPLIES[kind])
    assert failure.sent


def test_body_in_chunks_of_one_byte_holds_up_no_other_task():
    lags = []

    async def run() -> None:
        address = free_address()
        listener, handle, closed = await serve_endlessly(
            address, HEAD, b"1\r\nx\r\n" * 10_000, pause_s=0.001
        )
        pool = ConnectionPool(clock=SystemClock())
        async with anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, handle)
            tg.start_soon(measure_lag, lags)
            with anyio.move_on_after(2.0):
                await request(pool, address)
            await closed.wait()
            tg.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})
    assert max(lags) < MAX_LAG_S


def test_bodies_in_chunks_of_one_byte_share_one_limit(monkeypatch):
    bodies = 32
    parts = []
    next_event = h11.Connection.next_event

    def count(self):
        event = next_event(self)
        parts.extend([None] * isinstance(event, h11.Data))
        return event

    monkeypatch.setattr(h11.Connection, "next_event", count)

    async def run() -> float:
        address = free_address()
        listener, handle, _ = await serve_endlessly(
            address, HEAD, b"1\r\nx\r\n" * 10_000, pause_s=0.001
        )
        pool = ConnectionPool(clock=SystemClock())
        async with anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, handle)
            began_at = anyio.current_time()
            with anyio.move_on_after(2.0):
                async with anyio.create_task_group() as callers:
                    for _ in range(bodies):
                        callers.start_soon(request, pool, address)
            elapsed_s = anyio.current_time() - began_at
            tg.cancel_scope.cancel()
        return elapsed_s

    elapsed_s = anyio.run(run, backend_options={"use_uvloop": True})
    assert len(parts) < (
        MAX_PARTS_AT_ONCE
        + MAX_PARTS_PER_S * elapsed_s
        + bodies * 2 * PARTS_PER_TURN
    )


def test_small_parts_are_paced_and_large_ones_are_not():
    pacer = PartPacer(now=0.0)
    waits = [pacer.wait_s(1, 0.0) for _ in range(2 * MAX_BURST_PARTS)]
    assert not any(waits[:MAX_BURST_PARTS])
    assert max(w for w in waits if w is not None) > 0.9
    pacer = PartPacer(now=0.0)
    assert not any(pacer.wait_s(4096, 0.0) for _ in range(100_000))


def test_head_that_comes_byte_by_byte_is_given_up_in_time():
    failure = read_reply(
        b"HTTP/1.1 200 OK\r\nA: ", b"x", pause_s=0.02, head_s=0.3
    )
    assert "no whole reply head" in str(failure)


def test_replies_that_are_read_at_once_share_one_memory(monkeypatch):
    monkeypatch.setattr(connections, "MAX_REPLY_MEMORY_BYTES", 1 << 20)
    failure = read_reply(*REPLIES["body without length"])
    assert "size limit" in str(failure)


def test_splitter_keeps_what_has_not_ended():
    splitter = EventSplitter()
    for _ in range(100):
        assert splitter.feed(b"data: x") == b""
    assert len(splitter.incomplete) == 700


def test_stream_wrapper_has_the_interface_that_httpcore_uses():
    wrapper = connections._EndpointStream
    assert issubclass(wrapper, httpcore.AsyncNetworkStream)
