"""A bound on the bytes that many requests of one process hold together."""

from collections import deque
from collections.abc import Callable

import anyio

from chervilshift.errors import BodyTimeout, BodyTooLarge, Unserved

__all__ = ["ByteBudget", "HeldBody", "HeldBytes"]


# A body of which nothing has come for this long gives way to others.
STALL_S = 1.0


class ByteBudget:
    """Counts bytes that are held, all together at most `limit_bytes`.

    `held_bytes` are those that are held now. `incomplete` are the bodies that
    are being read.
    """

    __slots__ = ("_limit_bytes", "_waiting", "held_bytes", "incomplete")

    def __init__(self, *, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self._waiting: deque[tuple[int, anyio.Event]] = deque()
        self.incomplete: set[HeldBody] = set()

    def take(self, size_bytes: int) -> bool:
        """Count bytes; return whether there is room for them."""
        self.held_bytes += size_bytes
        return self.held_bytes <= self._limit_bytes

    def has_room(self, size_bytes: int) -> bool:
        """Whether bytes can be taken."""
        return self.held_bytes + size_bytes <= self._limit_bytes

    def make_room(self, size_bytes: int) -> bool:
        """End bodies that have stopped; return whether there is room then.

        The one that holds most is ended first.
        """
        now = anyio.current_time()
        stopped = [
            body for body in self.incomplete if now - body.grown_at >= STALL_S
        ]
        stopped.sort(key=lambda body: body.size_bytes, reverse=True)
        for body in stopped:
            if self.has_room(size_bytes):
                break
            body.end()
        return self.has_room(size_bytes)

    def give_back(self, size_bytes: int) -> None:
        """Count bytes that are no longer held."""
        self.held_bytes -= size_bytes
        self._grant()

    @property
    def is_congested(self) -> bool:
        """Whether as many bytes wait for room as can be held at once."""
        waiting_bytes = sum(size_bytes for size_bytes, _ in self._waiting)
        return waiting_bytes >= self._limit_bytes

    async def reserve(self, size_bytes: int) -> None:
        """Wait until there is room for bytes, and count them.

        Whoever waits longest is first.
        """
        entry = (size_bytes, anyio.Event())
        self._waiting.append(entry)
        self._grant()
        try:
            await entry[1].wait()
        except BaseException:
            if entry[1].is_set():
                self.give_back(size_bytes)
            else:
                self._waiting.remove(entry)
                self._grant()
            raise

    def _grant(self) -> None:
        while self._waiting:
            size_bytes, granted = self._waiting[0]
            if self.held_bytes + size_bytes > self._limit_bytes:
                return
            self._waiting.popleft()
            self.held_bytes += size_bytes
            granted.set()


class HeldBytes:
    """Bytes that one request holds of a budget."""

    __slots__ = ("_budget", "_size_bytes")

    def __init__(self, *, budget: ByteBudget):
        self._budget = budget
        self._size_bytes = 0

    async def reserve(self, size_bytes: int) -> None:
        """Wait until there is room for bytes, and hold them."""
        await self._budget.reserve(size_bytes)
        self._size_bytes += size_bytes

    def take(self, size_bytes: int) -> bool:
        """Hold bytes; return whether there is room for them."""
        self._size_bytes += size_bytes
        return self._budget.take(size_bytes)

    def release(self, size_bytes: int) -> None:
        """Give back a part of the bytes."""
        size_bytes = min(size_bytes, self._size_bytes)
        self._size_bytes -= size_bytes
        self._budget.give_back(size_bytes)

    def give_back(self) -> None:
        """Give all bytes back."""
        self.release(self._size_bytes)


class HeldBody:
    """The body of one request over ASGI; its bytes are taken from a budget.

    `grown_at` is when a part of it came last.
    """

    __slots__ = ("_budget", "_held", "_scope", "grown_at", "size_bytes")

    def __init__(self, *, budget: ByteBudget):
        self._budget = budget
        self._held = HeldBytes(budget=budget)
        self._scope: anyio.CancelScope | None = None
        self.grown_at = 0.0
        self.size_bytes = 0

    async def read(self, receive: Callable, limit_bytes: int) -> bytes | None:
        """Return the whole body, or None if the caller disconnected.

        Raises BodyTooLarge, Unserved if the budget has no room, or BodyTimeout
        if the rest did not come while others needed the room.
        """
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        first = message.get("body", b"")
        self._take(first, limit_bytes)
        if not message.get("more_body"):
            return first
        self._budget.incomplete.add(self)
        try:
            with anyio.CancelScope() as self._scope:
                return await self._read_rest(first, receive, limit_bytes)
        finally:
            self._budget.incomplete.discard(self)
        raise BodyTimeout(timeout_s=STALL_S)

    async def _read_rest(
        self, first: bytes, receive: Callable, limit_bytes: int
    ) -> bytes | None:
        chunks = [first]
        self.grown_at = anyio.current_time()
        while True:
            message = await receive()
            self.grown_at = anyio.current_time()
            if message["type"] == "http.disconnect":
                return None
            chunks.append(message.get("body", b""))
            self._take(chunks[-1], limit_bytes)
            if not message.get("more_body"):
                return b"".join(chunks)

    def _take(self, chunk: bytes, limit_bytes: int) -> None:
        self.size_bytes += len(chunk)
        if self.size_bytes > limit_bytes:
            raise BodyTooLarge(limit_bytes=limit_bytes)
        # Nothing is ended for an empty part.
        if (
            chunk
            and not self._budget.has_room(len(chunk))
            and not self._budget.make_room(len(chunk))
        ):
            raise Unserved(reason="too many bytes of bodies held")
        self._held.take(len(chunk))

    def end(self) -> None:
        """Stop reading a body whose client has stopped; give back its bytes.

        What was read is dropped when its task runs next.
        """
        self._budget.incomplete.discard(self)
        self._scope.cancel()
        self.give_back()

    def give_back(self) -> None:
        """Give back the bytes that were taken, also of a part of the body."""
        self._held.give_back()
