"""Retry budget of a service: bounds attempts beyond the first."""

from collections import deque

__all__ = ["RetryBudget", "RetryPolicy"]

# Part of the allowed ratio that a gateway spends; the rest covers retries that
# fall into a later window than the requests that earned them.
PLANNED_RATIO_SHARE = 0.5
# What requests earned is lost after this share of a window. Requests may be
# counted as long before they earn as the rest of the window.
EARNED_LIFETIME_SHARE = 0.75
# What is earned in one such part of a window is kept, and lost, together.
EARNED_PARTS = 8


class RetryPolicy:
    """Retries allowed per service, summed over all gateways.

    In any window of `window_s` seconds, retries may number `ratio` times the
    requests plus `fixed_retries`. The requests are those of that window or of
    the one before, whichever has more.
    """

    __slots__ = ("fixed_retries", "ratio", "window_s")

    def __init__(self, *, ratio: float, fixed_retries: float, window_s: float):
        self.ratio = ratio
        self.fixed_retries = fixed_retries
        self.window_s = window_s


class _Earned:
    """What requests earned in one part of a window.

    `whole` are the permits that were completed in it.
    """

    __slots__ = ("part", "permits", "whole")

    def __init__(self, *, part: int):
        self.part = part
        self.permits = 0.0
        self.whole = 0


class RetryBudget:
    """A gateway's share of a service's budget, in permits of one retry.

    Each request earns a fraction of a permit, which is kept for less than a
    window: retries in a window are earned in it and the one before.

    The gateway's share of `fixed_retries` is spent besides: the budget holds
    up to half of it and refills by that half within one window, so no window
    exceeds the whole share. In a fleet so large that this half is less than
    one permit, it is not spent. It covers that gateways then spend whole
    permits, whose fractions are kept for any time: a gateway with few
    requests would never earn one else. `phase` is the fraction of a permit
    that it begins with, drawn evenly from 0 to 1, so that the gateways
    complete their permits at different times.
    """

    __slots__ = ("_earned", "_fixed", "_fraction", "_policy", "_refilled_at")

    def __init__(self, *, policy: RetryPolicy, now: float, phase: float):
        self._policy = policy
        self._refilled_at = now
        # More than may be held; the first use caps it.
        self._fixed = policy.fixed_retries
        self._fraction = phase
        # The oldest first.
        self._earned: deque[_Earned] = deque()

    def deposit(self, now: float) -> None:
        """Add the permits earned by one client request."""
        part = self._part(now)
        if not self._earned or self._earned[-1].part != part:
            self._expire(now)
            self._earned.append(_Earned(part=part))
        earned = PLANNED_RATIO_SHARE * self._policy.ratio
        whole, self._fraction = divmod(self._fraction + earned, 1)
        self._earned[-1].permits += earned
        self._earned[-1].whole += int(whole)

    def withdraw(self, gateways: int, now: float) -> bool:
        """Use one permit; False if there is none."""
        if not self.available(gateways, now):
            return False
        completed = next((e for e in self._earned if e.whole), None)
        if completed is not None:
            completed.whole -= 1
        needed = 1.0
        # Earned permits first, as they are lost sooner.
        for earned in self._earned:
            used = min(earned.permits, needed)
            earned.permits -= used
            needed -= used
        self._fixed = max(0.0, self._fixed - needed)
        return True

    def available(self, gateways: int, now: float) -> bool:
        """Whether a permit is available; refills the budget first."""
        capacity = self._policy.fixed_retries / 2 / max(1, gateways)
        refill = capacity * (now - self._refilled_at) / self._policy.window_s
        self._fixed = min(capacity, self._fixed + refill)
        self._refilled_at = now
        self._expire(now)
        if capacity < 1:
            return any(earned.whole for earned in self._earned)
        return self._fixed + sum(e.permits for e in self._earned) >= 1

    def _part(self, now: float) -> int:
        return int(now * EARNED_PARTS / self._policy.window_s)

    def _expire(self, now: float) -> None:
        oldest = self._part(now) - int(EARNED_PARTS * EARNED_LIFETIME_SHARE)
        while self._earned and self._earned[0].part <= oldest:
            self._earned.popleft()
