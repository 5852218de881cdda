"""Splits an event stream into whole events and reads their ids."""

__all__ = ["EventSplitter", "last_id"]

SEPARATORS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventSplitter:
    """Holds back the last, incomplete event of a stream."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return all whole events that are now complete."""
        self._buffer += data
        ends = (
            self._buffer.rfind(sep) + len(sep)
            for sep in SEPARATORS
            if sep in self._buffer
        )
        end = max(ends, default=0)
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        return whole

    @property
    def rest(self) -> bytes:
        """What has come after the last whole event."""
        return self._buffer


def last_id(events: bytes) -> int | None:
    """Return the id of the last event that has one."""
    ids = [
        line[len(ID_FIELD) :].strip()
        for line in events.splitlines()
        if line.startswith(ID_FIELD)
    ]
    return int(ids[-1]) if ids and ids[-1].isdigit() else None
