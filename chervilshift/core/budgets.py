"""Budgets that keep retries and moves a small share of the requests."""

__all__ = ["RatioBudget"]

BURST = 10.0


class RatioBudget:
    """Earns `share` of a permit per request and holds at most `burst`."""

    __slots__ = ("_burst", "_permits", "share")

    def __init__(self, *, share: float, burst: float = BURST):
        self.share = share
        self._burst = burst
        self._permits = burst

    @property
    def available(self) -> bool:
        """Whether a permit could be taken now."""
        return self._permits >= 1.0

    def deposit(self) -> None:
        """Note one request."""
        self._permits = min(self._burst, self._permits + self.share)

    def withdraw(self) -> bool:
        """Take one permit if there is one."""
        if not self.available:
            return False
        self._permits -= 1.0
        return True
