"""HTTP client for model engines: generate, resume and cancel.

An engine streams server-sent events. Each carries the offset of its first
token, and a complete stream ends with a finish reason and `[DONE]`. Nothing
in a stream names its request, so calls do not share connections: a late
second answer could be taken for that of the next call.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, aclosing, asynccontextmanager

import anyio
import httpcore
import msgspec
from returns.result import Failure as Bad

from chervilshift.core.pacing import PartPacer
from chervilshift.endpoints.connection import (
    CONNECT_TIMEOUT_S,
    HTTP_ERRORS,
    call_failure,
    states_not_run,
)
from chervilshift.errors import EndpointFailed
from chervilshift.outgoing import CallBackend, socket_options
from chervilshift.untrusted import decode_json

__all__ = ["Chunk", "EngineClient", "Generate"]

UNACKED_TIMEOUT_S = 2.0
EVENT_SEPARATOR = b"\n\n"
DATA_PREFIX = b"data: "
DONE_MARKER = b"[DONE]"
# Larger than any event of a stream.
MAX_EVENT_BYTES = 256 << 10


class Generate(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A request to generate an answer.

    `attempt` distinguishes attempts for the same `request_id`. With
    `resume_tokens` the engine continues after them: its first token has the
    offset `len(resume_tokens)`.
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
    """A request for the events of a running stream from `offset` on."""

    request_id: str
    attempt: int
    offset: int


class Event(msgspec.Struct, kw_only=True):
    """One event of an engine's stream.

    `offset` is that of the first token in the answer. `finish_reason` is
    not empty in the last event. `cached_tokens` is the number of prompt
    tokens that were found in the KV cache.
    """

    offset: int
    tokens: tuple[str, ...] = ()
    finish_reason: str = ""
    cached_tokens: int = 0


class Chunk:
    """The events of one read, merged; the fields are those of Event."""

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


EVENT_DECODER = msgspec.json.Decoder(Event)


class EngineClient:
    """Calls engines, each call on a new connection."""

    __slots__ = ()

    def generate(
        self, address: str, request: Generate, read_timeout_s: float
    ) -> AsyncIterator[Chunk]:
        """Start a generation and yield its chunks.

        The first chunk is empty and means that the engine has accepted the
        request. Raises EndpointFailed, whose field `sent` is false if no
        byte reached the engine or it refused the request without running it.
        """
        content = msgspec.json.encode(request)
        return self._stream(address, "/v1/generate", content, read_timeout_s)

    def resume(
        self, address: str, request: Resume, read_timeout_s: float
    ) -> AsyncIterator[Chunk]:
        """Yield the chunks of a running stream from an offset on.

        Raises EndpointFailed.
        """
        content = msgspec.json.encode(request)
        return self._stream(address, "/v1/resume", content, read_timeout_s)

    async def cancel(
        self, address: str, request_id: str, attempt: int
    ) -> None:
        """Tell an engine to stop an attempt; errors are ignored."""
        content = msgspec.json.encode(
            {"request_id": request_id, "attempt": attempt}
        )
        try:
            async with (
                _new_connection(address) as connection,
                connection.stream(
                    "POST",
                    f"http://{address}/v1/cancel",
                    content=content,
                    extensions=_timeouts(CONNECT_TIMEOUT_S),
                ),
            ):
                return
        except HTTP_ERRORS:
            return

    async def _stream(
        self, address: str, path: str, content: bytes, read_timeout_s: float
    ) -> AsyncIterator[Chunk]:
        try:
            async with (
                _new_connection(address) as connection,
                AsyncExitStack() as stack,
            ):
                with anyio.fail_after(CONNECT_TIMEOUT_S + read_timeout_s):
                    response = await stack.enter_async_context(
                        connection.stream(
                            "POST",
                            f"http://{address}{path}",
                            headers={"content-type": "application/json"},
                            content=content,
                            extensions=_timeouts(read_timeout_s),
                        )
                    )
                if response.status != 200:
                    raise _refusal(address, response)
                yield Chunk(offset=0, tokens=())
                async with aclosing(
                    _read_chunks(response, read_timeout_s)
                ) as chunks:
                    async for chunk in chunks:
                        yield chunk
        except HTTP_ERRORS as exc:
            raise call_failure(address, exc) from exc


@asynccontextmanager
async def _new_connection(
    address: str,
) -> AsyncIterator[httpcore.AsyncHTTPConnection]:
    """Return a connection for one call; it is closed at the end."""
    connection = httpcore.AsyncHTTPConnection(
        origin=httpcore.URL(f"http://{address}").origin,
        network_backend=CallBackend(),
        socket_options=socket_options(UNACKED_TIMEOUT_S),
    )
    try:
        yield connection
    finally:
        with anyio.CancelScope(shield=True):
            await connection.aclose()


async def _read_chunks(
    response: httpcore.Response, read_timeout_s: float
) -> AsyncIterator[Chunk]:
    """Yield one chunk for each read that completes one or more events.

    Raises httpcore's errors for an event that is too large, or that is not
    complete after `read_timeout_s`.
    """
    incomplete_event = b""
    progress_at = anyio.current_time()
    pacer = PartPacer(now=progress_at)
    async with aclosing(response.aiter_stream()) as stream:
        async for data in stream:
            *events, incomplete_event = (incomplete_event + data).split(
                EVENT_SEPARATOR
            )
            chunk = _merge_events(
                [
                    _decode_event(event[len(DATA_PREFIX) :])
                    for event in events
                    if event.startswith(DATA_PREFIX)
                    and not event.endswith(DONE_MARKER)
                ]
            )
            now = anyio.current_time()
            if chunk is not None:
                yield chunk
                progress_at = anyio.current_time()
            elif now - progress_at > read_timeout_s:
                raise httpcore.ReadTimeout("no whole event")
            if len(incomplete_event) > MAX_EVENT_BYTES:
                raise httpcore.RemoteProtocolError("event exceeds the limit")
            wait_s = pacer.wait_s(len(data), now)
            if wait_s is not None:
                await anyio.sleep(wait_s)


def _decode_event(data: bytes) -> Event:
    decoded = decode_json(data, EVENT_DECODER)
    if isinstance(decoded, Bad):
        raise httpcore.RemoteProtocolError(decoded.failure())
    return decoded.unwrap()


def _merge_events(events: list[Event]) -> Chunk | None:
    """Merge consecutive events, which one connection delivers in order."""
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
    return EndpointFailed(
        endpoint=address,
        reason=f"status {response.status}",
        sent=not states_not_run(response),
    )


def _timeouts(read_timeout_s: float) -> dict:
    return {
        "timeout": {
            "connect": CONNECT_TIMEOUT_S,
            "read": read_timeout_s,
            "write": read_timeout_s,
        }
    }
