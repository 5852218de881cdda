"""Endpoints that leave or refuse for a time, with real processes."""

import anyio
import pytest

from tests.platform.standin import Platform, eventually
from tests.platform.test_path import run_scenario, worker


async def read(platform: Platform, gateway: int = 0):
    return await platform.send_request(
        "/read/a", method="GET", body=b"", gateway=gateway
    )


def test_endpoint_that_says_that_it_leaves_gets_nothing_from_any_gateway(
    tmp_path,
):
    workers = [worker("p1", "app"), worker("p2", "app")]

    async def scenario(platform: Platform) -> None:
        workers[0].leaving = True
        while not workers[0].arrivals:
            assert (await read(platform)).status == 200
        arrived = workers[0].arrivals
        for _ in range(10):
            assert (await read(platform)).status == 200
        assert workers[0].arrivals == arrived
        other = platform.gateways[1][0].state.placement
        await eventually(
            lambda: any(
                e.record.state == "draining" for e in other.endpoints()
            )
        )
        for _ in range(10):
            assert (await read(platform, gateway=1)).status == 200
        assert workers[0].arrivals == arrived

    run_scenario(tmp_path, scenario, *workers, gateways=2)


def test_endpoint_that_refuses_for_a_time_gets_nothing_until_then(tmp_path):
    workers = [worker("p1", "app"), worker("p2", "app")]
    workers[0].behave = lambda number: "full"
    workers[0].retry_after = "1.5"

    async def scenario(platform: Platform) -> None:
        while not workers[0].arrivals:
            assert (await read(platform)).status == 200
        began_at = anyio.current_time()
        while anyio.current_time() < began_at + 1.2:
            assert (await read(platform)).status == 200
        assert workers[0].arrivals == 1
        await anyio.sleep(1.0)
        workers[0].behave = lambda number: "ok"
        workers[1].behave = lambda number: "full"
        workers[1].retry_after = "9"
        for _ in range(5):
            assert (await read(platform)).status == 200
        assert workers[0].arrivals == 6

    run_scenario(tmp_path, scenario, *workers)


def test_callers_are_told_when_all_endpoints_refuse(tmp_path):
    endpoint = worker("p1", "app")
    endpoint.behave = lambda number: "full"
    endpoint.retry_after = "3"

    async def scenario(platform: Platform) -> None:
        for _ in range(10):
            reply = await read(platform)
            assert reply.status == 503
        assert 2.0 < float(reply.headers["retry-after"]) <= 4.0
        assert endpoint.arrivals == 1
        assert not endpoint.runs

    run_scenario(tmp_path, scenario, endpoint)


@pytest.mark.parametrize(
    "value", ["-5", "nan", "soon", "Wed, 21 Oct 2015 07:28:00 GMT"]
)
def test_time_that_makes_no_sense_holds_no_endpoint(tmp_path, value):
    endpoint = worker("p1", "app", "full")
    endpoint.retry_after = value

    async def scenario(platform: Platform) -> None:
        await read(platform)
        assert (await read(platform)).status == 200

    run_scenario(tmp_path, scenario, endpoint)
