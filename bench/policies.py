"""The routing policies under comparison.

These are the product's dispatcher and simple baselines. `Run` in
bench.experiment calls them through one interface, most of whose methods are
named after those of the dispatcher.
"""

from collections.abc import Callable
from random import Random

from bench.model import Engine
from bench.traces import Arrival
from chervilshift.core.dispatcher import Dispatcher, Policy
from chervilshift.core.jobs import Job
from chervilshift.core.moves import must_move
from chervilshift.core.registry import EndpointInfo, LoadReport

__all__ = ["BASELINES", "POLICIES", "Baseline", "DispatcherPolicy"]

TARGET = "desk"
SHORT_QUEUE_TIMEOUT_S = 1.0
LONG_QUEUE_TIMEOUT_S = 120.0
LONG_MIN_OUTPUT_TOKENS = 256
LONG_MIN_PROMPT_TOKENS = 2000
TOKEN_GAP_TARGET_S = 0.037

Send = Callable[[Arrival, str, int], None]


class Baseline:
    """Assigns every request at once to the engine that `rule` picks.

    `rule` gets the baseline and returns the name of an engine. An
    interrupted request starts from scratch.
    """

    moves_streams = False

    def __init__(self, *, rule: Callable, rng: Random, **_: object):
        self._rule = rule
        self._rng = rng
        self._engines: list[str] = []
        self._running: dict[str, int] = {}
        self._engine_by_arrival: dict[int, str] = {}
        self._assigned_count = 0

    def set_engines(self, engines: list[Engine], now: float) -> None:
        self._engines = [engine.name for engine in engines]

    def submit(self, arrival: Arrival, produced: int, now: float) -> bool:
        return True

    def assign(self, waiting: list[Arrival], now: float):
        """Yield (arrival, engine name, priority) for all waiting requests.

        Removes each from `waiting`.
        """
        while waiting and self._engines:
            arrival = waiting.pop(0)
            self._assigned_count += 1
            name = self._rule(self)
            self._running[name] = self._running.get(name, 0) + 1
            self._engine_by_arrival[id(arrival)] = name
            yield arrival, name, 0

    def attempt_ended(self, arrival: Arrival, produced: int | None) -> None:
        """End an attempt; `produced` is None if the request goes on."""
        name = self._engine_by_arrival.pop(id(arrival), None)
        if name is not None:
            self._running[name] -= 1

    def drop_expired(self, now: float) -> list[Arrival]:
        return []

    def observe_first_token(self, arrival: Arrival, now: float) -> None:
        """Baselines ignore measured latencies."""

    def observe_token_gap(
        self, arrival: Arrival, gap_s: float, now: float
    ) -> None:
        """Baselines ignore measured latencies."""

    def update_load(self, name: str, load: dict, now: float) -> None:
        """Baselines ignore load reports."""

    def update_cache(self, name, stored, removed, now) -> None:
        """Baselines ignore cache events."""

    def running(self, name: str) -> int:
        return self._running.get(name, 0)

    def sample(self, count: int) -> list[str]:
        count = min(count, len(self._engines))
        return self._rng.sample(self._engines, count)

    def next_round_robin(self) -> str:
        return self._engines[self._assigned_count % len(self._engines)]

    def least_running(self, names: list[str] | None = None) -> str:
        # A random order of all engines breaks ties at random.
        names = names or self.sample(len(self._engines))
        return min(names, key=self.running)


