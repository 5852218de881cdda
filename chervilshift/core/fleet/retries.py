"""Retry budget of a service: bounds attempts beyond the first."""

__all__ = ["RetryBudget", "RetryPolicy"]

# Part of the allowed ratio that a gateway spends; the rest covers retries that
# fall into a later window than the requests that earned them.
PLANNED_RATIO_SHARE = 0.5


class RetryPolicy:
    """Retries allowed per service, summed over all gateways.

    In any window of `window_s` seconds, retries may number `ratio` times the
    requests plus `fixed_retries`.
    """

    __slots__ = ("fixed_retries", "ratio", "window_s")

    def __init__(self, *, ratio: float, fixed_retries: float, window_s: float):
        self.ratio = ratio
        self.fixed_retries = fixed_retries
        self.window_s = window_s


class RetryBudget:
    """A gateway's share of a service's budget, in permits of one retry.

    Each request adds a fraction of a permit. The budget holds up to half of
    the gateway's share of `fixed_retries` and refills by that half within
    one window, so no window exceeds the whole share.
    """

    __slots__ = ("_permits", "_policy", "_refilled_at")

    def __init__(self, *, policy: RetryPolicy, now: float):
        self._policy = policy
        self._refilled_at = now
        # More than may be held; the first use caps it.
        self._permits = policy.fixed_retries

    def deposit(self) -> None:
        """Add the permits earned by one client request."""
        self._permits += PLANNED_RATIO_SHARE * self._policy.ratio

    def withdraw(self, gateways: int, now: float) -> bool:
        """Use one permit; False if there is none."""
        if not self.available(gateways, now):
            return False
        self._permits -= 1
        return True

    def available(self, gateways: int, now: float) -> bool:
        """Whether a permit is available; refills the budget first."""
        capacity = self._policy.fixed_retries / 2 / max(1, gateways)
        refill = capacity * (now - self._refilled_at) / self._policy.window_s
        self._permits = min(capacity, self._permits + refill)
        self._refilled_at = now
        return self._permits >= 1
