"""An entry's estimate of one endpoint's load, prefix cache and speed."""

from collections import OrderedDict

from chervilshift.core.jobs import Job
from chervilshift.core.registry import EndpointInfo, LoadReport

__all__ = ["EndpointEstimate", "InFlightJob"]

# Reported load counts fully up to this age, then less, and not at all from
# twice this age on.
REPORT_FULL_WEIGHT_S = 5.0
MAX_CACHE_BLOCKS = 4096
CACHE_BLOCK_TTL_S = 300.0
# Weight of a new sample in the moving averages.
SMOOTHING_FACTOR = 0.25
# The concurrency limit starts at this multiple of the fair share. It shrinks
# by the factor on overload and grows by one while the endpoint's load is at
# most the given part of its capacity.
INITIAL_LIMIT_FACTOR = 1.5
LIMIT_DECREASE_FACTOR = 0.75
LIMIT_INCREASE_MAX_LOAD = 0.75
# An average expires four of these periods after its last sample, so that a
# slow endpoint is tried again.
SLOWNESS_IDLE_PERIOD_S = 4.0


class InFlightJob:
    """A job that this entry sent to the endpoint.

    `uncached_tokens` is the part of the prompt to be prefilled there.
    """

    __slots__ = (
        "expected_first_token_s",
        "first_token_at",
        "job",
        "started_at",
        "uncached_tokens",
    )

    def __init__(
        self,
        *,
        job: Job,
        started_at: float,
        uncached_tokens: int,
        expected_first_token_s: float,
    ):
        self.job = job
        self.started_at = started_at
        self.uncached_tokens = uncached_tokens
        self.expected_first_token_s = expected_first_token_s
        self.first_token_at: float | None = None


class _ExpiringAverage:
    """An exponential moving average that expires without new samples."""

    __slots__ = ("_sampled_at", "_average")

    def __init__(self):
        self._average = 0.0
        self._sampled_at = 0.0

    def add(self, sample: float, now: float) -> None:
        previous = self._average or sample
        self._average = previous + SMOOTHING_FACTOR * (sample - previous)
        self._sampled_at = now

    def value(self, now: float) -> float:
        """Return the average, 0.0 without samples or once it expired."""
        if now - self._sampled_at > 4 * SLOWNESS_IDLE_PERIOD_S:
            return 0.0
        return self._average


