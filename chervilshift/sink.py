"""A bounded, non-blocking sink for log lines.

A reader that is slow or has closed the pipe must not block the process, and
logging must not cost more than the work that is logged. Lines over the limits
are dropped and counted by kind. The event log writes the counts with its next
event, at most once a second.
"""

import os
from collections import Counter
from collections.abc import Callable

__all__ = ["LineSink", "TokenBucket"]

# Rate limit of ordinary lines, and the burst that it allows.
ORDINARY_LINES_PER_S = 100.0
ORDINARY_BURST_LINES = 300.0
# Lines that explain a failed request have a limit of their own, far above the
# rate of failures of a gateway at its usual load.
URGENT_LINES_PER_S = 400.0
URGENT_BURST_LINES = 1200.0
# Lines buffered while the reader is behind.
MAX_PENDING_BYTES = 256 * 1024
# Shortest time between reports of dropped lines.
DROP_REPORT_INTERVAL_S = 1.0


class TokenBucket:
    """A token bucket with one token for each line.

    It gains `per_s` tokens a second and holds up to `burst`. `now` is the
    monotonic time in seconds.
    """

    __slots__ = ("_capacity", "_rate_per_s", "_refilled_at", "_tokens")

    def __init__(self, *, per_s: float, burst: float, now: float):
        self._rate_per_s = per_s
        self._capacity = burst
        self._tokens = burst
        self._refilled_at = now

    def try_take(self, now: float) -> bool:
        """Take one token; return whether there was one."""
        tokens = self._tokens + (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(self._capacity, tokens)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LineSink:
    """Writes lines to a file descriptor, which it makes non-blocking.

    `now` returns monotonic seconds.
    """

    __slots__ = (
        "_dropped",
        "_drops_reported_at",
        "_fd",
        "_now",
        "_ordinary",
        "_pending",
        "_urgent",
    )

    def __init__(self, *, fd: int, now: Callable[[], float]):
        self._fd = fd
        self._now = now
        self._pending = b""
        self._dropped: Counter[str] = Counter()
        self._drops_reported_at = now()
        self._ordinary = TokenBucket(
            per_s=ORDINARY_LINES_PER_S, burst=ORDINARY_BURST_LINES, now=now()
        )
        self._urgent = TokenBucket(
            per_s=URGENT_LINES_PER_S, burst=URGENT_BURST_LINES, now=now()
        )
        os.set_blocking(fd, False)

    def write(self, kind: str, line: bytes, *, urgent: bool) -> bool:
        """Write or buffer a line, or drop it; return whether it was kept."""
        now = self._now()
        bucket = self._urgent if urgent else self._ordinary
        has_space = len(self._pending) + len(line) <= MAX_PENDING_BYTES
        if not has_space or not bucket.try_take(now):
            self._dropped[kind] += 1
            return False
        self._pending += line + b"\n"
        self._flush()
        return True

    def pop_dropped(self) -> dict[str, int]:
        """Return and reset the drop counts by kind, at most once a second."""
        now = self._now()
        if (
            not self._dropped
            or now - self._drops_reported_at < DROP_REPORT_INTERVAL_S
        ):
            return {}
        self._drops_reported_at = now
        dropped, self._dropped = self._dropped, Counter()
        return dict(dropped)

    def _flush(self) -> None:
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so nothing can be reported.
            self._pending = b""
            return
        self._pending = self._pending[written:]
