"""A request body that is late, too large or cut off is never decoded.

An incomplete configuration document must be asked for again (408), not refused
as an invalid one.
"""

from functools import partial

import anyio
import pytest

from chervilshift.platform.api import MAX_BODY_BYTES, control_app


class StubFleet:
    """Fails the test if an incomplete body is decoded as a document."""

    async def put_document(self, document: bytes):
        raise AssertionError("an incomplete body was decoded as a document")


def put(*messages: dict) -> list[int]:
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

    scope = {"path": "/api/config", "method": "PUT"}
    app = control_app(StubFleet(), body_timeout_s=0.02)
    anyio.run(partial(app, scope, receive, send))
    return statuses


def part(data: bytes) -> dict:
    return {"type": "http.request", "body": data, "more_body": True}


@pytest.mark.parametrize("parts", [(), (part(b'{"version":'),)])
def test_slow_body_is_asked_for_again(parts):
    assert put(*parts) == [408]


def test_body_over_the_limit_is_refused_as_such():
    assert put(part(b"x" * MAX_BODY_BYTES), part(b"x")) == [413]


def test_caller_that_left_gets_no_answer():
    assert put(part(b"{"), {"type": "http.disconnect"}) == []
