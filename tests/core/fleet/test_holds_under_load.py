"""Endpoints that refuse or leave, under load, with up to 300 gateways.

Gateways decide as the real ones do, under one virtual clock. The bounds are
the operator's: of one gateway's requests at most two reach an endpoint between
half a second after a refusal with a time and the end of that time, and none
once it has heard that the endpoint leaves.
"""

from collections import Counter, defaultdict
from random import Random

import msgspec
import pytest

from chervilshift.core.fleet.holds import (
    MAX_HOLD_S,
    MAX_RETURN_S,
    EndpointHolds,
)
from chervilshift.core.fleet.model import ServiceSpec
from chervilshift.core.fleet.placement import Placed, Placement, Work
from chervilshift.core.fleet.sync import EndpointLoad
from tests.core.fleet.records import ready_endpoint

STEP_S = 0.05
NEWS_INTERVAL_S = 0.25
WORK_S = 0.2
HOLD_S = 2.0
SLACK_S = 0.5
MAX_ARRIVALS = 2
SPEC = ServiceSpec(name="pool", max_connections=1000)
WORK = Work()


class Endpoint:
    """Serves some requests at once; refuses the others, or all for a time."""

    def __init__(self, name: str, slots: int):
        self.record = msgspec.structs.replace(
            ready_endpoint(name), address=f"{name}:80", slots=slots
        )
        self.slots = slots
        self.refuses_until = 0.0
        self.retry_after_s: float | None = HOLD_S
        self.leaving = False
        self.ends: list[float] = []
        self.arrivals: list[float] = []

    def serve(self, now: float) -> bool:
        """Return whether a request is taken."""
        self.arrivals.append(now)
        self.ends = [end for end in self.ends if end > now]
        if now < self.refuses_until or len(self.ends) >= self.slots:
            return False
        self.ends.append(now + WORK_S)
        return True


class Gateway:
    """Places requests, and holds the endpoints that ask for it."""

    def __init__(self, endpoints: dict[str, Endpoint], rng: Random):
        self.endpoints = endpoints
        self.rng = rng
        self.frozen_until = 0.0
        self.running: list[tuple[float, Placed]] = []
        self.start()

    def start(self) -> None:
        """Start anew, without any memory."""
        self.holds = EndpointHolds(rng=self.rng)
        self.placement = Placement(
            region="here", regions={"a": "here"}, rng=self.rng
        )
        self.placement.update_endpoints(
            endpoint.record for endpoint in self.endpoints.values()
        )
        self.refused: dict[str, tuple[float, float]] = {}
        self.told_leaving: set[str] = set()
        self.too_early: Counter[str] = Counter()

    def excluded(self, now: float) -> frozenset[str]:
        """Return the endpoints that get nothing now."""
        return frozenset(
            name
            for name, endpoint in self.endpoints.items()
            if self.holds.excludes(endpoint.record, now)
        )

    def send(self, now: float, attempts: int = 2) -> bool:
        """Serve one request; return whether an endpoint took it."""
        failed: frozenset[str] = frozenset()
        for _ in range(attempts):
            excluded = self.excluded(now) | failed
            choice = self.placement.choose(SPEC, WORK, now, excluded)
            if choice is None:
                return False
            endpoint = self.endpoints[choice.endpoint.id]
            self._check(endpoint, now)
            if endpoint.serve(now):
                placed = Placed(choice=choice, now=now)
                placed.__enter__()
                self.running.append((now + WORK_S, placed))
                choice.endpoint.health.record_success(now)
                if endpoint.leaving:
                    self.told_leaving.add(endpoint.record.id)
                    self.holds.record_leaving(endpoint.record)
                return True
            choice.endpoint.health.record_failure(now)
            failed |= {endpoint.record.id}
            if endpoint.retry_after_s is not None:
                self.refused[endpoint.record.id] = (
                    now + SLACK_S,
                    now + endpoint.retry_after_s,
                )
                self.holds.record_refusal(
                    endpoint.record, endpoint.retry_after_s, now
                )
        return False

    def _check(self, endpoint: Endpoint, now: float) -> None:
        name = endpoint.record.id
        begin, end = self.refused.get(name, (0.0, 0.0))
        self.too_early[name] += begin < now < end
        assert name not in self.told_leaving

    def end_requests(self, now: float) -> None:
        for end, placed in self.running:
            if end <= now:
                placed.__exit__(None, None, None)
        self.running = [r for r in self.running if r[0] > now]


