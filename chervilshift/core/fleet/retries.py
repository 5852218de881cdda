"""The budget for attempts beyond the first, per service."""

__all__ = ["RetryBudget", "RetryPolicy"]

# Part of the allowed ratio that one gateway plans with; the rest covers
# windows in which requests and retries fall apart.
RATIO_SHARE = 0.5


class RetryPolicy:
    """Allowed retries over all gateways.

    A ratio of the requests plus `fixed_retries`. Both are counted in
    windows of `window_s`.
    """

    __slots__ = ("fixed_retries", "ratio", "window_s")

    def __init__(self, *, ratio: float, fixed_retries: float, window_s: float):
        self.ratio = ratio
        self.fixed_retries = fixed_retries
        self.window_s = window_s


class RetryBudget:
    """A gateway's part of a service's budget.

    It earns by requests and holds up to half of its part of
    `fixed_retries`, which it regains within one window: no window sees more
    than the whole part.
    """

    __slots__ = ("_at", "_permits", "_policy")

    def __init__(self, *, policy: RetryPolicy, now: float):
        self._policy = policy
        self._at = now
        # Filled up to what may be held at the first use.
        self._permits = policy.fixed_retries

    def deposit(self) -> None:
        """Note a client's request."""
        self._permits += RATIO_SHARE * self._policy.ratio

    def withdraw(self, gateways: int, now: float) -> bool:
        """Take one permit if there is one."""
        if not self.available(gateways, now):
            return False
        self._permits -= 1
        return True

    def available(self, gateways: int, now: float) -> bool:
        """Whether a permit could be taken now."""
        most = self._policy.fixed_retries / 2 / max(1, gateways)
        regained = most * (now - self._at) / self._policy.window_s
        self._permits = min(most, self._permits + regained)
        self._at = now
        return self._permits >= 1
