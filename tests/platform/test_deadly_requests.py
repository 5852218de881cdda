"""A request that crashes every endpoint that runs it, through real sockets.

It comes again and again, at all gateways. If it isn't recognized, it crashes
one endpoint after the other, and every request there fails with it.
"""

from itertools import count

import anyio
import pytest

from chervilshift.clock import SystemClock
from tests.platform.crashing import (
    GATEWAYS,
    CrashingEndpoint,
    assert_refused_after_a_restart_of_control,
    run_with_crashing_endpoints,
)
from tests.platform.standin import Platform, Reply

CONTACT_S = 4.0
KNOWN_AFTER_CRASHES = 3
MAX_LATE_REPEATS = 3
REQUEST_INTERVAL_S = 0.08
DEADLY = b"deadly"
CLOCK = SystemClock()
PROMPT = (("Prompt-Prefix", "aa:100,b1:50,c:9"), ("Token-Count", "159,20"))


class Traffic:
    """Requests to all gateways; every sixth one is the deadly one."""

    def __init__(self, platform: Platform, path: str, headers: tuple):
        self.platform = platform
        self.path = path
        self.headers = headers
        self.numbers = count()
        self.deadly: list[Reply] = []
        self.sound: list[Reply] = []

    async def send(self, body: bytes, replies: list[Reply]) -> None:
        reply = await self.platform.send_request(
            self.path,
            gateway=next(self.numbers) % GATEWAYS,
            body=body,
            headers=self.headers,
        )
        replies.append(reply)

    async def play(self, seconds: float) -> None:
        async with anyio.create_task_group() as tg:
            until = CLOCK.monotonic() + seconds
            for number in count():
                if CLOCK.monotonic() > until:
                    return
                if number % 6 == 5:
                    tg.start_soon(self.send, DEADLY, self.deadly)
                else:
                    body = f"sound {number}".encode()
                    tg.start_soon(self.send, body, self.sound)
                await anyio.sleep(REQUEST_INTERVAL_S)


def late_repeats(endpoints: list[CrashingEndpoint]) -> int:
    crashes = sorted(at for e in endpoints for at in e.crashed_at)
    assert len(crashes) >= KNOWN_AFTER_CRASHES
    known_at = crashes[KNOWN_AFTER_CRASHES - 1] + CONTACT_S
    arrivals = [at for e in endpoints for at in e.deadly_arrivals[DEADLY]]
    return sum(at > known_at for at in arrivals)


def assert_refused(replies: list[Reply]) -> None:
    """Assert that requests are refused in the end, but for the trial.

    The trial is one request, which may be the last.
    """
    refusals = [reply for reply in replies if reply.status == 503]
    assert any(reply in refusals for reply in replies[-2:])
    later = replies[replies.index(refusals[0]) :]
    assert sum(r.status != 503 for r in later) <= MAX_LATE_REPEATS
    assert all(float(r.headers["retry-after"]) > 0 for r in refusals)


@pytest.mark.parametrize(
    ("service", "path", "headers", "repeatable"),
    [
        ("app", "/read/a", (), True),
        ("app", "/write/a", (), False),
        ("llm", "/stream/a", PROMPT, True),
        ("llm", "/once/a", PROMPT, False),
        ("llm", "/stream/a", (), True),
    ],
    ids=["safe", "unsafe", "stream", "once", "without-prompt"],
)
def test_request_that_crashes_endpoints_is_refused_and_others_are_served(
    tmp_path, service, path, headers, repeatable
):
    async def scenario(platform, endpoints) -> None:
        traffic = Traffic(platform, path, headers)
        await traffic.play(9.0)
        assert late_repeats(endpoints) <= MAX_LATE_REPEATS
        assert_refused(traffic.deadly)
        served = [r.status == 200 and r.whole for r in traffic.sound[-30:]]
        # The trial of the deadly request ends others that can't be repeated.
        assert sum(served) >= (30 if repeatable else 15)
        assert all(r.status != 503 for r in traffic.sound[-30:])

    run_with_crashing_endpoints(
        tmp_path, scenario, service=service, deadly=frozenset((DEADLY,))
    )


def test_deadly_request_stays_refused_after_a_restart_of_all_control(tmp_path):
    async def scenario(platform, endpoints) -> None:
        traffic = Traffic(platform, "/read/a", ())
        await assert_refused_after_a_restart_of_control(
            platform, endpoints, traffic.play, traffic.deadly, bool
        )

    run_with_crashing_endpoints(
        tmp_path, scenario, service="app", deadly=frozenset((DEADLY,))
    )
