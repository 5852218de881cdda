"""A bound on the bytes that many requests of one process hold together."""

__all__ = ["ByteBudget"]


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
