"""One attempt of a call at one endpoint."""

from collections.abc import AsyncIterator

import anyio
import httpcore

from chervilshift.endpoints.connection import HTTP_ERRORS
from chervilshift.errors import EndpointFailed
from chervilshift.gateway.connections import Connection, Connections
from chervilshift.gateway.dialect import Dialect, Headers, ReplyHead

__all__ = ["Patience", "Reply", "Upstream"]

NOT_RUN_STATUSES = (503, 429, 421, 400)
# Longer than any reply of a plain service.
MAX_BODY_BYTES = 16 << 20


class Reply:
    """An endpoint's reply whose body is still to be read."""

    __slots__ = ("_response", "head", "headers", "status")

    def __init__(
        self,
        *,
        status: int,
        head: ReplyHead,
        headers: Headers,
        response: httpcore.Response,
    ):
        self.status = status
        self.head = head
        self.headers = headers
        self._response = response

    @property
    def ok(self) -> bool:
        """Whether the endpoint reports success."""
        return 200 <= self.status < 300

    def chunks(self) -> AsyncIterator[bytes]:
        """Return the body's chunks as they come."""
        return self._response.stream.__aiter__()

    async def aclose(self) -> None:
        """End the reply; a whole one leaves its connection idle."""
        await self._response.aclose()


class Patience:
    """How long an attempt may make no progress.

    `first_s` counts up to the reply's head, `next_s` between chunks, both
    in seconds; None waits as long as the request lasts.
    """

    __slots__ = ("first_s", "next_s")

    def __init__(
        self, *, first_s: float | None = None, next_s: float | None = None
    ):
        self.first_s = first_s
        self.next_s = next_s


class Upstream:
    """A connection in use by one attempt; use as a context manager.

    Raises EndpointFailed; `sent` is false only where no byte of the request
    was sent or the endpoint stated that it did not run the request.
    """

    __slots__ = ("_conn", "_conns", "_dialect", "_endpoint", "_reply")

    def __init__(
        self,
        *,
        endpoint_id: str,
        conn: Connection,
        conns: Connections,
        dialect: Dialect,
    ):
        self._endpoint = endpoint_id
        self._conn = conn
        self._conns = conns
        self._dialect = dialect
        self._reply: Reply | None = None

    @classmethod
    async def connect(
        cls,
        endpoint_id: str,
        address: str,
        conns: Connections,
        dialect: Dialect,
    ) -> "Upstream":
        """Return an attempt's connection."""
        try:
            conn = await conns.acquire(endpoint_id, address)
        except HTTP_ERRORS as exc:
            raise EndpointFailed(
                endpoint=endpoint_id, reason=_text(exc), sent=False
            ) from exc
        return cls(
            endpoint_id=endpoint_id, conn=conn, conns=conns, dialect=dialect
        )

    async def __aenter__(self) -> "Upstream":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Keep the connection if its reply is whole, else close it."""
        with anyio.CancelScope(shield=True):
            reply = self._reply
            if reply is not None:
                await reply.aclose()
            whole = reply is not None and self._conn.http.is_idle()
            if whole and not reply.head.closes:
                await self._conns.release(self._conn, reply.head.idle_s)
            else:
                await self._conns.discard(self._conn)

    async def send(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        request_id: bytes,
        patience: Patience,
    ) -> Reply:
        """Send the request and return the reply's head."""
        origin = self._conn.origin
        timeouts = {"read": patience.first_s, "write": patience.first_s}
        request = httpcore.Request(
            method,
            httpcore.URL(
                scheme=origin.scheme,
                host=origin.host,
                port=origin.port,
                target=target,
            ),
            headers=[*headers, *_length(method, body)],
            content=body,
            extensions={"timeout": timeouts},
        )
        try:
            response = await self._conn.http.handle_async_request(request)
        except HTTP_ERRORS as exc:
            raise self._failed(_text(exc)) from exc
        # The body is read under this from its first chunk on.
        timeouts["read"] = patience.next_s
        head = self._dialect.reply_head(response.status, response.headers)
        self._reply = Reply(
            status=response.status,
            head=head,
            headers=response.headers,
            response=response,
        )
        await self._check(head, response.status, request_id)
        return self._reply

    async def read(self, reply: Reply) -> bytes:
        """Return the whole body."""
        chunks = []
        size_bytes = 0
        async for chunk in self.iterate(reply):
            size_bytes += len(chunk)
            if size_bytes > MAX_BODY_BYTES:
                raise self._failed("reply is too large")
            chunks.append(chunk)
        return b"".join(chunks)

    async def iterate(self, reply: Reply) -> AsyncIterator[bytes]:
        """Yield the body's chunks; ends only when the body is whole."""
        try:
            async for chunk in reply.chunks():
                yield chunk
        except HTTP_ERRORS as exc:
            raise self._failed(_text(exc)) from exc

    async def _check(
        self, head: ReplyHead, status: int, request_id: bytes
    ) -> None:
        if head.not_run and status in NOT_RUN_STATUSES:
            await self.read(self._reply)
            raise EndpointFailed(
                endpoint=self._endpoint,
                reason=f"not run, {status}",
                sent=False,
            )
        if head.request_id != request_id:
            self._reply = None
            raise self._failed("reply to another request")
        if head.encoded or not head.signed:
            self._reply = None
            raise self._failed(f"not the endpoint's own reply, {status}")

    def _failed(self, reason: str) -> EndpointFailed:
        return EndpointFailed(
            endpoint=self._endpoint, reason=reason, sent=True
        )


def _length(method: str, body: bytes) -> Headers:
    if not body and method in ("GET", "HEAD", "DELETE", "OPTIONS"):
        return []
    return [(b"content-length", str(len(body)).encode())]


def _text(exc: Exception) -> str:
    return f"{type(exc).__name__} {exc}".strip()
