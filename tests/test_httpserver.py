"""Clients that send bytes without end in a head or a body.

One such client must not hold up the others, and its connection is closed.
"""

import multiprocessing
import socket
from pathlib import Path

import anyio
import pytest

import chervilshift
from chervilshift.bytebudget import ByteBudget, HeldBody
from chervilshift.errors import BodyTooLarge
from chervilshift.httpserver import serve_app
from tests.cluster import free_address
from tests.gateway.test_endless_replies import measure_lag

MAX_LAG_S = 0.05
MAX_BODY_BYTES = 1 << 20
STOP_TIMEOUT_S = 10.0
POST = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
# What is sent first, and then without end.
REQUESTS = {
    "request line": (b"GET /", b"x" * 65536),
    "header": (b"GET / HTTP/1.1\r\nA: ", b"x" * 65536),
    "headers": (b"GET / HTTP/1.1\r\n", b"A: b\r\n" * 10_000),
    "chunks of one byte": (POST, b"1\r\nx\r\n" * 10_000),
    "chunk size": (POST, b"0" * 65536),
    "large chunks": (POST, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "trailers": (POST + b"0\r\n", b"A: b\r\n" * 10_000),
    "blank lines": (b"", b"\r\n" * 30_000),
}


async def _app(scope, receive, send) -> None:
    """Read a whole body within a limit, and answer."""
    body = HeldBody(budget=ByteBudget(limit_bytes=1 << 30))
    status = 200
    try:
        if await body.read(receive, MAX_BODY_BYTES) is None:
            return
    except BodyTooLarge:
        status = 413
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(b"content-length", b"0"), (b"connection", b"close")],
        }
    )
    await send({"type": "http.response.body", "body": b""})


def _send_without_end(address: str, first: bytes, then: bytes) -> None:
    """Send until the connection is closed, for 8 s at most."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), 8.0) as sock:
        try:
            sock.sendall(first)
            for _ in range(20_000):
                sock.sendall(then)
        except TimeoutError:
            raise
        except OSError:
            return
    raise AssertionError("the connection was not closed")


@pytest.mark.parametrize("kind", sorted(REQUESTS))
def test_client_that_sends_without_end_holds_up_no_other(kind):
    lags = []

    async def run() -> None:
        address = free_address()

        async with anyio.create_task_group() as tg:
            await tg.start(serve_app, _app, address, 5.0)
            tg.start_soon(measure_lag, lags)
            await anyio.to_thread.run_sync(
                _send_without_end, address, *REQUESTS[kind]
            )
            tg.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})
    assert max(lags, default=0.0) < MAX_LAG_S


def test_head_that_comes_byte_by_byte_is_ended():
    async def run() -> bytes:
        address = free_address()
        host, port = address.split(":")
        received = b""
        async with anyio.create_task_group() as tg:
            server = await tg.start(serve_app, _app, address, 5.0)
            server.config.head_timeout_s = 0.3
            with anyio.fail_after(3.0):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    tg.start_soon(_trickle, stream)
                    received = await stream.receive()
            tg.cancel_scope.cancel()
        return received

    assert b" 408 " in anyio.run(run)


async def _trickle(stream) -> None:
    await stream.send(b"GET / HTTP/1.1\r\nA: ")
    try:
        while True:
            await stream.send(b"x")
            await anyio.sleep(0.02)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


async def _large_answers(scope, receive, send) -> None:
    start = {"type": "http.response.start", "status": 200, "headers": []}
    await send(start)
    await send({"type": "http.response.body", "body": b"x" * (4 << 20)})


def _serve_client_that_reads_nothing() -> None:
    with socket.socket() as client:

        async def run() -> None:
            address = free_address()
            host, port = address.split(":")
            async with anyio.create_task_group() as tg:
                await tg.start(serve_app, _large_answers, address, 5.0)
                client.connect((host, int(port)))
                client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 9)
                await anyio.sleep(0.3)
                tg.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})


def test_client_that_reads_nothing_does_not_hold_up_the_end():
    """Its request waited for it even after the server was cancelled."""
    process = multiprocessing.get_context("fork").Process(
        target=_serve_client_that_reads_nothing
    )
    process.start()
    process.join(STOP_TIMEOUT_S)
    try:
        assert process.exitcode == 0
    finally:
        process.kill()


def test_no_other_module_configures_a_server():
    """The entry's own server held a head of 2.5 GB."""
    package = Path(chervilshift.__file__).parent
    modules = {
        str(path.relative_to(package))
        for path in package.rglob("*.py")
        if "uvicorn.Config(" in path.read_text()
    }
    # Stand-ins are for trials on one host.
    assert modules <= {"httpserver.py", "standins/process.py"}
