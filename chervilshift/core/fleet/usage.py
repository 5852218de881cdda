"""Counts the requests begun per window and customer."""

from collections import Counter

__all__ = ["UsageCounter", "window_of"]

# Windows kept by a gateway, so that a new leader gets them too.
WINDOWS_KEPT = 6


def window_of(wall_s: float, window_s: float) -> int:
    """Return the number of the window that a Unix time falls into."""
    return int(wall_s // window_s)


class UsageCounter:
    """A gateway's counts since it started, newest windows only."""

    __slots__ = ("_counts", "_window_s")

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        self._counts: dict[int, Counter[str]] = {}

    def count_request(self, customer: str, wall_s: float) -> None:
        """Note that an endpoint began a request."""
        window = window_of(wall_s, self._window_s)
        self._counts.setdefault(window, Counter())[customer] += 1
        for old in sorted(self._counts)[:-WINDOWS_KEPT]:
            del self._counts[old]

    def counts(self) -> dict[int, dict[str, int]]:
        """Return the counts by window."""
        return {window: dict(c) for window, c in self._counts.items()}