class DispatcherPolicy:
    """Calls the product's dispatcher in the way an entry does."""

    moves_streams = True

    def __init__(self, *, region: str, rng: Random, entries: int):
        self._dispatcher = Dispatcher(
            policy=Policy(entry_count=entries), region=region, rng=rng
        )
        self._jobs_by_arrival: dict[int, tuple[Job, Arrival]] = {}
        self._arrivals_by_job: dict[str, Arrival] = {}
        self._job_count = 0

    def set_engines(self, engines: list[Engine], now: float) -> None:
        infos = [
            EndpointInfo(
                id=engine.name,
                address=engine.name,
                host=engine.name,
                failure_domain=engine.failure_domain,
                region=engine.region,
                kind="engine",
                serves=(TARGET,),
                capacity=16,
            )
            for engine in engines
        ]
        self._dispatcher.set_endpoints(infos, now)

    def submit(self, arrival: Arrival, produced: int, now: float) -> bool:
        """Queue a request; return False if it is refused.

        A request that was interrupted is never refused; it is queued at the
        front with a new deadline.
        """
        existing = self._jobs_by_arrival.get(id(arrival))
        if existing is None:
            job = self._make_job(arrival, now)
            if not self._dispatcher.admits(job, now):
                return False
            self._jobs_by_arrival[id(arrival)] = (job, arrival)
            self._arrivals_by_job[job.id] = arrival
        else:
            job = existing[0]
            job.response_started = True
            job.deadline_at = now + LONG_QUEUE_TIMEOUT_S
        job.prompt_tokens = arrival.prompt_tokens + produced
        self._dispatcher.reset_exclusions(job)
        self._dispatcher.submit(job, front=existing is not None)
        return True

    def assign(self, waiting: list[Arrival], now: float):
        """Yield (arrival, engine name, priority) as the dispatcher decides."""
        # The dispatcher queues the requests itself.
        waiting.clear()
        for assignment in self._dispatcher.assign(now):
            job = assignment.job
            arrival = self._arrivals_by_job[job.id]
            yield arrival, assignment.endpoint, int(job.long)

    def drop_expired(self, now: float) -> list[Arrival]:
        dropped = (
            *self._dispatcher.drop_expired(now),
            *self._dispatcher.drop_unserved(now),
        )
        return [self._arrivals_by_job[job.id] for job in dropped]

    def attempt_ended(self, arrival: Arrival, produced: int | None) -> None:
        """End an attempt; `produced` is None if the request goes on."""
        job, _ = self._jobs_by_arrival[id(arrival)]
        self._dispatcher.job_ended(job.id, produced)
        if produced is not None:
            del self._jobs_by_arrival[id(arrival)]
            del self._arrivals_by_job[job.id]

    def observe_first_token(self, arrival: Arrival, now: float) -> None:
        self._dispatcher.observe_first_token(self._job_id(arrival), now)

    def observe_token_gap(
        self, arrival: Arrival, gap_s: float, now: float
    ) -> None:
        self._dispatcher.observe_token_gap(self._job_id(arrival), gap_s, now)

    def update_load(self, name: str, load: dict, now: float) -> None:
        self._dispatcher.update_load(name, LoadReport(**load), now)

    def update_cache(self, name, stored, removed, now) -> None:
        self._dispatcher.update_cache(
            name, stored=stored, removed=removed, now=now
        )

    def must_move(self, arrival, leaves_in_s: float, produced: int) -> bool:
        """Return whether a stream can't finish before its engine leaves.

        The engine leaves in `leaves_in_s` seconds.
        """
        job, _ = self._jobs_by_arrival[id(arrival)]
        return must_move(leaves_in_s, job.predicted_tokens - produced, 0.0)

    def worth_moving(self, arrival, name: str, produced: int, now) -> bool:
        """Return whether to move a stream off a slow engine.

        If so, the job excludes that engine from now on.
        """
        job, _ = self._jobs_by_arrival[id(arrival)]
        job.prompt_tokens = arrival.prompt_tokens + produced
        moves = self._dispatcher.worth_moving(
            job, produced, TOKEN_GAP_TARGET_S, now
        )
        if moves:
            job.excluded_endpoints.add(name)
        return moves

    def _job_id(self, arrival: Arrival) -> str:
        return self._jobs_by_arrival[id(arrival)][0].id

    def _make_job(self, arrival: Arrival, now: float) -> Job:
        self._job_count += 1
        kind = f"{arrival.customer}/{arrival.blocks[:2]}"
        predicted_tokens = self._dispatcher.output_lengths.predict(
            kind, arrival.max_tokens
        )
        long = (
            predicted_tokens >= LONG_MIN_OUTPUT_TOKENS
            or arrival.prompt_tokens >= LONG_MIN_PROMPT_TOKENS
        )
        timeout_s = LONG_QUEUE_TIMEOUT_S if long else SHORT_QUEUE_TIMEOUT_S
        return Job(
            id=str(self._job_count),
            customer=arrival.customer,
            target=TARGET,
            arrived_at=now,
            deadline_at=now + timeout_s,
            prompt_tokens=arrival.prompt_tokens,
            predicted_tokens=predicted_tokens,
            blocks=arrival.blocks,
            long=long,
            kind=kind,
        )


def _baseline_factory(rule: Callable) -> Callable:
    def create(**settings: object) -> Baseline:
        return Baseline(rule=rule, **settings)

    return create


BASELINES = {
    "random": _baseline_factory(lambda policy: policy.sample(1)[0]),
    "round robin": _baseline_factory(lambda policy: policy.next_round_robin()),
    "least outstanding": _baseline_factory(
        lambda policy: policy.least_running()
    ),
    "two choices": _baseline_factory(
        lambda policy: policy.least_running(policy.sample(2))
    ),
}
POLICIES = {**BASELINES, "chervilshift": DispatcherPolicy}
