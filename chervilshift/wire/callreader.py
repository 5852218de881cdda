"""Reads calls of other processes in slices and within limits.

Anyone who reaches the listener may send frames without end, and has not shown
the cluster's key before its first call.
"""

import asyncio
import time

from grpclib.protocol import H2Protocol

from chervilshift.connguard import REFUSED, Listener

__all__ = ["READ_BYTES", "CallReader"]

# Largest read; one buffer of this size serves all connections of a server.
READ_BYTES = 64 << 10
MIN_SLICE_BYTES, MAX_SLICE_BYTES = 1 << 10, 64 << 10
# Other tasks wait for about this long at most while the frames of one
# connection are processed.
SLICE_S = 0.005
# The first call shows the key within some hundred bytes. Small frames of many
# connections without it took all of the process's time.
MAX_BYTES_WITHOUT_KEY = 8 << 10


class CallReader(asyncio.BufferedProtocol):
    """Feeds an HTTP/2 protocol while the peer takes what it is sent.

    h2 answers pings and settings itself. A peer that never read the answers
    made the process hold all of them. `moves` counts reads and resumed
    writing.
    """

    def __init__(
        self, *, inner: H2Protocol, listener: Listener, buffer: memoryview
    ):
        self._inner = inner
        self._listener = listener
        self._buffer = buffer
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._unparsed = memoryview(b"")
        self._slice_bytes = MIN_SLICE_BYTES
        self._is_parsing = False
        self._writing_paused = False
        self._is_trusted = False
        self._bytes_without_key = 0
        self.moves = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Serve a connection, or close it if there are too many."""
        self._transport = transport
        self._inner.connection_made(transport)
        if not self._listener.admit(self):
            transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are read to."""
        return self._buffer

    def buffer_updated(self, size_bytes: int) -> None:
        """Take what was read, the first slice at once."""
        self.moves += 1
        data = bytes(self._buffer[:size_bytes])
        self._listener.guard.read_bytes += size_bytes
        if self._unparsed:
            self._unparsed = memoryview(bytes(self._unparsed) + data)
        else:
            self._unparsed = memoryview(data)
            self._parse()

    def _parse(self) -> None:
        self._is_parsing = False
        if self._transport.is_closing():
            self._drop()
        elif not self._writing_paused:
            self._parse_slice()
        if self._unparsed:
            self._transport.pause_reading()
            self._continue()
        elif not self._transport.is_closing():
            self._transport.resume_reading()

    def _parse_slice(self) -> None:
        if not self._is_trusted:
            self._bytes_without_key += min(
                len(self._unparsed), self._slice_bytes
            )
            if self._bytes_without_key > MAX_BYTES_WITHOUT_KEY:
                self._listener.guard.count(REFUSED)
                self._transport.abort()
                self._drop()
                return
        part = bytes(self._unparsed[: self._slice_bytes])
        self._unparsed = self._unparsed[self._slice_bytes :]
        self._listener.guard.read_bytes -= len(part)
        began_at = time.perf_counter()
        self._inner.data_received(part)
        if time.perf_counter() - began_at > SLICE_S:
            self._slice_bytes = MIN_SLICE_BYTES
        else:
            self._slice_bytes = min(MAX_SLICE_BYTES, 2 * self._slice_bytes)

    def _continue(self) -> None:
        if not self._is_parsing and not self._writing_paused:
            self._is_parsing = True
            self._loop.call_soon(self._parse)

    def _drop(self) -> None:
        self._listener.guard.read_bytes -= len(self._unparsed)
        self._unparsed = memoryview(b"")

    def pause_writing(self) -> None:
        """Process no more frames, which may have answers."""
        self._writing_paused = True
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Process the frames that have come."""
        self.moves += 1
        self._writing_paused = False
        self._inner.resume_writing()
        if self._unparsed:
            self._continue()

    def eof_received(self) -> None:
        """Let the transport close the connection."""
        self._inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection and what has not been processed."""
        self._listener.forget(self)
        self._drop()
        self._inner.connection_lost(exc)

    def trust(self) -> None:
        """Never close it for another one: a call showed the key."""
        if not self._is_trusted:
            self._is_trusted = True
            self._listener.note_request(self)

    def count_read(self) -> int:
        """Return the size of what was read and not processed."""
        return len(self._unparsed)

    def unsent_bytes(self) -> int:
        """Return how much the peer has not taken."""
        return self._transport.get_write_buffer_size()

    def waits_for_client(self) -> bool:
        """Return false: calls have timeouts of their own."""
        return False

    def evict(self) -> None:
        """Close a connection that has not shown the key."""
        self._transport.abort()

    end = evict
