"""Runs one policy on one trace under one scenario, and measures it."""

from collections.abc import Callable
from random import Random
from statistics import quantiles

from bench.model import Clock, Engine, Sequence
from bench.policies import POLICIES
from bench.traces import LENGTH_S, Arrival, User, load_trace

__all__ = ["SCENARIOS", "Outcome", "Scenario", "run"]

ENTRIES = 4
REGIONS = ("west", "east")
DOMAINS = ("west-1", "west-2", "east-1")
LINK_S = 0.03
TICK_S = 0.1
DRAIN_S = 120.0
WARM_UP_S = 15.0
FIRST_TARGET_S = 0.62
GAP_TARGET_S = 0.037
CHARS_PER_TOKEN = 4
EVENT_BYTES = 180
SEED = 2026


class Scenario:
    """What goes wrong in a run.

    `slowed` engines are `factor` times slower in moments of `slow_s`, with
    as long in between. At `reclaim_at` one failure domain gets its notice.
    """

    __slots__ = (
        "factor", "name", "notice_s", "reclaim_at", "refused", "slowed",
        "speed", "with_long",
    )  # fmt: skip

    def __init__(
        self,
        *,
        name: str,
        with_long: bool = True,
        slowed: Callable[[int], int] = lambda count: 0,
        factor: float = 1.0,
        reclaim_at: float | None = None,
        notice_s: float = 30.0,
        refused: bool = False,
        speed: float = 1.0,
    ):
        self.name = name
        self.with_long = with_long
        self.slowed = slowed
        self.factor = factor
        self.reclaim_at = reclaim_at
        self.notice_s = notice_s
        self.refused = refused
        self.speed = speed


def _one(count: int) -> int:
    return 1


def _third(count: int) -> int:
    return count // 3


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(name="planned"),
        Scenario(name="no long work", with_long=False),
        Scenario(name="one slowed x3", slowed=_one, factor=3.0),
        Scenario(name="one slowed x10", slowed=_one, factor=10.0),
        Scenario(name="third slowed x3", slowed=_third, factor=3.0),
        Scenario(name="third slowed x10", slowed=_third, factor=10.0),
        Scenario(name="domain reclaimed", reclaim_at=40.0),
        Scenario(name="reclaimed, refused", reclaim_at=40.0, refused=True),
        Scenario(name="overload x1.5", speed=1.5),
        Scenario(name="overload x3", speed=3.0),
    )
}
REPLACEMENT_S = 25.0
SLOW_MOMENT_S = 8.0


class Outcome:
    """What a run measured; times in seconds."""

    def __init__(self):
        self.first_s: list[float] = []
        self.short_first_s: list[float] = []
        self.gaps_s: list[float] = []
        self.finished = 0
        self.good = 0
        self.good_of: dict[str, int] = {}
        self.asked_of: dict[str, int] = {}
        self.refused = 0
        self.refused_after_s: list[float] = []
        self.cut_off = 0
        self.recomputed_tokens = 0
        self.link_bytes = 0
        self.busy_s = 0.0
        self.moves = 0
        self.asked = 0

    @property
    def cost(self) -> float:
        """Engine seconds per answer within the targets."""
        return self.busy_s / max(1, self.good)

    @property
    def goodput(self) -> float:
        """Share of the requests answered within the targets."""
        return self.good / max(1, self.asked)

    @property
    def fairness(self) -> float:
        """Jain's index of the customers' shares of good answers."""
        shares = [
            self.good_of.get(name, 0) / asked
            for name, asked in self.asked_of.items()
        ]
        squares = sum(share * share for share in shares) * len(shares)
        return sum(shares) ** 2 / squares if squares else 0.0


class Tracked:
    """One request through its attempts; listens to its sequences."""

    __slots__ = (
        "arrival", "at", "engine", "entry", "first_at", "last_at", "late_gaps",
        "produced", "run", "sequence",
    )  # fmt: skip

    def __init__(self, run: "Run", arrival: Arrival, entry: int):
        self.run = run
        self.arrival = arrival
        self.entry = entry
        self.at = run.clock.now
        self.engine: Engine | None = None
        self.sequence: Sequence | None = None
        self.produced = 0
        self.first_at: float | None = None
        self.last_at = 0.0
        self.late_gaps = 0

    def token(self, sequence: Sequence, done: bool) -> None:
        if sequence is not self.sequence:
            return
        run, now = self.run, self.run.clock.now
        policy = run.policies[self.entry]
        if self.produced == sequence.produced - 1 and self.first_at is None:
            self.first_at = now + run.link_s(self)
            policy.first_token(self.arrival, now)
        elif self.last_at:
            gap_s = now - self.last_at
            policy.token_gap(self.arrival, gap_s, now)
            self.late_gaps += gap_s > GAP_TARGET_S
            if self.at >= WARM_UP_S:
                run.outcome.gaps_s.append(gap_s)
        self.last_at = now
        self.produced = sequence.produced
        if done:
            run.finish(self)


