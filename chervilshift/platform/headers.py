"""The platform's request and reply headers, decoded once."""

from itertools import chain

from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.errors import BadRequest, Failure
from chervilshift.gateway.protocol import (
    Attempt,
    ClientRequest,
    Headers,
    PromptPart,
    ReplyHead,
)

__all__ = ["PlatformHeaderCodec"]

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
KEY = b"key"
TOKEN_COUNT = b"token-count"
PROMPT_PREFIX = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# True of an endpoint that rejected the request without running it.
NOT_RUN = b"not-run"
# Proof that a reply is an endpoint's own; it is passed on unchanged.
SERVER_STAMP = b"server-stamp"
MISDIRECTED = 421

CONNECTION_ONLY = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Only the system may set these towards an endpoint.
RESERVED = frozenset(
    (
        DEADLINE_MS,
        KEY,
        LAST_EVENT_ID,
        NOT_RUN,
        b"expect-instance",
        b"expect-version",
        b"hold",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"pin-ms",
        b"request-priority",
        b"tenant",
    )
)
DROPPED = CONNECTION_ONLY | RESERVED


class PlatformHeaderCodec:
    """Decodes and encodes the platform's headers."""

    __slots__ = ()

    def decode(self, scope: dict) -> Result[ClientRequest, Failure]:
        """Decode a request's head; fails on ambiguous or missing values."""
        headers: Headers = scope["headers"]
        fault = _framing_fault(headers)
        if fault:
            return Bad(BadRequest(reason=fault))
        fields = dict(headers)
        request_id = fields.get(REQUEST_ID, b"")
        host = fields.get(b"host", b"").decode("latin-1")
        if not request_id or not host:
            return Bad(BadRequest(reason="no request id or no host"))
        query = scope["query_string"]
        target = scope["raw_path"] + (b"?" + query if query else b"")
        tokens_in, tokens_out = _token_count(fields.get(TOKEN_COUNT, b""))
        deadline_ms = _number(fields.get(DEADLINE_MS, b""))
        request = ClientRequest(
            id=request_id,
            method=scope["method"],
            host=host.rpartition(":")[0] if ":" in host else host,
            path=scope["raw_path"].decode("latin-1"),
            target=target,
            headers=[(k, v) for k, v in headers if k not in DROPPED],
            customer_key=fields.get(KEY, b"").decode("latin-1"),
            client_timeout_s=None
            if deadline_ms is None
            else deadline_ms / 1000,
            prompt_tokens=tokens_in,
            output_tokens=tokens_out,
            prompt_parts=_parts(fields.get(PROMPT_PREFIX, b"")),
            last_event_id=_integer(fields.get(LAST_EVENT_ID, b"")),
        )
        return Success(request)

    def request_id(self, scope: dict) -> str:
        """Return a request's identity, or an empty text."""
        named = (v for k, v in scope["headers"] if k == REQUEST_ID)
        return next(named, b"").decode("latin-1")

    def attempt_headers(
        self, request: ClientRequest, attempt: Attempt
    ) -> Headers:
        """Return the call's headers with what the system sets itself."""
        own = [
            (
                DEADLINE_MS,
                str(max(1, int(attempt.remaining_s * 1000))).encode(),
            ),
            (b"expect-instance", attempt.endpoint_id.encode()),
            (b"request-priority", str(attempt.priority).encode()),
        ]
        if attempt.customer:
            own.append((b"tenant", attempt.customer.encode()))
        if attempt.last_event_id is not None:
            own.append((LAST_EVENT_ID, str(attempt.last_event_id).encode()))
        return list(chain(request.headers, own))

    def reply_head(self, status: int, headers: Headers) -> ReplyHead:
        """Decode an endpoint's reply head."""
        fields = {name.lower(): value for name, value in headers}
        connection = fields.get(b"connection", b"").lower()
        return ReplyHead(
            request_id=fields.get(REQUEST_ID, b""),
            not_run=NOT_RUN in fields or status == MISDIRECTED,
            signed=SERVER_STAMP in fields,
            content_encoded=b"content-encoding" in fields,
            closes_connection=b"close" in connection,
            idle_timeout_s=_keep_alive(fields.get(b"keep-alive", b"")),
        )

    def response_headers(self, headers: Headers) -> Headers:
        """Return an endpoint's headers without those of its connection.

        The length is among these: streams are sent in chunks, and a whole
        reply gets its length where it is sent.
        """
        return [
            (name.lower(), value)
            for name, value in headers
            if name.lower() not in CONNECTION_ONLY
        ]


def _framing_fault(headers: Headers) -> str:
    """Name what makes the end of the body or the target ambiguous."""
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return "both a length and a transfer encoding"
    once = (b"host", b"content-length", REQUEST_ID, KEY, b"transfer-encoding")
    doubled = next((name for name in once if names.count(name) > 1), None)
    return f"doubled {doubled.decode()}" if doubled else ""


def _number(value: bytes) -> float | None:
    try:
        return float(value)
    except ValueError:
        return None


def _integer(value: bytes) -> int | None:
    return int(value) if value.isdigit() else None


def _token_count(value: bytes) -> tuple[int | None, int | None]:
    """Return prompt tokens and the most output tokens."""
    tokens_in, _, tokens_out = value.partition(b",")
    return _integer(tokens_in.strip()), _integer(tokens_out.strip())


def _parts(value: bytes) -> tuple[PromptPart, ...]:
    entries = (entry.strip().rpartition(b":") for entry in value.split(b","))
    return tuple(
        PromptPart(id=name.decode("latin-1"), tokens=int(tokens))
        for name, _, tokens in entries
        if name and tokens.isdigit()
    )


def _keep_alive(value: bytes) -> float | None:
    """Return the seconds of `timeout=N`."""
    pairs = (item.strip().partition(b"=") for item in value.split(b","))
    found = (v for k, _, v in pairs if k.lower() == b"timeout")
    return _number(next(found, b""))
