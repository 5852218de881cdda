"""How an endpoint does, by what one gateway sees of its own attempts.

Estimates fade without new samples: an endpoint that is avoided gives none,
and what a disturbance showed must not outlast it for long.
"""

__all__ = ["DecayingMean", "Health"]

# Weight of the newest sample in a running mean.
SAMPLE_WEIGHT = 0.2
# A disturbance lasts some seconds; without samples its trace halves in this.
HALF_LIFE_S = 3.0
SLOWNESS_MIN, SLOWNESS_MAX = 0.5, 10.0
# An unreachable endpoint rests; the rest doubles with each failure in a row.
REST_S, REST_MAX_S = 0.5, 4.0
# Work in hand may be quiet this long: reading a long prompt, or a slow call.
QUIET_GRACE_S = 0.25
# Silent to control, but still used where a reply came this recently.
TRUSTED_FOR_S = 3.0


class DecayingMean:
    """A running mean that returns to `rest` while no samples come."""

    __slots__ = ("_at", "_rest", "_value")

    def __init__(self, *, rest: float):
        self._rest = rest
        self._value = rest
        self._at = 0.0

    def value(self, now: float) -> float:
        """Return the mean as it has faded by `now`."""
        kept = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        return self._rest + (self._value - self._rest) * kept

    def add(self, sample: float, now: float) -> None:
        """Take a sample in."""
        held = self.value(now)
        self._value = held + SAMPLE_WEIGHT * (sample - held)
        self._at = now


class Health:
    """One endpoint's failures, slowness and silence; times in seconds."""

    __slots__ = (
        "_failures",
        "_in_hand",
        "_quiet_since",
        "_rests_until",
        "_slowness",
        "_unreached",
        "replied_at",
    )

    def __init__(self):
        self._failures = DecayingMean(rest=0.0)
        self._slowness = DecayingMean(rest=1.0)
        self._unreached = 0
        self._rests_until = float("-inf")
        self._in_hand = 0
        self._quiet_since = 0.0
        self.replied_at = float("-inf")

    def record_start(self, now: float) -> None:
        """Note that an attempt goes to the endpoint."""
        if not self._in_hand:
            self._quiet_since = now
        self._in_hand += 1

    def record_end(self) -> None:
        """Note that an attempt is over, whatever came of it."""
        self._in_hand -= 1

    def record_activity(self, now: float) -> None:
        """Note that the endpoint sent something."""
        self._quiet_since = now

    def record_success(self, now: float) -> None:
        """Note a good reply."""
        self.record_activity(now)
        self.replied_at = now
        self._unreached = 0
        self._rests_until = float("-inf")
        self._failures.add(0.0, now)

    def record_failure(self, now: float) -> None:
        """Note an attempt that failed; a silent endpoint rests after it."""
        self._failures.add(1.0, now)
        if self.stalled_s(now) and not self.is_excluded(now):
            self._rest(now)

    def record_unreachable(self, now: float) -> None:
        """Note that no connection came about: nothing is sent for a while."""
        self._failures.add(1.0, now)
        self._rest(now)

    def observe(self, expected_s: float, actual_s: float, now: float) -> None:
        """Learn how much longer replies take than expected."""
        ratio = actual_s / max(expected_s, 0.01)
        ratio = min(SLOWNESS_MAX, max(SLOWNESS_MIN, ratio))
        self._slowness.add(ratio, now)

    def failure_rate(self, now: float) -> float:
        """Return the part of attempts that fail, 0 to 1."""
        return self._failures.value(now)

    def slowness(self, now: float) -> float:
        """Return how many times longer than expected replies take."""
        return self._slowness.value(now)

    def stalled_s(self, now: float) -> float:
        """Return how long all attempts in hand have waited in vain.

        Nothing comes from an endpoint that went dark, and no connection
        tells. What was silent for a time is likely silent for as long again.
        """
        if not self._in_hand:
            return 0.0
        return max(0.0, now - self._quiet_since - QUIET_GRACE_S)

    def is_excluded(self, now: float) -> bool:
        """Whether it was unreachable a moment ago."""
        return now < self._rests_until

    def _rest(self, now: float) -> None:
        rest_s = min(REST_MAX_S, REST_S * 2**self._unreached)
        self._rests_until = now + rest_s
        self._unreached += 1

    def replied_recently(self, now: float) -> bool:
        """Whether it replied so recently that control's silence is weaker."""
        return now - self.replied_at < TRUSTED_FOR_S
