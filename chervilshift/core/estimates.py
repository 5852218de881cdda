"""What an entry believes of one endpoint: load, cache and slowness."""

from collections import OrderedDict

from chervilshift.core.jobs import Job
from chervilshift.core.registry import EndpointInfo, LoadReport

__all__ = ["EndpointEstimate", "InFlightJob"]

REPORT_FADE_S = 5.0
CACHE_BLOCKS = 4096
CACHE_TTL_S = 300.0
SMOOTHING = 0.25
FIRST_WINDOW = 1.5
SHRINK = 0.75
ROOMY = 0.75
SLOWNESS_HALF_LIFE_S = 4.0


class InFlightJob:
    """One of this entry's jobs at the endpoint."""

    __slots__ = (
        "expected_s",
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
        expected_s: float,
    ):
        self.job = job
        self.started_at = started_at
        self.uncached_tokens = uncached_tokens
        self.expected_s = expected_s
        self.first_token_at: float | None = None


class _Smoothed:
    """A moving average that fades back to nothing known."""

    __slots__ = ("_at", "_value")

    def __init__(self):
        self._value = 0.0
        self._at = 0.0

    def add(self, sample: float, now: float) -> None:
        known = self._value or sample
        self._value = known + SMOOTHING * (sample - known)
        self._at = now

    def value(self, now: float) -> float:
        """Return the average, or zero once it is too old."""
        if now - self._at > 4 * SLOWNESS_HALF_LIFE_S:
            return 0.0
        return self._value


class EndpointEstimate:
    """Own work counts at once; reports and observations fade."""

    __slots__ = (
        "_blocks",
        "_gap",
        "_lag",
        "_others_long",
        "_others_running",
        "_reported_at",
        "in_flight",
        "info",
        "long_in_flight",
        "unstarted_tokens",
        "concurrency_limit",
    )

    def __init__(self, *, info: EndpointInfo):
        self.info = info
        self.in_flight: dict[str, InFlightJob] = {}
        self.long_in_flight = 0
        self.unstarted_tokens = 0
        self.concurrency_limit: float | None = None
        self._others_running = 0
        self._others_long = 0
        self._reported_at = float("-inf")
        self._blocks: OrderedDict[int, float] = OrderedDict()
        self._gap = _Smoothed()
        self._lag = _Smoothed()

    # Load

    def update_load(self, load: LoadReport, now: float, entries: int) -> None:
        """Take in the endpoint's own report, which all `entries` hear.

        The window on own work follows it, up by one and down by a share:
        all entries see the same room, late, and would fill it many times.
        """
        total = load.running + load.waiting
        part = self.fair_share(entries)
        if self.concurrency_limit is None:
            self.concurrency_limit = part * FIRST_WINDOW
        if total > self.info.capacity:
            self.concurrency_limit = max(part, self.concurrency_limit * SHRINK)
        elif (
            total <= ROOMY * self.info.capacity
            and len(self.in_flight) >= self.concurrency_limit - 1
        ):
            self.concurrency_limit = min(
                self.info.capacity, self.concurrency_limit + 1
            )
        self._others_running = max(0, total - len(self.in_flight))
        self._others_long = max(0, load.running_long - self.long_in_flight)
        self._reported_at = now

    def running(self, now: float) -> float:
        """Return the estimated number of requests at the endpoint."""
        return len(self.in_flight) + self._others_running * self._trust(now)

    def fair_share(self, entries: int) -> float:
        """Return this entry's part of the endpoint's capacity."""
        return max(1.0, self.info.capacity / max(1, entries))

    def has_capacity(self, capacity: float, entries: int, now: float) -> bool:
        """Tell whether one more job fits, of all and of own work.

        `capacity` is what the endpoint can do now. An entry's own part of
        it is there for it whatever the reports say.
        """
        own = len(self.in_flight)
        scale = capacity / self.info.capacity
        if own < self.fair_share(entries) * scale:
            return True
        if (
            self.concurrency_limit is not None
            and own >= self.concurrency_limit * scale
        ):
            return False
        return self.running(now) < capacity

    def running_long(self, now: float) -> float:
        """Return the estimated number of long requests at the endpoint."""
        return self.long_in_flight + self._others_long * self._trust(now)

    def _trust(self, now: float) -> float:
        age = now - self._reported_at
        return max(0.0, min(1.0, 2.0 - age / REPORT_FADE_S))

    def add_job(self, flight: InFlightJob) -> None:
        """Count a job that was sent."""
        self.in_flight[flight.job.id] = flight
        self.long_in_flight += flight.job.long
        self.unstarted_tokens += flight.uncached_tokens

    def mark_first_token(self, job_id: str, now: float) -> InFlightJob | None:
        """Note a job's first token; its prefill is over."""
        flight = self.in_flight.get(job_id)
        if flight is None or flight.first_token_at is not None:
            return None
        flight.first_token_at = now
        self.unstarted_tokens -= flight.uncached_tokens
        return flight

    def remove_job(self, job_id: str) -> InFlightJob | None:
        """Uncount a job that ended."""
        flight = self.in_flight.pop(job_id, None)
        if flight is None:
            return None
        self.long_in_flight -= flight.job.long
        if flight.first_token_at is None:
            self.unstarted_tokens -= flight.uncached_tokens
        return flight

    # Cache

    def count_cached_blocks(self, job: Job, now: float) -> int:
        """Return how many of the job's blocks are believed cached."""
        count = 0
        for block in job.blocks:
            at = self._blocks.get(block)
            if at is None or now - at > CACHE_TTL_S:
                break
            count += 1
        return count

    def add_cached(
        self, blocks: tuple[int, ...], now: float
    ) -> tuple[int, ...]:
        """Believe blocks cached; return those no longer believed so."""
        for block in blocks:
            self._blocks.pop(block, None)
            self._blocks[block] = now
        dropped = []
        while len(self._blocks) > CACHE_BLOCKS:
            dropped.append(self._blocks.popitem(last=False)[0])
        return tuple(dropped)

    def all_cached_blocks(self) -> tuple[int, ...]:
        """Return all blocks believed cached."""
        return tuple(self._blocks)

    def remove_cached(self, blocks: tuple[int, ...]) -> None:
        """Stop believing blocks cached."""
        for block in blocks:
            self._blocks.pop(block, None)

    # Slowness

    def observe_token_gap(self, seconds: float, now: float) -> None:
        """Note a time between two tokens."""
        self._gap.add(seconds, now)

    def observe_first_token_ratio(self, ratio: float, now: float) -> None:
        """Note how the first token's time compared with the expected."""
        self._lag.add(ratio, now)

    def gap_s(self, now: float) -> float:
        """Return the usual time between tokens, zero if not known."""
        return self._gap.value(now)

    def lag(self, now: float) -> float:
        """Return the usual ratio of first-token times, zero if unknown."""
        return self._lag.value(now)
