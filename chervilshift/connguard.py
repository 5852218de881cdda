"""Bounds the connections of a process's listeners, and what they hold.

A client may send more than is processed, stop halfway, or not read its
answers. Each connection reads ahead up to a limit. If all connections of the
process together hold too much, each reads ahead less, and those that hold
memory without progress are closed, the one that holds most first.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from typing import Annotated, Protocol

import anyio
import msgspec
from msgspec import Meta

from chervilshift.descriptors import max_descriptors
from chervilshift.metrics import Metrics

__all__ = ["ClientLimits", "ConnectionGuard", "Listener"]

SWEEP_INTERVAL_S = 0.25
# While memory is short a connection still reads a whole head, of 16 KB at
# most, and a part of what follows it.
MIN_READ_AHEAD_BYTES = 24 << 10
# Connections of one listener have at most this part of the descriptors. The
# rest is for endpoints, control, files and the other listeners.
LISTENER_PART = 2
# Part of the descriptors for a listener of probes.
PROBE_PART = 16

# Reasons for which connections are closed, in names of metrics.
EVICTED = "evicted"
HALTED = "halted"
LATE_HEAD = "late_head"
REFUSED = "refused"
UNREAD = "unread"
REASONS = (EVICTED, HALTED, LATE_HEAD, REFUSED, UNREAD)


class ClientLimits(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Limits on the connections that a process accepts.

    `max_connections` is for each listener of callers, `max_probe_connections`
    for those of readiness and metrics; both are lowered to a part of the
    descriptors that the process may open. A connection reads ahead up to
    `read_ahead_bytes` of requests that are not processed yet. Above
    `held_bytes` for all connections, those that make no progress for
    `stall_s` are closed. A connection whose client takes nothing of its
    answer for `unread_s` is closed in any case.
    """

    max_connections: Annotated[int, Meta(ge=1)] = 1024
    max_probe_connections: Annotated[int, Meta(ge=1)] = 16
    read_ahead_bytes: Annotated[int, Meta(ge=MIN_READ_AHEAD_BYTES)] = 64 << 10
    held_bytes: Annotated[int, Meta(ge=1 << 20)] = 24 << 20
    stall_s: Annotated[float, Meta(gt=0)] = 1.0
    unread_s: Annotated[float, Meta(gt=0)] = 15.0


class Connection(Protocol):
    """What the guard needs of a connection.

    `moves` changes when the client sends or takes something.
    """

    moves: int

    def count_read(self) -> int:
        """Count what was read and not processed; return its size."""

    def unsent_bytes(self) -> int:
        """Return how much of its answers the client has not taken."""

    def waits_for_client(self) -> bool:
        """Whether a request has begun and the rest of it has not come."""

    def evict(self) -> None:
        """Close a connection on which no request is being served."""

    def end(self) -> None:
        """Close a connection whose client makes no progress."""


class _Watched:
    """What a sweep saw of a connection, and when it last made progress."""

    __slots__ = ("moved_at", "moves", "unsent_bytes")

    def __init__(self, now: float):
        self.moves = 0
        self.unsent_bytes = 0
        self.moved_at = now

    def update(self, moves: int, unsent_bytes: int, now: float) -> float:
        """Return for how long the client has made no progress."""
        if moves != self.moves or unsent_bytes < self.unsent_bytes:
            self.moved_at = now
        self.moves = moves
        self.unsent_bytes = unsent_bytes
        return now - self.moved_at


