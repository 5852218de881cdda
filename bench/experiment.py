"""Simulates a policy on a trace under a scenario, and measures it."""

from collections.abc import Callable
from random import Random
from statistics import quantiles

from bench.model import Clock, Engine, Sequence
from bench.policies import POLICIES
from bench.traces import TRACE_LENGTH_S, Arrival, User, load_trace

__all__ = ["SCENARIOS", "Outcome", "Scenario", "run"]

ENTRY_COUNT = 4
REGIONS = ("west", "east")
FAILURE_DOMAINS = ("west-1", "west-2", "east-1")
REGION_LINK_DELAY_S = 0.03
TICK_INTERVAL_S = 0.1
# Simulated time after the end of the trace, for requests to finish.
DRAIN_TIME_S = 120.0
# Latencies and goodput leave out requests that arrive earlier.
WARM_UP_TIME_S = 15.0
FIRST_TOKEN_TARGET_S = 0.62
TOKEN_GAP_TARGET_S = 0.037
CHARS_PER_TOKEN = 4
STREAM_EVENT_BYTES = 180
SEED = 2026


class Scenario:
    """The load and the faults of a run.

    `slowed_count` maps the number of engines to the number of slowed ones.
    Those are `slowdown` times slower in periods of SLOW_PERIOD_S that
    alternate with normal ones of the same length. At `reclaim_at` seconds
    one failure domain is announced to be reclaimed `notice_s` later;
    replacements start unless `replacements_refused`. The trace is played
    `load_factor` times faster, without long jobs unless `with_long`.
    """

    __slots__ = (
        "load_factor", "name", "notice_s", "reclaim_at",
        "replacements_refused", "slowdown", "slowed_count", "with_long",
    )  # fmt: skip

    def __init__(
        self,
        *,
        name: str,
        with_long: bool = True,
        slowed_count: Callable[[int], int] = lambda count: 0,
        slowdown: float = 1.0,
        reclaim_at: float | None = None,
        notice_s: float = 30.0,
        replacements_refused: bool = False,
        load_factor: float = 1.0,
    ):
        self.name = name
        self.with_long = with_long
        self.slowed_count = slowed_count
        self.slowdown = slowdown
        self.reclaim_at = reclaim_at
        self.notice_s = notice_s
        self.replacements_refused = replacements_refused
        self.load_factor = load_factor


def _one_engine(count: int) -> int:
    return 1


def _third_of_engines(count: int) -> int:
    return count // 3


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(name="planned"),
        Scenario(name="no long work", with_long=False),
        Scenario(name="one slowed x3", slowed_count=_one_engine, slowdown=3.0),
        Scenario(
            name="one slowed x10", slowed_count=_one_engine, slowdown=10.0
        ),
        Scenario(
            name="third slowed x3",
            slowed_count=_third_of_engines,
            slowdown=3.0,
        ),
        Scenario(
            name="third slowed x10",
            slowed_count=_third_of_engines,
            slowdown=10.0,
        ),
        Scenario(name="domain reclaimed", reclaim_at=40.0),
        Scenario(
            name="reclaimed, refused",
            reclaim_at=40.0,
            replacements_refused=True,
        ),
        Scenario(name="overload x1.5", load_factor=1.5),
        Scenario(name="overload x3", load_factor=3.0),
    )
}
REPLACEMENT_DELAY_S = 25.0
SLOW_PERIOD_S = 8.0


class Outcome:
    """The measures of a run.

    Latencies, refusals and the counts behind goodput leave out requests that
    arrived during the warm-up; the other totals cover the whole run. A
    request is good if its first token and 95% of its token gaps met their
    targets, and cut off if it lost the tokens it had received.
    """

    def __init__(self):
        self.first_token_s: list[float] = []
        self.short_first_token_s: list[float] = []
        self.token_gaps_s: list[float] = []
        self.finished = 0
        self.good = 0
        self.good_by_customer: dict[str, int] = {}
        self.requests_by_customer: dict[str, int] = {}
        self.refused = 0
        self.refused_after_s: list[float] = []
        self.cut_off = 0
        self.recomputed_tokens = 0
        self.link_bytes = 0
        self.busy_s = 0.0
        self.moves = 0
        self.requests = 0

    @property
    def cost(self) -> float:
        """Busy engine seconds per answer within the targets."""
        return self.busy_s / max(1, self.good)

    @property
    def goodput(self) -> float:
        """Share of the requests that were answered within the targets."""
        return self.good / max(1, self.requests)

    @property
    def fairness(self) -> float:
        """Jain's index over each customer's share of good answers."""
        shares = [
            self.good_by_customer.get(name, 0) / requests
            for name, requests in self.requests_by_customer.items()
        ]
        squares = sum(share * share for share in shares) * len(shares)
        return sum(shares) ** 2 / squares if squares else 0.0


