"""Request scheduling: assigns queued requests to endpoints.

A dispatcher holds the state of one entry: its queue and its estimates of the
endpoints. It does no I/O; the caller passes requests, endpoint lists, load
reports and progress in and sends the assignments out.
"""

from collections.abc import Callable, Iterable, Iterator
from random import Random
from statistics import median

from chervilshift.core.admission import Admission
from chervilshift.core.budgets import RatioBudget
from chervilshift.core.estimates import EndpointEstimate, InFlightJob
from chervilshift.core.jobs import CACHE_BLOCK_CHARS, CHARS_PER_TOKEN, Job
from chervilshift.core.moves import worth_moving
from chervilshift.core.output_lengths import OutputLengthPredictor
from chervilshift.core.queues import FairQueue
from chervilshift.core.registry import EndpointInfo, LoadReport

__all__ = ["Assignment", "Dispatcher", "Policy"]

CACHE_BLOCK_TOKENS = CACHE_BLOCK_CHARS // CHARS_PER_TOKEN
# Terms of the predicted time to the first token.
PREFILL_S_PER_TOKEN = 0.00008
BASE_FIRST_TOKEN_S = 0.03
QUEUE_DELAY_S_PER_REQUEST = 0.002
CROSS_REGION_DELAY_S = 0.03

# Endpoints that an endpoint's speed is compared with.
PEER_SAMPLE_SIZE = 15
# Above this ratio to its peers an endpoint gets less than its capacity.
SLOW_ENDPOINT_RATIO = 1.5
MAX_SLOWNESS = 20.0
# Bounds the endpoints that are scored because they cache a prefix.
MAX_HOLDERS_PER_BLOCK = 8
# Queued jobs fail after this time without any endpoint for their target.
UNSERVED_TIMEOUT_S = 2.0
# Budget for moving running streams off slow endpoints.
MOVES_PER_REQUEST = 0.2
MAX_SAVED_MOVES = 40.0


class Policy:
    """Scheduling settings.

    `candidates` is how many endpoints are sampled for each job, `long_share`
    the part of an endpoint's capacity that long jobs may use, `queue_wait_s`
    the longest wait that a short job is queued for, and `entry_count` the
    number of entries that share the endpoints.
    """

    __slots__ = ("candidates", "entry_count", "long_share", "queue_wait_s")

    def __init__(
        self,
        *,
        candidates: int = 6,
        long_share: float = 0.5,
        queue_wait_s: float = 0.4,
        entry_count: int = 1,
    ):
        self.entry_count = entry_count
        self.candidates = candidates
        self.long_share = long_share
        self.queue_wait_s = queue_wait_s


class Assignment:
    """A job to send to an endpoint now.

    `expected_first_token_s` is the predicted time to its first token;
    `reason` explains the choice in logs.
    """

    __slots__ = ("endpoint", "expected_first_token_s", "job", "reason")

    def __init__(
        self,
        *,
        job: Job,
        endpoint: str,
        expected_first_token_s: float,
        reason: str,
    ):
        self.job = job
        self.endpoint = endpoint
        self.expected_first_token_s = expected_first_token_s
        self.reason = reason