class Listener:
    """The connections of one listener.

    `unused` are those on which no request has begun, and `idle` those whose
    requests are answered; both have the oldest first.
    """

    __slots__ = (
        "_halted",
        "_max_connections",
        "guard",
        "idle",
        "unused",
        "watched",
    )

    def __init__(self, *, guard: "ConnectionGuard", max_connections: int):
        self.guard = guard
        self._max_connections = max_connections
        self.watched: dict[Connection, _Watched] = {}
        self.unused: dict[Connection, None] = {}
        self.idle: dict[Connection, None] = {}
        # As the last sweep found them, the one that waits longest at the end.
        self._halted: list[tuple[float, Connection]] = []

    @property
    def is_full(self) -> bool:
        """Whether it has as many connections as it may have."""
        return len(self.watched) >= self._max_connections

    def admit(self, conn: Connection) -> bool:
        """Count a new connection; return whether it may stay.

        If there are too many, the first of these is closed for it: one that
        has stopped halfway through its request, the oldest without any
        request unless it is new, and the one that is idle longest.
        """
        if self.is_full and not self._make_room():
            self.guard.count(REFUSED)
            return False
        self.watched[conn] = _Watched(self.guard.now())
        self.unused[conn] = None
        return True

    def _make_room(self) -> bool:
        while self._halted:
            _, conn = self._halted.pop()
            watched = self.watched.get(conn)
            if watched is not None and watched.moves == conn.moves:
                self.guard.count(HALTED)
                self._close(conn).end()
                return True
        conn = self._first_without_request()
        if conn is None:
            return False
        self.guard.count(EVICTED)
        self._close(conn).evict()
        return True

    def _first_without_request(self) -> Connection | None:
        unused = next(iter(self.unused), None)
        idle = next(iter(self.idle), None)
        if unused is not None and idle is not None:
            # A new one may be about to send its first request.
            age_s = self.guard.now() - self.watched[unused].moved_at
            return unused if age_s >= self.guard.limits.stall_s else idle
        return unused or idle

    def _close(self, conn: Connection) -> Connection:
        self.forget(conn)
        return conn

    def forget(self, conn: Connection) -> None:
        """Remove a connection that is closed."""
        self.watched.pop(conn, None)
        self.unused.pop(conn, None)
        self.idle.pop(conn, None)

    def note_request(self, conn: Connection) -> None:
        """Record that a request has begun."""
        self.unused.pop(conn, None)
        self.idle.pop(conn, None)

    def note_idle(self, conn: Connection) -> None:
        """Record that all requests so far are answered."""
        if conn in self.watched:
            self.idle[conn] = None

    def sweep(self, now: float, stall_s: float) -> Iterator[tuple]:
        """Yield held bytes, unsent bytes, stall and connection of each."""
        halted = []
        for conn, watched in list(self.watched.items()):
            unsent_bytes = conn.unsent_bytes()
            held_bytes = conn.count_read() + unsent_bytes
            stalled_s = watched.update(conn.moves, unsent_bytes, now)
            if unsent_bytes or conn.waits_for_client():
                if not unsent_bytes and stalled_s >= stall_s:
                    halted.append((watched.moved_at, conn))
                yield held_bytes, unsent_bytes, stalled_s, conn
            elif held_bytes:
                yield held_bytes, 0, 0.0, conn
        halted.sort(key=lambda entry: entry[0], reverse=True)
        self._halted = halted


class ConnectionGuard:
    """Bounds the connections of all listeners of a process together.

    `read_bytes` is what was read from all connections and not processed yet.
    `closed` counts the connections that were closed, by reason.
    """

    __slots__ = (
        "_listeners",
        "_unsent_bytes",
        "closed",
        "limits",
        "now",
        "read_bytes",
    )

    def __init__(
        self,
        *,
        limits: ClientLimits,
        now: Callable[[], float],
    ):
        self.limits = limits
        self.now = now
        self.read_bytes = 0
        self.closed: Counter[str] = Counter()
        self._unsent_bytes = 0
        self._listeners: list[Listener] = []

    def listener(self, *, probes: bool = False) -> Listener:
        """Return a new listener, of callers or of probes."""
        files = max_descriptors()
        if probes:
            most = min(self.limits.max_probe_connections, files // PROBE_PART)
        else:
            most = min(self.limits.max_connections, files // LISTENER_PART)
        listener = Listener(guard=self, max_connections=max(1, most))
        self._listeners.append(listener)
        return listener

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return sum(len(listener.watched) for listener in self._listeners)

    @property
    def held_bytes(self) -> int:
        """What all connections hold, as far as was seen."""
        return self.read_bytes + self._unsent_bytes

    @property
    def read_ahead_bytes(self) -> int:
        """How much one connection may read ahead now."""
        if 2 * self.held_bytes < self.limits.held_bytes:
            return self.limits.read_ahead_bytes
        return MIN_READ_AHEAD_BYTES

    def count(self, reason: str) -> None:
        """Count a connection that is closed."""
        self.closed[reason] += 1

    def register(self, metrics: Metrics) -> None:
        """Show the open connections and the closed ones."""
        metrics.gauge("client_connections", lambda: self.connections)
        metrics.gauge("client_bytes_held", lambda: self.held_bytes)
        for reason in REASONS:
            metrics.counter(
                f"client_connections_closed_{reason}",
                partial(self.closed.__getitem__, reason),
            )

    async def run(self) -> None:
        """Look at the connections again and again."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Count what is held, and close connections without progress."""
        limits, now = self.limits, self.now()
        stalled = []
        unsent_bytes = 0
        for listener in self._listeners:
            for held, unsent, stalled_s, conn in listener.sweep(
                now, limits.stall_s
            ):
                unsent_bytes += unsent
                if unsent and stalled_s >= limits.unread_s:
                    unsent_bytes -= unsent
                    self._end(listener, conn, UNREAD)
                elif stalled_s >= limits.stall_s:
                    stalled.append((held, unsent, listener, conn))
        self._unsent_bytes = unsent_bytes
        excess_bytes = self.held_bytes - limits.held_bytes
        if excess_bytes <= 0:
            return
        stalled.sort(key=lambda entry: entry[0], reverse=True)
        for held, unsent, listener, conn in stalled:
            if excess_bytes <= 0:
                break
            excess_bytes -= held
            self._unsent_bytes -= unsent
            self._end(listener, conn, UNREAD if unsent else HALTED)

    def _end(self, listener: Listener, conn: Connection, reason: str) -> None:
        listener.forget(conn)
        self.count(reason)
        conn.end()
