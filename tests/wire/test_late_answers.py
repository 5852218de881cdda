"""Generations must not get the answer of another one.

An engine answered a second time, late, and the next generation on the reused
connection took the first answer for its own.
"""

import json
import re

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from chervilshift.endpoints.engine import EngineClient, Generate, Resume

GENERATIONS = 10
ANSWER_S = 0.03
CALL_S = 2.0


def _answer(request_id: str) -> bytes:
    event = {"offset": 0, "tokens": [request_id], "finish_reason": "stop"}
    body = f"data: {json.dumps(event)}\n\ndata: [DONE]\n\n"
    return (
        f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def _request_ids(stream: SocketStream):
    unread = b""
    while True:
        unread += await stream.receive()
        while match := re.search(rb'"request_id":"(\w+)".*?}', unread):
            yield match[1].decode()
            unread = unread[match.end() :]


def _engine(late_s: float):
    """Return an engine that answers again `late_s` after each answer."""

    async def answer_twice(stream: SocketStream) -> None:
        ended = (anyio.EndOfStream, anyio.BrokenResourceError)

        async def answer_again(request_id: str) -> None:
            await anyio.sleep(late_s)
            try:
                await stream.send(_answer(request_id))
            except (*ended, anyio.ClosedResourceError):
                return

        async with stream, anyio.create_task_group() as tasks:
            try:
                async for request_id in _request_ids(stream):
                    await anyio.sleep(ANSWER_S)
                    await stream.send(_answer(request_id))
                    tasks.start_soon(answer_again, request_id)
            except ended:
                return

    return answer_twice


def _request(request_id: str, path: str) -> Generate | Resume:
    if path == "resume":
        return Resume(request_id=request_id, attempt=1, offset=0)
    return Generate(
        request_id=request_id,
        attempt=1,
        model="m",
        prompt="p",
        max_tokens=1,
        seed=1,
    )


@pytest.mark.parametrize("path", ["generate", "resume"])
@pytest.mark.parametrize("late_s", [0.0, ANSWER_S / 3])
def test_late_second_answer_is_not_the_next_generations(late_s, path):
    async def run() -> list[tuple[str, ...]]:
        engines = EngineClient()
        answers = []
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, _engine(late_s))
            for index in range(GENERATIONS):
                chunks = getattr(engines, path)(
                    f"127.0.0.1:{port}", _request(f"r{index}", path), CALL_S
                )
                answers.append(
                    tuple([t async for c in chunks for t in c.tokens])
                )
            tasks.cancel_scope.cancel()
        return answers

    own_answers = [(f"r{index}",) for index in range(GENERATIONS)]
    assert anyio.run(run) == own_answers