class Dispatcher:
    """Queues the jobs of one entry and assigns them to endpoints.

    `now` arguments are monotonic seconds. The caller reports the progress
    and the end of every assigned job.
    """

    def __init__(self, *, policy: Policy, region: str, rng: Random):
        self.policy = policy
        self.queue = FairQueue()
        self.output_lengths = OutputLengthPredictor()
        self._region = region
        self._rng = rng
        self._estimates: dict[str, EndpointEstimate] = {}
        self._endpoints_by_target: dict[str, list[str]] = {}
        self._endpoints_by_block: dict[int, dict[str, None]] = {}
        self._endpoint_by_job: dict[str, str] = {}
        self._last_served_at: dict[str, float] = {}
        self.admission = Admission(max_wait_s=policy.queue_wait_s)
        self.move_budget = RatioBudget(
            share=MOVES_PER_REQUEST, burst=MAX_SAVED_MOVES
        )
        self._usable_endpoints: frozenset[str] = frozenset()

    # Endpoints

    def set_endpoints(self, infos: Iterable[EndpointInfo], now: float) -> None:
        """Replace the set of endpoints that may get new work."""
        current = {info.id: info for info in infos}
        self._usable_endpoints = frozenset(current)
        for endpoint in tuple(self._estimates):
            self._drop_if_gone(endpoint)
        for endpoint, info in current.items():
            estimate = self._estimates.get(endpoint)
            if estimate is None:
                self._estimates[endpoint] = EndpointEstimate(info=info)
            else:
                estimate.info = info
        serving: dict[str, list[str]] = {}
        for endpoint, info in current.items():
            for target in info.serves:
                serving.setdefault(target, []).append(endpoint)
        self._endpoints_by_target = serving
        self._last_served_at.update(dict.fromkeys(serving, now))

    def update_load(self, endpoint: str, load: LoadReport, now: float) -> None:
        """Apply an endpoint's load report, made at `now`."""
        estimate = self._estimates.get(endpoint)
        if estimate is not None:
            estimate.update_load(load, now, self.policy.entry_count)

    def update_cache(
        self,
        endpoint: str,
        *,
        stored: tuple[int, ...] = (),
        removed: tuple[int, ...] = (),
        now: float,
    ) -> None:
        """Apply an endpoint's report of stored and removed cache blocks."""
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        estimate.remove_cached(removed)
        for block in removed:
            self._remove_holder(block, endpoint)
        self._assume_cached(estimate, stored, now)

    def serves(self, target: str) -> bool:
        """Return whether any endpoint serves `target`."""
        return bool(self._endpoints_by_target.get(target))

    # Jobs

    def admits(self, job: Job, now: float) -> bool:
        """Return whether a new job should be queued rather than refused."""
        return self.admission.allows(job, self.queue, now)

    def submit(self, job: Job, *, front: bool = False) -> None:
        """Queue a job.

        With `front`, for a job that was queued before, it is placed before
        its customer's other jobs.
        """
        if not front:
            self.move_budget.deposit()
        self.queue.push(job, front=front)

    def reset_exclusions(self, job: Job) -> None:
        """Clear the job's exclusions if they cover all its endpoints."""
        if job.excluded_endpoints.issuperset(
            self._endpoints_by_target.get(job.target, ())
        ):
            job.excluded_endpoints.clear()

    def cancel(self, job: Job) -> None:
        """Remove a job that is queued or assigned."""
        if not self.queue.remove(job):
            self.job_ended(job.id)

    def assign(self, now: float) -> Iterator[Assignment]:
        """Yield assignments until no queued job can be assigned."""
        placed = True
        while placed:
            placed = False
            for job in tuple(self.queue.heads(now)):
                chosen = self._choose_endpoint(job, now)
                if chosen is None:
                    continue
                self.queue.dequeue(job)
                self.admission.record_placement(job, now)
                yield self._place(job, chosen, now)
                placed = True
                break

    def drop_expired(self, now: float) -> tuple[Job, ...]:
        """Remove and return the queued jobs whose deadline has passed."""
        return self._drop_if(lambda job: now > job.deadline_at)

    def drop_unserved(self, now: float) -> tuple[Job, ...]:
        """Remove and return jobs whose target lost all endpoints.

        They are dropped after `UNSERVED_TIMEOUT_S` without an endpoint. Jobs
        whose response has started stay queued, because a wave of host losses
        may have taken all of their endpoints.
        """
        return self._drop_if(
            lambda job: (
                not job.response_started
                and now - self._last_served_at.get(job.target, 0.0)
                > UNSERVED_TIMEOUT_S
            )
        )

    def _drop_if(self, condition: Callable[[Job], bool]) -> tuple[Job, ...]:
        dropped = tuple(job for job in self.queue if condition(job))
        for job in dropped:
            self.queue.remove(job)
        return dropped

    def observe_first_token(self, job_id: str, now: float) -> None:
        """Record that an assigned job produced its first token."""
        estimate = self._estimate_of(job_id)
        in_flight_job = (
            estimate.mark_first_token(job_id, now) if estimate else None
        )
        if in_flight_job is not None:
            elapsed_s = now - in_flight_job.started_at
            estimate.observe_first_token_ratio(
                elapsed_s / in_flight_job.expected_first_token_s, now
            )

    def observe_token_gap(
        self, job_id: str, seconds: float, now: float
    ) -> None:
        """Record the time between two tokens of an assigned job."""
        estimate = self._estimate_of(job_id)
        if estimate is not None:
            estimate.observe_token_gap(seconds, now)

    def job_ended(
        self, job_id: str, produced_tokens: int | None = None
    ) -> None:
        """Record that an assigned job ended.

        `produced_tokens` is its output length if it completed.
        """
        estimate = self._estimate_of(job_id)
        endpoint = self._endpoint_by_job.pop(job_id, None)
        in_flight_job = estimate.remove_job(job_id) if estimate else None
        if in_flight_job is not None and produced_tokens is not None:
            self.output_lengths.observe(in_flight_job.job, produced_tokens)
        if endpoint is not None:
            self._drop_if_gone(endpoint)

    def slowness(self, endpoint: str, now: float) -> float:
        """Return how many times slower an endpoint is than its peers.

        At least 1.0, which is also returned for an unknown endpoint.
        """
        estimate = self._estimates.get(endpoint)
        return self._slowness(estimate, now) if estimate else 1.0

    def gap_s(self, endpoint: str, now: float) -> float:
        """Return an endpoint's mean time between tokens, 0.0 if unknown."""
        estimate = self._estimates.get(endpoint)
        return estimate.gap_s(now) if estimate else 0.0

    def worth_moving(
        self, job: Job, produced_tokens: int, target_gap_s: float, now: float
    ) -> bool:
        """Return whether to move a running stream off a slow endpoint.

        If so, one move is taken from the budget. A stream whose mean time
        between tokens is at most `target_gap_s` is not moved. Streams are not
        moved while jobs are queued, because a moved stream would be placed
        before them.
        """
        estimate = self._estimate_of(job.id)
        if (
            estimate is None
            or len(self.queue)
            or not self.move_budget.available
        ):
            return False
        gap_s = estimate.gap_s(now)
        if gap_s <= target_gap_s:
            return False
        slowness = self._ratio_to_peers(estimate, gap_s, "gap_s", now)
        remaining = job.predicted_tokens - produced_tokens
        if not worth_moving(slowness, gap_s, remaining, job.prompt_tokens):
            return False
        return self.move_budget.withdraw()

    # Endpoint choice

    def _choose_endpoint(
        self, job: Job, now: float
    ) -> tuple[EndpointEstimate, float, int] | None:
        """Return the endpoint with the lowest score.

        The score and the number of cached blocks are returned with it.
        """
        scored = (
            (self._score(job, estimate, now), estimate)
            for estimate in self._candidates(job)
            if self._has_capacity_for(job, estimate, now)
        )
        best = min(scored, key=lambda item: item[0], default=None)
        if best is None:
            return None
        score, estimate = best
        return estimate, score, estimate.count_cached_blocks(job, now)

    def _candidates(self, job: Job) -> Iterator[EndpointEstimate]:
        """Yield endpoints that cache the job's prefix and a random sample."""
        serving = self._endpoints_by_target.get(job.target, ())
        sample_size = min(self.policy.candidates, len(serving))
        sample = self._rng.sample(serving, sample_size)
        holders = self._prefix_holders(job)
        for endpoint in dict.fromkeys((*holders, *sample)):
            estimate = self._estimates.get(endpoint)
            if (
                estimate is not None
                and endpoint in self._usable_endpoints
                and endpoint not in job.excluded_endpoints
                and job.target in estimate.info.serves
            ):
                yield estimate

    def _prefix_holders(self, job: Job) -> tuple[str, ...]:
        for block in reversed(job.blocks):
            holders = self._endpoints_by_block.get(block)
            if holders:
                return tuple(holders)
        return ()

    def _has_capacity_for(
        self, job: Job, estimate: EndpointEstimate, now: float
    ) -> bool:
        capacity = estimate.info.capacity
        slowness = self._slowness(estimate, now)
        if slowness > SLOW_ENDPOINT_RATIO:
            capacity = max(1.0, capacity / slowness)
        if not estimate.has_capacity(capacity, self.policy.entry_count, now):
            return False
        if not job.long:
            return True
        max_long = max(1.0, capacity * self.policy.long_share)
        return estimate.running_long(now) < max_long

    def _score(
        self, job: Job, estimate: EndpointEstimate, now: float
    ) -> float:
        """Return the predicted time to the first token, in seconds.

        Lower is better. Slowness scales the part spent at the endpoint.
        """
        cached_tokens = (
            estimate.count_cached_blocks(job, now) * CACHE_BLOCK_TOKENS
        )
        uncached_tokens = max(0, job.prompt_tokens - cached_tokens)
        prefill_s = (
            uncached_tokens + estimate.pending_prefill_tokens
        ) * PREFILL_S_PER_TOKEN
        queue_delay_s = estimate.running(now) * QUEUE_DELAY_S_PER_REQUEST
        link_delay_s = (
            0.0
            if estimate.info.region == self._region
            else CROSS_REGION_DELAY_S
        )
        endpoint_s = BASE_FIRST_TOKEN_S + prefill_s + queue_delay_s
        return link_delay_s + endpoint_s * self._slowness(estimate, now)

    def _slowness(self, estimate: EndpointEstimate, now: float) -> float:
        ratios = (
            self._ratio_to_peers(estimate, estimate.gap_s(now), "gap_s", now),
            self._ratio_to_peers(estimate, estimate.lag(now), "lag", now),
        )
        return min(MAX_SLOWNESS, max(1.0, *ratios))

    def _ratio_to_peers(
        self, estimate: EndpointEstimate, own: float, measure: str, now: float
    ) -> float:
        """Return `own` divided by the median of a sample of endpoints.

        `measure` is the name of an estimate's method; endpoints where it
        returns 0.0, for unknown, are left out.
        """
        if not own:
            return 1.0
        target = estimate.info.serves[0] if estimate.info.serves else ""
        serving = self._endpoints_by_target.get(target, ())
        sample = self._rng.sample(serving, min(PEER_SAMPLE_SIZE, len(serving)))
        peers = [
            value
            for endpoint in sample
            if (value := getattr(self._estimates[endpoint], measure)(now))
        ]
        return own / median(peers) if peers else 1.0

    # Bookkeeping

    def _place(
        self, job: Job, chosen: tuple[EndpointEstimate, float, int], now: float
    ) -> Assignment:
        estimate, score, cached_blocks = chosen
        uncached_tokens = max(
            0, job.prompt_tokens - cached_blocks * CACHE_BLOCK_TOKENS
        )
        in_flight_job = InFlightJob(
            job=job,
            started_at=now,
            uncached_tokens=uncached_tokens,
            expected_first_token_s=score,
        )
        estimate.add_job(in_flight_job)
        self._endpoint_by_job[job.id] = estimate.info.id
        self._assume_cached(estimate, job.blocks, now)
        return Assignment(
            job=job,
            endpoint=estimate.info.id,
            expected_first_token_s=score,
            reason=(
                f"predicted first token in {score:.3f} s, "
                f"{cached_blocks} prefix blocks cached, "
                f"{estimate.running(now):.0f} requests running"
            ),
        )

    def _assume_cached(
        self, estimate: EndpointEstimate, blocks: tuple[int, ...], now: float
    ) -> None:
        endpoint = estimate.info.id
        for block in estimate.add_cached(blocks, now):
            self._remove_holder(block, endpoint)
        for block in blocks:
            holders = self._endpoints_by_block.setdefault(block, {})
            holders[endpoint] = None
            if len(holders) > MAX_HOLDERS_PER_BLOCK:
                del holders[next(iter(holders))]

    def _remove_holder(self, block: int, endpoint: str) -> None:
        """Remove an endpoint from a block's holders, and an unheld block."""
        holders = self._endpoints_by_block.get(block)
        if holders is None:
            return
        holders.pop(endpoint, None)
        if not holders:
            del self._endpoints_by_block[block]

    def _estimate_of(self, job_id: str) -> EndpointEstimate | None:
        return self._estimates.get(self._endpoint_by_job.get(job_id, ""))

    def _drop_if_gone(self, endpoint: str) -> None:
        """Drop a removed endpoint once none of its jobs is in flight."""
        estimate = self._estimates.get(endpoint)
        if estimate is None or estimate.in_flight:
            return
        if endpoint not in self._usable_endpoints:
            for block in estimate.all_cached_blocks():
                self._remove_holder(block, endpoint)
            del self._estimates[endpoint]
