"""Rollouts with real control processes and gateways.

A version that fails must get no more than its share, a good one everything,
and no order that was acknowledged may be lost.
"""

from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import anyio
import httpcore
import msgspec
import pytest

from chervilshift.core.fleet.versions import FINISH
from tests.cluster import free_address
from tests.platform.standin import Endpoint, Platform, call, eventually

GATEWAYS = 2
ORDER = {"service": "app", "to": "v2", "ramp_s": 10}
SETTINGS = {"rollout_share": 0.1, "rollout_slack": 50.0, "rollback_ms": 5000.0}
REQUEST_INTERVAL_S = 0.012


PATHS = {"app": "/read/x", "llm": "/stream/x"}


def worker(
    number: int, version: str, service: str, behaviour: str = "ok"
) -> Endpoint:
    return Endpoint(
        name=f"{version}-{number}",
        service=service,
        address=free_address(),
        version=version,
        events=4 if service == "llm" else 1,
        behave=lambda run: behaviour,
    )


class Scenario:
    """A platform with three endpoints of v1, and requests to them."""

    def __init__(self, platform: Platform, service: str):
        self.platform = platform
        self.service = service
        self.old = [worker(n, "v1", service) for n in range(3)]
        self.new: list[Endpoint] = []
        self.statuses: Counter[int] = Counter()
        self.cut_off = 0
        self.sent = 0

    async def start(self) -> None:
        assert await self.platform.configure() == 200
        for gateway, _ in self.platform.gateways:
            await eventually(lambda g=gateway: g.state.version == 1)
        for endpoint in self.old:
            await self.platform.add_endpoint(endpoint)

    async def order(self, number: int = 0, **changes) -> int:
        """Order a rollout at a control process; return the status."""
        changes = {"service": self.service} | changes
        body = msgspec.json.encode(ORDER | changes)
        address = self.platform.api_addresses[number]
        status, _ = await call("POST", address, "/api/rollouts", body)
        return status

    async def state(self, number: int = 0) -> str:
        """Return the state that a control process tells, or its status."""
        address = self.platform.api_addresses[number]
        path = f"/api/rollouts/{self.service}"
        status, body = await call("GET", address, path)
        return msgspec.json.decode(body)["state"] if status == 200 else status

    async def add_new(self, behaviour: str = "ok") -> None:
        for number in range(3):
            endpoint = worker(number, "v2", self.service, behaviour)
            self.new.append(endpoint)
            await self.platform.add_endpoint(endpoint)

    async def send(self) -> None:
        """Send requests to all gateways in turn until cancelled."""
        async with anyio.create_task_group() as tg:
            while True:
                tg.start_soon(self._send_one, self.sent % GATEWAYS)
                self.sent += 1
                await anyio.sleep(REQUEST_INTERVAL_S)

    async def _send_one(self, gateway: int) -> None:
        # Gateways are ended and replaced.
        with suppress(httpcore.NetworkError, httpcore.ProtocolError):
            if gateway < len(self.platform.gateways):
                reply = await self.platform.send_request(
                    PATHS[self.service], gateway=gateway
                )
                self.statuses[reply.status] += 1
                self.cut_off += not reply.whole

    async def ends(self, timeout_s: float, number: int = 0) -> str:
        """Return the state in which the rollout ends."""
        with anyio.fail_after(timeout_s):
            while (state := await self.state(number)) in ("running", 503):
                await anyio.sleep(0.05)
        return state

    def new_runs(self) -> int:
        return sum(endpoint.arrivals for endpoint in self.new)

    def old_runs(self) -> int:
        return sum(endpoint.arrivals for endpoint in self.old)