class Run:
    """One run: engines, entries with their policies, and the trace."""

    def __init__(self, user: User, policy: str, scenario: Scenario):
        self.clock = Clock()
        self.outcome = Outcome()
        self.scenario = scenario
        self.user = user
        self._rng = Random(SEED + user.seed)
        self.engines = [self._engine(n) for n in range(user.engines)]
        self.policies = [
            POLICIES[policy](
                region=REGIONS[n % 2],
                rng=Random(SEED * 10 + n),
                entries=ENTRIES,
            )
            for n in range(ENTRIES)
        ]
        self.waiting: list[list[Arrival]] = [[] for _ in range(ENTRIES)]
        self.tracked: dict[int, Tracked] = {}
        self.leaving: dict[str, float] = {}
        self._set_engines()

    def go(self) -> Outcome:
        arrivals = load_trace(self.user, with_long=self.scenario.with_long)
        for number, arrival in enumerate(arrivals):
            entry = self._entry_of(arrival, number)
            at = arrival.at / self.scenario.speed
            self.clock.at(at, lambda a=arrival, e=entry: self._arrive(a, e))
        if self.scenario.reclaim_at is not None:
            self.clock.at(self.scenario.reclaim_at, self._notice)
        self.clock.at(TICK_S, self._tick)
        self.clock.run_until(LENGTH_S + DRAIN_S)
        self.outcome.busy_s = sum(engine.busy_s for engine in self.engines)
        return self.outcome

    def link_s(self, tracked: Tracked) -> float:
        region = REGIONS[tracked.entry % 2]
        return LINK_S if tracked.engine.region != region else 0.0

    # Requests

    def _entry_of(self, arrival: Arrival, number: int) -> int:
        """Callers use an entry of their own region."""
        return REGIONS.index(arrival.region) + 2 * (number % (ENTRIES // 2))

    def _arrive(self, arrival: Arrival, entry: int) -> None:
        tracked = Tracked(self, arrival, entry)
        self.tracked[id(arrival)] = tracked
        if tracked.at >= WARM_UP_S:
            asked = self.outcome.asked_of
            asked[arrival.customer] = asked.get(arrival.customer, 0) + 1
            self.outcome.asked += 1
        self._submit(tracked)

    def _submit(self, tracked: Tracked) -> None:
        policy = self.policies[tracked.entry]
        now = self.clock.now
        if not policy.submit(tracked.arrival, tracked.produced, now):
            self._refuse(tracked)
            return
        self.waiting[tracked.entry].append(tracked.arrival)
        self._pump(tracked.entry)

    def _refuse(self, tracked: Tracked) -> None:
        if tracked.at >= WARM_UP_S:
            self.outcome.refused += 1
            waited_s = self.clock.now - tracked.at
            self.outcome.refused_after_s.append(waited_s)

    def _pump(self, entry: int) -> None:
        now = self.clock.now
        policy = self.policies[entry]
        for arrival in policy.expired(now):
            self._refuse(self.tracked[id(arrival)])
        for arrival, name, priority in policy.assign(self.waiting[entry], now):
            self._send(self.tracked[id(arrival)], name, priority)

    def _send(self, tracked: Tracked, name: str, priority: int) -> None:
        engine = next(e for e in self.engines if e.name == name)
        tracked.engine = engine
        tracked.sequence = sequence = Sequence(
            arrival=tracked.arrival,
            produced=tracked.produced,
            priority=priority,
            listener=tracked,
        )
        if engine.region != REGIONS[tracked.entry % 2]:
            size = tracked.arrival.prompt_tokens * CHARS_PER_TOKEN
            left = tracked.arrival.output_tokens - tracked.produced
            self.outcome.link_bytes += size + left * EVENT_BYTES
        at = self.clock.now + self.link_s(tracked)
        self.clock.at(at, lambda: self._reach(engine, sequence, tracked))

    def _reach(self, engine, sequence, tracked) -> None:
        if engine.alive:
            engine.submit(sequence)
        elif tracked.sequence is sequence:
            self._again(tracked)

    def finish(self, tracked: Tracked) -> None:
        outcome, arrival = self.outcome, tracked.arrival
        policy = self.policies[tracked.entry]
        policy.ended(arrival, arrival.output_tokens)
        del self.tracked[id(arrival)]
        if tracked.at >= WARM_UP_S:
            self._measure(tracked)
        self._pump(tracked.entry)
        outcome.finished += 1

    def _measure(self, tracked: Tracked) -> None:
        outcome, arrival = self.outcome, tracked.arrival
        first_s = tracked.first_at - tracked.at
        outcome.first_s.append(first_s)
        if not arrival.long:
            outcome.short_first_s.append(first_s)
        on_time = first_s <= FIRST_TARGET_S
        smooth = tracked.late_gaps <= 0.05 * arrival.output_tokens
        if on_time and smooth:
            outcome.good += 1
            good = outcome.good_of
            good[arrival.customer] = good.get(arrival.customer, 0) + 1

    def _again(self, tracked: Tracked, *, from_scratch: bool = False) -> None:
        """Put a broken-off request back; count what is computed again."""
        policy = self.policies[tracked.entry]
        policy.ended(tracked.arrival, None)
        tracked.sequence.cancelled = True
        tracked.sequence = None
        again = tracked.arrival.prompt_tokens + tracked.produced
        self.outcome.recomputed_tokens += again
        if from_scratch and tracked.produced:
            self.outcome.cut_off += 1
            tracked.produced = 0
        self._submit(tracked)

    # Engines

    def _engine(self, number: int, suffix: str = "") -> Engine:
        domain = DOMAINS[number % len(DOMAINS)]
        scenario = self.scenario
        slowed = number < scenario.slowed(self.user.engines)

        def slow(now: float) -> float:
            moment = int(now / SLOW_MOMENT_S) % 2 == 1
            return scenario.factor if slowed and moment else 1.0

        engine = Engine(
            name=f"m{number}{suffix}",
            region=domain.partition("-")[0],
            failure_domain=domain,
            clock=self.clock,
            rng=Random(SEED + number),
            slow=slow,
        )
        engine.on_report = lambda load: self._report(engine, load)
        engine.on_cache_event = lambda stored, removed: self._cache_event(
            engine, stored, removed
        )
        return engine

    def _report(self, engine: Engine, load: dict) -> None:
        for entry, policy in enumerate(self.policies):
            policy.report(engine.name, load, self.clock.now)
            self._pump(entry)

    def _cache_event(self, engine, stored, removed) -> None:
        for policy in self.policies:
            policy.cache_event(engine.name, stored, removed, self.clock.now)

    def _set_engines(self) -> None:
        usable = [
            engine
            for engine in self.engines
            if engine.alive and engine.name not in self.leaving
        ]
        for policy in self.policies:
            policy.set_engines(usable, self.clock.now)

    def _tick(self) -> None:
        now = self.clock.now
        self._set_engines()
        for tracked in tuple(self.tracked.values()):
            policy = self.policies[tracked.entry]
            if policy.moves and tracked.sequence and tracked.produced:
                self._maybe_move(tracked, policy, now)
        for entry in range(ENTRIES):
            self._pump(entry)
        self.clock.at(now + TICK_S, self._tick)

    def _maybe_move(self, tracked: Tracked, policy, now: float) -> None:
        name = tracked.engine.name
        arrival, produced = tracked.arrival, tracked.produced
        ends_at = self.leaving.get(name)
        leaves = ends_at is not None and policy.must_move(
            arrival, ends_at - now, produced
        )
        if leaves or policy.worth_moving(arrival, name, produced, now):
            self.outcome.moves += 1
            self._again(tracked)

    def _notice(self) -> None:
        """Give one failure domain its notice; ask for replacements."""
        ends_at = self.clock.now + self.scenario.notice_s
        gone = [e for e in self.engines if e.failure_domain == DOMAINS[0]]
        self.leaving = {engine.name: ends_at for engine in gone}
        self._set_engines()
        for engine in gone:
            self.clock.at(ends_at, lambda e=engine: self._reclaim(e))
        if not self.scenario.refused:
            back_at = self.clock.now + REPLACEMENT_S
            self.clock.at(back_at, lambda: self._replace(len(gone)))

    def _reclaim(self, engine: Engine) -> None:
        for sequence in engine.stop():
            tracked = sequence.listener
            if tracked.sequence is sequence:
                policy = self.policies[tracked.entry]
                self._again(tracked, from_scratch=not policy.moves)
        self._set_engines()

    def _replace(self, count: int) -> None:
        # Replacements come up in the domains that are left.
        for number in range(count):
            place = 1 + number % (len(DOMAINS) - 1)
            self.engines.append(self._engine(place + 3 * 10, f"r{number}"))
        self._set_engines()


def run(user: User, policy: str, scenario: str) -> Outcome:
    """Run a policy at a user's size under a named scenario."""
    return Run(user, policy, SCENARIOS[scenario]).go()


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile, infinite where nothing was measured."""
    if len(values) < 2:
        return float("inf")
    return quantiles(values, n=100, method="inclusive")[percent - 1]
