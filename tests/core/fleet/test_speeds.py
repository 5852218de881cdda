"""Learning the prefill speed under the disturbances of a loaded fleet.

Too high a speed sends prompts to engines that can't read them in time, and
orders too few engines; too low a speed orders too many.
"""

from random import Random

import msgspec
import pytest

from chervilshift.core.fleet import speeds as module
from chervilshift.core.fleet.placement import Placement, Work
from chervilshift.core.fleet.speeds import (
    ServiceSpeed,
    SpeedBook,
    SpeedPlanner,
    SpeedReport,
    measures_speed,
)
from tests.core.fleet.test_placement import ENGINES, REGIONS, record

# Uncached tokens of the request classes: own parts of the prompts.
CLASS_TOKENS = (2890, 1800, 543)
SHARED_TOKENS = {2890: 6300, 1800: 568, 543: 172}
SERVICES = frozenset({"llm"})


class Engines:
    """Times to the first event at engines of one speed, with disturbances.

    `slow` and `failing` are the shares of samples at an engine that is five
    times slower or answers at once, `missed` the share of prompts whose shared
    part was evicted, `queued` the share that waits for other prompts, and
    `paused` the share that a pause holds up.
    """

    def __init__(
        self,
        tokens_per_s: float,
        *,
        seed: int = 1,
        distance_s: float = 0.001,
        classes: tuple[int, ...] = CLASS_TOKENS,
        slow: float = 0.0,
        failing: float = 0.0,
        missed: float = 0.0,
        queued: float = 0.0,
        paused: float = 0.0,
    ):
        self.tokens_per_s = tokens_per_s
        self.rng = Random(seed)
        self.distance_s = distance_s
        self.classes = classes
        self.slow = slow
        self.failing = failing
        self.missed = missed
        self.queued = queued
        self.paused = paused

    def sample(self) -> tuple[int, float]:
        """Return the uncached tokens as assumed, and the time."""
        rng = self.rng
        kind = rng.choice(self.classes)
        tokens = max(1, round(kind * rng.uniform(0.9, 1.1)))
        read = tokens
        if rng.random() < self.missed:
            read += SHARED_TOKENS[kind]
        time_s = 0.006 + self.distance_s + read / self.tokens_per_s
        time_s += abs(rng.gauss(0.0, 0.002))
        if rng.random() < self.queued:
            time_s += rng.uniform(0.0, 6_000) / self.tokens_per_s
        if rng.random() < self.slow:
            time_s *= 5.0
        if rng.random() < self.paused:
            time_s += rng.uniform(1.0, 1.5)
        if rng.random() < self.failing:
            time_s = 0.003
        return tokens, time_s


def fill(
    book: SpeedBook,
    engines: Engines,
    *,
    per_s: float = 8.0,
    since: float = 0.0,
    until: float = 20.0,
    remote: bool = False,
) -> None:
    for step in range(round((until - since) * per_s)):
        now = since + step / per_s
        book.observe("llm", *engines.sample(), now, remote=remote)


def learned(tokens_per_s: float, gateways: int = 24, **changes) -> float:
    """Return the speed that a fleet of gateways learns in 20 s."""
    reports = []
    for number in range(gateways):
        book = SpeedBook()
        fill(book, Engines(tokens_per_s, seed=number, **changes))
        reports.append(book.report(20.0))
    return SpeedPlanner().plan(reports, SERVICES)["llm"].tokens_per_s


@pytest.mark.parametrize("tokens_per_s", [39_300, 93_600, 112_000])
def test_speeds_of_the_measured_engines_are_learned(tokens_per_s):
    assert learned(tokens_per_s) == pytest.approx(tokens_per_s, rel=0.05)


@pytest.mark.parametrize("tokens_per_s", [39_300, 93_600])
@pytest.mark.parametrize(
    "changes",
    [
        {"slow": 0.2},
        {"failing": 0.1},
        {"missed": 0.35},
        {"queued": 0.4},
        {"paused": 0.2},
        {"slow": 0.05, "failing": 0.03, "missed": 0.2, "queued": 0.2},
    ],
    ids=str,
)
def test_disturbances_do_not_move_the_estimate(tokens_per_s, changes):
    """A plain least-squares fit is off by up to the slow engine's factor."""
    found = learned(tokens_per_s, **changes)
    assert found == pytest.approx(tokens_per_s, rel=0.12)


