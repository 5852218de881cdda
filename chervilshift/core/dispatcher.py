"""Decides which waiting request goes to which endpoint, and when.

The dispatcher holds one entry's view. It is told of requests, endpoints,
reports and progress, and answers with assignments; it does no I/O.
"""

from collections.abc import Callable, Iterable, Iterator
from random import Random
from statistics import median

from chervilshift.core.admission import Admission
from chervilshift.core.budgets import RatioBudget
from chervilshift.core.estimates import EndpointEstimate, InFlightJob
from chervilshift.core.jobs import BLOCK_CHARS, CHARS_PER_TOKEN, Job
from chervilshift.core.moves import worth_moving
from chervilshift.core.output_lengths import OutputLengthPredictor
from chervilshift.core.queues import FairQueue
from chervilshift.core.registry import EndpointInfo, LoadReport

__all__ = ["Assignment", "Dispatcher", "Policy"]

BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
PREFILL_S_PER_TOKEN = 0.00008
BASE_FIRST_TOKEN_S = 0.03
QUEUE_S_PER_REQUEST = 0.002
LINK_S = 0.03
PEERS_SAMPLED = 15
SLOW_RATIO = 1.5
MAX_SLOWNESS = 20.0
HOLDERS_PER_BLOCK = 8
UNSERVED_TIMEOUT_S = 2.0
MOVE_SHARE = 0.2
MOVE_BURST = 40.0


class Policy:
    """The settings the decisions go by.

    `entries` is how many entries share the endpoints.
    """

    __slots__ = ("candidates", "entries", "long_share", "queue_wait_s")

    def __init__(
        self,
        *,
        candidates: int = 6,
        long_share: float = 0.5,
        queue_wait_s: float = 0.4,
        entries: int = 1,
    ):
        self.entries = entries
        self.candidates = candidates
        self.long_share = long_share
        self.queue_wait_s = queue_wait_s


class Assignment:
    """A job that is to be sent to an endpoint now."""

    __slots__ = ("endpoint", "expected_s", "job", "reason")

    def __init__(
        self, *, job: Job, endpoint: str, expected_s: float, reason: str
    ):
        self.job = job
        self.endpoint = endpoint
        self.expected_s = expected_s
        self.reason = reason


