"""Connections to endpoints, pooled for reuse.

An endpoint may answer a request twice, the second time late. The id of a late
answer tells only which request it belongs to, not which of its runs. So a
connection carries each id once, and those of an endpoint that has answered
twice are not reused for a while.
"""

import itertools
import re
import socket
from collections import defaultdict
from collections.abc import Callable
from hashlib import blake2b

import h11
import httpcore

from chervilshift.addresses import split_address
from chervilshift.bytebudget import ByteBudget
from chervilshift.clock import Clock
from chervilshift.core.pacing import PartBudget
from chervilshift.descriptors import max_descriptors
from chervilshift.gateway.protocol import Headers, ReplyHead
from chervilshift.outgoing import (
    MAX_READ_BYTES,
    CallBackend,
    CallStream,
    socket_options,
)

__all__ = ["Connection", "ConnectionPool", "LateReply", "request_key"]

CONNECT_TIMEOUT_S = 1.0
# A refusal takes a round trip, also between regions.
REFUSAL_TIMEOUT_S = 0.3
# A connection whose peer leaves sent data unacknowledged for this long is
# closed by the kernel: the peer is unreachable.
UNACKED_TIMEOUT_S = 2.0
KEEPALIVE_PROBE_INTERVAL_S = 1
# The kernel closes a connection after this many unanswered probes.
MAX_UNANSWERED_PROBES = 2
# Idle connections are closed this long before the endpoint would close them,
# so that no request is sent on a connection that is being closed.
IDLE_CLOSE_MARGIN_S = 0.7
# For endpoints that do not state their idle timeout.
DEFAULT_IDLE_TIMEOUT_S = 10.0
# A connection remembers the ids that it carried; with more it is not reused.
MAX_REQUESTS_PER_CONNECTION = 256
# Clients choose the length of an id, up to that of a head.
REQUEST_KEY_BYTES = 16
MAX_LOGGED_ID_BYTES = 64
# Idle connections to all endpoints have this part of the descriptors. A client
# that repeats a request id needs a new connection for each request.
IDLE_PART = 4
MIN_IDLE_PER_ENDPOINT = 8
# A server may say with it that it closes an idle connection.
IDLE_TIMEOUT_STATUS = 408
# How long connections of an endpoint that answered twice are not reused.
SECOND_ANSWER_TTL_S = 30.0
# Larger than any reply head with its interim replies.
MAX_HEAD_BYTES = 128 << 10
HEAD_SLICE_BYTES = 1024
MAX_INTERIM_REPLIES = 32
# A part of the memory of the smallest gateway host.
MAX_REPLY_MEMORY_BYTES = 48 << 20

SOCKET_OPTIONS = [
    *socket_options(UNACKED_TIMEOUT_S),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
]


ANY_REQUEST = h11.Request(method="GET", target="/", headers=[("Host", "h")])
# The beginning of an interim reply; the parser accepts any number of them.
INTERIM_REPLY = re.compile(rb"HTTP/1\.[01] 1")


