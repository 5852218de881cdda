"""Endpoints that pause for a second, under load, with up to 300 gateways.

Gateways decide as the real ones do, under one virtual clock. A pause spends
the retry budget of a service only for endpoints that reply sooner, and no
sound endpoint is kept from its work for longer than it was silent.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

import msgspec
import pytest

from chervilshift.core.fleet.model import ServiceSpec
from chervilshift.core.fleet.placement import Placed, Placement, Work
from chervilshift.core.fleet.retries import RetryBudget, RetryPolicy
from chervilshift.core.fleet.sync import EndpointLoad
from tests.core.fleet.records import ready_endpoint

SPEC = ServiceSpec(name="pool", max_connections=1000)
POLICY = RetryPolicy(ratio=0.2, fixed_retries=900.0, window_s=10.0)
OBJECTIVE_S = 0.4
LEAVE_AFTER_S = 0.26
MAX_SOUND_SILENCE_S = 1.6
RECHECK_S = 0.1
NEWS_INTERVAL_S = 0.25
LENGTH_S = 20.0
CALL_S = (0.03, 0.09)
PAUSE_S = (1.0, 1.5)


class Endpoint:
    """Answers calls, and pauses in the spans of `pauses`."""

    def __init__(self, name: str):
        self.record = msgspec.structs.replace(
            ready_endpoint(name), address=f"{name}:80"
        )
        self.pauses: list[tuple[float, float]] = []
        self.active = 0

    def is_paused(self, now: float) -> bool:
        """Return whether it is silent."""
        return any(begin <= now < end for begin, end in self.pauses)

    def sound_s(self, now: float) -> float:
        """Return the time since its last pause, infinite without one."""
        ends = (end for _, end in self.pauses if end <= now)
        return now - max(ends, default=float("-inf"))

    def answered_at(self, now: float, work_s: float) -> float:
        """Return when a call that arrives now is answered."""
        ends_at = now + work_s
        for begin, end in self.pauses:
            if begin < ends_at and now < end:
                ends_at += end - max(begin, now)
        return ends_at


class Call:
    """One request of a gateway, and its attempts."""

    def __init__(self, arrived_at: float):
        self.arrived_at = arrived_at
        self.attempts = 0
        self.failed: frozenset[str] = frozenset()
        self.placed: Placed | None = None
        self.sent_at = 0.0


class Gateway:
    """Sends calls, and leaves endpoints as the real gateway does."""

    def __init__(self, fleet: "Fleet"):
        self.fleet = fleet
        self.placement = Placement(
            region="here", regions={"a": "here"}, rng=fleet.rng
        )
        self.placement.update_endpoints(
            endpoint.record for endpoint in fleet.endpoints.values()
        )
        self.budget = RetryBudget(
            policy=POLICY, now=0.0, phase=fleet.rng.random()
        )

    def send(self, call: Call, now: float) -> None:
        """Make the next attempt of a call."""
        choice = self.placement.choose(SPEC, Work(), now, call.failed)
        placed = call.placed = Placed(choice=choice, now=now)
        placed.__enter__()
        call.attempts += 1
        call.sent_at = now
        endpoint = self.fleet.endpoints[choice.endpoint.id]
        endpoint.active += 1
        work_s = self.fleet.rng.uniform(*CALL_S)
        answered_at = endpoint.answered_at(now, work_s)
        self.fleet.at(answered_at, lambda at: self.answer(call, placed, at))
        if call.attempts == 1 and self.budget.available(
            len(self.fleet.gateways), now
        ):
            self.fleet.at(
                now + LEAVE_AFTER_S, lambda at: self.check(call, placed, at)
            )

    def answer(self, call: Call, placed: Placed, now: float) -> None:
        """Take an answer, unless the attempt was given up."""
        self.fleet.endpoints[placed.endpoint.id].active -= 1
        if call.placed is not placed:
            return
        call.placed = None
        placed.__exit__()
        placed.endpoint.health.record_success(now)
        self.placement.observe(placed.choice, now - call.sent_at, now)
        self.fleet.answered += 1
        self.fleet.late += now - call.arrived_at > OBJECTIVE_S

    def check(self, call: Call, placed: Placed, now: float) -> None:
        """Give an attempt up if another endpoint may reply sooner."""
        if call.placed is not placed:
            return
        silence_s = now - call.sent_at
        may_leave = silence_s >= MAX_SOUND_SILENCE_S or (
            self.placement.has_responsive(
                SPEC.name, now, frozenset({placed.endpoint.id})
            )
        )
        gateways = len(self.fleet.gateways)
        if not may_leave or not self.budget.withdraw(gateways, now):
            self.fleet.at(
                now + RECHECK_S, lambda at: self.check(call, placed, at)
            )
            return
        self.fleet.retries += 1
        placed.endpoint.health.record_failure(now)
        placed.__exit__()
        call.failed = frozenset({placed.endpoint.id})
        self.send(call, now)


class Fleet:
    """Gateways and endpoints under one virtual clock.

    `longest_hold_s` is the longest time after a pause for which a gateway
    still excluded the endpoint, infinite for one that had not paused yet.
    `held` counts gateways that did so at the samples taken with the news, and
    `samples` all gateways and sound endpoints then.
    """

    def __init__(
        self, *, gateways: int, endpoints: int, per_s: float, seed: int
    ):
        self.rng = Random(seed)
        self.endpoints = {f"e{n}": Endpoint(f"e{n}") for n in range(endpoints)}
        self.gateways = [Gateway(self) for _ in range(gateways)]
        self.per_s = per_s
        self.events: list = []
        self.numbers = count()
        self.sent = self.answered = self.late = self.retries = 0
        self.held = self.samples = 0
        self.longest_hold_s = 0.0

    def at(self, when: float, act: Callable[[float], None]) -> None:
        """Call `act` with the time, at that time."""
        heappush(self.events, (when, next(self.numbers), act))

    def run(self) -> None:
        """Send calls for LENGTH_S and wait for their answers."""
        for gateway in self.gateways:
            self.at(self._next_s(0.0), lambda at, g=gateway: self._ask(g, at))
        self.at(0.0, self._news)
        while self.events:
            now, _, act = heappop(self.events)
            act(now)

    def _next_s(self, now: float) -> float:
        return now + self.rng.expovariate(self.per_s)

    def _ask(self, gateway: Gateway, now: float) -> None:
        self.sent += 1
        gateway.budget.deposit(now)
        gateway.send(Call(now), now)
        if now < LENGTH_S:
            self.at(self._next_s(now), lambda at: self._ask(gateway, at))

    def _news(self, now: float) -> None:
        sound = [
            name for name, e in self.endpoints.items() if not e.is_paused(now)
        ]
        for gateway in self.gateways:
            loads = {}
            for endpoint in gateway.placement.endpoints():
                others = self.endpoints[endpoint.id].active - endpoint.active
                loads[endpoint.id] = EndpointLoad(active=max(0, others))
                if endpoint.id in sound and endpoint.health.is_excluded(now):
                    self.held += 1
                    hold_s = self.endpoints[endpoint.id].sound_s(now)
                    self.longest_hold_s = max(self.longest_hold_s, hold_s)
            gateway.placement.set_other_loads(loads)
        self.samples += len(self.gateways) * len(sound)
        if now < LENGTH_S:
            self.at(now + NEWS_INTERVAL_S, self._news)


def play(
    *, gateways: int, per_s: float, seed: int, together: bool, endpoints=20
) -> Fleet:
    """Play pauses of random endpoints, or of all of them at once."""
    fleet = Fleet(
        gateways=gateways, endpoints=endpoints, per_s=per_s, seed=seed
    )
    if together:
        begin = fleet.rng.uniform(5.0, 6.0)
        span = (begin, begin + fleet.rng.uniform(*PAUSE_S))
        for endpoint in fleet.endpoints.values():
            endpoint.pauses = [span]
    else:
        for endpoint in fleet.endpoints.values():
            begin = fleet.rng.uniform(0.0, 15.0)
            span = (begin, begin + fleet.rng.uniform(*PAUSE_S))
            endpoint.pauses = [span]
    fleet.run()
    return fleet


FLEETS = [(8, 40.0), (40, 8.0), (300, 1.0)]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("together", [False, True])
@pytest.mark.parametrize(("gateways", "per_s"), FLEETS)
def test_pauses_end_no_answer_and_hold_no_sound_endpoint_for_longer(
    gateways, per_s, together, seed
):
    fleet = play(gateways=gateways, per_s=per_s, seed=seed, together=together)
    assert fleet.answered == fleet.sent
    assert fleet.longest_hold_s <= PAUSE_S[1]
    allowed = POLICY.ratio * fleet.sent + POLICY.fixed_retries
    assert fleet.retries <= allowed