class ActiveRequest:
    """A request through all its attempts; the listener of its sequences.

    `entry` is the index of its entry, `late_gaps` the number of token gaps
    above the target, `produced` the number of tokens received.
    """

    __slots__ = (
        "arrival", "arrived_at", "engine", "entry", "first_token_at",
        "last_token_at", "late_gaps", "produced", "sequence", "simulation",
    )  # fmt: skip

    def __init__(self, simulation: "Run", arrival: Arrival, entry: int):
        self.simulation = simulation
        self.arrival = arrival
        self.entry = entry
        self.arrived_at = simulation.clock.now
        self.engine: Engine | None = None
        self.sequence: Sequence | None = None
        self.produced = 0
        self.first_token_at: float | None = None
        self.last_token_at = 0.0
        self.late_gaps = 0

    def on_token(self, sequence: Sequence, done: bool) -> None:
        if sequence is not self.sequence:
            return
        simulation, now = self.simulation, self.simulation.clock.now
        policy = simulation.policies[self.entry]
        if (
            self.produced == sequence.produced - 1
            and self.first_token_at is None
        ):
            self.first_token_at = now + simulation.link_delay_s(self)
            policy.observe_first_token(self.arrival, now)
        elif self.last_token_at:
            gap_s = now - self.last_token_at
            policy.observe_token_gap(self.arrival, gap_s, now)
            self.late_gaps += gap_s > TOKEN_GAP_TARGET_S
            if self.arrived_at >= WARM_UP_TIME_S:
                simulation.outcome.token_gaps_s.append(gap_s)
        self.last_token_at = now
        self.produced = sequence.produced
        if done:
            simulation.finish(self)


