"""An endpoint that some prompt parts or requests crash, on a raw socket."""

from collections import defaultdict
from collections.abc import Awaitable, Callable, Collection
from contextlib import suppress
from pathlib import Path

import anyio

from chervilshift.clock import SystemClock
from chervilshift.endpoints.connection import HTTP_ERRORS
from tests.cluster import free_address
from tests.platform.rawhttp import BODY, read_request, serve_connection
from tests.platform.standin import Endpoint, Platform, Reply, eventually

__all__ = [
    "GATEWAYS",
    "CrashingEndpoint",
    "assert_refused_after_a_restart_of_control",
    "run_with_crashing_endpoints",
]

ENDPOINTS, GATEWAYS = 5, 2
REBOOT_S = 0.6
ANNOUNCE_INTERVAL_S = 0.4
EVENT_INTERVAL_S = 0.04
EVENTS = 6
HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class CrashingEndpoint(Endpoint):
    """Streams events; a request with a part of `bad` ends the process.

    So does one whose body is in `deadly`. The endpoint is back after a while,
    as another incarnation at the same address. `bad_arrivals` are the
    monotonic times of requests with such a part, `deadly_arrivals` those of
    the others by body, and `crashed_at` those of the crashes.
    """

    def __init__(
        self,
        *,
        bad: frozenset[bytes] = frozenset(),
        deadly: frozenset[bytes] = frozenset(),
        service: str = "llm",
        **fields,
    ):
        super().__init__(service=service, **fields)
        self.bad = bad
        self.deadly = deadly
        self.bad_arrivals: list[float] = []
        self.deadly_arrivals: defaultdict[bytes, list[float]] = defaultdict(
            list
        )
        self.crashed_at: list[float] = []
        self._clock = SystemClock()
        self._process = anyio.CancelScope()

    async def run(self, platform: Platform) -> None:
        """Serve, crash and restart until cancelled."""
        host, port = self.address.split(":")
        while True:
            with anyio.CancelScope() as self._process:
                listener = await anyio.create_tcp_listener(
                    local_host=host, local_port=int(port)
                )
                async with listener, anyio.create_task_group() as tg:
                    tg.start_soon(listener.serve, self._handle)
                    while True:
                        # A control process may end amid the call.
                        with suppress(*HTTP_ERRORS):
                            await platform.announce(self, "ready")
                        await anyio.sleep(ANNOUNCE_INTERVAL_S)
            self.crashed_at.append(self._clock.monotonic())
            self.born_ms += 1
            self.seq = 0
            await anyio.sleep(REBOOT_S)

    async def _handle(self, stream) -> None:
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await serve_connection(stream, self._serve_all)

    async def _serve_all(self, stream) -> None:
        while True:
            await self._serve_one(stream)

    async def _serve_one(self, stream) -> None:
        fields = await read_request(stream, self.born_ms)
        prefix = fields.get(b"prompt-prefix", b"").split(b",")
        parts = {entry.strip().split(b":")[0] for entry in prefix[:-1]}
        self.arrivals += 1
        await stream.send(HEAD % fields[b"request-id"])
        body = fields[BODY]
        if parts & self.bad or body in self.deadly:
            if body in self.deadly:
                self.deadly_arrivals[body].append(self._clock.monotonic())
            else:
                self.bad_arrivals.append(self._clock.monotonic())
            await anyio.sleep(EVENT_INTERVAL_S / 2)
            self._process.cancel()
            await anyio.sleep_forever()
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: x\n\n" % number
            await stream.send(b"%x\r\n%s\r\n" % (len(event), event))
            await anyio.sleep(EVENT_INTERVAL_S)
        await stream.send(b"0\r\n\r\n")


def run_with_crashing_endpoints(
    folder: Path,
    scenario: Callable[[Platform, list[CrashingEndpoint]], Awaitable[None]],
    **fields,
) -> None:
    """Play a scenario with real processes and five such endpoints."""

    async def run() -> None:
        async with anyio.create_task_group() as tg:
            platform = Platform(folder, tg, GATEWAYS)
            await platform.start()
            assert await platform.configure() == 200
            endpoints = [
                CrashingEndpoint(
                    name=f"w{n}", address=free_address(), **fields
                )
                for n in range(ENDPOINTS)
            ]
            for endpoint in endpoints:
                tg.start_soon(endpoint.run, platform)
            for gateway, _ in platform.gateways:
                placement = gateway.state.placement
                await eventually(
                    lambda p=placement: len(p.endpoints()) == ENDPOINTS
                )
            await scenario(platform, endpoints)
            tg.cancel_scope.cancel()

    anyio.run(run)


async def assert_refused_after_a_restart_of_control(
    platform: Platform,
    endpoints: list[CrashingEndpoint],
    play: Callable[[float], Awaitable[None]],
    refused: list[Reply],
    is_known: Callable[[Collection[str]], bool],
) -> None:
    """Restart all control once a quarantine is known, and go on.

    `play` sends requests for some seconds, `refused` are the replies to those
    that crash endpoints, and `is_known` looks at the quarantined parts.
    """
    states = [gateway.state for gateway, _ in platform.gateways]
    async with anyio.create_task_group() as tg:
        tg.start_soon(play, 60.0)
        await eventually(
            lambda: all(is_known(s.crashes.quarantined) for s in states)
        )
        tg.cancel_scope.cancel()
    await play(1.0)
    crashes = sum(len(e.crashed_at) for e in endpoints)
    await platform.restart_controls()
    await eventually(lambda: platform.leader() is not None)
    await play(5.0)
    # One request is let through as a trial.
    assert sum(len(e.crashed_at) for e in endpoints) <= crashes + 1
    assert refused[-1].status == 503
