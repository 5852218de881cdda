"""Rate limits that endpoints state, with real processes on loopback."""

import anyio
import pytest

from tests.platform.standin import (
    EVENTUALLY_TIMEOUT_S,
    Platform,
    eventually,
)
from tests.platform.test_path import run_scenario, worker

# Within this time all gateways observe a statement.
CONTACT_S = 4.0
WINDOW_S = 4.0


async def play(platform: Platform, seconds: float) -> list[int]:
    """Send reads to all gateways in turn; return the statuses."""
    statuses = []

    async def ask(gateway: int) -> None:
        reply = await platform.send_request(
            "/read/a", method="GET", body=b"", gateway=gateway
        )
        statuses.append(reply.status)

    async with anyio.create_task_group() as tg:
        with anyio.move_on_after(seconds):
            number = 0
            while True:
                tg.start_soon(ask, number % platform.gateway_count)
                number += 1
                await anyio.sleep(0.02)
    return statuses


def limits_of(platform: Platform) -> list[tuple[str, ...]]:
    return [
        g.state.endpoint_limits.limited_ids() for g, _ in platform.gateways
    ]


def test_limit_learnt_by_one_gateway_holds_for_all_and_the_rest_goes_elsewhere(
    tmp_path,
):
    limited, free = worker("p1", "app"), worker("p2", "app")

    async def scenario(platform: Platform) -> None:
        limited.limit_per_s = 3.0
        await play(platform, 1.0)
        with anyio.fail_after(CONTACT_S):
            await eventually(lambda: set(limits_of(platform)) == {("p1",)})
        before = limited.arrivals
        statuses = await play(platform, WINDOW_S)
        assert limited.arrivals - before <= 1.5 * 3.0 * WINDOW_S + 5
        assert limited.arrivals > before
        assert set(statuses) == {200}
        limited.limit_per_s = None
        async with anyio.create_task_group() as tg:
            tg.start_soon(play, platform, EVENTUALLY_TIMEOUT_S)
            await eventually(lambda: set(limits_of(platform)) == {()})
            tg.cancel_scope.cancel()

    run_scenario(tmp_path, scenario, limited, free, gateways=3)


def test_requests_above_the_limits_of_all_endpoints_are_rejected_soon(
    tmp_path,
):
    limited = worker("p1", "app")

    async def scenario(platform: Platform) -> None:
        limited.limit_per_s = 2.0
        await play(platform, 0.5)
        await eventually(lambda: set(limits_of(platform)) == {("p1",)})
        before = limited.arrivals
        statuses = await play(platform, WINDOW_S)
        assert limited.arrivals - before <= 1.5 * 2.0 * WINDOW_S + 5
        assert set(statuses) == {200, 503}

    run_scenario(tmp_path, scenario, limited, gateways=2)


def test_limit_holds_after_a_restart_of_all_control(tmp_path):
    limited = worker("p1", "app")

    async def scenario(platform: Platform) -> None:
        limited.limit_per_s = 2.0
        await play(platform, 0.5)
        await eventually(lambda: set(limits_of(platform)) == {("p1",)})
        await platform.restart_controls()
        before = limited.arrivals
        await play(platform, WINDOW_S)
        assert limited.arrivals - before <= 1.5 * 2.0 * WINDOW_S + 5
        assert set(limits_of(platform)) == {("p1",)}

    run_scenario(tmp_path, scenario, limited, gateways=2)


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "lots", "", "1e999"])
def test_limit_that_makes_no_sense_is_ignored(tmp_path, value):
    endpoint = worker("p1", "app")

    async def scenario(platform: Platform) -> None:
        endpoint.limit_per_s = value
        for _ in range(20):
            reply = await platform.send_request(
                "/read/a", method="GET", body=b""
            )
            assert reply.status == 200
        assert limits_of(platform) == [()]

    run_scenario(tmp_path, scenario, endpoint)
