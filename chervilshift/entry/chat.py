"""Chat completions, streamed as server-sent events or returned whole."""

import hashlib
import json
import uuid
from collections.abc import AsyncIterator

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

from chervilshift.config import Config, Model
from chervilshift.entry.http import failure_body, json_response, read_json
from chervilshift.entry.session import Session, StreamRequest
from chervilshift.entry.sessions import Sessions
from chervilshift.errors import (
    BadRequest,
    Failure,
    KeyReused,
    NotFound,
    StreamLost,
    Superseded,
)

__all__ = ["ChatHandler"]

# Seeds derived from the body fit a signed 32-bit integer.
SEED_BITS = 31
REQUEST_ID_CHARS = 24
# Value of the `retry` field of the event stream for callers whose stream
# continues at another entry.
RECONNECT_DELAY_MS = 200
EVENT_STREAM_TYPE = "text/event-stream"


class ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str


class ChatRequest(msgspec.Struct):
    """The body of a chat completion request.

    `max_tokens` defaults to the limit of the model. Without a `seed`, one
    is derived from the body. `adapter` names an adapter of the model.
    """

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    seed: int | None = None
    stream: bool = False
    temperature: float | None = None
    adapter: str = ""


class ChatHandler:
    """Serves chat completions and resumed streams."""

    __slots__ = ("_sessions",)

    def __init__(self, *, sessions: Sessions):
        self._sessions = sessions

    async def complete(
        self, request: Request, customer: str, cfg: Config
    ) -> Response:
        """Start a completion; raises a Failure.

        A request with the idempotency key of an earlier one joins the
        stream of that one, also if it ran at another entry.
        """
        body = await read_json(request, cfg.limits, ChatRequest)
        stream_request = _stream_request(request, body, customer, cfg)
        session = self._sessions.find(stream_request.request_id)
        if session is None and request.headers.get("idempotency-key"):
            session = await self._sessions.take_over(
                stream_request.request_id, customer, cfg
            )
        if session is None:
            session = await self._sessions.start(stream_request, cfg)
        elif session.request.digest != stream_request.digest:
            raise KeyReused(key=request.headers.get("idempotency-key"))
        offset = _resume_offset(request, stream_request.request_id)
        return await self._respond(session, offset, stream=body.stream)

    async def resume(
        self, request: Request, request_id: str, customer: str, cfg: Config
    ) -> Response:
        """Continue a stream after Last-Event-ID; raises a Failure."""
        session = self._sessions.find(request_id)
        if session is None:
            session = await self._sessions.take_over(request_id, customer, cfg)
        if session is None or session.request.customer != customer:
            raise NotFound(kind="stream", name=request_id)
        offset = _resume_offset(request, request_id)
        if offset > len(session.buffer.tokens):
            raise BadRequest(
                reason="Last-Event-ID is past the last token of the stream"
            )
        return await self._respond(session, offset, stream=True)

    async def _respond(
        self, session: Session, offset: int, *, stream: bool
    ) -> Response:
        if not stream:
            return await self._full_response(session)
        session.join()
        events = _sse_events(session, offset)
        try:
            first = await anext(events)
        except BaseException:
            session.leave()
            raise
        return StreamingResponse(
            _stream_body(first, events, session),
            media_type=EVENT_STREAM_TYPE,
            headers={
                "cache-control": "no-store",
                "x-request-id": session.request.request_id,
            },
        )

    async def _full_response(self, session: Session) -> Response:
        session.join()
        try:
            while not session.complete and not session.ended:
                await session.changed.wait()
        finally:
            session.leave()
        if not session.complete:
            raise _session_failure(session)
        text = "".join(session.buffer.tokens)
        message = {"role": "assistant", "content": text}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": session.buffer.finish_reason,
        }
        return json_response(
            {
                "id": session.request.request_id,
                "object": "chat.completion",
                "model": session.request.model,
                "choices": [choice],
                "usage": {"completion_tokens": len(session.buffer.tokens)},
            }
        )


