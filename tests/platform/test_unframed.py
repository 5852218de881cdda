"""Replies with neither a length nor chunks, which end with their connection.

A gateway that takes the end of the connection for the end of the reply passes
on a part as the whole, and one that needs a length drops whole replies.
"""

import socket
import struct

import anyio
import pytest

from tests.cluster import free_address
from tests.platform.rawhttp import read_request, serve_raw
from tests.platform.standin import Endpoint, Platform
from tests.platform.test_path import ALL_EVENT_IDS, event_ids, run_scenario

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 6)]
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\n"


class UnframedEndpoint(Endpoint):
    """Sends the bodies of `bodies` in turn, the last one again and again.

    Each ends with its connection, which is reset after a body that ends with
    None.
    """

    def __init__(self, *, service: str, bodies: list[list[bytes | None]]):
        super().__init__(name="w1", service=service, address=free_address())
        self.replies = bodies

    async def handle(self, stream) -> None:
        """Serve one connection."""
        fields = await read_request(stream)
        self.arrivals += 1
        await stream.send(HEAD % fields[b"request-id"])
        first = int(fields.get(b"last-event-id", b"0"))
        number = min(self.arrivals, len(self.replies)) - 1
        for chunk in self.replies[number][first:]:
            if chunk is None:
                reset(stream)
                return
            await stream.send(chunk)
            await anyio.sleep(0.01)


def reset(stream) -> None:
    """Close a connection so that its peer gets a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger = struct.pack("ii", 1, 0)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def play(tmp_path, endpoint: UnframedEndpoint, path: str, check) -> None:
    async def scenario(platform: Platform) -> None:
        async with anyio.create_task_group() as tg:
            await serve_raw(platform, tg, endpoint)
            check(await platform.send_request(path))
            tg.cancel_scope.cancel()

    run_scenario(tmp_path, scenario)


def test_whole_stream_that_ends_with_its_connection_is_whole(tmp_path):
    endpoint = UnframedEndpoint(service="llm", bodies=[EVENTS])

    def check(reply) -> None:
        assert (reply.status, reply.whole) == (200, True)
        assert event_ids(reply.body) == ALL_EVENT_IDS
        assert endpoint.arrivals == 1

    play(tmp_path, endpoint, "/stream/a", check)


@pytest.mark.parametrize("tail", [[b"id: 3\nda"], [b"id: 3\nda", None]])
def test_stream_that_ends_inside_an_event_is_resumed(tmp_path, tail):
    endpoint = UnframedEndpoint(
        service="llm", bodies=[EVENTS[:2] + tail, EVENTS]
    )

    def check(reply) -> None:
        assert (reply.status, reply.whole) == (200, True)
        assert event_ids(reply.body) == ALL_EVENT_IDS
        assert endpoint.arrivals == 2

    play(tmp_path, endpoint, "/stream/a", check)


def test_stream_that_ends_inside_an_event_and_may_not_be_resumed_ends_broken(
    tmp_path,
):
    endpoint = UnframedEndpoint(
        service="llm", bodies=[[*EVENTS[:2], b"id: 3\nda"]]
    )

    def check(reply) -> None:
        assert not reply.whole
        assert event_ids(reply.body) == ALL_EVENT_IDS[:2]
        assert endpoint.arrivals == 1

    play(tmp_path, endpoint, "/once/a", check)


def test_stream_that_ends_before_its_first_event_is_not_passed_on_as_whole(
    tmp_path,
):
    endpoint = UnframedEndpoint(service="llm", bodies=[[], EVENTS])

    def check(reply) -> None:
        assert (reply.status, reply.whole) == (200, True)
        assert event_ids(reply.body) == ALL_EVENT_IDS

    play(tmp_path, endpoint, "/stream/a", check)


def test_reply_of_a_service_that_ends_with_its_connection_is_whole(tmp_path):
    endpoint = UnframedEndpoint(service="app", bodies=[[b"one ", b"two"]])

    def check(reply) -> None:
        assert (reply.status, reply.whole) == (200, True)
        assert reply.body == b"one two"

    play(tmp_path, endpoint, "/write/a", check)


def test_reply_of_a_service_that_is_reset_is_not_passed_on(tmp_path):
    endpoint = UnframedEndpoint(service="app", bodies=[[b"one ", None]])

    def check(reply) -> None:
        assert reply.status == 502

    play(tmp_path, endpoint, "/write/a", check)
