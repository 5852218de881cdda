"""A bounded crowd of clients that send without reading the answers.

Used against processes of the system on loopback, by tests and the soak.
"""

import os
import selectors
import socket
import time
from contextlib import suppress

__all__ = ["H2_PING", "H2_PREFACE", "Crowd", "open_files", "peak_bytes"]

# Small buffers of the kernel, so that little is held outside of the processes
# under test.
SOCKET_BUFFER_BYTES = 64 << 10
RECONNECT_INTERVAL_S = 0.05
WATCH_INTERVAL_S = 0.1
SELECT_TIMEOUT_S = 0.02
# Connection preface with empty SETTINGS, and PING of HTTP/2 (RFC 9113).
H2_PREFACE = (
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes((0, 0, 0, 4)) + bytes(5)
)
H2_PING = bytes((0, 0, 8, 6, 0, 0, 0, 0, 0)) + b"12345678"


def peak_bytes(pid: int) -> int:
    """Return the peak of a process's resident memory."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) << 10
    raise ProcessLookupError(f"process {pid} has ended")


def open_files(pid: int) -> int:
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class _Client:
    """One connection; it is opened again when it is closed by the peer."""

    def __init__(self, *, address: str, first: bytes, then: bytes):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._first = first
        self._then = then
        self._rest = memoryview(b"")
        self.sock: socket.socket | None = None
        self.next_at = 0.0

    @property
    def has_more(self) -> bool:
        """Whether it has bytes to send."""
        return bool(self._rest or self._then)

    def connect(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        with suppress(BlockingIOError):
            sock.connect(self._address)
        self.sock = sock
        self._rest = memoryview(self._first)

    def send(self) -> None:
        """Send what the socket takes; raises OSError."""
        if not self._rest:
            self._rest = memoryview(self._then)
        with suppress(BlockingIOError):
            self._rest = self._rest[self.sock.send(self._rest) :]

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class Crowd:
    """Clients of one address that send `first` and then `then` repeatedly.

    They never read. Without `then` they stop after `first` and stay connected.
    """

    def __init__(
        self, *, address: str, count: int, first: bytes, then: bytes = b""
    ):
        self._selector = selectors.DefaultSelector()
        self._clients = [
            _Client(address=address, first=first, then=then)
            for _ in range(count)
        ]

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *exc_info) -> None:
        for client in self._clients:
            client.close()
        self._selector.close()

    def play(self, pid: int, duration_s: float, max_bytes: int) -> int:
        """Send until the time is over or the process's memory exceeds a cap.

        Returns the largest number of descriptors that the process had open.
        """
        now = time.monotonic()
        ends_at, watch_at = now + duration_s, now
        files = 0
        while now < ends_at:
            for client in self._clients:
                if client.sock is None and client.next_at <= now:
                    self._open(client, now)
            for key, _ in self._selector.select(SELECT_TIMEOUT_S):
                self._serve(key.data)
            now = time.monotonic()
            if now >= watch_at:
                watch_at = now + WATCH_INTERVAL_S
                files = max(files, open_files(pid))
                if peak_bytes(pid) > max_bytes:
                    break
        return files

    def _open(self, client: _Client, now: float) -> None:
        client.next_at = now + RECONNECT_INTERVAL_S
        client.connect()
        self._selector.register(
            client.sock, selectors.EVENT_WRITE, data=client
        )

    def _serve(self, client: _Client) -> None:
        try:
            client.send()
        except OSError:
            self._selector.unregister(client.sock)
            client.close()
            return
        if not client.has_more:
            self._selector.unregister(client.sock)
