"""Counts requests per usage window and customer."""

from collections import Counter

__all__ = ["UsageCounter", "window_of"]

# Newest windows kept by a gateway, so that a new leader receives them too.
MAX_USAGE_WINDOWS = 6


def window_of(wall_s: float, window_s: float) -> int:
    """Return the index of the window that contains a Unix time."""
    return int(wall_s // window_s)


class UsageCounter:
    """A gateway's counts since it started, for the newest windows."""

    __slots__ = ("_counts", "_window_s")

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        self._counts: dict[int, Counter[str]] = {}

    def count_request(self, customer: str, wall_s: float) -> None:
        """Count a request that an endpoint has started."""
        window = window_of(wall_s, self._window_s)
        self._counts.setdefault(window, Counter())[customer] += 1
        for expired in sorted(self._counts)[:-MAX_USAGE_WINDOWS]:
            del self._counts[expired]

    def counts(self) -> dict[int, dict[str, int]]:
        """Return the counts per customer by window."""
        return {window: dict(c) for window, c in self._counts.items()}
