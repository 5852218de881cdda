"""One attempt of a request at one endpoint."""

import asyncio
from collections.abc import AsyncIterator, Callable

import anyio
import h11
import httpcore

from chervilshift.bytebudget import HeldBytes
from chervilshift.core.pacing import PARTS_PER_TURN
from chervilshift.endpoints.connection import HTTP_ERRORS
from chervilshift.errors import EndpointFailed
from chervilshift.gateway.connections import (
    Connection,
    ConnectionPool,
    LateReply,
    request_key,
)
from chervilshift.gateway.protocol import HeaderCodec, Headers, ReplyHead
from chervilshift.untrusted import parse_count

__all__ = [
    "SMALL_BODY_BYTES",
    "ProgressTimeouts",
    "Reply",
    "Upstream",
]

# Only with these statuses is an endpoint's statement that it did not run the
# request accepted.
NOT_RUN_STATUSES = (503, 429, 421, 400)
# An attempt that may not be left yet is looked at again after this time.
RECHECK_S = 0.1
# Larger than any reply of a plain service.
MAX_REPLY_BODY_BYTES = 16 << 20
# Bodies up to this size do not wait for memory behind larger ones.
SMALL_BODY_BYTES = 64 << 10


class Reply:
    """An endpoint's reply whose body has not been read yet."""

    __slots__ = ("_conn", "_response", "head", "headers", "status")

    def __init__(
        self,
        *,
        status: int,
        head: ReplyHead,
        headers: Headers,
        response: httpcore.Response,
        conn: Connection,
    ):
        self.status = status
        self.head = head
        self.headers = headers
        self._response = response
        self._conn = conn

    @property
    def ok(self) -> bool:
        """Whether the endpoint reports success."""
        return 200 <= self.status < 300

    @property
    def framed(self) -> bool:
        """Whether the body's end is told apart from the connection's."""
        names = {name.lower() for name, _ in self.headers}
        return bool(names & {b"content-length", b"transfer-encoding"})

    @property
    def length_bytes(self) -> int | None:
        """The stated length of the body, None without one."""
        lengths = (
            parse_count(value)
            for name, value in self.headers
            if name.lower() == b"content-length"
        )
        return next(lengths, None)

    @property
    def waits_for_room(self) -> bool:
        """Whether the body is read only once there is room for all of it."""
        length_bytes = self.length_bytes
        return length_bytes is not None and length_bytes > SMALL_BODY_BYTES

    def read_parts(self) -> AsyncIterator[list[bytes]]:
        """Return the body's parts as they arrive, see `_read_parts`."""
        return _read_parts(self._conn)

    async def aclose(self) -> None:
        """Close the reply; a complete one leaves its connection idle."""
        await self._response.aclose()


def _always(silence_s: float) -> bool:
    return True


class ProgressTimeouts:
    """How long an attempt may make no progress, in seconds.

    `head_s` applies to sending the request and up to the reply's head,
    `first_chunk_s` to the first chunk of its body and `chunk_s` to each
    further one. None sets no bound but the request's deadline. After these
    times the attempt ends as soon as `may_leave`, which gets the time without
    progress, allows it.
    """

    __slots__ = ("chunk_s", "first_chunk_s", "head_s", "may_leave")

    def __init__(
        self,
        *,
        head_s: float | None = None,
        first_chunk_s: float | None = None,
        chunk_s: float | None = None,
        may_leave: Callable[[float], bool] = _always,
    ):
        self.head_s = head_s
        self.first_chunk_s = first_chunk_s
        self.chunk_s = chunk_s
        self.may_leave = may_leave


