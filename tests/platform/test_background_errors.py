"""Errors that nobody expected, in the background tasks of real processes."""

from functools import partial

import anyio
import pytest

from chervilshift.background import RESTART_DELAY_S, keep_running
from chervilshift.clock import SystemClock
from chervilshift.control.duties import DutyTask
from chervilshift.control.fleet import FleetService
from chervilshift.control.relay import LeaderRelay
from chervilshift.events import EventLog, HybridClock
from chervilshift.gateway.connections import ConnectionPool
from chervilshift.gateway.state import GatewayState
from tests.cluster import free_address
from tests.platform.crashing import CrashingEndpoint
from tests.platform.standin import Platform, eventually
from tests.platform.test_path import run_scenario, worker

ERROR = OverflowError("port must be 0-65535")


def fail_once(monkeypatch, owner: type, name: str) -> list[object]:
    """Make the next call of a method fail; return the list of its callers."""
    method = getattr(owner, name)
    failed: list[object] = []

    def call(self, *args, **kwargs):
        if not failed:
            failed.append(self)
            raise ERROR
        return method(self, *args, **kwargs)

    monkeypatch.setattr(owner, name, call)
    return failed


def test_a_task_that_failed_runs_again_until_cancelled():
    runs = []

    async def run() -> None:
        runs.append(1)
        await anyio.sleep(0)
        if len(runs) < 3:
            raise ExceptionGroup("unhandled errors", [ERROR])
        await anyio.sleep_forever()

    async def play() -> None:
        events = EventLog(process="g", hlc=HybridClock(clock=SystemClock()))
        task = partial(
            keep_running, run, name="t", clock=SystemClock(), events=events
        )
        async with anyio.create_task_group() as tg:
            tg.start_soon(task)
            await anyio.sleep(6 * RESTART_DELAY_S)
            tg.cancel_scope.cancel()

    anyio.run(play)
    assert len(runs) == 3


def test_crash_probe_that_fails_does_not_end_the_gateway(
    tmp_path, monkeypatch
):
    """The process ended, and with it every other request that it served."""
    failed = fail_once(monkeypatch, ConnectionPool, "is_refused")

    async def scenario(platform: Platform) -> None:
        crashing = CrashingEndpoint(
            name="w1", address=free_address(), bad=frozenset((b"bad",))
        )
        platform._tg.start_soon(crashing.run, platform)
        gateway = platform.gateways[0][0]
        await eventually(lambda: gateway.state.placement.endpoints())
        parts = ("Prompt-Prefix", "aa:100,bad:20,1:50")
        counts = ("Token-Count", "500,20")
        await platform.send_request("/stream/a", headers=(parts, counts))
        await eventually(lambda: failed)
        await anyio.sleep(3 * RESTART_DELAY_S)
        assert not platform.ended
        assert crashing.crashed_at
        parts = ("Prompt-Prefix", "aa:100,2:50")
        await eventually(
            lambda: any(
                e.record.born_ms == crashing.born_ms
                for e in gateway.state.placement.endpoints()
            )
        )
        reply = await platform.send_request(
            "/stream/a", headers=(parts, counts)
        )
        assert (reply.status, reply.whole) == (200, True)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    ("owner", "method"),
    [
        (GatewayState, "sync_request"),
        (GatewayState, "mixed_services"),
        (GatewayState, "apply_reply"),
        (ConnectionPool, "prune"),
        (FleetService, "_expire_endpoints"),
        (LeaderRelay, "_relay"),
        (DutyTask, "_may_act"),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
def test_processes_outlast_an_error_of_a_background_task(
    owner, method, tmp_path, monkeypatch
):
    """One error in a periodic task ended its process."""

    async def scenario(platform: Platform) -> None:
        failed = fail_once(monkeypatch, owner, method)
        await eventually(lambda: failed)
        await anyio.sleep(2 * RESTART_DELAY_S)
        assert not platform.ended
        assert await platform.configure(2) == 200
        gateway = platform.gateways[0][0]
        await eventually(lambda: gateway.state.version == 2)
        reply = await platform.send_request("/stream/a")
        assert (reply.status, reply.whole) == (200, True)

    run_scenario(tmp_path, scenario, worker("w1"))