def _stream_request(
    request: Request, body: ChatRequest, customer: str, cfg: Config
) -> StreamRequest:
    """Check the request against the configuration; raises a Failure."""
    allowed_models = cfg.customers[customer].models
    model = cfg.models.get(body.model)
    if model is None or body.model not in allowed_models:
        raise NotFound(kind="model", name=body.model)
    if body.adapter and body.adapter not in model.adapters:
        raise NotFound(kind="adapter", name=body.adapter)
    if not body.messages:
        raise BadRequest(reason="messages must not be empty")
    max_tokens = _max_tokens(body, model)
    prompt = "\n".join(f"{m.role}: {m.content}" for m in body.messages)
    request_id = _request_id(request, customer)
    digest = hashlib.sha256(msgspec.json.encode(body)).hexdigest()
    seed = body.seed
    if seed is None:
        seed = int(digest[:8], 16) % (1 << SEED_BITS)
    return StreamRequest(
        request_id=request_id,
        customer=customer,
        model=body.model,
        prompt=prompt,
        max_tokens=max_tokens,
        seed=seed,
        stream=body.stream,
        temperature=body.temperature,
        adapter=body.adapter,
        digest=digest,
    )


def _max_tokens(body: ChatRequest, model: Model) -> int:
    max_tokens = body.max_tokens or model.max_output_tokens
    if not 1 <= max_tokens <= model.max_output_tokens:
        raise BadRequest(
            reason=f"max_tokens must be 1 to {model.max_output_tokens}"
        )
    return max_tokens


def _request_id(request: Request, customer: str) -> str:
    """Return a request id of `REQUEST_ID_CHARS` hex digits.

    It is derived from the idempotency key, so that a repeated request finds
    the stream of the first one. Without a key it is random.
    """
    key = request.headers.get("idempotency-key")
    if not key:
        return uuid.uuid4().hex[:REQUEST_ID_CHARS]
    id_source = f"{customer}\n{key}".encode()
    return hashlib.sha256(id_source).hexdigest()[:REQUEST_ID_CHARS]


def _resume_offset(request: Request, request_id: str) -> int:
    """Return the token offset in Last-Event-ID, or zero without one.

    Raises BadRequest if the header is malformed or names another stream.
    """
    value = request.headers.get("last-event-id", "")
    if not value:
        return 0
    name, _, offset = value.rpartition(":")
    if name != request_id or not offset.isdecimal():
        raise BadRequest(
            reason="Last-Event-ID is malformed or names another stream"
        )
    return int(offset)


def _session_failure(session: Session) -> Failure:
    return session.failure or StreamLost(
        request_id=session.request.request_id,
        reason="the session ended before the answer was complete",
    )


async def _sse_events(session: Session, offset: int) -> AsyncIterator[bytes]:
    """Yield the events of the stream from token `offset` on.

    A failure is raised if no event was sent and `offset` is zero, so that
    it becomes an error response. Otherwise it is sent as an error event,
    without the final marker.
    """
    request_id = session.request.request_id
    chunk_head = json.dumps(
        {
            "id": request_id,
            "object": "chat.completion.chunk",
            "model": session.request.model,
        }
    )[:-1]
    any_event_sent = False
    while True:
        deliverable_tokens = session.deliverable_tokens
        if deliverable_tokens > offset:
            text = "".join(session.buffer.tokens[offset:deliverable_tokens])
            offset = deliverable_tokens
            yield _chunk_event(request_id, offset, chunk_head, text, None)
            any_event_sent = True
        elif session.complete:
            reason = session.buffer.finish_reason or "stop"
            yield _chunk_event(request_id, offset, chunk_head, "", reason)
            yield b"data: [DONE]\n\n"
            return
        elif session.ended or session.failure is not None:
            failure = _session_failure(session)
            if not any_event_sent and not offset:
                raise failure
            yield _failure_event(failure)
            return
        else:
            await session.changed.wait()


def _chunk_event(
    request_id: str,
    offset: int,
    chunk_head: str,
    text: str,
    finish_reason: str | None,
) -> bytes:
    delta = {"content": text} if text else {}
    choices = [{"index": 0, "delta": delta, "finish_reason": finish_reason}]
    choices_json = msgspec.json.encode(choices).decode()
    return (
        f"id: {request_id}:{offset}\n"
        f'data: {chunk_head}, "choices": {choices_json}}}\n\n'
    ).encode()


def _failure_event(failure: Failure) -> bytes:
    """Return an error event, or a request to reconnect.

    The latter is for a stream that was stopped here because another entry
    has taken it over or is to continue it.
    """
    if isinstance(failure, Superseded):
        return f"retry: {RECONNECT_DELAY_MS}\n: moved\n\n".encode()
    body = msgspec.json.encode(failure_body(failure)).decode()
    return f"event: error\ndata: {body}\n\n".encode()


async def _stream_body(
    first: bytes, rest: AsyncIterator[bytes], session: Session
) -> AsyncIterator[bytes]:
    """Yield all events, then remove the reader from the session."""
    try:
        yield first
        async for event in rest:
            yield event
    finally:
        session.leave()
