"""Replies of faulty endpoints.

Refusals that are sent twice, errors amid a stream, and heads that break off.
"""

from contextlib import suppress
from itertools import chain, repeat

import anyio
import pytest

from chervilshift.gateway import upstream
from tests.cluster import free_address
from tests.platform.rawhttp import read_request, serve_raw
from tests.platform.standin import Endpoint, Platform
from tests.platform.test_path import (
    ALL_EVENT_IDS,
    event_ids,
    run_scenario,
    worker,
)
from tests.platform.test_unframed import play

# Requests for two endpoints, more than one at a time.
CALLS_OF_TWO = 100
REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n%s\r\n"
REPLY = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"
)


class RepeatingEndpoint(Endpoint):
    """Refuses the first request, then sends the same refusal once more.

    `with_id` tells whether the refusals carry the request's id.
    """

    def __init__(self, *, with_id: bool):
        super().__init__(name="w1", service="app", address=free_address())
        self._with_id = with_id
        self.run_count = 0

    async def handle(self, stream) -> None:
        """Serve one connection."""
        while True:
            fields = await read_request(stream)
            self.arrivals += 1
            if self.arrivals == 1:
                refusal = REFUSAL % self._id_line(fields)
                await stream.send(refusal + refusal)
            else:
                self.run_count += 1
                await stream.send(REPLY % fields[b"request-id"])

    def _id_line(self, fields: dict[bytes, bytes]) -> bytes:
        if not self._with_id:
            return b""
        return b"Request-Id: %s\r\n" % fields[b"request-id"]


class BrokenHeadEndpoint(Endpoint):
    """Sends the first `size` bytes of each reply and closes."""

    def __init__(self, *, service: str, size: int):
        super().__init__(name="w1", service=service, address=free_address())
        self._size = size

    async def handle(self, stream) -> None:
        """Serve one connection."""
        fields = await read_request(stream)
        self.arrivals += 1
        reply = REPLY % fields[b"request-id"]
        await stream.send(reply[: self._size])


@pytest.mark.parametrize("with_id", [True, False])
def test_repeated_refusal_is_not_taken_for_that_of_the_next_request(
    tmp_path, with_id
):
    endpoint = RepeatingEndpoint(with_id=with_id)

    async def scenario(platform: Platform) -> None:
        async with anyio.create_task_group() as tg:
            await serve_raw(platform, tg, endpoint)
            first = await platform.send_request("/write/a")
            assert first.status == 503
            second = await platform.send_request("/write/a")
            assert endpoint.run_count == 1
            assert second.status in (200, 502)
            tg.cancel_scope.cancel()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("then", ["error", "full", "other", "unsigned"])
def test_error_after_a_broken_stream_does_not_get_into_the_stream(
    tmp_path, then
):
    behaviours = chain(("cut",), repeat(then))
    workers = [worker("w1"), worker("w2")]
    for endpoint in workers:
        endpoint.behave = lambda number: next(behaviours)

    async def scenario(platform: Platform) -> None:
        reply = await platform.send_request("/stream/a")
        assert reply.status == 200
        assert not reply.whole
        assert event_ids(reply.body) == ALL_EVENT_IDS[:2]
        assert reply.body.endswith(b"data: 2\n\n")

    run_scenario(tmp_path, scenario, *workers)


@pytest.mark.parametrize("path", ["/write/a", "/read/a", "/once/a"])
@pytest.mark.parametrize("size", [9, 17, 30, 60, 80, 100, 111, 112])
def test_head_that_breaks_off_is_not_passed_on_as_a_whole_reply(
    tmp_path, path, size
):
    service = "llm" if path == "/once/a" else "app"
    endpoint = BrokenHeadEndpoint(service=service, size=size)

    def check(reply) -> None:
        assert reply.status != 200 or not reply.whole
        assert endpoint.arrivals

    play(tmp_path, endpoint, path, check)


class TwoIdsEndpoint(Endpoint):
    """Sends replies with two ids, that of the request first or last."""

    def __init__(self, *, own_first: bool):
        super().__init__(name="w1", service="app", address=free_address())
        self._own_first = own_first

    async def handle(self, stream) -> None:
        """Serve one connection."""
        while True:
            own_id = (await read_request(stream))[b"request-id"]
            self.arrivals += 1
            ids = [own_id, b"other"] if self._own_first else [b"other", own_id]
            await stream.send(REPLY % b"\r\nRequest-Id: ".join(ids))


@pytest.mark.parametrize("own_first", [True, False])
def test_reply_that_carries_the_id_of_another_request_too_is_not_passed_on(
    tmp_path, own_first
):
    endpoint = TwoIdsEndpoint(own_first=own_first)

    def check(reply) -> None:
        assert reply.status == 502
        assert endpoint.arrivals == 1

    play(tmp_path, endpoint, "/write/a", check)


class EndlessBodyEndpoint(Endpoint):
    """Sends a good head and a body that exceeds every limit."""

    def __init__(self):
        super().__init__(name="w1", service="app", address=free_address())

    async def handle(self, stream) -> None:
        """Serve one connection."""
        fields = await read_request(stream)
        self.arrivals += 1
        head = REPLY.replace(b"Content-Length: 2\r\n\r\nok", b"\r\n")
        await stream.send(head % fields[b"request-id"])
        with suppress(anyio.BrokenResourceError):
            while True:
                await stream.send(b"x" * 4096)


def test_endpoint_whose_bodies_never_end_well_is_left(tmp_path, monkeypatch):
    monkeypatch.setattr(upstream, "MAX_REPLY_BODY_BYTES", 1 << 16)
    endpoint, sound = EndlessBodyEndpoint(), worker("w2", "app")
    sound.events = 50

    async def scenario(platform: Platform) -> None:
        async with anyio.create_task_group() as tg:
            await serve_raw(platform, tg, endpoint)
            await platform.add_endpoint(sound)
            async with anyio.create_task_group() as calls:
                for _ in range(CALLS_OF_TWO):
                    calls.start_soon(platform.send_request, "/write/a")
                    await anyio.sleep(0.03)
            tg.cancel_scope.cancel()

    run_scenario(tmp_path, scenario)
    assert len(sound.runs) > 0.75 * CALLS_OF_TWO
