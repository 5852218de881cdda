"""Exponentially decaying rates."""

import math

__all__ = ["DecayingRate"]


class DecayingRate:
    """An amount per second, with exponential decay of older amounts.

    `window_s` is the time constant: an amount of that age counts 1/e, about
    a third.
    """

    __slots__ = ("_amount", "_updated_at", "_window_s")

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        self._amount = 0.0
        self._updated_at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount."""
        self._amount = self._decayed(now) + amount
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the amount per second."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now: float) -> float:
        age_s = max(0.0, now - self._updated_at)
        return self._amount * math.exp(-age_s / self._window_s)
