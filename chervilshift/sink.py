"""A bounded, non-blocking sink for log lines.

A reader that is slow or gone must not hold a process up, and a flood of
lines must not cost more than the work they tell of. Lines are dropped
instead, counted by kind, and the counts are told once a second.
"""

import os
from collections import Counter
from collections.abc import Callable

__all__ = ["LineBudget", "LineSink"]

# Ordinary lines a second, and how many may come at once.
LINES_PER_S = 100.0
BURST_LINES = 300.0
# What explains a failed request has a budget of its own, far above what a
# gateway fails at its usual load.
URGENT_PER_S = 400.0
URGENT_BURST = 1200.0
# Lines held while the reader is behind, in bytes.
PENDING_BYTES = 256 * 1024
REPORT_S = 1.0


class LineBudget:
    """A token bucket of lines."""

    __slots__ = ("_at", "_burst", "_left", "_per_s")

    def __init__(self, *, per_s: float, burst: float, now: float):
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._at = now

    def take(self, now: float) -> bool:
        """Take one line if there is one."""
        refilled = self._left + (now - self._at) * self._per_s
        self._left = min(self._burst, refilled)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class LineSink:
    """Writes lines to a file descriptor without ever waiting for it."""

    __slots__ = (
        "_dropped",
        "_fd",
        "_now",
        "_ordinary",
        "_pending",
        "_reported_at",
        "_urgent",
    )

    def __init__(self, *, fd: int, now: Callable[[], float]):
        self._fd = fd
        self._now = now
        self._pending = b""
        self._dropped: Counter[str] = Counter()
        self._reported_at = now()
        self._ordinary = LineBudget(
            per_s=LINES_PER_S, burst=BURST_LINES, now=now()
        )
        self._urgent = LineBudget(
            per_s=URGENT_PER_S, burst=URGENT_BURST, now=now()
        )
        os.set_blocking(fd, False)

    def write(self, kind: str, line: bytes, *, urgent: bool) -> bool:
        """Write a line, or drop and count it; returns whether it is kept."""
        now = self._now()
        budget = self._urgent if urgent else self._ordinary
        room = len(self._pending) + len(line) <= PENDING_BYTES
        if not room or not budget.take(now):
            self._dropped[kind] += 1
            return False
        self._pending += line + b"\n"
        self._flush()
        return True

    def take_dropped(self) -> dict[str, int]:
        """Return the drops to report, by kind; at most once a second."""
        now = self._now()
        if not self._dropped or now - self._reported_at < REPORT_S:
            return {}
        self._reported_at = now
        dropped, self._dropped = self._dropped, Counter()
        return dict(dropped)

    def _flush(self) -> None:
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; there is nobody left to tell.
            self._pending = b""
            return
        self._pending = self._pending[written:]
