"""Decides which waiting request goes to which endpoint, and when.

The dispatcher holds one entry's view. It is told of requests, endpoints,
reports and progress, and answers with assignments; it does no I/O.
"""

from collections.abc import Callable, Iterable, Iterator
from random import Random
from statistics import median

from chervilshift.core.admission import Admission
from chervilshift.core.beliefs import EndpointBelief, Flight
from chervilshift.core.budgets import RatioBudget
from chervilshift.core.jobs import BLOCK_CHARS, CHARS_PER_TOKEN, Job
from chervilshift.core.moves import worth_moving
from chervilshift.core.queues import FairQueue
from chervilshift.core.registry import EndpointInfo, LoadReport
from chervilshift.core.sizes import SizePredictor

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
STRANDED_S = 2.0
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
        self.sizes = SizePredictor()
        self._region = region
        self._rng = rng
        self._beliefs: dict[str, EndpointBelief] = {}
        self._serving: dict[str, list[str]] = {}
        self._holders: dict[int, dict[str, None]] = {}
        self._placed: dict[str, str] = {}
        self._served_at: dict[str, float] = {}
        self.admission = Admission(wait_s=policy.queue_wait_s)
        self.moves = RatioBudget(share=MOVE_SHARE, burst=MOVE_BURST)
        self._usable: frozenset[str] = frozenset()

    # Endpoints

    def set_endpoints(self, infos: Iterable[EndpointInfo], now: float) -> None:
        """Say which endpoints may get new work, all of them."""
        current = {info.id: info for info in infos}
        self._usable = frozenset(current)
        for endpoint in tuple(self._beliefs):
            self._forget_if_gone(endpoint)
        for endpoint, info in current.items():
            belief = self._beliefs.get(endpoint)
            if belief is None:
                self._beliefs[endpoint] = EndpointBelief(info=info)
            else:
                belief.info = info
        serving: dict[str, list[str]] = {}
        for endpoint, info in current.items():
            for target in info.serves:
                serving.setdefault(target, []).append(endpoint)
        self._serving = serving
        self._served_at.update(dict.fromkeys(serving, now))

    def report(self, endpoint: str, load: LoadReport, now: float) -> None:
        """Take in an endpoint's load report."""
        belief = self._beliefs.get(endpoint)
        if belief is not None:
            belief.report(load, now, self.policy.entries)

    def cache_event(
        self,
        endpoint: str,
        *,
        stored: tuple[int, ...] = (),
        removed: tuple[int, ...] = (),
        now: float,
    ) -> None:
        """Take in what an endpoint says of its prefix cache."""
        belief = self._beliefs.get(endpoint)
        if belief is None:
            return
        belief.removed(removed)
        for block in removed:
            self._unhold(block, endpoint)
        self._believe_cached(belief, stored, now)

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
            self.moves.earn()
        self.queue.push(job, front=front)

    def forgive(self, job: Job) -> None:
        """Allow every endpoint again once all of them failed the job."""
        if job.excluded.issuperset(self._serving.get(job.target, ())):
            job.excluded.clear()

    def cancel(self, job: Job) -> None:
        """Forget a job that is queued or placed."""
        if not self.queue.remove(job):
            self.ended(job.id)

    def assign(self, now: float) -> Iterator[Assignment]:
        """Yield assignments until no waiting job can be placed."""
        placed = True
        while placed:
            placed = False
            for job in tuple(self.queue.heads(now)):
                chosen = self._choose(job, now)
                if chosen is None:
                    continue
                self.queue.take(job)
                self.admission.placed(job, now)
                yield self._place(job, chosen, now)
                placed = True
                break

    def expired(self, now: float) -> tuple[Job, ...]:
        """Remove and return the queued jobs whose deadline has passed."""
        return self._drop_if(lambda job: now > job.deadline_at)

    def stranded(self, now: float) -> tuple[Job, ...]:
        """Remove and return jobs that no endpoint has served for a while.

        What has begun stays: its endpoints may have gone in a wave.
        """
        return self._drop_if(
            lambda job: (
                not job.begun
                and now - self._served_at.get(job.target, 0.0) > STRANDED_S
            )
        )

    def _drop_if(self, condition: Callable[[Job], bool]) -> tuple[Job, ...]:
        dropped = tuple(job for job in self.queue if condition(job))
        for job in dropped:
            self.queue.remove(job)
        return dropped

    def first_token(self, job_id: str, now: float) -> None:
        """Note that a placed job produced its first token."""
        belief = self._belief_of(job_id)
        flight = belief.first_token(job_id, now) if belief else None
        if flight is not None:
            taken_s = now - flight.started_at
            belief.observe_first(taken_s / flight.expected_s, now)

    def token_gap(self, job_id: str, seconds: float, now: float) -> None:
        """Note the time between two tokens of a placed job."""
        belief = self._belief_of(job_id)
        if belief is not None:
            belief.observe_gap(seconds, now)

    def ended(self, job_id: str, produced_tokens: int | None = None) -> None:
        """Note that a placed job ended; with its size if it completed."""
        belief = self._belief_of(job_id)
        endpoint = self._placed.pop(job_id, None)
        flight = belief.end(job_id) if belief else None
        if flight is not None and produced_tokens is not None:
            self.sizes.learn(flight.job, produced_tokens)
        if endpoint is not None:
            self._forget_if_gone(endpoint)

    def slowness(self, endpoint: str, now: float) -> float:
        """Return how many times slower than its peers an endpoint is."""
        belief = self._beliefs.get(endpoint)
        return self._slowness(belief, now) if belief else 1.0

    def gap_s(self, endpoint: str, now: float) -> float:
        """Return an endpoint's usual time between tokens, or zero."""
        belief = self._beliefs.get(endpoint)
        return belief.gap_s(now) if belief else 0.0

    def worth_moving(
        self, job: Job, produced_tokens: int, target_gap_s: float, now: float
    ) -> bool:
        """Tell whether a running stream gains by leaving a slow endpoint.

        Never while work waits: a move would take its place in the queue.
        """
        belief = self._belief_of(job.id)
        if belief is None or len(self.queue) or not self.moves.available:
            return False
        gap_s = belief.gap_s(now)
        if gap_s <= target_gap_s:
            return False
        slowness = self._against_peers(belief, gap_s, "gap_s", now)
        remaining = job.predicted_tokens - produced_tokens
        if not worth_moving(slowness, gap_s, remaining, job.prompt_tokens):
            return False
        return self.moves.spend()

    # Choosing

    def _choose(
        self, job: Job, now: float
    ) -> tuple[EndpointBelief, float, int] | None:
        """Return the best endpoint with its score and cached blocks."""
        scored = (
            (self._score(job, belief, now), belief)
            for belief in self._candidates(job)
            if self._has_room(job, belief, now)
        )
        best = min(scored, key=lambda item: item[0], default=None)
        if best is None:
            return None
        score, belief = best
        return belief, score, belief.cached_blocks(job, now)

    def _candidates(self, job: Job) -> Iterator[EndpointBelief]:
        """Yield a few endpoints: holders of the prefix and a sample."""
        serving = self._serving.get(job.target, ())
        wanted = min(self.policy.candidates, len(serving))
        sample = self._rng.sample(serving, wanted)
        holders = self._prefix_holders(job)
        for endpoint in dict.fromkeys((*holders, *sample)):
            belief = self._beliefs.get(endpoint)
            if (
                belief is not None
                and endpoint in self._usable
                and endpoint not in job.excluded
                and job.target in belief.info.serves
            ):
                yield belief

    def _prefix_holders(self, job: Job) -> tuple[str, ...]:
        for block in reversed(job.blocks):
            holders = self._holders.get(block)
            if holders:
                return tuple(holders)
        return ()

    def _has_room(self, job: Job, belief: EndpointBelief, now: float) -> bool:
        capacity = belief.info.capacity
        slowness = self._slowness(belief, now)
        if slowness > SLOW_RATIO:
            capacity = max(1.0, capacity / slowness)
        if not belief.may_take(capacity, self.policy.entries, now):
            return False
        if not job.long:
            return True
        bound = max(1.0, capacity * self.policy.long_share)
        return belief.running_long(now) < bound

    def _score(self, job: Job, belief: EndpointBelief, now: float) -> float:
        """Return the predicted time to the first token, in seconds."""
        cached = belief.cached_blocks(job, now) * BLOCK_TOKENS
        uncached = max(0, job.prompt_tokens - cached)
        prefill_s = (uncached + belief.unstarted_tokens) * PREFILL_S_PER_TOKEN
        queue_s = belief.running(now) * QUEUE_S_PER_REQUEST
        link_s = 0.0 if belief.info.region == self._region else LINK_S
        busy_s = BASE_FIRST_TOKEN_S + prefill_s + queue_s
        return link_s + busy_s * self._slowness(belief, now)

    def _slowness(self, belief: EndpointBelief, now: float) -> float:
        ratios = (
            self._against_peers(belief, belief.gap_s(now), "gap_s", now),
            self._against_peers(belief, belief.lag(now), "lag", now),
        )
        return min(MAX_SLOWNESS, max(1.0, *ratios))

    def _against_peers(
        self, belief: EndpointBelief, own: float, measure: str, now: float
    ) -> float:
        """Return `own` over the median of a sample of peers."""
        if not own:
            return 1.0
        target = belief.info.serves[0] if belief.info.serves else ""
        serving = self._serving.get(target, ())
        sample = self._rng.sample(serving, min(PEERS_SAMPLED, len(serving)))
        peers = [
            value
            for endpoint in sample
            if (value := getattr(self._beliefs[endpoint], measure)(now))
        ]
        return own / median(peers) if peers else 1.0

    # Bookkeeping

    def _place(
        self, job: Job, chosen: tuple[EndpointBelief, float, int], now: float
    ) -> Assignment:
        belief, score, cached = chosen
        uncached = max(0, job.prompt_tokens - cached * BLOCK_TOKENS)
        flight = Flight(
            job=job, started_at=now, uncached=uncached, expected_s=score
        )
        belief.start(flight)
        self._placed[job.id] = belief.info.id
        self._believe_cached(belief, job.blocks, now)
        return Assignment(
            job=job,
            endpoint=belief.info.id,
            expected_s=score,
            reason=(
                f"score {score:.3f} s, {cached} blocks cached, "
                f"{belief.running(now):.0f} running"
            ),
        )

    def _believe_cached(
        self, belief: EndpointBelief, blocks: tuple[int, ...], now: float
    ) -> None:
        endpoint = belief.info.id
        for block in belief.stored(blocks, now):
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

    def _belief_of(self, job_id: str) -> EndpointBelief | None:
        return self._beliefs.get(self._placed.get(job_id, ""))

    def _forget_if_gone(self, endpoint: str) -> None:
        """Drop an endpoint that left while it still had work."""
        belief = self._beliefs.get(endpoint)
        if belief is None or belief.flights:
            return
        if endpoint not in self._usable:
            for block in belief.held_blocks():
                self._unhold(block, endpoint)
            del self._beliefs[endpoint]