class _EndpointStream(CallStream):
    """A network stream that ends a reply head without end.

    Readers of bodies let other tasks run between the parts of a slice.
    """

    max_slice_bytes = 16 << 10

    def __init__(self, *, stream: httpcore.AsyncNetworkStream):
        super().__init__(stream=stream)
        self._interim_replies = 0
        self.head_bytes = 0

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read; raises ReadError once a limit is exceeded."""
        if self.remaining_bytes is None:
            return await super().read(max_bytes, timeout)
        data = await super().read(HEAD_SLICE_BYTES, timeout)
        self.head_bytes += len(data)
        self._interim_replies += len(INTERIM_REPLY.findall(data))
        if self._interim_replies > MAX_INTERIM_REPLIES:
            raise httpcore.ReadError("too many interim replies")
        return data

    def limit_head(self) -> None:
        """Limit what is read until `lift_limit`."""
        self.remaining_bytes = MAX_HEAD_BYTES
        self._interim_replies = 0
        self.head_bytes = 0

    def lift_limit(self) -> None:
        """Read a body, which has limits of its own."""
        self.remaining_bytes = None


class LateReply:
    """A reply that came after another one to the same request.

    `conn` is the connection on which it came. `status` is None and `headers`
    are empty if what came is not the head of a reply.
    """

    __slots__ = ("conn", "headers", "status")

    def __init__(
        self,
        *,
        conn: "Connection",
        status: int | None = None,
        headers: Headers = (),
    ):
        self.conn = conn
        self.status = status
        self.headers = headers


class Connection:
    """One connection to an endpoint.

    `number` tells the connections of a process apart, for logs. `reused` is
    true from its second request on. `expires_at` is the monotonic time after
    which an idle connection is no longer used. `statuses` has the status of
    the first reply to each request that it carried, by the request's key; None
    without a reply. `last_id` is the beginning of the id of the last one, for
    logs. `report_read` is true once the endpoint was asked for its incarnation
    on it, and `born_ms` is the one that it named, None without any.
    """

    __slots__ = (
        "born_ms",
        "endpoint_id",
        "expires_at",
        "_stream",
        "http",
        "idle_timeout_s",
        "last_id",
        "number",
        "origin",
        "report_read",
        "reused",
        "statuses",
    )

    def __init__(
        self,
        *,
        endpoint_id: str,
        number: int,
        origin: httpcore.Origin,
        stream: _EndpointStream,
    ):
        self.endpoint_id = endpoint_id
        self.number = number
        self.origin = origin
        self._stream = stream
        self.http = httpcore.AsyncHTTP11Connection(
            origin=origin, stream=self._stream
        )
        self.reused = False
        self.statuses: dict[bytes, int | None] = {}
        self.last_id = b""
        self.report_read = False
        self.born_ms: int | None = None
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.expires_at = float("inf")

    def begin_request(self, key: bytes, request_id: bytes) -> None:
        """Record that the connection will carry a request."""
        self.statuses[key] = None
        self.last_id = request_id[:MAX_LOGGED_ID_BYTES]

    def is_refusal(self, head: ReplyHead, request_id: bytes) -> bool:
        """Return whether a reply states that this request did not run.

        A faulty endpoint may send an earlier refusal again. A refusal
        therefore has to carry the request's id; without any id it has to be
        the first reply, also to questions of the gateway itself.
        """
        if not head.not_run:
            return False
        if not head.request_id:
            return not self.reused and not self.report_read
        return head.request_id == request_id

    def unread(self) -> bytes | None:
        """Return the beginning of what follows the last whole reply.

        Empty if the connection has ended, None if nothing has arrived.
        """
        trailing_data, _ = self.http._h11_state.trailing_data
        if not trailing_data:
            return self._stream.peek()
        return trailing_data + (self._stream.peek() or b"")

    def late_reply(self, data: bytes) -> LateReply:
        """Return the reply that begins with what is unread."""
        parser = h11.Connection(our_role=h11.CLIENT)
        # Interim replies are accepted only after a request.
        parser.send(ANY_REQUEST)
        parser.receive_data(data)
        try:
            event = parser.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = parser.next_event()
        except h11.RemoteProtocolError:
            return LateReply(conn=self)
        if not isinstance(event, h11.Response):
            return LateReply(conn=self)
        return LateReply(
            conn=self,
            status=event.status_code,
            headers=event.headers.raw_items(),
        )

    @property
    def head_bytes(self) -> int:
        """How much was read of the latest reply's head."""
        return self._stream.head_bytes

    async def read(self) -> bytes:
        """Read a part of what has arrived; raises httpcore's errors."""
        return await self._stream.read(MAX_READ_BYTES)

    def limit_head(self) -> None:
        """Limit what is read until `lift_limit`."""
        self._stream.limit_head()

    def lift_limit(self) -> None:
        """Read a body, which has limits of its own."""
        self._stream.lift_limit()


def request_key(request_id: bytes) -> bytes:
    """Return a digest that stands for an id of any length."""
    return blake2b(request_id, digest_size=REQUEST_KEY_BYTES).digest()


def _ignore(late: LateReply) -> None:
    pass


def _origin_of(address: str) -> httpcore.Origin:
    host, port = split_address(address)
    return httpcore.Origin(b"http", host.encode(), port)


