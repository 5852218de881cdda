"""Levels under the loads of overload control, played with arithmetic fakes.

In a burst everything within the customers' limits was sent to the engines:
half of the requests were late, the most urgent as often as the others.
"""

from collections import defaultdict, deque
from heapq import heappop, heappush
from itertools import count, pairwise
from random import Random
from time import process_time

import pytest

from chervilshift.core.fleet.room import (
    ClassRoom,
    RoomGate,
    RoomLevel,
    RoomPlanner,
    RoomReport,
)

STEP_S = 0.01
INTERVAL_S = 0.25
SERVICE = "model"
# Priority, requests per second, prompt tokens, objective, deadline. Prompts
# are read whole: after a burst or a loss, caches are cold.
LOAD_A = (
    (2, 170, 9_190, 1.535, 5.1),
    (0, 117, 2_368, 0.52, 3.1),
    (1, 41, 715, 0.6, 15.0),
)
LOAD_B = (
    (0, 130, 9_190, 1.0, 6.1),
    (1, 152, 2_368, 1.5, 4.0),
    (1, 47, 715, 2.0, 15.0),
)
# Engines, prefill tokens per second and gateways.
FLEET_A = (LOAD_A, 45, 93_600.0, 65)
FLEET_B = (LOAD_B, 70, 39_300.0, 24)
BURST_S = (4.0, 9.0)


class Fleet:
    """Engines that read prompts in turn, gateways and a leader.

    A gateway takes the least loaded of three engines by the load that all
    had at its last report, and what it sent since.
    """

    def __init__(self, fleet, *, delay_s: float, seed: int, levels: bool):
        self.load, engines, self.tokens_per_s, gateways = fleet
        self.rng = Random(seed)
        self.now = 0.0
        self.delay_s = delay_s
        self.levels = levels
        self.busy_until = [0.0] * engines
        self.gates = [RoomGate(rng=Random(n)) for n in range(gateways)]
        self.known = [[0.0] * engines for _ in range(gateways)]
        self.planner = RoomPlanner()
        self.leads = True
        self.reports = {}
        self.on_the_way = deque()
        self.news = {}
        self.events = []
        self.order = count()
        self.ends = defaultdict(list)
        self.history = []

    def run(self, until_s: float, factor) -> None:
        while self.now < until_s:
            self.now += STEP_S
            self._deliver()
            for load in self.load:
                rate = load[1] * factor(self.now) * STEP_S
                for _ in range(int(rate) + (self.rng.random() < rate % 1)):
                    self._request(load, self.now, self.now + load[4], 0)
            while self.events and self.events[0][0] <= self.now:
                heappop(self.events)[2]()

    def lose(self, share: float) -> None:
        kept = round(len(self.busy_until) * (1 - share))
        self.busy_until = self.busy_until[:kept]

    def _at(self, at, call) -> None:
        heappush(self.events, (at, next(self.order), call))

    def _deliver(self) -> None:
        step = round(self.now / STEP_S)
        per_interval = round(INTERVAL_S / STEP_S)
        for number, gate in enumerate(self.gates):
            if (step + number) % per_interval == 0:
                report = gate.report(self.now)
                at = self.now + self.delay_s
                self.on_the_way.append((at, number, report))
                self.known[number] = [
                    max(0.0, b - self.now) for b in self.busy_until
                ]
                if self.leads:
                    news = self.news
                    self._at(at, lambda g=gate, n=news: g.apply(n, self.now))
        while self.on_the_way and self.on_the_way[0][0] <= self.now:
            _, number, report = self.on_the_way.popleft()
            self.reports[number] = report
        if self.leads and step % per_interval == 0:
            found = self.planner.plan(self.reports.values(), self.now)
            self.news = found if self.levels else {}
            level = found.get(SERVICE)
            self.history.append((self.now, level))

    def _request(self, load, arrived_at, deadline, attempt) -> None:
        priority, _, tokens, objective_s, _ = load
        number = self.rng.randrange(len(self.gates))
        gate, known = self.gates[number], self.known[number]
        ticket = gate.arrive(
            SERVICE, priority, objective_s, self.now + objective_s
        )
        if not gate.admits(SERVICE, priority):
            ticket.refused()
            wait_s = gate.retry_after_s(SERVICE, deadline - self.now)
            if attempt == 0:
                self._at(
                    self.now + wait_s,
                    lambda: self._request(load, self.now, deadline, 1),
                )
            else:
                self._end(load, "refused")
            return
        tried = self.rng.sample(range(len(self.busy_until)), 3)
        engine = min(tried, key=lambda e: known[e])
        work_s = tokens / self.tokens_per_s
        known[engine] += work_s
        ticket.sent(tokens)
        done_at = max(self.now, self.busy_until[engine]) + work_s
        if done_at > deadline:
            # It is given up; the engine skips it.
            self._at(deadline, ticket.ended)
            self._at(deadline, lambda: self._end(load, "lost"))
            return
        self.busy_until[engine] = done_at
        in_time = done_at - arrived_at <= objective_s
        self._at(done_at, lambda: ticket.answered(self.now))
        end = "in time" if in_time else "late"
        self._at(done_at, lambda: self._end(load, end))

    def _end(self, load, end) -> None:
        self.ends[load[0]].append((self.now, end))

    def share(self, priority, end="in time", since=0.0) -> float:
        ends = [e for at, e in self.ends[priority] if at >= since]
        return ends.count(end) / max(1, len(ends))

    def value(self) -> float:
        worth = {"in time": 1.0, "late": 0.1}
        weight = {0: 3.0}
        return sum(
            weight.get(p, 1.0) * worth.get(end, 0.0)
            for p, ends in self.ends.items()
            for _, end in ends
        ) / sum(weight.get(p, 1.0) * len(e) for p, e in self.ends.items())

    def changes(self) -> int:
        """Return how often the level turned from falling to rising."""
        cuts = [
            0.0 if i is None else 9 - i.priority + 1 - i.share
            for _, i in self.history
        ]
        moves = [b - a for a, b in pairwise(cuts) if a != b]
        return sum(a > 0 > b for a, b in pairwise(moves))