class Run:
    """One simulation: engines, entries with a policy each, and a trace."""

    def __init__(self, user: User, policy: str, scenario: Scenario):
        self.clock = Clock()
        self.outcome = Outcome()
        self.scenario = scenario
        self.user = user
        self._rng = Random(SEED + user.seed)
        self.engines = [self._make_engine(n) for n in range(user.engines)]
        self.policies = [
            POLICIES[policy](
                region=REGIONS[n % 2],
                rng=Random(SEED * 10 + n),
                entries=ENTRY_COUNT,
            )
            for n in range(ENTRY_COUNT)
        ]
        self.waiting: list[list[Arrival]] = [[] for _ in range(ENTRY_COUNT)]
        self.requests: dict[int, ActiveRequest] = {}
        self.leave_times: dict[str, float] = {}
        self._update_engines()

    def execute(self) -> Outcome:
        """Play the trace, let requests finish, and return the measures."""
        arrivals = load_trace(self.user, with_long=self.scenario.with_long)
        for number, arrival in enumerate(arrivals):
            entry = self._entry_index(arrival, number)
            at = arrival.arrived_at / self.scenario.load_factor
            self.clock.call_at(
                at, lambda a=arrival, e=entry: self._arrive(a, e)
            )
        if self.scenario.reclaim_at is not None:
            self.clock.call_at(
                self.scenario.reclaim_at, self._announce_reclaim
            )
        self.clock.call_at(TICK_INTERVAL_S, self._tick)
        self.clock.run_until(TRACE_LENGTH_S + DRAIN_TIME_S)
        self.outcome.busy_s = sum(engine.busy_s for engine in self.engines)
        return self.outcome

    def link_delay_s(self, request: ActiveRequest) -> float:
        """Return the one-way delay between a request's entry and engine."""
        region = REGIONS[request.entry % 2]
        return REGION_LINK_DELAY_S if request.engine.region != region else 0.0

    # Requests

    def _entry_index(self, arrival: Arrival, number: int) -> int:
        """Return the entry for a request; callers use one of their region."""
        return REGIONS.index(arrival.region) + 2 * (
            number % (ENTRY_COUNT // 2)
        )

    def _arrive(self, arrival: Arrival, entry: int) -> None:
        request = ActiveRequest(self, arrival, entry)
        self.requests[id(arrival)] = request
        if request.arrived_at >= WARM_UP_TIME_S:
            requests = self.outcome.requests_by_customer
            requests[arrival.customer] = requests.get(arrival.customer, 0) + 1
            self.outcome.requests += 1
        self._submit(request)

    def _submit(self, request: ActiveRequest) -> None:
        policy = self.policies[request.entry]
        now = self.clock.now
        if not policy.submit(request.arrival, request.produced, now):
            self._refuse(request)
            return
        self.waiting[request.entry].append(request.arrival)
        self._dispatch(request.entry)

    def _refuse(self, request: ActiveRequest) -> None:
        if request.arrived_at >= WARM_UP_TIME_S:
            self.outcome.refused += 1
            waited_s = self.clock.now - request.arrived_at
            self.outcome.refused_after_s.append(waited_s)

    def _dispatch(self, entry: int) -> None:
        now = self.clock.now
        policy = self.policies[entry]
        for arrival in policy.drop_expired(now):
            self._refuse(self.requests[id(arrival)])
        for arrival, name, priority in policy.assign(self.waiting[entry], now):
            self._send(self.requests[id(arrival)], name, priority)

    def _send(self, request: ActiveRequest, name: str, priority: int) -> None:
        engine = next(e for e in self.engines if e.name == name)
        request.engine = engine
        request.sequence = sequence = Sequence(
            arrival=request.arrival,
            produced=request.produced,
            priority=priority,
            listener=request,
        )
        if engine.region != REGIONS[request.entry % 2]:
            prompt_bytes = request.arrival.prompt_tokens * CHARS_PER_TOKEN
            remaining_tokens = request.arrival.output_tokens - request.produced
            self.outcome.link_bytes += (
                prompt_bytes + remaining_tokens * STREAM_EVENT_BYTES
            )
        at = self.clock.now + self.link_delay_s(request)
        self.clock.call_at(
            at, lambda: self._deliver(engine, sequence, request)
        )

    def _deliver(self, engine, sequence, request) -> None:
        if engine.alive:
            engine.submit(sequence)
        elif request.sequence is sequence:
            self._resubmit(request)

    def finish(self, request: ActiveRequest) -> None:
        outcome, arrival = self.outcome, request.arrival
        policy = self.policies[request.entry]
        policy.attempt_ended(arrival, arrival.output_tokens)
        del self.requests[id(arrival)]
        if request.arrived_at >= WARM_UP_TIME_S:
            self._record(request)
        self._dispatch(request.entry)
        outcome.finished += 1

    def _record(self, request: ActiveRequest) -> None:
        outcome, arrival = self.outcome, request.arrival
        first_token_s = request.first_token_at - request.arrived_at
        outcome.first_token_s.append(first_token_s)
        if not arrival.long:
            outcome.short_first_token_s.append(first_token_s)
        first_token_on_time = first_token_s <= FIRST_TOKEN_TARGET_S
        gaps_on_time = request.late_gaps <= 0.05 * arrival.output_tokens
        if first_token_on_time and gaps_on_time:
            outcome.good += 1
            good = outcome.good_by_customer
            good[arrival.customer] = good.get(arrival.customer, 0) + 1

    def _resubmit(
        self, request: ActiveRequest, *, from_scratch: bool = False
    ) -> None:
        """Queue an interrupted request again; count the recomputed tokens."""
        policy = self.policies[request.entry]
        policy.attempt_ended(request.arrival, None)
        request.sequence.cancelled = True
        request.sequence = None
        recomputed = request.arrival.prompt_tokens + request.produced
        self.outcome.recomputed_tokens += recomputed
        if from_scratch and request.produced:
            self.outcome.cut_off += 1
            request.produced = 0
        self._submit(request)

    # Engines

    def _make_engine(self, number: int, suffix: str = "") -> Engine:
        failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        scenario = self.scenario
        slowed = number < scenario.slowed_count(self.user.engines)

        def slowdown_at(now: float) -> float:
            in_slow_period = int(now / SLOW_PERIOD_S) % 2 == 1
            return scenario.slowdown if slowed and in_slow_period else 1.0

        engine = Engine(
            name=f"m{number}{suffix}",
            region=failure_domain.partition("-")[0],
            failure_domain=failure_domain,
            clock=self.clock,
            rng=Random(SEED + number),
            slowdown=slowdown_at,
        )
        engine.on_report = lambda load: self._deliver_load(engine, load)
        engine.on_cache_event = lambda stored, removed: (
            self._deliver_cache_event(engine, stored, removed)
        )
        return engine

    def _deliver_load(self, engine: Engine, load: dict) -> None:
        for entry, policy in enumerate(self.policies):
            policy.update_load(engine.name, load, self.clock.now)
            self._dispatch(entry)

    def _deliver_cache_event(self, engine, stored, removed) -> None:
        for policy in self.policies:
            policy.update_cache(engine.name, stored, removed, self.clock.now)

    def _update_engines(self) -> None:
        usable = [
            engine
            for engine in self.engines
            if engine.alive and engine.name not in self.leave_times
        ]
        for policy in self.policies:
            policy.set_engines(usable, self.clock.now)

    def _tick(self) -> None:
        now = self.clock.now
        self._update_engines()
        for request in tuple(self.requests.values()):
            policy = self.policies[request.entry]
            if policy.moves_streams and request.sequence and request.produced:
                self._move_if_useful(request, policy, now)
        for entry in range(ENTRY_COUNT):
            self._dispatch(entry)
        self.clock.call_at(now + TICK_INTERVAL_S, self._tick)

    def _move_if_useful(
        self, request: ActiveRequest, policy, now: float
    ) -> None:
        name = request.engine.name
        arrival, produced = request.arrival, request.produced
        leaves_at = self.leave_times.get(name)
        must_leave = leaves_at is not None and policy.must_move(
            arrival, leaves_at - now, produced
        )
        if must_leave or policy.worth_moving(arrival, name, produced, now):
            self.outcome.moves += 1
            self._resubmit(request)

    def _announce_reclaim(self) -> None:
        """Announce the loss of a failure domain; request replacements."""
        leaves_at = self.clock.now + self.scenario.notice_s
        reclaimed = [
            e for e in self.engines if e.failure_domain == FAILURE_DOMAINS[0]
        ]
        self.leave_times = {engine.name: leaves_at for engine in reclaimed}
        self._update_engines()
        for engine in reclaimed:
            self.clock.call_at(leaves_at, lambda e=engine: self._reclaim(e))
        if not self.scenario.replacements_refused:
            replaced_at = self.clock.now + REPLACEMENT_DELAY_S
            self.clock.call_at(
                replaced_at, lambda: self._add_replacements(len(reclaimed))
            )

    def _reclaim(self, engine: Engine) -> None:
        for sequence in engine.terminate():
            request = sequence.listener
            if request.sequence is sequence:
                policy = self.policies[request.entry]
                self._resubmit(request, from_scratch=not policy.moves_streams)
        self._update_engines()

    def _add_replacements(self, count: int) -> None:
        # Replacements start in the remaining failure domains. Their numbers
        # are above those of the first engines, so none of them is slowed.
        for number in range(count):
            domain_index = 1 + number % (len(FAILURE_DOMAINS) - 1)
            self.engines.append(
                self._make_engine(domain_index + 3 * 10, f"r{number}")
            )
        self._update_engines()


def run(user: User, policy: str, scenario: str) -> Outcome:
    """Simulate a policy on a user's trace under a named scenario.

    Raises KeyError for an unknown policy or scenario.
    """
    return Run(user, policy, SCENARIOS[scenario]).execute()


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile, 1 to 99; infinity for fewer than two values."""
    if len(values) < 2:
        return float("inf")
    return quantiles(values, n=100, method="inclusive")[percent - 1]