class Dispatcher:
    """Queues, scores and assigns; the caller reports what came of it."""

    def __init__(self, *, policy: Policy, region: str, rng: Random):
        self.policy = policy
        self.queue = FairQueue()
        self.output_lengths = OutputLengthPredictor()
        self._region = region
        self._rng = rng
        self._estimates: dict[str, EndpointEstimate] = {}
        self._serving: dict[str, list[str]] = {}
        self._holders: dict[int, dict[str, None]] = {}
        self._placed: dict[str, str] = {}
        self._served_at: dict[str, float] = {}
        self.admission = Admission(wait_s=policy.queue_wait_s)
        self.move_budget = RatioBudget(share=MOVE_SHARE, burst=MOVE_BURST)
        self._usable: frozenset[str] = frozenset()

    # Endpoints

    def set_endpoints(self, infos: Iterable[EndpointInfo], now: float) -> None:
        """Say which endpoints may get new work, all of them."""
        current = {info.id: info for info in infos}
        self._usable = frozenset(current)
        for endpoint in tuple(self._estimates):
            self._forget_if_gone(endpoint)
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
        self._serving = serving
        self._served_at.update(dict.fromkeys(serving, now))

    def update_load(self, endpoint: str, load: LoadReport, now: float) -> None:
        """Take in an endpoint's load report."""
        estimate = self._estimates.get(endpoint)
        if estimate is not None:
            estimate.update_load(load, now, self.policy.entries)

    def update_cache(
        self,
        endpoint: str,
        *,
        stored: tuple[int, ...] = (),
        removed: tuple[int, ...] = (),
        now: float,
    ) -> None:
        """Take in what an endpoint says of its prefix cache."""
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        estimate.remove_cached(removed)
        for block in removed:
            self._unhold(block, endpoint)
        self._assume_cached(estimate, stored, now)

    def serves(self, target: str) -> bool:
        """Tell whether any endpoint serves `target`."""
        return bool(self._serving.get(target))

    # Jobs

    def admits(self, job: Job, now: float) -> bool:
        """Tell whether a new job should be queued rather than refused."""
        return self.admission.allows(job, self.queue, now)

    def submit(self, job: Job, *, front: bool = False) -> None:
        """Queue a job; `front` for one that is being moved."""
        if not front:
            self.move_budget.deposit()
        self.queue.push(job, front=front)

    def reset_exclusions(self, job: Job) -> None:
        """Allow every endpoint again once all of them failed the job."""
        if job.excluded_endpoints.issuperset(
            self._serving.get(job.target, ())
        ):
            job.excluded_endpoints.clear()

    def cancel(self, job: Job) -> None:
        """Forget a job that is queued or placed."""
        if not self.queue.remove(job):
            self.job_ended(job.id)

    def assign(self, now: float) -> Iterator[Assignment]:
        """Yield assignments until no waiting job can be placed."""
        placed = True
        while placed:
            placed = False
            for job in tuple(self.queue.heads(now)):
                chosen = self._choose(job, now)
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
        """Remove and return jobs that no endpoint has served for a while.

        What has begun stays: its endpoints may have gone in a wave.
        """
        return self._drop_if(
            lambda job: (
                not job.response_started
                and now - self._served_at.get(job.target, 0.0)
                > UNSERVED_TIMEOUT_S
            )
        )

    def _drop_if(self, condition: Callable[[Job], bool]) -> tuple[Job, ...]:
        dropped = tuple(job for job in self.queue if condition(job))
        for job in dropped:
            self.queue.remove(job)
        return dropped

    def observe_first_token(self, job_id: str, now: float) -> None:
        """Note that a placed job produced its first token."""
        estimate = self._estimate_of(job_id)
        flight = estimate.mark_first_token(job_id, now) if estimate else None
        if flight is not None:
            taken_s = now - flight.started_at
            estimate.observe_first_token_ratio(
                taken_s / flight.expected_s, now
            )

    def observe_token_gap(
        self, job_id: str, seconds: float, now: float
    ) -> None:
        """Note the time between two tokens of a placed job."""
        estimate = self._estimate_of(job_id)
        if estimate is not None:
            estimate.observe_token_gap(seconds, now)

    def job_ended(
        self, job_id: str, produced_tokens: int | None = None
    ) -> None:
        """Note that a placed job ended; with its size if it completed."""
        estimate = self._estimate_of(job_id)
        endpoint = self._placed.pop(job_id, None)
        flight = estimate.remove_job(job_id) if estimate else None
        if flight is not None and produced_tokens is not None:
            self.output_lengths.observe(flight.job, produced_tokens)
        if endpoint is not None:
            self._forget_if_gone(endpoint)

    def slowness(self, endpoint: str, now: float) -> float:
        """Return how many times slower than its peers an endpoint is."""
        estimate = self._estimates.get(endpoint)
        return self._slowness(estimate, now) if estimate else 1.0

    def gap_s(self, endpoint: str, now: float) -> float:
        """Return an endpoint's usual time between tokens, or zero."""
        estimate = self._estimates.get(endpoint)
        return estimate.gap_s(now) if estimate else 0.0

    def worth_moving(
        self, job: Job, produced_tokens: int, target_gap_s: float, now: float
    ) -> bool:
        """Tell whether a running stream gains by leaving a slow endpoint.

        Never while work waits: a move would take its place in the queue.
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
        slowness = self._against_peers(estimate, gap_s, "gap_s", now)
        remaining = job.predicted_tokens - produced_tokens
        if not worth_moving(slowness, gap_s, remaining, job.prompt_tokens):
            return False
        return self.move_budget.withdraw()

    # Choosing

    def _choose(
        self, job: Job, now: float
    ) -> tuple[EndpointEstimate, float, int] | None:
        """Return the best endpoint with its score and cached blocks."""
        scored = (
            (self._score(job, estimate, now), estimate)
            for estimate in self._candidates(job)
            if self._has_room(job, estimate, now)
        )
        best = min(scored, key=lambda item: item[0], default=None)
        if best is None:
            return None
        score, estimate = best
        return estimate, score, estimate.count_cached_blocks(job, now)

    def _candidates(self, job: Job) -> Iterator[EndpointEstimate]:
        """Yield a few endpoints: holders of the prefix and a sample."""
        serving = self._serving.get(job.target, ())
        wanted = min(self.policy.candidates, len(serving))
        sample = self._rng.sample(serving, wanted)
        holders = self._prefix_holders(job)
        for endpoint in dict.fromkeys((*holders, *sample)):
            estimate = self._estimates.get(endpoint)
            if (
                estimate is not None
                and endpoint in self._usable
                and endpoint not in job.excluded_endpoints
                and job.target in estimate.info.serves
            ):
                yield estimate

    def _prefix_holders(self, job: Job) -> tuple[str, ...]:
        for block in reversed(job.blocks):
            holders = self._holders.get(block)
            if holders:
                return tuple(holders)
        return ()

    def _has_room(
        self, job: Job, estimate: EndpointEstimate, now: float
    ) -> bool:
        capacity = estimate.info.capacity
        slowness = self._slowness(estimate, now)
        if slowness > SLOW_RATIO:
            capacity = max(1.0, capacity / slowness)
        if not estimate.has_capacity(capacity, self.policy.entries, now):
            return False
        if not job.long:
            return True
        bound = max(1.0, capacity * self.policy.long_share)
        return estimate.running_long(now) < bound

    def _score(
        self, job: Job, estimate: EndpointEstimate, now: float
    ) -> float:
        """Return the predicted time to the first token, in seconds."""
        cached = estimate.count_cached_blocks(job, now) * BLOCK_TOKENS
        uncached = max(0, job.prompt_tokens - cached)
        prefill_s = (
            uncached + estimate.unstarted_tokens
        ) * PREFILL_S_PER_TOKEN
        queue_s = estimate.running(now) * QUEUE_S_PER_REQUEST
        link_s = 0.0 if estimate.info.region == self._region else LINK_S
        busy_s = BASE_FIRST_TOKEN_S + prefill_s + queue_s
        return link_s + busy_s * self._slowness(estimate, now)

    def _slowness(self, estimate: EndpointEstimate, now: float) -> float:
        ratios = (
            self._against_peers(estimate, estimate.gap_s(now), "gap_s", now),
            self._against_peers(estimate, estimate.lag(now), "lag", now),
        )
        return min(MAX_SLOWNESS, max(1.0, *ratios))

    def _against_peers(
        self, estimate: EndpointEstimate, own: float, measure: str, now: float
    ) -> float:
        """Return `own` over the median of a sample of peers."""
        if not own:
            return 1.0
        target = estimate.info.serves[0] if estimate.info.serves else ""
        serving = self._serving.get(target, ())
        sample = self._rng.sample(serving, min(PEERS_SAMPLED, len(serving)))
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
        estimate, score, cached = chosen
        uncached = max(0, job.prompt_tokens - cached * BLOCK_TOKENS)
        flight = InFlightJob(
            job=job, started_at=now, uncached_tokens=uncached, expected_s=score
        )
        estimate.add_job(flight)
        self._placed[job.id] = estimate.info.id
        self._assume_cached(estimate, job.blocks, now)
        return Assignment(
            job=job,
            endpoint=estimate.info.id,
            expected_s=score,
            reason=(
                f"score {score:.3f} s, {cached} blocks cached, "
                f"{estimate.running(now):.0f} running"
            ),
        )

    def _assume_cached(
        self, estimate: EndpointEstimate, blocks: tuple[int, ...], now: float
    ) -> None:
        endpoint = estimate.info.id
        for block in estimate.add_cached(blocks, now):
            self._unhold(block, endpoint)
        for block in blocks:
            holders = self._holders.setdefault(block, {})
            holders[endpoint] = None
            if len(holders) > HOLDERS_PER_BLOCK:
                del holders[next(iter(holders))]

    def _unhold(self, block: int, endpoint: str) -> None:
        """Forget that an endpoint holds a block, and the block with it."""
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.pop(endpoint, None)
        if not holders:
            del self._holders[block]

    def _estimate_of(self, job_id: str) -> EndpointEstimate | None:
        return self._estimates.get(self._placed.get(job_id, ""))

    def _forget_if_gone(self, endpoint: str) -> None:
        """Drop an endpoint that left while it still had work."""
        estimate = self._estimates.get(endpoint)
        if estimate is None or estimate.in_flight:
            return
        if endpoint not in self._usable:
            for block in estimate.all_cached_blocks():
                self._unhold(block, endpoint)
            del self._estimates[endpoint]
