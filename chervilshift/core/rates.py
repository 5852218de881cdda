"""Rates over a window that fades."""

import math

__all__ = ["DecayingRate"]


class DecayingRate:
    """Amounts a second, older ones counting less and less.

    `window_s` is the time after which an amount counts a third.
    """

    __slots__ = ("_at", "_weight", "_window_s")

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        self._weight = 0.0
        self._at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Count an amount."""
        self._weight = self._faded(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        """Return the amount a second."""
        return self._faded(now) / self._window_s

    def _faded(self, now: float) -> float:
        age_s = max(0.0, now - self._at)
        return self._weight * math.exp(-age_s / self._window_s)