class _Wait:
    """Context manager that cancels its body after a time without progress.

    `expired` tells whether it did.
    """

    __slots__ = (
        "_limit_s",
        "_loop",
        "_may_leave",
        "_scope",
        "_started_at",
        "_timer",
        "expired",
    )

    def __init__(
        self, *, limit_s: float | None, may_leave: Callable[[float], bool]
    ):
        self._limit_s = limit_s
        self._may_leave = may_leave
        self._loop = asyncio.get_running_loop()
        self._scope = anyio.CancelScope()
        self._started_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self.expired = False

    def __enter__(self) -> "_Wait":
        self._scope.__enter__()
        if self._limit_s is not None:
            self._timer = self._loop.call_later(
                max(0.0, self._limit_s), self._check
            )
        return self

    def __exit__(self, *exc_info: object) -> bool | None:
        if self._timer is not None:
            self._timer.cancel()
        swallowed = self._scope.__exit__(*exc_info)
        self.expired = self._scope.cancelled_caught
        return swallowed

    def _check(self) -> None:
        if self._may_leave(self._loop.time() - self._started_at):
            self._scope.cancel()
        else:
            self._timer = self._loop.call_later(RECHECK_S, self._check)


class Upstream:
    """A connection in use by one attempt, as a context manager.

    Its methods raise EndpointFailed. The failure's `sent` is false only if no
    byte of the request was sent or the endpoint stated that it did not run
    the request.
    """

    __slots__ = (
        "_codec",
        "_conn",
        "_endpoint_id",
        "_has_own_reply",
        "_pacer",
        "_pool",
        "_progress",
        "_reply",
    )

    def __init__(
        self,
        *,
        endpoint_id: str,
        conn: Connection,
        pool: ConnectionPool,
        codec: HeaderCodec,
    ):
        self._endpoint_id = endpoint_id
        self._conn = conn
        self._pool = pool
        self._codec = codec
        self._pacer = pool.reply_parts.open_body(endpoint_id)
        self._progress = ProgressTimeouts()
        self._reply: Reply | None = None
        self._has_own_reply = True

    @property
    def head(self) -> ReplyHead | None:
        """The reply's head, None without one that is the endpoint's own."""
        return self._reply.head if self._reply else None

    @property
    def ok(self) -> bool:
        """Whether the reply's head reports success."""
        return self._reply is not None and self._reply.ok

    @property
    def bytes_came(self) -> bool:
        """Whether the endpoint sent any bytes after the request was sent."""
        return self._conn.head_bytes > 0

    @property
    def reply_begun(self) -> bool:
        """Whether bytes have come that are not of a reply to another request.

        They need not be those of a reply, or of a whole one.
        """
        return self._has_own_reply and self.bytes_came

    @property
    def connection(self) -> str:
        """The connection and which of its requests this is, for logs."""
        return f"{self._conn.number} request {len(self._conn.statuses)}"

    @classmethod
    async def connect(
        cls,
        endpoint_id: str,
        address: str,
        request_id: bytes,
        pool: ConnectionPool,
        codec: HeaderCodec,
    ) -> "Upstream":
        """Open or reuse a connection for an attempt of a request."""
        try:
            conn = await pool.acquire(endpoint_id, address, request_id)
        except HTTP_ERRORS as exc:
            raise EndpointFailed(
                endpoint=endpoint_id, reason=_describe(exc), sent=False
            ) from exc
        return cls(endpoint_id=endpoint_id, conn=conn, pool=pool, codec=codec)

    async def __aenter__(self) -> "Upstream":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Keep the connection if its reply is complete, else close it."""
        with anyio.CancelScope(shield=True):
            reply = self._reply
            if reply is not None:
                await reply.aclose()
            complete = reply is not None and self._conn.http.is_idle()
            if complete and not reply.head.closes_connection:
                await self._pool.release(self._conn, reply.head.idle_timeout_s)
            else:
                await self._pool.discard(self._conn)

    async def named_born_ms(self, timeout_s: float) -> int | None:
        """Return the incarnation that serves the connection.

        It is asked for once per connection; None if the endpoint names none.
        """
        conn = self._conn
        if conn.report_read:
            return conn.born_ms
        request = self._make_request(
            "GET", self._codec.report_target, [(b"host", conn.origin.host)]
        )
        conn.limit_head()
        chunks = []
        response = None
        try:
            with anyio.move_on_after(timeout_s):
                response = await conn.http.handle_async_request(request)
                async for parts in _read_parts(conn):
                    chunks += parts
                    await self._pace(parts)
                await response.aclose()
        except HTTP_ERRORS as exc:
            raise self.not_sent(f"no report, {_describe(exc)}") from exc
        if response is None or not conn.http.is_idle():
            raise self.not_sent("no whole report on an open connection")
        head = self._codec.reply_head(response.status, response.headers)
        if head.request_id:
            raise self.not_sent("reply to a request instead of a report")
        conn.lift_limit()
        conn.born_ms = self._codec.reported_born_ms(
            response.status, b"".join(chunks)
        )
        conn.report_read = True
        unread = conn.unread()
        if unread:
            self._pool.record_late_reply(conn.late_reply(unread))
            raise self.not_sent("second answer to the question for a report")
        return conn.born_ms

    async def send(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        request_id: bytes,
        progress: ProgressTimeouts,
    ) -> Reply:
        """Send the request; return its reply, whose body is not read yet."""
        self._progress = progress
        request = self._make_request(
            method, target, [*headers, *_length_header(method, body)], body
        )
        self._conn.limit_head()
        try:
            with self._wait(progress.head_s) as wait:
                response = await self._conn.http.handle_async_request(request)
        except HTTP_ERRORS as exc:
            raise self._broken(exc) from exc
        if wait.expired:
            raise self.failure(
                f"no whole reply head within {progress.head_s:.3f} s"
            )
        self._conn.lift_limit()
        head = self._codec.reply_head(response.status, response.headers)
        self._reply = Reply(
            status=response.status,
            head=head,
            headers=response.headers,
            response=response,
            conn=self._conn,
        )
        await self._check_head(head, response.status, request_id)
        return self._reply

    async def read(self, reply: Reply, held: HeldBytes) -> list[bytes]:
        """Return the chunks of the whole body, which are counted in `held`.

        Waits until the process has room for a large body whose length is
        known. Raises EndpointFailed if it is too large, or without room for
        it; nothing is held then.
        """
        try:
            return await self._read(reply, held)
        except BaseException:
            held.give_back()
            raise

    async def _read(self, reply: Reply, held: HeldBytes) -> list[bytes]:
        chunks = []
        size_bytes = 0
        waits = reply.waits_for_room
        if waits:
            self._check_size(reply.length_bytes)
            await held.reserve(reply.length_bytes)
        async for chunk in self.iterate(reply):
            size_bytes += len(chunk)
            self._check_size(size_bytes)
            if not waits and not held.take(len(chunk)):
                raise self.failure("replies together exceed the size limit")
            chunks.append(chunk)
        return chunks

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > MAX_REPLY_BODY_BYTES:
            raise self.failure("reply body exceeds the size limit")

    async def iterate(self, reply: Reply) -> AsyncIterator[bytes]:
        """Yield the body's chunks; returns only when the body is complete.

        Chunks that arrived together are joined.
        """
        reads = reply.read_parts()
        limit_s = self._progress.first_chunk_s
        while True:
            try:
                with self._wait(limit_s) as wait:
                    parts = await anext(reads, None)
            except HTTP_ERRORS as exc:
                raise self._broken(exc) from exc
            if wait.expired:
                raise self.failure(f"no data within {limit_s:.3f} s")
            if parts is None:
                return
            yield b"".join(parts)
            limit_s = self._progress.chunk_s
            await self._pace(parts)

    async def _pace(self, parts: list[bytes]) -> None:
        """Wait until the reply may go on after these parts."""
        now = asyncio.get_running_loop().time()
        wait_s = self._pacer.wait_s(parts, now)
        if wait_s is not None:
            with self._pacer.waiting():
                await anyio.sleep(wait_s)

    def _make_request(
        self, method: str, target: bytes, headers: Headers, body: bytes = b""
    ) -> httpcore.Request:
        origin = self._conn.origin
        return httpcore.Request(
            method,
            httpcore.URL(
                scheme=origin.scheme,
                host=origin.host,
                port=origin.port,
                target=target,
            ),
            headers=headers,
            content=body,
        )

    def _wait(self, limit_s: float | None) -> _Wait:
        return _Wait(limit_s=limit_s, may_leave=self._progress.may_leave)

    async def _check_head(
        self, head: ReplyHead, status: int, request_id: bytes
    ) -> None:
        """Raise EndpointFailed if the request did not run or got a bad reply.

        A bad reply, which is of another request or not the endpoint's own, is
        not read on; its connection is closed.
        """
        if status in NOT_RUN_STATUSES and self._conn.is_refusal(
            head, request_id
        ):
            self._conn.statuses[request_key(request_id)] = status
            held = HeldBytes(budget=self._pool.reply_memory)
            try:
                await self.read(self._reply, held)
            finally:
                held.give_back()
            raise EndpointFailed(
                endpoint=self._endpoint_id,
                reason=f"refused without running it, status {status}",
                sent=False,
            )
        if head.request_id != request_id:
            late = LateReply(
                conn=self._conn, status=status, headers=self._reply.headers
            )
            self._reply = None
            self._has_own_reply = False
            answers_report = not head.request_id and self._conn.report_read
            is_late = request_key(head.request_id) in self._conn.statuses
            if answers_report or is_late:
                self._pool.record_late_reply(late)
                raise self.failure("second answer to an earlier request")
            raise self.failure("reply carries another request id")
        self._conn.statuses[request_key(request_id)] = status
        if head.content_encoded or not head.signed:
            self._reply = None
            raise self.failure(
                f"reply is unsigned or re-encoded, status {status}"
            )

    def failure(self, reason: str, *, broken: bool = False) -> EndpointFailed:
        """Return the failure of an attempt that may have run.

        It is `broken` if the endpoint ended it, not a bound of the gateway.
        """
        return EndpointFailed(
            endpoint=self._endpoint_id,
            reason=reason,
            sent=True,
            broken=broken,
        )

    def not_sent(self, reason: str) -> EndpointFailed:
        """Return the failure of an attempt that was not sent."""
        return EndpointFailed(
            endpoint=self._endpoint_id, reason=reason, sent=False
        )

    def _broken(self, exc: Exception) -> EndpointFailed:
        broken = not isinstance(exc, httpcore.TimeoutException)
        return self.failure(_describe(exc), broken=broken)


async def _read_parts(conn: Connection) -> AsyncIterator[list[bytes]]:
    """Yield the parts of a body, in lists of those that arrived together.

    A list has at most PARTS_PER_TURN parts; without a wait between two lists
    no other task runs. Raises httpcore's errors.
    """
    parser = conn.http._h11_state
    while True:
        event = None
        failure = None
        parts = []
        try:
            while len(parts) < PARTS_PER_TURN:
                event = parser.next_event()
                if type(event) is not h11.Data:
                    break
                parts.append(bytes(event.data))
        except h11.RemoteProtocolError as exc:
            failure = exc
        if parts:
            yield parts
        if failure is not None:
            raise httpcore.RemoteProtocolError(str(failure)) from failure
        if event is h11.NEED_DATA:
            parser.receive_data(await conn.read())
        elif type(event) is not h11.Data:
            return


def _length_header(method: str, body: bytes) -> Headers:
    if not body and method in ("GET", "HEAD", "DELETE", "OPTIONS"):
        return []
    return [(b"content-length", str(len(body)).encode())]


def _describe(exc: Exception) -> str:
    return f"{type(exc).__name__} {exc}".strip()
