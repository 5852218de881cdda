"""Raw endpoints outlast connections without a request.

A gateway connects to an endpoint that broke off a request only to see whether
it still runs, and an endpoint that ended on this failed its test at times.
"""

import anyio
import pytest

from tests.cluster import free_address
from tests.platform.crashing import CrashingEndpoint
from tests.platform.rawhttp import serve_raw
from tests.platform.standin import Endpoint, Platform, eventually
from tests.platform.test_faulty_endpoints import (
    REPLY,
    BrokenHeadEndpoint,
    RepeatingEndpoint,
)
from tests.platform.test_path import run_scenario
from tests.platform.test_unframed import EVENTS, UnframedEndpoint, reset

REQUEST = b"POST / HTTP/1.1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"
ENDPOINTS = {
    "unframed": lambda: UnframedEndpoint(service="llm", bodies=[EVENTS]),
    "repeating": lambda: RepeatingEndpoint(with_id=True),
    "broken head": lambda: BrokenHeadEndpoint(service="app", size=len(REPLY)),
}


async def connect(endpoint: Endpoint):
    host, port = endpoint.address.split(":")
    return await anyio.connect_tcp(host, int(port))


async def connect_without_request(endpoint: Endpoint) -> None:
    """Open connections that are closed, and one that is reset."""
    for _ in range(2):
        await (await connect(endpoint)).aclose()
    async with await connect(endpoint) as stream:
        reset(stream)


async def assert_replies(endpoint: Endpoint) -> None:
    async with await connect(endpoint) as stream:
        await stream.send(REQUEST)
        with anyio.fail_after(5):
            assert (await stream.receive()).startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize("name", ENDPOINTS)
def test_raw_endpoint_outlasts_connections_without_a_request(tmp_path, name):
    endpoint = ENDPOINTS[name]()

    async def scenario(platform: Platform) -> None:
        async with anyio.create_task_group() as tg:
            await serve_raw(platform, tg, endpoint)
            await connect_without_request(endpoint)
            await assert_replies(endpoint)
            assert endpoint.arrivals == 1
            tg.cancel_scope.cancel()

    run_scenario(tmp_path, scenario)


def test_crashing_endpoint_outlasts_connections_without_a_request(tmp_path):
    async def scenario(platform: Platform) -> None:
        endpoint = CrashingEndpoint(name="w1", address=free_address())
        async with anyio.create_task_group() as tg:
            tg.start_soon(endpoint.run, platform)
            placement = platform.gateways[0][0].state.placement
            await eventually(lambda: bool(placement.endpoints()))
            await connect_without_request(endpoint)
            await assert_replies(endpoint)
            assert not endpoint.crashed_at
            tg.cancel_scope.cancel()

    run_scenario(tmp_path, scenario)