class World:
    def __init__(
        self, *, gateways: int, endpoints: int, slots: int, seed: int = 1
    ):
        self.rng = Random(seed)
        self.now = 0.0
        self.endpoints = {
            f"e{n}": Endpoint(f"e{n}", slots) for n in range(endpoints)
        }
        self.gateways = [
            Gateway(self.endpoints, self.rng) for _ in range(gateways)
        ]
        self.news_at = 0.0
        self.served: defaultdict[int, Counter[bool]] = defaultdict(Counter)

    def play(self, seconds: float, per_s: float, each_step=lambda: None):
        """Run with a rate of requests over all gateways."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            each_step()
            for gateway in self.gateways:
                gateway.end_requests(self.now)
            if self.now >= self.news_at:
                self.news_at = self.now + NEWS_INTERVAL_S
                self.spread_loads()
            due = per_s * STEP_S
            for _ in range(int(due) + (self.rng.random() < due % 1)):
                gateway = self.rng.choice(self.gateways)
                if gateway.frozen_until <= self.now:
                    taken = gateway.send(self.now)
                    self.served[int(self.now)][taken] += 1

    def spread_loads(self) -> None:
        """Tell each gateway the load of the others."""
        total: Counter[str] = Counter()
        for gateway in self.gateways:
            for name, load in gateway.placement.loads().items():
                total[name] += load.active
        for gateway in self.gateways:
            own = gateway.placement.loads()
            gateway.placement.set_other_loads(
                {
                    name: EndpointLoad(
                        active=count - own.get(name, EndpointLoad()).active
                    )
                    for name, count in total.items()
                }
            )

    def share(self, first_s: int, last_s: int) -> float:
        """Return the share of requests that were taken in some seconds."""
        counts = sum(
            (self.served[s] for s in range(first_s, last_s)), Counter()
        )
        return counts[True] / counts.total()

    def assert_kept(self) -> None:
        for gateway in self.gateways:
            assert max(gateway.too_early.values(), default=0) <= MAX_ARRIVALS


@pytest.mark.parametrize("gateways", [8, 300])
def test_half_of_the_endpoints_refuse_and_the_others_fill(gateways):
    world = World(gateways=gateways, endpoints=20, slots=100)
    world.play(2.0, 300)
    for endpoint in list(world.endpoints.values())[:10]:
        endpoint.refuses_until = 8.0
    world.play(10.0, 300)
    world.assert_kept()
    assert world.share(3, 8) > 0.9
    assert world.share(10, 12) > 0.98


@pytest.mark.parametrize("gateways", [8, 300])
def test_all_endpoints_refuse_and_the_load_comes_back_by_degrees(gateways):
    world = World(gateways=gateways, endpoints=20, slots=100)
    world.play(2.0, 300)
    for endpoint in world.endpoints.values():
        endpoint.refuses_until = 5.0
    world.play(3.0, 300)
    assert world.share(3, 5) == 0
    # Each gateway asks each endpoint once until its time has passed.
    asked = sum(
        2.02 < at < 4.0 for e in world.endpoints.values() for at in e.arrivals
    )
    assert asked <= gateways * len(world.endpoints)
    world.play(5.0, 300)
    world.assert_kept()
    assert world.share(8, 10) > 0.98


def test_endpoints_that_leave_in_series_get_nothing_more():
    world = World(gateways=300, endpoints=20, slots=100)
    world.play(2.0, 300)
    names = iter(list(world.endpoints)[:8])

    def leave() -> None:
        if world.rng.random() < 0.2 and (name := next(names, None)):
            world.endpoints[name].leaving = True

    world.play(6.0, 300, leave)
    world.assert_kept()
    assert world.share(3, 8) > 0.98


def test_gateways_that_freeze_or_restart_within_the_time():
    world = World(gateways=40, endpoints=10, slots=150)
    world.play(1.0, 400)
    for endpoint in list(world.endpoints.values())[:5]:
        endpoint.refuses_until = 6.0
    world.play(0.5, 400)
    for gateway in world.gateways[:10]:
        gateway.frozen_until = world.now + 1.0
    for gateway in world.gateways[10:20]:
        gateway.start()
    world.play(7.0, 400)
    world.assert_kept()
    assert world.share(2, 6) > 0.9


@pytest.mark.parametrize("stated_s", [None, 0.0, 1e9])
def test_odd_times_hold_endpoints_for_a_bounded_time(stated_s):
    world = World(gateways=20, endpoints=4, slots=150)
    (first, *_) = world.endpoints.values()
    first.retry_after_s = stated_s
    first.refuses_until = 1.0
    world.play(3.0, 100)
    assert world.share(0, 3) > 0.9
    held = [g for g in world.gateways if "e0" in g.excluded(world.now)]
    assert bool(held) == (stated_s == 1e9)
    later = world.now + MAX_HOLD_S + MAX_RETURN_S
    assert not any(g.excluded(later) for g in world.gateways)