def burst(factor):
    return lambda now: factor if BURST_S[0] <= now < BURST_S[1] else 1.0


def played(fleet, factor, loss, delay_s, *, levels=True, seed=1) -> Fleet:
    """Return the fleet after a burst, at whose start engines are lost."""
    found = Fleet(fleet, delay_s=delay_s, seed=seed, levels=levels)
    found.run(BURST_S[0], burst(factor))
    found.lose(loss)
    found.run(18.0, burst(factor))
    return found


@pytest.mark.parametrize("delay_s", [0.1, 0.5])
@pytest.mark.parametrize(
    ("fleet", "factor", "loss"),
    [(FLEET_A, 2.3, 0.25), (FLEET_B, 2.3, 0.25), (FLEET_B, 1.7, 0.25)],
)
def test_levels_bring_the_urgent_in_time_and_starve_nobody(
    fleet, factor, loss, delay_s
):
    before = played(fleet, factor, loss, delay_s, levels=False)
    after = played(fleet, factor, loss, delay_s)
    least_urgent = max(after.ends)
    assert after.value() > before.value() + 0.05
    assert after.share(0) > before.share(0) + 0.1
    assert after.share(0) >= after.share(least_urgent) - 0.05
    assert after.share(least_urgent) > 0.25


@pytest.mark.parametrize("fleet", [FLEET_A, FLEET_B])
@pytest.mark.parametrize(("factor", "loss"), [(1.0, 0.0), (1.0, 0.25)])
def test_nothing_is_refused_while_nothing_is_late(fleet, factor, loss):
    found = played(fleet, factor, loss, 0.5)
    assert all(found.share(p, "refused") == 0 for p in found.ends)
    assert all(level is None for _, level in found.history)


def short_fleet() -> Fleet:
    """Return a fleet in the middle of a burst, with a level in force."""
    fleet = Fleet(FLEET_A, delay_s=0.1, seed=1, levels=True)
    fleet.run(BURST_S[0], burst(2.3))
    fleet.lose(0.25)
    fleet.run(7.5, burst(2.3))
    assert fleet.news
    return fleet


def test_new_leader_goes_on_with_the_level_that_gateways_follow():
    """It started with none, and everything was sent again for a second."""
    fleet = short_fleet()
    before = fleet.news[SERVICE]
    fleet.planner, fleet.reports = RoomPlanner(), {}
    fleet.run(fleet.now + 0.5, burst(2.3))
    after = fleet.news[SERVICE]
    assert after.priority <= before.priority
    assert after.share < before.share + 0.15