def run(
    tmp_path,
    play: Callable[[Scenario], Awaitable[None]],
    settings: dict = SETTINGS,
    service: str = "app",
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tg:
            platform = Platform(tmp_path, tg, GATEWAYS, **settings)
            await platform.start()
            scenario = Scenario(platform, service)
            await scenario.start()
            async with anyio.create_task_group() as requests:
                requests.start_soon(scenario.send)
                await play(scenario)
                requests.cancel_scope.cancel()
            tg.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize("service", PATHS)
def test_good_version_takes_everything_before_the_deadline(tmp_path, service):
    async def play(scenario: Scenario) -> None:
        assert await scenario.order() == 200
        began_at = anyio.current_time()
        await scenario.add_new()
        assert await scenario.ends(ORDER["ramp_s"]) == "completed"
        assert anyio.current_time() - began_at < ORDER["ramp_s"]
        # The old endpoints stop now: none may get a request, or have one.
        before = scenario.old_runs()
        await anyio.sleep(1.0)
        assert scenario.old_runs() == before
        assert set(scenario.statuses) == {200} and not scenario.cut_off
        events = scenario.platform.logged("rollout_stage")
        assert events[-1]["stage"] == FINISH

    run(tmp_path, play, service=service)


def test_version_that_cuts_streams_off_is_rolled_back(tmp_path):
    """They go on at the same version, and are cut off there again."""

    async def play(scenario: Scenario) -> None:
        sent_before = scenario.sent
        assert await scenario.order() == 200
        await scenario.add_new("cut")
        assert await scenario.ends(ORDER["ramp_s"]) == "rolled_back"
        await anyio.sleep(0.5)
        got = scenario.new_runs()
        await anyio.sleep(1.0)
        assert scenario.new_runs() == got
        sent = scenario.sent - sent_before
        assert 0 < got <= SETTINGS["rollout_share"] * sent + 25
        assert scenario.cut_off <= got

    run(tmp_path, play, service="llm")


def test_good_version_completes_though_the_leader_stops(tmp_path):
    ramp_s = 14

    async def play(scenario: Scenario) -> None:
        assert await scenario.order(ramp_s=ramp_s) == 200
        began_at = anyio.current_time()
        await scenario.add_new()
        await anyio.sleep(2.0)
        stopped = scenario.platform.leader()
        await scenario.platform.stop_control(stopped)
        other = (stopped + 1) % 3
        assert await scenario.ends(ramp_s, number=other) == "completed"
        assert anyio.current_time() - began_at < ramp_s
        before = scenario.old_runs()
        await anyio.sleep(1.0)
        assert scenario.old_runs() == before
        assert set(scenario.statuses) == {200}

    run(tmp_path, play)


async def play_bad_version(scenario: Scenario, kind: str) -> None:
    """Roll out a bad version; all requests are served all the same."""
    sent_before = scenario.sent
    assert await scenario.order() == 200
    await scenario.add_new(kind)
    assert await scenario.ends(ORDER["ramp_s"]) == "rolled_back"
    await anyio.sleep(0.5)
    got = scenario.new_runs()
    await anyio.sleep(1.0)
    assert scenario.new_runs() == got
    sent = scenario.sent - sent_before
    assert 0 < got <= SETTINGS["rollout_share"] * sent + 25
    # What failed there was repeated at the old version.
    assert set(scenario.statuses) == {200}


def test_slow_version_is_rolled_back_within_its_share(tmp_path):
    run(tmp_path, partial(play_bad_version, kind="slow"))


def test_failing_version_is_rolled_back_within_its_share(tmp_path):
    run(tmp_path, partial(play_bad_version, kind="error"))


def test_acknowledged_order_survives_the_loss_of_all_processes(tmp_path):
    """At the new leader nothing is known but the log."""

    async def play(scenario: Scenario) -> None:
        assert await scenario.order() == 200
        await scenario.platform.restart_controls()
        await scenario.platform.replace_gateways()
        with anyio.fail_after(10.0):
            while await scenario.state() != "running":
                await anyio.sleep(0.05)
        await scenario.add_new("error")
        # The deadline may have passed, so the end may have another reason.
        assert await scenario.ends(2 * ORDER["ramp_s"]) == "rolled_back"

    run(tmp_path, play)


def test_orders_are_answered_as_documented(tmp_path):
    async def play(scenario: Scenario) -> None:
        bad = [
            {"service": "nothing"},
            {"to": ""},
            {"to": 2},
            {"ramp_s": 0},
            {"ramp_s": -1},
            {"ramp_s": "10"},
            {"ramp_s": True},
            {"service": None},
        ]
        for changes in bad:
            assert await scenario.order(**changes) == 400
        address = scenario.platform.api_addresses[0]
        for body in (b"", b"{", b"[]", b"{}", b"\xff"):
            status, _ = await call("POST", address, "/api/rollouts", body)
            assert status == 400
        assert await scenario.state() == 404
        # To any control process, again and again.
        for number in range(3):
            assert await scenario.order(number, ramp_s=60) == 200
        for number in range(3):
            assert await scenario.state(number) == "running"
            assert await scenario.order(number) == 409
            assert await scenario.order(number, to="v3", ramp_s=60) == 409
        orders = scenario.platform.logged("rollout_ordered")
        outcomes = Counter(event["outcome"] for event in orders)
        assert outcomes == {
            "unknown service": 1,
            "accepted": 1,
            "same": 2,
            "conflict": 6,
        }

    run(tmp_path, play)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_there_are_no_rollouts_without_the_settings(tmp_path, method):
    async def play(scenario: Scenario) -> None:
        address = scenario.platform.api_addresses[0]
        path = "/api/rollouts" + ("/app" if method == "GET" else "")
        status, _ = await call(
            method, address, path, msgspec.json.encode(ORDER)
        )
        assert status == 404
        # Endpoints of another version are used at once.
        await scenario.add_new()
        await eventually(lambda: scenario.new_runs() > 5)

    run(tmp_path, play, settings={})
