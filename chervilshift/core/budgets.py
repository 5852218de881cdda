"""Budgets that limit retries and moves to a share of the requests."""

__all__ = ["RatioBudget"]

DEFAULT_BURST_PERMITS = 10.0


class RatioBudget:
    """A token bucket filled by requests.

    Each request adds `share` of a permit, up to `burst` permits. The bucket
    starts full.
    """

    __slots__ = ("_burst", "_permits", "share")

    def __init__(self, *, share: float, burst: float = DEFAULT_BURST_PERMITS):
        self.share = share
        self._burst = burst
        self._permits = burst

    @property
    def available(self) -> bool:
        """Whether a permit can be taken now."""
        return self._permits >= 1.0

    def deposit(self) -> None:
        """Add the share of one request."""
        self._permits = min(self._burst, self._permits + self.share)

    def withdraw(self) -> bool:
        """Take one permit; return whether there was one."""
        if not self.available:
            return False
        self._permits -= 1.0
        return True
