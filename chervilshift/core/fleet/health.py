"""Health of one endpoint, estimated from one gateway's own attempts.

Estimates decay to a neutral value without new samples: an endpoint that is
avoided yields none, so the effect of a short disturbance would otherwise
last.
"""

__all__ = ["DecayingMean", "FailureTally", "Health"]

# Weight of the newest sample in a running mean.
SAMPLE_WEIGHT = 0.2
# Disturbances last some seconds; without samples, a mean's distance from its
# neutral value halves in this time.
DECAY_HALF_LIFE_S = 3.0
# Bounds of one slowness sample, the ratio of actual to expected time.
SLOWNESS_MIN, SLOWNESS_MAX = 0.5, 10.0
# An endpoint with requests in flight that sends nothing for this long pauses.
# It often takes less than this to begin a reply.
PAUSE_S = 0.8
# Largest sample from replies that a pause held up. It tells little of how
# the endpoint will reply when it goes on.
PAUSE_SLOWNESS_MAX = 3.0
# An unreachable endpoint is excluded from selection; the time doubles with
# each exclusion in a row, up to the maximum.
EXCLUSION_S, EXCLUSION_MAX_S = 0.5, 4.0
# An endpoint without attempts for this long, times its slowness, may be tried.
TRIAL_INTERVAL_S = 2.0
# Requests in flight may be without output this long, as during the prefill
# of a long prompt or a slow call.
STALL_GRACE_S = 0.25
# An endpoint that control marks silent is still used after a reply this
# recent.
RECENT_REPLY_S = 3.0


class DecayingMean:
    """A running mean that decays to `neutral` while no samples arrive."""

    __slots__ = ("_neutral", "_updated_at", "_value")

    def __init__(self, *, neutral: float):
        self._neutral = neutral
        self._value = neutral
        self._updated_at = float("-inf")

    def value(self, now: float) -> float:
        """Return the mean, decayed up to `now`."""
        if self._value == self._neutral:
            return self._neutral
        distance = self._value - self._neutral
        return self._neutral + distance * self.weight(now)

    def weight(self, now: float) -> float:
        """Return the part of the mean that has not decayed, 0 to 1."""
        return 0.5 ** (max(0.0, now - self._updated_at) / DECAY_HALF_LIFE_S)

    def add(self, sample: float, now: float) -> None:
        """Add a sample."""
        mean = self.value(now)
        self._value = mean + SAMPLE_WEIGHT * (sample - mean)
        self._updated_at = now


class FailureTally:
    """Sums of the failure rates and weights of a service's endpoints.

    Both decay like those of each endpoint, so the sums are kept without
    visiting the endpoints.
    """

    __slots__ = ("_failures", "_updated_at", "_weights")

    def __init__(self):
        self._failures = 0.0
        self._weights = 0.0
        self._updated_at = float("-inf")

    def add(self, failures: float, weight: float, now: float) -> None:
        """Add changes of one endpoint's failure rate and weight."""
        kept = self._kept(now)
        self._failures = max(0.0, self._failures * kept + failures)
        self._weights = max(0.0, self._weights * kept + weight)
        self._updated_at = max(now, self._updated_at)

    def failures(self, now: float) -> float:
        """Return the sum of the failure rates."""
        return self._failures * self._kept(now)

    def mean_rate(self, now: float) -> float:
        """Return the mean failure rate of the endpoints tried recently."""
        kept = self._kept(now)
        return self._failures * kept / max(1.0, self._weights * kept)

    def _kept(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self._updated_at) / DECAY_HALF_LIFE_S)


