"""The policies compared: the product's core, and simple baselines."""

from collections.abc import Callable
from random import Random

from bench.model import Engine
from bench.traces import Arrival
from chervilshift.core.dispatcher import Dispatcher, Policy
from chervilshift.core.jobs import Job
from chervilshift.core.moves import must_move
from chervilshift.core.registry import EndpointInfo, LoadReport

__all__ = ["BASELINES", "POLICIES", "Baseline", "Core"]

TARGET = "desk"
QUEUE_TIMEOUT_S = 1.0
LONG_QUEUE_TIMEOUT_S = 120.0
LONG_OUTPUT_TOKENS = 256
LONG_PROMPT_TOKENS = 2000
TOKEN_GAP_TARGET_S = 0.037

Send = Callable[[Arrival, str, int], None]


class Baseline:
    """Sends every request at once to the endpoint that `rule` picks."""

    moves = False

    def __init__(self, *, rule: Callable, rng: Random, **_: object):
        self._rule = rule
        self._rng = rng
        self._engines: list[str] = []
        self._running: dict[str, int] = {}
        self._at: dict[int, str] = {}
        self._turn = 0

    def set_engines(self, engines: list[Engine], now: float) -> None:
        self._engines = [engine.name for engine in engines]

    def submit(self, arrival: Arrival, produced: int, now: float) -> bool:
        return True

    def assign(self, waiting: list[Arrival], now: float):
        """Yield (arrival, engine, priority) for all that wait."""
        while waiting and self._engines:
            arrival = waiting.pop(0)
            self._turn += 1
            name = self._rule(self)
            self._running[name] = self._running.get(name, 0) + 1
            self._at[id(arrival)] = name
            yield arrival, name, 0

    def ended(self, arrival: Arrival, produced: int | None) -> None:
        name = self._at.pop(id(arrival), None)
        if name is not None:
            self._running[name] -= 1

    def expired(self, now: float) -> list[Arrival]:
        return []

    def first_token(self, arrival: Arrival, now: float) -> None:
        """Baselines do not learn."""

    def token_gap(self, arrival: Arrival, gap_s: float, now: float) -> None:
        """Baselines do not learn."""

    def report(self, name: str, load: dict, now: float) -> None:
        """Baselines do not listen to reports."""

    def cache_event(self, name, stored, removed, now) -> None:
        """Baselines do not listen to cache events."""

    def running(self, name: str) -> int:
        return self._running.get(name, 0)

    def sample(self, count: int) -> list[str]:
        count = min(count, len(self._engines))
        return self._rng.sample(self._engines, count)

    def next_in_turn(self) -> str:
        return self._engines[self._turn % len(self._engines)]

    def least_running(self, names: list[str] | None = None) -> str:
        names = names or self.sample(len(self._engines))
        return min(names, key=self.running)


class Core:
    """Drives the product's dispatcher as an entry does."""

    moves = True

    def __init__(self, *, region: str, rng: Random, entries: int):
        self._dispatcher = Dispatcher(
            policy=Policy(entry_count=entries), region=region, rng=rng
        )
        self._jobs: dict[int, tuple[Job, Arrival]] = {}
        self._arrivals: dict[str, Arrival] = {}
        self._count = 0

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
        known = self._jobs.get(id(arrival))
        if known is None:
            job = self._job(arrival, now)
            if not self._dispatcher.admits(job, now):
                return False
            self._jobs[id(arrival)] = (job, arrival)
            self._arrivals[job.id] = arrival
        else:
            job = known[0]
            job.response_started = True
            job.deadline_at = now + LONG_QUEUE_TIMEOUT_S
        job.prompt_tokens = arrival.prompt_tokens + produced
        self._dispatcher.reset_exclusions(job)
        self._dispatcher.submit(job, front=known is not None)
        return True

    def assign(self, waiting: list[Arrival], now: float):
        """Yield (arrival, engine, priority) as the dispatcher decides."""
        waiting.clear()
        for assignment in self._dispatcher.assign(now):
            job = assignment.job
            arrival = self._arrivals[job.id]
            yield arrival, assignment.endpoint, int(job.long)

    def expired(self, now: float) -> list[Arrival]:
        late = (
            *self._dispatcher.drop_expired(now),
            *self._dispatcher.drop_unserved(now),
        )
        return [self._arrivals[job.id] for job in late]

    def ended(self, arrival: Arrival, produced: int | None) -> None:
        job, _ = self._jobs[id(arrival)]
        self._dispatcher.job_ended(job.id, produced)
        if produced is not None:
            del self._jobs[id(arrival)]
            del self._arrivals[job.id]

    def first_token(self, arrival: Arrival, now: float) -> None:
        self._dispatcher.observe_first_token(self._id(arrival), now)

    def token_gap(self, arrival: Arrival, gap_s: float, now: float) -> None:
        self._dispatcher.observe_token_gap(self._id(arrival), gap_s, now)

    def report(self, name: str, load: dict, now: float) -> None:
        self._dispatcher.update_load(name, LoadReport(**load), now)

    def cache_event(self, name, stored, removed, now) -> None:
        self._dispatcher.update_cache(
            name, stored=stored, removed=removed, now=now
        )

    def must_move(self, arrival, left_s: float, produced: int) -> bool:
        """Tell whether a stream must leave an endpoint with notice."""
        job, _ = self._jobs[id(arrival)]
        return must_move(left_s, job.predicted_tokens - produced, 0.0)

    def worth_moving(self, arrival, name: str, produced: int, now) -> bool:
        """Tell whether a stream gains by leaving a slow endpoint."""
        job, _ = self._jobs[id(arrival)]
        job.prompt_tokens = arrival.prompt_tokens + produced
        moved = self._dispatcher.worth_moving(
            job, produced, TOKEN_GAP_TARGET_S, now
        )
        if moved:
            job.excluded_endpoints.add(name)
        return moved

    def _id(self, arrival: Arrival) -> str:
        return self._jobs[id(arrival)][0].id

    def _job(self, arrival: Arrival, now: float) -> Job:
        self._count += 1
        kind = f"{arrival.customer}/{arrival.blocks[:2]}"
        predicted = self._dispatcher.output_lengths.predict(
            kind, arrival.max_tokens
        )
        long = (
            predicted >= LONG_OUTPUT_TOKENS
            or arrival.prompt_tokens >= LONG_PROMPT_TOKENS
        )
        wait_s = LONG_QUEUE_TIMEOUT_S if long else QUEUE_TIMEOUT_S
        return Job(
            id=str(self._count),
            customer=arrival.customer,
            target=TARGET,
            arrived_at=now,
            deadline_at=now + wait_s,
            prompt_tokens=arrival.prompt_tokens,
            predicted_tokens=predicted,
            blocks=arrival.blocks,
            long=long,
            kind=kind,
        )


def _baseline(rule: Callable) -> Callable:
    def make(**fields: object) -> Baseline:
        return Baseline(rule=rule, **fields)

    return make


BASELINES = {
    "random": _baseline(lambda policy: policy.sample(1)[0]),
    "round robin": _baseline(lambda policy: policy.next_in_turn()),
    "least outstanding": _baseline(lambda policy: policy.least_running()),
    "two choices": _baseline(
        lambda policy: policy.least_running(policy.sample(2))
    ),
}
POLICIES = {**BASELINES, "chervilshift": Core}
