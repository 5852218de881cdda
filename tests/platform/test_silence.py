"""Endpoints that send nothing for a second or so, and go on.

A time limit that takes such a pause for an endpoint that hangs ends whole
answers, sends requests again that are being answered, and keeps a sound
endpoint from its work.
"""

from contextlib import suppress

import anyio
import pytest

from tests.cluster import free_address
from tests.platform.rawhttp import read_request
from tests.platform.standin import (
    ANNOUNCE_INTERVAL_MS,
    Endpoint,
    Platform,
    config,
    eventually,
)
from tests.platform.test_path import ALL_EVENT_IDS, event_ids, run_scenario

PAUSE_S = 1.2
HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
ERROR_HEAD = HEAD.replace(b"200 OK", b"500 Failed")
LAST_CHUNK = b"0\r\n\r\n"
# Where a reply pauses, as its number of chunks sent before and the bytes of
# the next part that are sent too. The head is the first part.
PAUSES = {
    "before the head": (0, 0),
    "in the head": (0, 30),
    "before the first chunk": (1, 0),
    "between chunks": (3, 0),
    "in a chunk": (3, 9),
    "before the last chunk": (6, 0),
}
# Objective and timeout by service.
LIMITS_MS = {"llm": (600, 5000)}
APP_OBJECTIVE_MS, APP_TIMEOUT_MS = 400, 2000
GAP_MS = 300


