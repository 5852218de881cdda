"""Connections to endpoints, kept for reuse and bounded per endpoint."""

import socket
from collections import defaultdict

import httpcore

from chervilshift.addresses import split_address
from chervilshift.clock import Clock

__all__ = ["Connection", "Connections"]

CONNECT_TIMEOUT_S = 1.0
# Unacknowledged data for this long ends a connection whose peer is dark.
UNACKED_TIMEOUT_MS = 2000
KEEPALIVE_PROBE_S = 1
KEEPALIVE_PROBES = 2
# Idle connections are closed this long before the endpoint would do it.
IDLE_MARGIN_S = 0.7
IDLE_S = 10.0

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]


class Connection:
    """One connection to an endpoint; `reused` after its first request."""

    __slots__ = (
        "endpoint_id",
        "expires_at",
        "http",
        "idle_s",
        "origin",
        "reused",
    )

    def __init__(
        self,
        *,
        endpoint_id: str,
        origin: httpcore.Origin,
        http: httpcore.AsyncHTTP11Connection,
    ):
        self.endpoint_id = endpoint_id
        self.origin = origin
        self.http = http
        self.reused = False
        self.idle_s = IDLE_S
        self.expires_at = float("inf")


class Connections:
    """Opens connections and keeps idle ones, newest first out."""

    __slots__ = ("_backend", "_clock", "_idle", "_open")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._backend = httpcore.AnyIOBackend()
        self._idle: defaultdict[str, list[Connection]] = defaultdict(list)
        self._open: defaultdict[str, int] = defaultdict(int)

    def open_count(self, endpoint_id: str) -> int:
        """Return how many connections to an endpoint are open."""
        return self._open[endpoint_id]

    async def acquire(self, endpoint_id: str, address: str) -> Connection:
        """Return an idle connection or a new one.

        Raises httpcore's connect errors; then nothing was sent.
        """
        idle = self._idle[endpoint_id]
        while idle:
            conn = idle.pop()
            fresh = self._clock.monotonic() < conn.expires_at
            if fresh and conn.http.is_idle() and not conn.http.has_expired():
                conn.reused = True
                return conn
            await self.discard(conn)
        host, port = split_address(address)
        self._open[endpoint_id] += 1
        try:
            stream = await self._backend.connect_tcp(
                host,
                port,
                timeout=CONNECT_TIMEOUT_S,
                socket_options=SOCKET_OPTIONS,
            )
        except BaseException:
            self._open[endpoint_id] -= 1
            raise
        origin = httpcore.Origin(b"http", host.encode(), port)
        return Connection(
            endpoint_id=endpoint_id,
            origin=origin,
            http=httpcore.AsyncHTTP11Connection(origin=origin, stream=stream),
        )

    async def release(self, conn: Connection, idle_s: float | None) -> None:
        """Keep a connection whose reply is complete, for `idle_s`."""
        if idle_s is not None:
            conn.idle_s = idle_s
        keep_s = conn.idle_s - IDLE_MARGIN_S
        if keep_s <= 0 or not conn.http.is_idle():
            await self.discard(conn)
            return
        conn.expires_at = self._clock.monotonic() + keep_s
        self._idle[conn.endpoint_id].append(conn)

    async def discard(self, conn: Connection) -> None:
        """Close a connection."""
        self._open[conn.endpoint_id] -= 1
        await conn.http.aclose()

    async def prune(self, live: frozenset[str]) -> None:
        """Close what has expired and all idle ones to ended endpoints."""
        now = self._clock.monotonic()
        for endpoint_id, idle in tuple(self._idle.items()):
            kept = [
                conn
                for conn in idle
                if endpoint_id in live
                and now < conn.expires_at
                and not conn.http.has_expired()
            ]
            dropped = [conn for conn in idle if conn not in kept]
            self._idle[endpoint_id] = kept
            for conn in dropped:
                await self.discard(conn)
            if endpoint_id not in live and not self._open[endpoint_id]:
                del self._idle[endpoint_id], self._open[endpoint_id]
