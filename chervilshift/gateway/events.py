"""Splits a server-sent event stream into events and reads their ids."""

from chervilshift.untrusted import parse_integer

__all__ = ["EventSplitter", "last_event_id"]

EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventSplitter:
    """Buffers the incomplete event at the end of a stream."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return all events that `data` completes, as one byte string."""
        self._buffer += data
        ends = (
            self._buffer.rfind(separator) + len(separator)
            for separator in EVENT_SEPARATORS
            if separator in self._buffer
        )
        end = max(ends, default=0)
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        return complete

    @property
    def incomplete(self) -> bytes:
        """The bytes after the last complete event."""
        return self._buffer


def last_event_id(events: bytes) -> int | None:
    """Return the id of the last event that has one, if it is a number."""
    ids = [
        line[len(ID_FIELD) :].strip()
        for line in events.splitlines()
        if line.startswith(ID_FIELD)
    ]
    return parse_integer(ids[-1]) if ids else None