def _max_idle(*, endpoints: int) -> int:
    """Return how many idle connections to one endpoint are kept."""
    files = max_descriptors()
    return max(MIN_IDLE_PER_ENDPOINT, files // IDLE_PART // max(1, endpoints))


class ConnectionPool:
    """Opens connections and keeps idle ones; the newest is reused first.

    `on_late_reply` gets each reply by which an endpoint is found to have
    answered a request twice.
    """

    __slots__ = (
        "_answered_twice_at",
        "_backend",
        "_clock",
        "_idle",
        "_max_idle",
        "_numbers",
        "_on_late_reply",
        "_open_counts",
        "reply_memory",
        "reply_parts",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        on_late_reply: Callable[[LateReply], None] = _ignore,
    ):
        self._clock = clock
        self._on_late_reply = on_late_reply
        self._numbers = itertools.count(1)
        self._answered_twice_at: dict[str, float] = {}
        self.reply_memory = ByteBudget(limit_bytes=MAX_REPLY_MEMORY_BYTES)
        self.reply_parts = PartBudget()
        self._backend = CallBackend(stream_type=_EndpointStream)
        self._idle: defaultdict[str, list[Connection]] = defaultdict(list)
        self._open_counts: defaultdict[str, int] = defaultdict(int)
        self._max_idle = _max_idle(endpoints=1)

    def open_count(self, endpoint_id: str) -> int:
        """Return the number of open connections to an endpoint."""
        return self._open_counts[endpoint_id]

    async def acquire(
        self, endpoint_id: str, address: str, request_id: bytes
    ) -> Connection:
        """Return an idle connection that has not carried the id, or a new one.

        Raises httpcore's connect errors; in that case nothing was sent.
        """
        origin = _origin_of(address)
        key = request_key(request_id)
        while conn := self._take_idle(endpoint_id, key):
            # An endpoint may start again under its id at another address.
            if conn.origin == origin and self._is_reusable(conn):
                conn.reused = True
                break
            await self.discard(conn)
        else:
            conn = await self._connect(endpoint_id, origin, CONNECT_TIMEOUT_S)
        conn.begin_request(key, request_id)
        return conn

    def _take_idle(self, endpoint_id: str, key: bytes) -> Connection | None:
        idle = self._idle[endpoint_id]
        for conn in reversed(idle):
            if key not in conn.statuses:
                idle.remove(conn)
                return conn
        return None

    def _is_reusable(self, conn: Connection) -> bool:
        """Return whether another request may be sent on an idle connection."""
        unread = conn.unread()
        if unread:
            late = conn.late_reply(unread)
            if late.status != IDLE_TIMEOUT_STATUS:
                self.record_late_reply(late)
        return (
            unread is None
            and conn.http.is_idle()
            and self._clock.monotonic() < conn.expires_at
            and len(conn.statuses) < MAX_REQUESTS_PER_CONNECTION
            and not self._answers_twice(conn.endpoint_id)
        )

    def record_late_reply(self, late: LateReply) -> None:
        """Record that an endpoint answered a request twice."""
        endpoint_id = late.conn.endpoint_id
        self._answered_twice_at[endpoint_id] = self._clock.monotonic()
        self._on_late_reply(late)

    def _answers_twice(self, endpoint_id: str) -> bool:
        at = self._answered_twice_at.get(endpoint_id, float("-inf"))
        return self._clock.monotonic() - at < SECOND_ANSWER_TTL_S

    async def is_refused(self, endpoint_id: str, address: str) -> bool:
        """Return whether nothing listens at an endpoint's address."""
        try:
            conn = await self._connect(
                endpoint_id, _origin_of(address), REFUSAL_TIMEOUT_S
            )
        except httpcore.ConnectTimeout:
            return False
        except (httpcore.ConnectError, OSError):
            return True
        await self.discard(conn)
        return False

    async def _connect(
        self, endpoint_id: str, origin: httpcore.Origin, timeout_s: float
    ) -> Connection:
        self._open_counts[endpoint_id] += 1
        try:
            stream = await self._backend.connect_tcp(
                origin.host.decode(),
                origin.port,
                timeout=timeout_s,
                socket_options=SOCKET_OPTIONS,
            )
        except BaseException:
            self._open_counts[endpoint_id] -= 1
            raise
        return Connection(
            endpoint_id=endpoint_id,
            number=next(self._numbers),
            origin=origin,
            stream=stream,
        )

    async def release(
        self, conn: Connection, idle_timeout_s: float | None
    ) -> None:
        """Keep a connection whose reply is complete for reuse.

        `idle_timeout_s` is the endpoint's idle timeout; with None, the
        connection's last known one applies.
        """
        if idle_timeout_s is not None:
            conn.idle_timeout_s = idle_timeout_s
        keep_s = conn.idle_timeout_s - IDLE_CLOSE_MARGIN_S
        conn.expires_at = self._clock.monotonic() + keep_s
        if self._is_reusable(conn):
            idle = self._idle[conn.endpoint_id]
            idle.append(conn)
            if len(idle) > self._max_idle:
                await self.discard(idle.pop(0))
        else:
            await self.discard(conn)

    async def discard(self, conn: Connection) -> None:
        """Close a connection."""
        self._open_counts[conn.endpoint_id] -= 1
        await conn.http.aclose()

    async def prune(self, known_ids: frozenset[str]) -> None:
        """Close expired idle connections.

        Those to endpoints that are not in `known_ids` are closed too.
        """
        self._max_idle = _max_idle(endpoints=len(known_ids))
        self._answered_twice_at = {
            endpoint_id: at
            for endpoint_id, at in self._answered_twice_at.items()
            if endpoint_id in known_ids
        }
        for endpoint_id, idle in tuple(self._idle.items()):
            dropped = [
                conn
                for conn in idle
                if endpoint_id not in known_ids or not self._is_reusable(conn)
            ]
            # The list is also in use where a request waits for a connection.
            idle[:] = [conn for conn in idle if conn not in dropped]
            for conn in dropped:
                await self.discard(conn)
            if (
                endpoint_id not in known_ids
                and not self._open_counts[endpoint_id]
            ):
                del self._idle[endpoint_id], self._open_counts[endpoint_id]