class PausingEndpoint(Endpoint):
    """Sends a reply of five chunks; the first `paused` ones pause once."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        pause: str,
        paused: int,
        head: bytes = HEAD,
    ):
        super().__init__(name=name, service=service, address=free_address())
        self._head = head
        self._pause_at = PAUSES[pause]
        self._paused = paused

    async def run(self, platform: Platform) -> None:
        """Serve and announce until cancelled."""
        host, port = self.address.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener, anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, self._handle)
            while True:
                await platform.announce(self, "ready")
                await anyio.sleep(ANNOUNCE_INTERVAL_MS / 1000)

    async def _handle(self, stream) -> None:
        ends = (anyio.EndOfStream, anyio.BrokenResourceError)
        async with stream:
            with suppress(*ends):
                while True:
                    await self._reply(stream, await read_request(stream))

    async def _reply(self, stream, fields: dict[bytes, bytes]) -> None:
        self.arrivals += 1
        pauses = self.arrivals <= self._paused
        first = int(fields.get(b"last-event-id", b"0")) + 1
        events = (b"id: %d\ndata: x\n\n" % n for n in range(first, 6))
        parts = [
            self._head % fields[b"request-id"],
            *(b"%x\r\n%s\r\n" % (len(event), event) for event in events),
            LAST_CHUNK,
        ]
        part_count, byte_count = self._pause_at
        for number, part in enumerate(parts):
            if pauses and number == part_count:
                if byte_count:
                    await stream.send(part[:byte_count])
                await anyio.sleep(PAUSE_S)
                part = part[byte_count:]
            await stream.send(part)
            await anyio.sleep(0.01)


def tight_routes(app_objective_ms: int) -> list[dict]:
    """Return routes with a tight objective and allowed gap."""
    limits_ms = LIMITS_MS | {"app": (app_objective_ms, APP_TIMEOUT_MS)}
    return [
        route
        | {
            "slo_ms": slo_ms,
            "gap_target_ms": GAP_MS,
            "timeout_ms": timeout_ms,
            "attempts": min(2, route["attempts"]),
        }
        for route in config(2)["routes"]
        for slo_ms, timeout_ms in [limits_ms[route["service"]]]
    ]


def play(
    tmp_path,
    scenario,
    *endpoints: PausingEndpoint,
    app_objective_ms: int = APP_OBJECTIVE_MS,
) -> None:
    """Play a scenario with a gateway that knows all the endpoints."""

    async def run(platform: Platform) -> None:
        routes = tight_routes(app_objective_ms)
        assert await platform.configure(2, routes=routes) == 200
        gateway, _ = platform.gateways[0]
        async with anyio.create_task_group() as tg:
            for endpoint in endpoints:
                tg.start_soon(endpoint.run, platform)
            await eventually(
                lambda: (
                    gateway.state.version == 2
                    and len(gateway.state.placement.endpoints())
                    == len(endpoints)
                )
            )
            await scenario(platform)
            tg.cancel_scope.cancel()

    run_scenario(tmp_path, run)


def check_sound(platform: Platform, now: float) -> None:
    """Check that no endpoint is held or taken for crashed."""
    gateway, _ = platform.gateways[0]
    assert not gateway.state.crashes.count
    for endpoint in gateway.state.placement.endpoints():
        assert endpoint.usable(now)
        assert not endpoint.health.is_excluded(now)


PATHS = ["/stream/a", "/once/a", "/read/a", "/write/a"]


def service_of(path: str) -> str:
    """Return the service of a route."""
    return "llm" if path in ("/stream/a", "/once/a") else "app"


@pytest.mark.parametrize("pause", PAUSES)
@pytest.mark.parametrize("path", PATHS)
def test_pause_of_the_only_endpoint_is_waited_for(tmp_path, path, pause):
    endpoint = PausingEndpoint(
        name="w1", service=service_of(path), pause=pause, paused=1
    )

    async def scenario(platform: Platform) -> None:
        reply = await platform.send_request(path)
        assert (reply.status, reply.whole) == (200, True)
        assert event_ids(reply.body) == ALL_EVENT_IDS
        assert endpoint.arrivals == 1
        check_sound(platform, anyio.current_time())

    play(tmp_path, scenario, endpoint)


@pytest.mark.parametrize("pause", PAUSES)
@pytest.mark.parametrize("path", PATHS)
def test_pause_of_all_endpoints_is_waited_for(tmp_path, path, pause):
    endpoints = [
        PausingEndpoint(
            name=name, service=service_of(path), pause=pause, paused=9
        )
        for name in ("w1", "w2")
    ]

    async def scenario(platform: Platform) -> None:
        replies = []

        async def ask(number: int) -> None:
            # Prompts of different subjects begin at different endpoints.
            prompt = ("Prompt-Prefix", f"a{number}:100,b{number}:50")
            replies.append(
                await platform.send_request(path, headers=(prompt,))
            )

        async with anyio.create_task_group() as tg:
            for number in range(6):
                tg.start_soon(ask, number)
        assert all(e.arrivals for e in endpoints)
        assert all(reply.whole for reply in replies)
        assert all(event_ids(r.body) == ALL_EVENT_IDS for r in replies)
        assert sum(e.arrivals for e in endpoints) == len(replies) == 6
        check_sound(platform, anyio.current_time())

    play(tmp_path, scenario, *endpoints)


@pytest.mark.parametrize("pause", list(PAUSES)[:2])
def test_read_leaves_a_pausing_endpoint_for_a_sound_one(tmp_path, pause):
    endpoints = [
        PausingEndpoint(name="w1", service="app", pause=pause, paused=1),
        PausingEndpoint(name="w2", service="app", pause=pause, paused=0),
    ]

    objective_ms = 900

    async def scenario(platform: Platform) -> None:
        began_at = anyio.current_time()
        while not endpoints[0].arrivals:
            sent_at = anyio.current_time()
            reply = await platform.send_request("/read/a")
            assert (reply.status, reply.whole) == (200, True)
            took_s = anyio.current_time() - sent_at
            assert took_s < objective_ms / 1000 < PAUSE_S
        assert endpoints[1].arrivals
        await anyio.sleep_until(began_at + 2 * PAUSE_S)
        check_sound(platform, anyio.current_time())

    play(tmp_path, scenario, *endpoints, app_objective_ms=objective_ms)


@pytest.mark.parametrize("path", ["/once/a", "/write/a"])
def test_error_after_a_pause_does_not_exclude_an_endpoint(tmp_path, path):
    endpoint = PausingEndpoint(
        name="w1",
        service=service_of(path),
        pause="before the head",
        paused=1,
        head=ERROR_HEAD,
    )

    async def scenario(platform: Platform) -> None:
        reply = await platform.send_request(path)
        assert reply.status == 500
        check_sound(platform, anyio.current_time())

    play(tmp_path, scenario, endpoint)