class EndpointEstimate:
    """Estimates of one endpoint as seen by one entry.

    This entry's own jobs count exactly and at once. Load reports lose weight
    with age, and averages of observations expire.
    """

    __slots__ = (
        "_cached_at",
        "_token_gap",
        "_first_token_ratio",
        "_others_running_long",
        "_others_running",
        "_reported_at",
        "concurrency_limit",
        "in_flight",
        "info",
        "long_in_flight",
        "pending_prefill_tokens",
    )

    def __init__(self, *, info: EndpointInfo):
        self.info = info
        self.in_flight: dict[str, InFlightJob] = {}
        self.long_in_flight = 0
        self.pending_prefill_tokens = 0
        self.concurrency_limit: float | None = None
        self._others_running = 0
        self._others_running_long = 0
        self._reported_at = float("-inf")
        self._cached_at: OrderedDict[int, float] = OrderedDict()
        self._token_gap = _ExpiringAverage()
        self._first_token_ratio = _ExpiringAverage()

    # Load

    def update_load(
        self, load: LoadReport, now: float, entry_count: int
    ) -> None:
        """Apply a load report, which all `entry_count` entries receive.

        The limit on this entry's own concurrency is adapted to it. All
        entries see the same free capacity late and would fill it many times
        over, so the limit grows by one and shrinks by a factor.
        """
        total = load.running + load.waiting
        fair_share = self.fair_share(entry_count)
        if self.concurrency_limit is None:
            self.concurrency_limit = fair_share * INITIAL_LIMIT_FACTOR
        if total > self.info.capacity:
            self.concurrency_limit = max(
                fair_share, self.concurrency_limit * LIMIT_DECREASE_FACTOR
            )
        elif (
            total <= LIMIT_INCREASE_MAX_LOAD * self.info.capacity
            and len(self.in_flight) >= self.concurrency_limit - 1
        ):
            self.concurrency_limit = min(
                self.info.capacity, self.concurrency_limit + 1
            )
        self._others_running = max(0, total - len(self.in_flight))
        self._others_running_long = max(
            0, load.running_long - self.long_in_flight
        )
        self._reported_at = now

    def running(self, now: float) -> float:
        """Return the estimated number of requests at the endpoint."""
        return len(
            self.in_flight
        ) + self._others_running * self._report_weight(now)

    def fair_share(self, entry_count: int) -> float:
        """Return this entry's equal share of the capacity, at least 1.0."""
        return max(1.0, self.info.capacity / max(1, entry_count))

    def has_capacity(
        self, capacity: float, entry_count: int, now: float
    ) -> bool:
        """Return whether the endpoint can take one more job.

        `capacity` is the number of requests that it can handle now, which is
        below its nominal capacity if it is slow. The entry may always use
        its fair share; beyond that, its concurrency limit and the estimated
        total load apply.
        """
        in_flight = len(self.in_flight)
        scale = capacity / self.info.capacity
        if in_flight < self.fair_share(entry_count) * scale:
            return True
        if (
            self.concurrency_limit is not None
            and in_flight >= self.concurrency_limit * scale
        ):
            return False
        return self.running(now) < capacity

    def running_long(self, now: float) -> float:
        """Return the estimated number of long requests at the endpoint."""
        return (
            self.long_in_flight
            + self._others_running_long * self._report_weight(now)
        )

    def _report_weight(self, now: float) -> float:
        age = now - self._reported_at
        return max(0.0, min(1.0, 2.0 - age / REPORT_FULL_WEIGHT_S))

    def add_job(self, in_flight_job: InFlightJob) -> None:
        """Add a job that was sent."""
        self.in_flight[in_flight_job.job.id] = in_flight_job
        self.long_in_flight += in_flight_job.job.long
        self.pending_prefill_tokens += in_flight_job.uncached_tokens

    def mark_first_token(self, job_id: str, now: float) -> InFlightJob | None:
        """Record a job's first token, which ends its prefill.

        Returns None for an unknown job or a repeated call.
        """
        in_flight_job = self.in_flight.get(job_id)
        if in_flight_job is None or in_flight_job.first_token_at is not None:
            return None
        in_flight_job.first_token_at = now
        self.pending_prefill_tokens -= in_flight_job.uncached_tokens
        return in_flight_job

    def remove_job(self, job_id: str) -> InFlightJob | None:
        """Remove a job that ended; return None if it is unknown."""
        in_flight_job = self.in_flight.pop(job_id, None)
        if in_flight_job is None:
            return None
        self.long_in_flight -= in_flight_job.job.long
        if in_flight_job.first_token_at is None:
            self.pending_prefill_tokens -= in_flight_job.uncached_tokens
        return in_flight_job

    # Cache

    def count_cached_blocks(self, job: Job, now: float) -> int:
        """Return how many leading blocks of the prompt are likely cached."""
        count = 0
        for block in job.blocks:
            at = self._cached_at.get(block)
            if at is None or now - at > CACHE_BLOCK_TTL_S:
                break
            count += 1
        return count

    def add_cached(
        self, blocks: tuple[int, ...], now: float
    ) -> tuple[int, ...]:
        """Mark blocks as cached; return those evicted beyond the bound."""
        for block in blocks:
            self._cached_at.pop(block, None)
            self._cached_at[block] = now
        evicted = []
        while len(self._cached_at) > MAX_CACHE_BLOCKS:
            evicted.append(self._cached_at.popitem(last=False)[0])
        return tuple(evicted)

    def all_cached_blocks(self) -> tuple[int, ...]:
        """Return all blocks marked as cached."""
        return tuple(self._cached_at)

    def remove_cached(self, blocks: tuple[int, ...]) -> None:
        """Unmark blocks that are no longer cached."""
        for block in blocks:
            self._cached_at.pop(block, None)

    # Speed

    def observe_token_gap(self, seconds: float, now: float) -> None:
        """Record a time between two tokens."""
        self._token_gap.add(seconds, now)

    def observe_first_token_ratio(self, ratio: float, now: float) -> None:
        """Record an actual over the expected time to the first token."""
        self._first_token_ratio.add(ratio, now)

    def gap_s(self, now: float) -> float:
        """Return the mean time between tokens, 0.0 if unknown."""
        return self._token_gap.value(now)

    def lag(self, now: float) -> float:
        """Return the mean ratio of actual to expected first-token time.

        0.0 if unknown.
        """
        return self._first_token_ratio.value(now)
