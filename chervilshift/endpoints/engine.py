"""Adapter to model engines: generate, resume and cancel over HTTP.

An engine streams server-sent events. Each carries the offset of its first
token, and the stream is whole only with a finish reason and `[DONE]`.
"""

from collections.abc import AsyncIterator
from contextlib import aclosing

import httpcore
import msgspec

from chervilshift.endpoints.connection import (
    CONNECT_TIMEOUT_S,
    HTTP_ERRORS,
    NOT_RUN_HEADER,
    failed,
)
from chervilshift.errors import EndpointFailed

__all__ = ["Chunk", "EngineClient", "Generate"]

MAX_CONNECTIONS = 1000
KEEPALIVE_S = 10.0
SEPARATOR = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"


class Generate(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A request to an engine.

    With `resume_tokens` the engine goes on behind them: its first token
    has the offset `len(resume_tokens)`.
    """

    request_id: str
    attempt: int
    model: str
    prompt: str
    max_tokens: int
    seed: int
    priority: int = 0
    stream: bool = True
    temperature: float | None = None
    adapter: str = ""
    resume_tokens: tuple[str, ...] = ()


class Resume(msgspec.Struct, kw_only=True):
    """Ask for a running stream's events from `offset` on."""

    request_id: str
    attempt: int
    offset: int


class Event(msgspec.Struct, kw_only=True):
    """One event of an engine's stream."""

    offset: int
    tokens: tuple[str, ...] = ()
    finish_reason: str = ""
    cached_tokens: int = 0


class Chunk:
    """What one read brought: tokens at an offset, perhaps the end."""

    __slots__ = ("cached_tokens", "finish_reason", "offset", "tokens")

    def __init__(
        self,
        *,
        offset: int,
        tokens: tuple[str, ...],
        finish_reason: str = "",
        cached_tokens: int = 0,
    ):
        self.offset = offset
        self.tokens = tokens
        self.finish_reason = finish_reason
        self.cached_tokens = cached_tokens


EVENTS = msgspec.json.Decoder(Event)


class EngineClient:
    """Talks to engines over pooled connections, a pool per engine."""

    __slots__ = ("_pools",)

    def __init__(self):
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def suspect(self, address: str) -> None:
        """Use no open connection to an engine again.

        One of them went silent, so its siblings may have, too. What runs
        on them goes on; its own bounds watch over it.
        """
        self._pools.pop(address, None)

    def generate(
        self, address: str, request: Generate, read_timeout_s: float
    ) -> AsyncIterator[Chunk]:
        """Start a generation and yield its chunks.

        The first chunk is empty and says that the engine has accepted.
        Raises EndpointFailed, with `sent` false where no byte reached the
        engine or the engine itself refused.
        """
        content = msgspec.json.encode(request)
        return self._stream(address, "/v1/generate", content, read_timeout_s)

    def resume(
        self, address: str, request: Resume, read_timeout_s: float
    ) -> AsyncIterator[Chunk]:
        """Read a running stream again, from an offset."""
        content = msgspec.json.encode(request)
        return self._stream(address, "/v1/resume", content, read_timeout_s)

    async def cancel(
        self, address: str, request_id: str, attempt: int
    ) -> None:
        """Tell an engine to stop an attempt; best effort."""
        content = msgspec.json.encode(
            {"request_id": request_id, "attempt": attempt}
        )
        try:
            await self._pool(address).request(
                "POST",
                f"http://{address}/v1/cancel",
                content=content,
                extensions=_timeouts(CONNECT_TIMEOUT_S),
            )
        except HTTP_ERRORS:
            return

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEPALIVE_S,
            )
        return pool

    async def _stream(
        self, address: str, path: str, content: bytes, read_timeout_s: float
    ) -> AsyncIterator[Chunk]:
        try:
            async with self._pool(address).stream(
                "POST",
                f"http://{address}{path}",
                headers={"content-type": "application/json"},
                content=content,
                extensions=_timeouts(read_timeout_s),
            ) as response:
                if response.status != 200:
                    raise _refusal(address, response)
                yield Chunk(offset=0, tokens=())
                async with aclosing(_chunks(response)) as chunks:
                    async for chunk in chunks:
                        yield chunk
        except HTTP_ERRORS as exc:
            raise failed(address, exc) from exc


async def _chunks(response: httpcore.Response) -> AsyncIterator[Chunk]:
    """Yield one chunk per read, whatever number of events it holds."""
    rest = b""
    async with aclosing(response.aiter_stream()) as stream:
        async for data in stream:
            *events, rest = (rest + data).split(SEPARATOR)
            chunk = _merge(
                [
                    EVENTS.decode(event[len(DATA) :])
                    for event in events
                    if event.startswith(DATA) and not event.endswith(DONE)
                ]
            )
            if chunk is not None:
                yield chunk


def _merge(events: list[Event]) -> Chunk | None:
    """Join consecutive events; they come in order on one connection."""
    if not events:
        return None
    last = events[-1]
    tokens = tuple(token for event in events for token in event.tokens)
    return Chunk(
        offset=events[0].offset,
        tokens=tokens,
        finish_reason=last.finish_reason,
        cached_tokens=last.cached_tokens,
    )


def _refusal(address: str, response: httpcore.Response) -> EndpointFailed:
    not_run = any(name == NOT_RUN_HEADER for name, _ in response.headers)
    reason = f"status {response.status}"
    return EndpointFailed(endpoint=address, reason=reason, sent=not not_run)


def _timeouts(read_timeout_s: float) -> dict:
    return {
        "timeout": {
            "connect": CONNECT_TIMEOUT_S,
            "read": read_timeout_s,
            "write": read_timeout_s,
            "pool": CONNECT_TIMEOUT_S,
        }
    }