def test_few_gateways_with_much_traffic_learn_as_well():
    """Their newest samples would else be those of a moment."""
    book = SpeedBook()
    fill(book, Engines(93_600, queued=0.3), per_s=300.0)
    speeds = SpeedPlanner().plan([book.report(20.0)], SERVICES)
    assert speeds["llm"].tokens_per_s == pytest.approx(93_600, rel=0.1)


def test_many_gateways_with_a_sample_in_two_seconds_learn_together():
    books = [SpeedBook() for _ in range(80)]
    for number, book in enumerate(books):
        fill(book, Engines(39_300, seed=number), per_s=0.5, until=60.0)
    speeds = SpeedPlanner().plan([b.report(60.0) for b in books], SERVICES)
    assert speeds["llm"].tokens_per_s == pytest.approx(39_300, rel=0.1)


def test_distances_of_gateways_are_not_taken_for_reading():
    """Gateways that see long prompts only may be those far away."""
    near, far = SpeedBook(), SpeedBook()
    fill(near, Engines(93_600, classes=(543, 1800)), per_s=10.0)
    fill(
        far,
        Engines(93_600, distance_s=0.06, classes=(1800, 2890), seed=2),
        per_s=10.0,
        remote=True,
    )
    reports = [near.report(20.0), far.report(20.0)]
    speed = SpeedPlanner().plan(reports, SERVICES)["llm"]
    assert speed.tokens_per_s == pytest.approx(93_600, rel=0.1)
    assert speed.base_s < 0.02


def test_engines_of_another_region_count_only_without_nearer_ones():
    book = SpeedBook()
    fill(book, Engines(93_600), per_s=5.0)
    far = Engines(20_000, distance_s=0.06)
    fill(book, far, per_s=5.0, since=0.15, until=20.15, remote=True)
    assert not book.report(20.2)["llm"].remote
    speed = SpeedPlanner().plan([book.report(20.2)], SERVICES)["llm"]
    assert speed.tokens_per_s == pytest.approx(93_600, rel=0.1)


def test_gateway_on_an_overloaded_host_is_left_out():
    reports = []
    for number in range(5):
        book = SpeedBook()
        speed = 5_000 if number == 0 else 93_600
        fill(book, Engines(speed, seed=number))
        reports.append(book.report(20.0))
    speed = SpeedPlanner().plan(reports, SERVICES)["llm"]
    assert speed.tokens_per_s == pytest.approx(93_600, rel=0.05)


def test_newer_engines_of_another_speed_are_learned_within_a_minute():
    book = SpeedBook()
    fill(book, Engines(93_600))
    fill(book, Engines(39_300), since=20.0, until=65.0)
    speed = SpeedPlanner().plan([book.report(65.0)], SERVICES)["llm"]
    assert speed.tokens_per_s == pytest.approx(39_300, rel=0.12)


def test_too_few_or_equal_samples_give_no_estimate():
    """Prompts of one size can't tell reading from the base time."""
    few, equal = SpeedBook(), SpeedBook()
    fill(few, Engines(93_600), per_s=0.5)
    fill(equal, Engines(93_600, classes=(1,)), per_s=9.0)
    for book in (few, equal):
        assert not SpeedPlanner().plan([book.report(20.0)], SERVICES)


def test_estimate_stays_while_there_are_no_samples():
    """A lull, or a new leader's first plan, would else bring the default."""
    book = SpeedBook()
    fill(book, Engines(39_300))
    planner = SpeedPlanner()
    speeds = planner.plan([book.report(20.0)], SERVICES)
    assert planner.plan([], SERVICES) == speeds
    book.apply(speeds, 20.0)
    book.apply({}, 20.5)
    assert book.tokens_per_s()["llm"] == speeds["llm"].tokens_per_s
    assert not planner.plan([], frozenset())


def test_equal_estimates_are_published_and_logged_once():
    book, engines = SpeedBook(), Engines(93_600)
    planner = SpeedPlanner()
    published = set()
    for second in range(20, 60):
        fill(book, engines, since=float(second), until=second + 1.0)
        for speed in planner.plan([book.report(second + 1.0)], SERVICES):
            published.add(planner.speeds[speed])
    assert len(published) <= 8
    assert len(planner.take_changes()) <= 2
    assert not planner.take_changes()


def test_speed_stays_within_bounds():
    for speed, bound in ((900.0, 10_000), (9e6, 1_000_000)):
        report = SpeedReport(
            samples=1000.0,
            mean_tokens=2000.0,
            mean_s=2000.0 / speed,
            tokens_squares=1e9,
            tokens_times=1e9 / speed,
            time_squares=1e9 / speed**2,
        )
        found = SpeedPlanner().plan([{"llm": report}], SERVICES)["llm"]
        assert found.tokens_per_s == bound


