"""A prompt part that crashes endpoints, through real sockets and processes.

Without a quarantine, requests with the part crash one endpoint after the
other, and every request waiting there fails with them.
"""

from itertools import count

import anyio

from chervilshift.clock import SystemClock
from tests.platform.crashing import (
    GATEWAYS,
    CrashingEndpoint,
    assert_refused_after_a_restart_of_control,
    run_with_crashing_endpoints,
)
from tests.platform.standin import Platform, Reply

CONTACT_S = 4.0
KNOWN_AFTER_CRASHES = 5
MAX_LATE_REQUESTS = 3
REQUEST_INTERVAL_S = 0.06
BAD = "bad0"
CLOCK = SystemClock()


class Traffic:
    """Requests to all gateways; every sixth one has the bad part."""

    def __init__(self, platform: Platform):
        self.platform = platform
        self.numbers = count()
        self.bad: list[Reply] = []
        self.normal: list[Reply] = []

    async def send(self, parts: str, replies: list[Reply]) -> None:
        number = next(self.numbers)
        prefix = f"{parts},{number:x}:50"
        headers = (("Prompt-Prefix", prefix), ("Token-Count", "500,20"))
        reply = await self.platform.send_request(
            "/stream/a", gateway=number % GATEWAYS, headers=headers
        )
        replies.append(reply)

    async def play(self, seconds: float) -> None:
        async with anyio.create_task_group() as tg:
            until = CLOCK.monotonic() + seconds
            for number in count():
                if CLOCK.monotonic() > until:
                    return
                if number % 6 == 5:
                    parts = f"aa:100,b1:50,{BAD}:20"
                    tg.start_soon(self.send, parts, self.bad)
                else:
                    parts = f"aa:100,b{number % 3}:50"
                    tg.start_soon(self.send, parts, self.normal)
                await anyio.sleep(REQUEST_INTERVAL_S)


def late_requests(endpoints: list[CrashingEndpoint]) -> int:
    crashes = sorted(at for e in endpoints for at in e.crashed_at)
    arrivals = [at for e in endpoints for at in e.bad_arrivals]
    if len(crashes) < KNOWN_AFTER_CRASHES:
        return 0
    known_at = crashes[KNOWN_AFTER_CRASHES - 1] + CONTACT_S
    return sum(at > known_at for at in arrivals)


def test_part_that_crashes_endpoints_is_refused_and_other_requests_are_served(
    tmp_path,
):
    async def scenario(platform, endpoints) -> None:
        traffic = Traffic(platform)
        await traffic.play(9.0)
        assert late_requests(endpoints) <= MAX_LATE_REQUESTS
        refusal = traffic.bad[-1]
        assert refusal.status == 503
        assert float(refusal.headers["retry-after"]) > 0
        assert all(r.status == 200 and r.whole for r in traffic.normal[-30:])

    run_with_crashing_endpoints(
        tmp_path, scenario, bad=frozenset((BAD.encode(),))
    )


def test_part_stays_refused_after_a_restart_of_all_control(tmp_path):
    async def scenario(platform, endpoints) -> None:
        traffic = Traffic(platform)
        await assert_refused_after_a_restart_of_control(
            platform,
            endpoints,
            traffic.play,
            traffic.bad,
            lambda quarantined: BAD in quarantined,
        )

    run_with_crashing_endpoints(
        tmp_path, scenario, bad=frozenset((BAD.encode(),))
    )
