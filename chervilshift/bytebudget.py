"""A bound on the bytes that many requests of one process hold together."""

from collections.abc import Callable

from chervilshift.errors import BodyTooLarge, Unserved

__all__ = ["ByteBudget", "HeldBody"]


class ByteBudget:
    """Counts bytes that are held, all together at most `limit_bytes`."""

    __slots__ = ("_held_bytes", "_limit_bytes")

    def __init__(self, *, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    def take(self, size_bytes: int) -> bool:
        """Count bytes; return whether there is room for them."""
        self._held_bytes += size_bytes
        return self._held_bytes <= self._limit_bytes

    def give_back(self, size_bytes: int) -> None:
        """Count bytes that are no longer held."""
        self._held_bytes -= size_bytes


class HeldBody:
    """The body of one request over ASGI; its bytes are taken from a budget."""

    __slots__ = ("_budget", "_size_bytes")

    def __init__(self, *, budget: ByteBudget):
        self._budget = budget
        self._size_bytes = 0

    async def read(self, receive: Callable, limit_bytes: int) -> bytes | None:
        """Return the whole body, or None if the caller disconnected.

        Raises BodyTooLarge, or Unserved if the budget has no room.
        """
        chunks = []
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            chunks.append(message.get("body", b""))
            self._size_bytes += len(chunks[-1])
            has_room = self._budget.take(len(chunks[-1]))
            if self._size_bytes > limit_bytes:
                raise BodyTooLarge(limit_bytes=limit_bytes)
            if not has_room:
                raise Unserved(reason="too many bytes of bodies held")
            if not message.get("more_body"):
                return b"".join(chunks)

    def give_back(self) -> None:
        """Give back the bytes that were taken, also of a part of the body."""
        self._budget.give_back(self._size_bytes)
        self._size_bytes = 0