@pytest.mark.parametrize(
    "changes",
    [
        {"samples": float("nan")},
        {"tokens_squares": 0.0},
        {"tokens_squares": -1.0},
        {"tokens_times": float("inf")},
        {"mean_s": float("inf")},
    ],
)
def test_odd_report_is_left_out(changes):
    book = SpeedBook()
    fill(book, Engines(93_600))
    report = book.report(20.0)
    odd = {"llm": msgspec.structs.replace(report["llm"], **changes)}
    speed = SpeedPlanner().plan([odd, report], SERVICES)["llm"]
    assert speed.tokens_per_s == pytest.approx(93_600, rel=0.1)


def test_reports_of_unknown_services_are_not_kept():
    book = SpeedBook()
    fill(book, Engines(93_600))
    assert not SpeedPlanner().plan([book.report(20.0)], frozenset({"other"}))


def measurable(**changes) -> bool:
    fields = {
        "tokens": 9190,
        "shared_tokens": 6300,
        "uncached_tokens": 2890,
        "queued_tokens": 0,
        "active": 3,
        "slots": 16,
    }
    return measures_speed(**(fields | changes))


def test_only_prompts_at_engines_with_little_to_do_are_samples():
    assert measurable()
    assert not measurable(queued_tokens=2000)
    assert not measurable(active=9)


def test_prompts_with_a_doubtful_cache_are_no_samples():
    """Another gateway may have sent the shared part to the engine."""
    assert not measurable(uncached_tokens=9190)
    assert not measurable(uncached_tokens=0)


def test_report_is_made_anew_once_a_second_only(monkeypatch):
    """Reports go out up to thirty times a second."""
    book = SpeedBook()
    fill(book, Engines(93_600))
    made = []
    monkeypatch.setattr(
        module, "_low_line", lambda points: made.append(1) or None
    )
    for step in range(40):
        book.observe("llm", 1000, 0.02, 20.0 + step / 8, remote=False)
        book.report(20.0 + step / 8)
    assert len(made) <= 6


# Use in placement


def make_placement() -> Placement:
    placement = Placement(region="here", regions=REGIONS, rng=Random(1))
    placement.update_endpoints([record("e1"), record("e2")])
    return placement


def serve(placement: Placement, tokens_per_s: float, count: int) -> None:
    for number in range(count):
        tokens = CLASS_TOKENS[number % 3]
        now = 0.2 * number
        choice = placement.choose(ENGINES, Work(tokens=tokens), now)
        placement.observe(choice, tokens / tokens_per_s, now)


def test_learned_speed_and_latency_ratio_do_not_correct_twice():
    placement = make_placement()
    serve(placement, 39_300, 200)
    before = placement.choose(ENGINES, Work(tokens=2890), 50.0)
    assert placement.latency_ratio("llm") > 1.5
    placement.set_prefill_speeds({"llm": 39_300.0})
    after = placement.choose(ENGINES, Work(tokens=2890), 50.0)
    assert placement.latency_ratio("llm") == pytest.approx(1.0, abs=0.2)
    assert after.wait_s == pytest.approx(before.wait_s, rel=0.05)
    serve(placement, 39_300, 200)
    assert placement.latency_ratio("llm") == pytest.approx(1.0, abs=0.1)


def test_speeds_taken_over_again_change_no_ratio():
    placement = make_placement()
    serve(placement, 39_300, 200)
    placement.set_prefill_speeds({"llm": 39_300.0})
    ratio = placement.latency_ratio("llm")
    placement.set_prefill_speeds({"llm": 39_300.0})
    assert placement.latency_ratio("llm") == ratio


def test_service_without_a_speed_keeps_the_default():
    placement = make_placement()
    placement.set_prefill_speeds({"other": 10_000.0})
    choice = placement.choose(ENGINES, Work(tokens=8000), 0.0)
    assert choice.baseline_s == pytest.approx(0.1)


def test_fleet_speed_serves_gateways_with_few_samples():
    book = SpeedBook()
    fill(book, Engines(93_600), per_s=0.5)
    assert not book.report(20.0)
    book.apply({"llm": ServiceSpeed(tokens_per_s=93_600.0, base_s=0.007)}, 20)
    fill(book, Engines(93_600), per_s=0.5, since=20.0, until=22.0)
    assert book.report(22.0)["llm"].samples > 3