def test_gateway_that_restarts_follows_the_level_and_disturbs_nothing():
    fleet = short_fleet()
    for number in range(5):
        fleet.gates[number] = RoomGate(rng=Random(number))
    fleet.run(fleet.now + 0.6, burst(2.3))
    assert all(gate.level(SERVICE) for gate in fleet.gates)
    fleet.run(18.0, burst(2.3))
    assert fleet.share(0) > 0.8


def test_planner_ignores_lateness_that_less_work_would_not_mend():
    """Faulty endpoints answer late while hardly anything waits."""
    planner = RoomPlanner()
    slow = ClassRoom(
        arrived=50.0,
        in_time=20.0,
        late=30.0,
        done=50_000.0,
        work=1_000.0,
        waiting=2_000.0,
        objective_s=0.5,
    )
    report = {SERVICE: RoomReport(classes={0: slow, 1: slow})}
    for step in range(20):
        assert planner.plan([report] * 3, step * INTERVAL_S) == {}


# Most requests of a class are late, behind what waits.
SHORT = ClassRoom(
    arrived=50.0,
    late=40.0,
    done=40_000.0,
    work=1_000.0,
    waiting=80_000.0,
    objective_s=0.5,
)


def test_service_with_one_priority_has_no_level():
    planner = RoomPlanner()
    one = {SERVICE: RoomReport(classes={3: SHORT})}
    two = {SERVICE: RoomReport(classes={3: SHORT, 4: SHORT})}
    for step in range(8):
        now = step * INTERVAL_S
        assert planner.plan([one], now) == {}
    assert planner.plan([two], 2.25)


def test_lateness_at_few_gateways_starts_no_level():
    """The others had nothing late; one gateway's links were slow."""
    planner = RoomPlanner()
    report = {SERVICE: RoomReport(classes={0: SHORT, 1: SHORT})}
    calm, unused = {SERVICE: RoomReport()}, {}
    for step in range(8):
        now = step * INTERVAL_S
        reports = [report, calm, calm, calm, unused, unused]
        assert planner.plan(reports, now) == {}
    assert planner.plan([report, report, calm, calm, unused], 2.25)


def test_shares_are_admitted_evenly_and_logged_once_per_change():
    gate = RoomGate(rng=Random(1))
    gate.apply({SERVICE: RoomLevel(priority=1, share=0.5)}, 0.0)
    drawn = [gate.admits(SERVICE, 1) for _ in range(20)]
    assert sum(drawn) == 10
    assert all(gate.admits(SERVICE, 0) for _ in range(20))
    assert sum(gate.admits(SERVICE, 2) for _ in range(40)) == 10
    planner = RoomPlanner()
    planner.levels = {SERVICE: RoomLevel(priority=1, share=0.5)}
    assert planner.changes() == planner.levels
    planner.levels = {SERVICE: RoomLevel(priority=1, share=0.4)}
    assert planner.changes() == {}
    planner.levels = {}
    assert planner.changes() == {SERVICE: None}
    assert planner.changes() == {}


def test_a_request_costs_microseconds():
    gate = RoomGate(rng=Random(1))
    began = process_time()
    for number in range(5_000):
        ticket = gate.arrive(SERVICE, number % 3, 0.5, number + 0.5)
        assert gate.admits(SERVICE, number % 3)
        ticket.sent(1_000.0)
        ticket.answered(number + 0.1)
        ticket.ended()
        if number % 50 == 0:
            gate.report(float(number))
    assert (process_time() - began) / 5_000 < 50e-6


def test_level_ends_with_the_load_it_was_for():
    """Capacity was taken from what is done, which the level itself lowers.

    Levels then lasted for ten seconds after a burst, with most refused.
    """
    planner = RoomPlanner()
    done, capacity = 200_000.0, 4_000_000.0

    def report(late: float, waiting: float) -> dict[str, RoomReport]:
        urgent = ClassRoom(
            arrived=60.0,
            in_time=60.0 - late,
            late=late,
            done=done,
            work=2_000.0,
            waiting=waiting,
            objective_s=0.5,
        )
        other = ClassRoom(
            arrived=100.0, done=done, work=9_000.0, objective_s=1.5
        )
        return {"llm": RoomReport(classes={0: urgent, 2: other})}

    burst = report(late=30.0, waiting=1_500_000.0)
    calm = report(late=8.0, waiting=90_000.0)
    for n in range(8):
        planner.plan([burst], 0.25 * n, {"llm": capacity / 4})
    assert planner.levels
    for n in range(8, 14):
        planner.plan([calm], 0.25 * n, {"llm": capacity})
    assert not planner.levels
