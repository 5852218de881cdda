"""A request body that is late, too large or cut off is never decoded.

An incomplete configuration document must be asked for again (408), not refused
as an invalid one.
"""

from collections import Counter
from functools import partial

import anyio
import pytest
from returns.result import Success

from chervilshift.platform.api import (
    MAX_ANNOUNCEMENT_BYTES,
    MAX_DOCUMENT_BYTES,
    MAX_HELD_BYTES,
    control_app,
)


class StubFleet:
    """Fails the test if an incomplete body is decoded as a document."""

    async def put_document(self, document: bytes):
        raise AssertionError("an incomplete body was decoded as a document")


def put(*messages: dict, path: str = "/api/config") -> list[int]:
    """Send a body's parts, then nothing; return the response statuses."""
    statuses: list[int] = []
    waiting = list(messages)

    async def receive() -> dict:
        if not waiting:
            await anyio.sleep_forever()
        return waiting.pop(0)

    async def send(message: dict) -> None:
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    scope = {"path": path, "method": "PUT"}
    app = control_app(StubFleet(), body_timeout_s=0.02)
    anyio.run(partial(app, scope, receive, send))
    return statuses


def part(data: bytes) -> dict:
    return {"type": "http.request", "body": data, "more_body": True}


@pytest.mark.parametrize("parts", [(), (part(b'{"version":'),)])
def test_slow_body_is_asked_for_again(parts):
    assert put(*parts) == [408]


def test_body_over_the_limit_is_refused_as_such():
    assert put(part(b"x" * MAX_DOCUMENT_BYTES), part(b"x")) == [413]


def test_caller_that_left_gets_no_answer():
    assert put(part(b"{"), {"type": "http.disconnect"}) == []


def test_announcement_as_large_as_a_document_is_refused():
    body = part(b"x" * (MAX_ANNOUNCEMENT_BYTES + 1))
    assert put(body, path="/api/instances/w1") == [413]


def test_large_bodies_at_once_stay_within_the_memory_of_control():
    """Each was within its limit, together they took more than the process."""
    callers = 200
    data = b"x" * (1 << 20)
    held = Counter()
    statuses: list[int] = []
    decoded: list[bytes] = []

    class Fleet:
        async def put_document(self, document: bytes):
            decoded.append(document)
            return Success(1)

    async def play() -> None:
        app = control_app(Fleet(), body_timeout_s=0.5)
        scope = {"path": "/api/config", "method": "PUT"}

        async def send(message: dict) -> None:
            if message["type"] == "http.response.start":
                statuses.append(message["status"])

        async def call(caller: int) -> None:
            async def receive() -> dict:
                await anyio.sleep(0.01)
                held[caller] += len(data)
                assert sum(held.values()) <= MAX_HELD_BYTES + len(data)
                return part(data)

            await app(scope, receive, send)
            del held[caller]

        async with anyio.create_task_group() as tg:
            for caller in range(callers):
                tg.start_soon(call, caller)

        async def receive_last() -> dict:
            return {"type": "http.request", "body": b"{}"}

        await app(scope, receive_last, send)

    anyio.run(play)
    assert set(statuses[:-1]) <= {413, 503}
    assert len(statuses) == callers + 1
    assert (statuses[-1], decoded) == (200, [b"{}"])
