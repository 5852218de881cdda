"""A planned stop of a gateway cuts off no request that it took late.

Requests that came late in the time to stop were passed on, and cut off at its
end: those whose body came slowly, and those that may not be repeated and may
take longer than what was left.
"""

import socket
import time
from contextlib import suppress

import anyio
import pytest

from chervilshift.clock import SystemClock
from chervilshift.core.fleet.stopping import Stopping
from tests.cluster import free_address
from tests.platform.rawhttp import read_request, serve_raw
from tests.platform.standin import (
    HOST,
    KEY,
    Endpoint,
    Platform,
    config,
    eventually,
)
from tests.platform.test_path import run_scenario

# The stand-in's gateways stop within 6 s.
LATE_S = 3.4
# An idle gateway ends when it refuses all requests.
BEFORE_REFUSAL_S = 0.4
LARGE_REPLY_BYTES = 4 << 20
# At most 64 KiB at a time: the reply takes longer than an idle gateway's stop.
READ_INTERVAL_S = 0.075
LARGE_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
    b"Content-Length: %d\r\n\r\n"
)
HEAD = (
    "POST /write/a HTTP/1.1\r\nHost: {host}\r\nRequest-Id: 1\r\nKey: {key}\r\n"
    "Deadline-Ms: 9000\r\nContent-Length: 5\r\n\r\n"
)


def hanging() -> Endpoint:
    return Endpoint(
        name="w1",
        service="app",
        address=free_address(),
        behave=lambda number: "hang",
    )


class HeldClock(SystemClock):
    """The system's clock, held when it reaches `held_at`."""

    def __init__(self):
        self.held_at = float("inf")

    def monotonic(self) -> float:
        """Return the time in seconds, at most `held_at`."""
        return min(super().monotonic(), self.held_at)


async def stop_held_late(platform: Platform) -> HeldClock:
    """Stop the gateway; return once its clock is held late in the stop."""
    gateway, _ = platform.gateways[0]
    clock = gateway._clock = gateway._dispatcher._clock = HeldClock()
    platform.gateway_stops[0].set()
    await eventually(lambda: gateway._dispatcher.stopping is not None)
    clock.held_at = gateway._dispatcher.stopping.refuse_at - BEFORE_REFUSAL_S
    await eventually(lambda: clock.monotonic() == clock.held_at)
    return clock


async def allow_long_requests(platform: Platform) -> None:
    routes = [route | {"timeout_ms": 9000} for route in config(2)["routes"]]
    assert await platform.configure(2, routes=routes) == 200
    gateway, _ = platform.gateways[0]
    await eventually(lambda: gateway.state.version == 2)


def test_request_whose_body_ends_late_in_a_stop_is_refused(tmp_path):
    async def scenario(platform: Platform) -> None:
        endpoint = hanging()
        await platform.add_endpoint(endpoint)
        await allow_long_requests(platform)
        host, port = platform.gateways[0][1].listen.split(":")
        client = await anyio.connect_tcp(host, int(port))
        async with client:
            await client.send(HEAD.format(host=HOST, key=KEY).encode())
            await client.send(b"he")
            platform.gateway_stops[0].set()
            await anyio.sleep(LATE_S)
            await client.send(b"llo")
            with anyio.fail_after(0.5):
                reply = await client.receive()
            assert reply.startswith(b"HTTP/1.1 503")
        assert not endpoint.arrivals

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    ("path", "passed_on"), [("write", False), ("read", True)]
)
def test_request_that_may_outlast_a_stop_is_passed_on_if_it_may_be_repeated(
    tmp_path, path, passed_on
):
    async def scenario(platform: Platform) -> None:
        endpoint = hanging()
        await platform.add_endpoint(endpoint)
        await allow_long_requests(platform)
        clock = await stop_held_late(platform)

        async def go_on_after_arrival() -> None:
            await eventually(lambda: bool(endpoint.arrivals))
            clock.held_at = float("inf")

        async with anyio.create_task_group() as tg:
            if passed_on:
                tg.start_soon(go_on_after_arrival)
            reply = await platform.send_request(f"/{path}/a", deadline_ms=9000)
        assert bool(endpoint.arrivals) == passed_on
        assert reply.status == (504 if passed_on else 503)

    run_scenario(tmp_path, scenario)


def test_request_that_ends_in_time_is_served_in_a_stop(tmp_path):
    async def scenario(platform: Platform) -> None:
        endpoint = Endpoint(name="w1", service="app", address=free_address())
        await platform.add_endpoint(endpoint)
        platform.gateway_stops[0].set()
        await anyio.sleep(2.0)
        reply = await platform.send_request("/write/a", deadline_ms=2000)
        assert (reply.status, reply.whole) == (200, True)

    run_scenario(tmp_path, scenario)


class LargeReplyEndpoint(Endpoint):
    """Sends replies of `LARGE_REPLY_BYTES`."""

    def __init__(self):
        super().__init__(name="w1", service="app", address=free_address())

    async def handle(self, stream) -> None:
        """Serve one connection."""
        with suppress(anyio.BrokenResourceError):
            while True:
                request_id = (await read_request(stream))[b"request-id"]
                await stream.send(LARGE_HEAD % (request_id, LARGE_REPLY_BYTES))
                await stream.send(b"x" * LARGE_REPLY_BYTES)


def slow_client(platform: Platform, request_id: str = "1") -> socket.socket:
    """Send a request on a connection that takes little at once."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
    host, port = platform.gateways[0][1].listen.split(":")
    sock.connect((host, int(port)))
    head = HEAD.replace("Request-Id: 1", f"Request-Id: {request_id}")
    sock.sendall(head.format(host=HOST, key=KEY).encode() + b"hello")
    return sock


def test_answer_that_its_client_still_reads_is_not_cut_off_by_a_stop(
    tmp_path,
):
    unsent_bytes = []

    async def scenario(platform: Platform) -> None:
        async def stop() -> None:
            await anyio.sleep(0.3)
            platform.gateway_stops[0].set()
            await eventually(lambda: bool(platform.ended[0]))
            connections = platform.gateways[0][
                0
            ]._http.server_state.connections
            unsent_bytes.extend(
                conn.transport.get_write_buffer_size() for conn in connections
            )

        def read_slowly() -> None:
            with slow_client(platform) as client:
                while not unsent_bytes and client.recv(1 << 16):
                    time.sleep(READ_INTERVAL_S)

        async with anyio.create_task_group() as tg:
            await serve_raw(platform, tg, LargeReplyEndpoint())
            await allow_long_requests(platform)
            tg.start_soon(stop)
            await anyio.to_thread.run_sync(read_slowly)
            tg.cancel_scope.cancel()

    run_scenario(tmp_path, scenario)
    assert not any(unsent_bytes)


def test_what_a_stopping_gateway_takes():
    stopping = Stopping(refuse_at=3.0, cut_at=7.0)
    assert stopping.takes(2.0, 5.0, repeatable=False)
    assert not stopping.takes(2.0, 5.1, repeatable=False)
    assert stopping.takes(2.0, 20.0, repeatable=True)
    assert not stopping.takes(3.1, 0.1, repeatable=True)


def test_request_that_comes_late_in_a_stop_and_may_be_cut_off_is_not_taken():
    stopping = Stopping(refuse_at=3.0, cut_at=7.0)
    assert not stopping.takes(2.9, 20.0, repeatable=True)
    assert stopping.takes(2.9, 4.0, repeatable=True)
