"""Decodes and encodes the platform's request and reply headers."""

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
from chervilshift.httpserver import raw_target
from chervilshift.platform.announcements import decode_report
from chervilshift.untrusted import parse_count, parse_integer, parse_number

__all__ = ["PlatformHeaderCodec"]

# Names of headers.
REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
CUSTOMER_KEY = b"key"
TOKEN_COUNT = b"token-count"
PROMPT_PREFIX = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# Id of the request that brought the first event of a stream that is taken up.
RESUMES = b"resumes"
# Set by an endpoint that refused the request without running it.
NOT_RUN = b"not-run"
# Proves that a reply is an endpoint's own; it is forwarded unchanged.
SERVER_STAMP = b"server-stamp"
# Requests per second that an endpoint takes from all gateways together.
SERVER_LIMIT = b"server-limit"
# Set by an endpoint that takes no further requests.
SERVER_LEAVING = b"server-leaving"
# Seconds for which an endpoint that refuses with this status takes no requests
# from the gateway.
RETRY_AFTER = b"retry-after"
UNAVAILABLE_STATUS = 503
# An endpoint refuses with it, without running it, a request that was meant for
# another one.
MISDIRECTED_STATUS = 421

# These concern one connection only and are never forwarded.
CONNECTION_HEADERS = frozenset(
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
# Only the gateway may set these in requests to endpoints.
RESERVED_HEADERS = frozenset(
    (
        DEADLINE_MS,
        CUSTOMER_KEY,
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
DROPPED_REQUEST_HEADERS = CONNECTION_HEADERS | RESERVED_HEADERS
DROPPED_RESPONSE_HEADERS = CONNECTION_HEADERS | {NOT_RUN}


class PlatformHeaderCodec:
    """Decodes and encodes the platform's headers."""

    __slots__ = ()

    report_target = b"/api/report"

    def decode(self, scope: dict) -> Result[ClientRequest, Failure]:
        """Decode a request's head.

        Fails with BadRequest if values are missing or ambiguous.
        """
        headers: Headers = scope["headers"]
        fault = _framing_fault(headers)
        if fault:
            return Bad(BadRequest(reason=fault))
        fields = dict(headers)
        request_id = fields.get(REQUEST_ID, b"")
        host = fields.get(b"host", b"").decode("latin-1")
        if not request_id or not host:
            return Bad(
                BadRequest(reason="the request id or the host is missing")
            )
        prompt_tokens, output_tokens = _parse_token_count(
            fields.get(TOKEN_COUNT, b"")
        )
        last_event_id = parse_integer(fields.get(LAST_EVENT_ID, b"").strip())
        if last_event_id is None and fields.get(LAST_EVENT_ID):
            # Taken for the beginning, events would come twice.
            return Bad(BadRequest(reason="the last event id is no number"))
        deadline_ms = parse_number(fields.get(DEADLINE_MS, b""))
        request = ClientRequest(
            id=request_id,
            method=scope["method"],
            host=host.rpartition(":")[0] if ":" in host else host,
            path=scope["raw_path"].decode("latin-1"),
            target=raw_target(scope),
            headers=[
                (k, v) for k, v in headers if k not in DROPPED_REQUEST_HEADERS
            ],
            customer_key=fields.get(CUSTOMER_KEY, b"").decode("latin-1"),
            client_timeout_s=None
            if deadline_ms is None
            else deadline_ms / 1000,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prompt_parts=_parse_prompt_parts(fields.get(PROMPT_PREFIX, b"")),
            last_event_id=last_event_id,
            resumed_id=fields.get(RESUMES, b""),
        )
        return Success(request)

    def request_id(self, scope: dict) -> str:
        """Return the request id, or an empty text without one."""
        ids = (v for k, v in scope["headers"] if k == REQUEST_ID)
        return next(ids, b"").decode("latin-1")

    def attempt_headers(
        self, request: ClientRequest, attempt: Attempt
    ) -> Headers:
        """Return the request's headers with those that the gateway sets."""
        gateway_headers = [
            (
                DEADLINE_MS,
                str(max(1, int(attempt.remaining_s * 1000))).encode(),
            ),
            (b"expect-instance", attempt.endpoint_id.encode()),
            (b"request-priority", str(attempt.priority).encode()),
        ]
        if attempt.customer:
            gateway_headers.append((b"tenant", attempt.customer.encode()))
        if attempt.last_event_id is not None:
            gateway_headers.append(
                (LAST_EVENT_ID, str(attempt.last_event_id).encode())
            )
        return list(chain(request.headers, gateway_headers))

    def reply_head(self, status: int, headers: Headers) -> ReplyHead:
        """Decode the head of an endpoint's reply."""
        fields = {name.lower(): value for name, value in headers}
        connection = fields.get(b"connection", b"").lower()
        ids = dict.fromkeys(v for k, v in headers if k.lower() == REQUEST_ID)
        return ReplyHead(
            # Several different ids are that of no request.
            request_id=b", ".join(ids),
            not_run=NOT_RUN in fields or status == MISDIRECTED_STATUS,
            signed=SERVER_STAMP in fields,
            content_encoded=b"content-encoding" in fields,
            closes_connection=b"close" in connection,
            idle_timeout_s=_parse_keep_alive_s(fields.get(b"keep-alive", b"")),
            limit_per_s=parse_number(fields.get(SERVER_LIMIT, b"")),
            leaving=fields.get(SERVER_LEAVING, b"").strip() == b"1",
            retry_after_s=parse_number(fields.get(RETRY_AFTER, b""))
            if status == UNAVAILABLE_STATUS
            else None,
        )

    def reported_born_ms(self, status: int, body: bytes) -> int | None:
        """Return the incarnation that a report names, None if it is none."""
        return decode_report(body) if status == 200 else None

    def response_headers(self, headers: Headers) -> Headers:
        """Return a reply's headers without those of its connection.

        The content length, which is set where a complete reply is sent, and
        the statement that a request did not run are dropped too.
        """
        return [
            (name.lower(), value)
            for name, value in headers
            if name.lower() not in DROPPED_RESPONSE_HEADERS
        ]


def _framing_fault(headers: Headers) -> str:
    """Return what makes the body's end or the target ambiguous, or ""."""
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return "both a content length and a transfer encoding"
    single_headers = (
        b"host",
        b"content-length",
        REQUEST_ID,
        CUSTOMER_KEY,
        b"transfer-encoding",
    )
    repeated = next(
        (name for name in single_headers if names.count(name) > 1), None
    )
    return f"more than one {repeated.decode()} header" if repeated else ""


def _parse_token_count(value: bytes) -> tuple[int | None, int | None]:
    """Return the prompt tokens and the most output tokens, if stated."""
    prompt_tokens, _, output_tokens = value.partition(b",")
    return parse_count(prompt_tokens.strip()), parse_count(
        output_tokens.strip()
    )


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    entries = (entry.strip().rpartition(b":") for entry in value.split(b","))
    return tuple(
        PromptPart(id=name.decode("latin-1"), tokens=count)
        for name, _, tokens in entries
        if name and (count := parse_count(tokens)) is not None
    )


def _parse_keep_alive_s(value: bytes) -> float | None:
    """Return the idle timeout, the seconds of `timeout=N`."""
    pairs = (item.strip().partition(b"=") for item in value.split(b","))
    timeouts = (v for k, _, v in pairs if k.lower() == b"timeout")
    return parse_number(next(timeouts, b""))