class Health:
    """Failure rate, slowness and stalls of one endpoint.

    All times are seconds of the monotonic clock. Changes of the failure rate
    are added to `tally`.
    """

    __slots__ = (
        "_excluded_until",
        "_excluded_as_silent",
        "_exclusions",
        "_failures",
        "_in_flight",
        "_last_activity_at",
        "_resumed_at",
        "_pause_observed",
        "_slowness",
        "_tally",
        "_tried_at",
        "replied_at",
    )

    def __init__(self, *, tally: FailureTally | None = None):
        self._tally = tally
        self._failures = DecayingMean(neutral=0.0)
        self._slowness = DecayingMean(neutral=1.0)
        # Exclusions since the last success.
        self._exclusions = 0
        self._excluded_until = float("-inf")
        self._excluded_as_silent = False
        self._in_flight = 0
        self._last_activity_at = 0.0
        # The last start of an attempt, or reply.
        self._tried_at = float("-inf")
        # The end of the last pause, and whether a reply told of it.
        self._resumed_at = float("-inf")
        self._pause_observed = False
        self.replied_at = float("-inf")

    def record_start(self, now: float) -> None:
        """Record that an attempt starts."""
        if not self._in_flight:
            self._last_activity_at = now
        self._in_flight += 1
        self._tried_at = now

    def record_end(self) -> None:
        """Record that an attempt has ended, with any result."""
        self._in_flight -= 1

    def record_activity(self, now: float) -> None:
        """Record that the endpoint sent data; ends a pause."""
        if self._in_flight and now - self._last_activity_at >= PAUSE_S:
            self._end_pause(now)
        self._last_activity_at = now

    def record_success(self, now: float) -> None:
        """Record a successful reply; ends an exclusion."""
        self.record_activity(now)
        self.replied_at = now
        self._end_exclusion()
        self._add_outcome(0.0, now)

    def record_failure(self, now: float) -> None:
        """Record a failed attempt; excludes a stalled endpoint."""
        self._add_outcome(1.0, now)
        if self.stalled_s(now) and not self.is_excluded(now):
            self._exclude(now)
            self._excluded_as_silent = True

    def record_unreachable(self, now: float) -> None:
        """Record a failed connection; excludes the endpoint for a while.

        Connections that fail while it is excluded were begun before.
        """
        self._add_outcome(1.0, now)
        if not self.is_excluded(now):
            self._exclude(now)

    def observe(self, expected_s: float, actual_s: float, now: float) -> bool:
        """Update the slowness from the time that one reply took.

        Replies that one pause held up are one observation; returns false
        for the further ones.
        """
        self._tried_at = now
        slowness_max = SLOWNESS_MAX
        if now - actual_s < self._resumed_at:
            if self._pause_observed:
                return False
            self._pause_observed = True
            slowness_max = PAUSE_SLOWNESS_MAX
        ratio = actual_s / max(expected_s, 0.01)
        ratio = min(slowness_max, max(SLOWNESS_MIN, ratio))
        self._slowness.add(ratio, now)
        return True

    def failure_rate(self, now: float) -> float:
        """Return the share of attempts that fail, 0 to 1."""
        return self._failures.value(now)

    def failure_weight(self, now: float) -> float:
        """Return how recent the attempts are, 0 to 1, 0 without any."""
        return self._failures.weight(now)

    def expected_failure_rate(self, usual: float, now: float) -> float:
        """Return the failure rate, `usual` as far as attempts are old."""
        rate = self._failures.value(now)
        if not usual:
            return rate
        return rate + usual * (1.0 - self._failures.weight(now))

    def slowness(self, now: float) -> float:
        """Return the ratio of actual to expected reply time."""
        return self._slowness.value(now)

    def may_be_tried(self, now: float) -> bool:
        """Whether an attempt would tell how fast the endpoint is now.

        One that seemed slow yields no new samples while others are faster.
        """
        interval_s = TRIAL_INTERVAL_S * max(1.0, self.slowness(now))
        return (
            not self._in_flight
            and not self.is_excluded(now)
            and now - self._tried_at >= interval_s
        )

    def stalled_s(self, now: float) -> float:
        """Return how long attempts in flight have had no data beyond grace.

        An endpoint that is cut off sends nothing and its connections report
        no error. An endpoint that was silent for some time is likely to stay
        silent for as long again.
        """
        if not self._in_flight:
            return 0.0
        return max(0.0, now - self._last_activity_at - STALL_GRACE_S)

    def is_excluded(self, now: float) -> bool:
        """Whether the endpoint is excluded after a recent failure."""
        return now < self._excluded_until

    def leave_tally(self, now: float) -> None:
        """Take the endpoint's failures out of its service's sums."""
        if self._tally is not None:
            failures = self._failures
            self._tally.add(-failures.value(now), -failures.weight(now), now)

    def _add_outcome(self, failure: float, now: float) -> None:
        rate, weight = self._failures.value(now), self._failures.weight(now)
        self._failures.add(failure, now)
        if self._tally is not None:
            change = self._failures.value(now) - rate
            self._tally.add(change, 1.0 - weight, now)

    def _exclude(self, now: float) -> None:
        exclusion_s = min(EXCLUSION_MAX_S, EXCLUSION_S * 2**self._exclusions)
        self._excluded_until = now + exclusion_s
        self._exclusions += 1
        self._excluded_as_silent = False

    def _end_pause(self, now: float) -> None:
        """Forget what attempts that were given up in the pause told."""
        self._resumed_at = now
        self._pause_observed = False
        self.leave_tally(now)
        self._failures = DecayingMean(neutral=0.0)
        if self._excluded_as_silent:
            self._end_exclusion()

    def _end_exclusion(self) -> None:
        self._exclusions = 0
        self._excluded_until = float("-inf")
        self._excluded_as_silent = False

    def replied_recently(self, now: float) -> bool:
        """Whether a recent reply outweighs control's mark as silent."""
        return now - self.replied_at < RECENT_REPLY_S
