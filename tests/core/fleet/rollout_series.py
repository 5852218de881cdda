"""Series of outcomes during one rollout, without sockets and clocks.

Gateways with their version gates, the leader's planner and the log take turns
every quarter of a second. Reports and news are late. Endpoints are the
scenario's: each has a share of failures and a slowness.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random

from chervilshift.core.fleet.commands import StartRollout
from chervilshift.core.fleet.model import READY, EndpointRecord
from chervilshift.core.fleet.news import Observed
from chervilshift.core.fleet.placement import Choice, Endpoint, Work
from chervilshift.core.fleet.rollouts import RolloutInput, RolloutPlanner
from chervilshift.core.fleet.state import FleetSnapshot, FleetState
from chervilshift.core.fleet.sync import (
    EndpointLoad,
    GatewayInfo,
    GatewaySync,
)
from chervilshift.core.fleet.versiongate import SLOW_MULTIPLE, VersionGate
from chervilshift.core.fleet.versions import RUNNING, RolloutPolicy

__all__ = ["POLICY", "Fault", "Gateway", "Series"]

POLICY = RolloutPolicy(share=0.1, slack=50.0, rollback_s=5.0)
STEP_S = 0.25
SERVICE = "app"
USUAL_S = 0.06
# Bad responses from which a version is known to be bad.
KNOWN_BAD = 50


class Fault:
    """What is wrong with a version from a time on, on some routes."""

    def __init__(
        self,
        *,
        failed: float = 0.0,
        slowness: float = 1.0,
        from_s: float = 0.0,
        routes: tuple[str, ...] = (),
    ):
        self.failed = failed
        self.slowness = slowness
        self.from_s = from_s
        self.routes = routes

    def applies(self, route: str, at_s: float) -> bool:
        return at_s >= self.from_s and (
            not self.routes or route in self.routes
        )


class Gateway:
    """A gateway's gate, its counts, and how late its news are."""

    def __init__(self, name: str, rng: Random):
        self.name = name
        self.incarnation = "1"
        self.rng = rng
        self.delay_s = rng.uniform(0.1, 1.0)
        self.connected = True
        self.start()

    def start(self) -> None:
        """Start, or start anew with nothing known."""
        self.gate = VersionGate(rng=self.rng, policy=POLICY)
        self.news_at = float("-inf")
        self.active = Counter()

    def restart(self) -> None:
        """Start anew as another incarnation."""
        self.incarnation += "1"
        self.start()


class Series:
    """One rollout of a service from v1 to v2, ordered at 0.

    `weak_endpoint` is a fault of one of the new endpoints alone. `on_step` is
    called before each step, to change what happens. Counted are all requests
    that came before the deadline, when requests were sent to the new version,
    when its bad responses ended, and what the old version got after the end.
    """

    def __init__(
        self,
        *,
        seed: int,
        fault: Fault | None = None,
        rate_per_s: float = 100.0,
        ramp_s: float = 30.0,
        gateways: int = 4,
        old_count: int = 6,
        new_count: int = 6,
        routes: dict[str, float] | None = None,
        usual_failed: float = 0.002,
        weak_endpoint: Fault | None = None,
        new_at_s: float = 2.0,
        on_step: Callable[["Series"], None] = lambda series: None,
    ):
        self.seed = seed
        self.rng = Random(seed)
        self.fault = fault
        self.rate_per_s = rate_per_s
        self.ramp_s = ramp_s
        self.routes = routes or {"a": 0.6, "b": 0.4}
        self.usual_failed = usual_failed
        self.weak = weak_endpoint
        self.weak_id = f"v2-{self.rng.randrange(new_count)}"
        self.new_count = new_count
        self.new_at_s = new_at_s
        self.on_step = on_step
        self.now = 0.0
        self.load = 1.0
        self.gateways = [
            Gateway(f"g{n}", Random(f"{seed}/{n}")) for n in range(gateways)
        ]
        self.index = count(1)
        self.planner = RolloutPlanner(policy=POLICY)
        self.leads = True
        self.endpoints: list[Endpoint] = []
        self.reports: dict[str, tuple[float, GatewaySync]] = {}
        self.pending: list[tuple[float, int, Callable[[], None]]] = []
        self.orders = count()
        self.total = 0
        self.sent_new: list[float] = []
        self.bad_at: list[float] = []
        self.old_after_end = 0
        self.old_in_flight = 0
        self.refused = 0
        self.ended_s: float | None = None
        self._add(old_count, "v1")
        self.fleet = FleetState(
            snapshot=FleetSnapshot(
                services=(SERVICE,),
                endpoints=tuple(e.record for e in self.endpoints),
            )
        )
        self.fleet.apply(
            StartRollout(service=SERVICE, to="v2", ramp_s=ramp_s, now_s=0.0),
            next(self.index),
        )

    def _add(self, number: int, version: str) -> None:
        for n in range(number):
            record = EndpointRecord(
                id=f"{version}-{n}",
                born_ms=1,
                seq=1,
                state=READY,
                service=SERVICE,
                address=f"{version}-{n}:1",
                failure_domain="a",
                slots=6,
                version=version,
            )
            self.endpoints.append(Endpoint(record=record, remote=False))

    @property
    def excess(self) -> float:
        """The requests that the new version got beyond the limit."""
        exposed = sum(at < self.ramp_s for at in self.sent_new)
        return exposed - POLICY.share * self.total - POLICY.slack

    @property
    def sent_late(self) -> int:
        """The requests that it got too long after 50 bad responses."""
        if len(self.bad_at) < KNOWN_BAD:
            return 0
        last_s = sorted(self.bad_at)[KNOWN_BAD - 1] + POLICY.rollback_s
        return sum(at > last_s for at in self.sent_new)

    def replace_leader(self) -> None:
        """Let another process lead, which knows the log only."""
        self.planner = RolloutPlanner(policy=POLICY)
        self.reports = {}

    @property
    def rollout(self):
        return self.fleet.rollouts.rollouts[SERVICE]

    @property
    def state(self) -> str:
        return self.rollout.state

    def run(self) -> "Series":
        """Play until the deadline and some seconds more."""
        while self.now < self.ramp_s + 3.0:
            self.step()
        return self

    def step(self) -> None:
        self.on_step(self)
        until = self.now + STEP_S
        if self.now <= self.new_at_s < until:
            self._add(self.new_count, "v2")
        for gateway in self.gateways:
            self._sync(gateway)
            expected = self.load * self.rate_per_s * STEP_S
            for _ in range(_poisson(self.rng, expected / len(self.gateways))):
                self._request(gateway)
        while self.pending and self.pending[0][0] <= until:
            heapq.heappop(self.pending)[2]()
        self.now = until
        if self.leads:
            self._plan()

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self.pending, (self.now + delay_s, next(self.orders), action)
        )

    def _sync(self, gateway: Gateway) -> None:
        if not gateway.connected:
            return
        report = GatewaySync(
            gateway=GatewayInfo(
                id=gateway.name,
                incarnation=gateway.incarnation,
                address="",
                failure_domain="a",
                region="r",
                ready=True,
            ),
            version=1,
            revision=1,
            loads={
                e: EndpointLoad(active=n) for e, n in gateway.active.items()
            },
            observed=Observed(outcomes=gateway.gate.report(self.now)),
            rollouts_revision=gateway.gate.revision,
        )
        self.later(
            gateway.delay_s,
            lambda: self.reports.__setitem__(gateway.name, (self.now, report)),
        )

    def _plan(self) -> None:
        reports = [r for at, r in self.reports.values() if self.now - at < 2]
        shares = self.planner.plan(
            RolloutInput(
                rollouts=self.fleet.rollouts.rollouts.values(),
                reports=reports,
                endpoints=[e.record for e in self.endpoints],
                gateways=[g.name for g in self.gateways],
                now=self.now,
                wall_s=self.now,
            )
        )
        for command in self.planner.commands:
            self.fleet.apply(command, next(self.index))
        if self.state != RUNNING and self.ended_s is None:
            self.ended_s = self.now
            self.old_in_flight = sum(
                number
                for gateway in self.gateways
                for endpoint, number in gateway.active.items()
                if endpoint.startswith("v1")
            )
        rollouts = tuple(self.fleet.rollouts.rollouts.values())
        revision, made_at = self.fleet.rollouts.revision, self.now
        for gateway in self.gateways:
            if gateway.connected:
                self.later(
                    gateway.delay_s,
                    lambda g=gateway: self._tell(
                        g, rollouts, revision, shares, made_at
                    ),
                )

    def _tell(self, gateway, rollouts, revision, shares, made_at) -> None:
        if not gateway.connected:
            return
        gateway.gate.set_rollouts(rollouts, revision)
        gateway.gate.apply(shares, self.now)
        gateway.news_at = max(gateway.news_at, made_at)

    def _request(self, gateway: Gateway) -> None:
        route = self.rng.choices(
            tuple(self.routes), tuple(self.routes.values())
        )[0]
        self.total += self.now < self.ramp_s
        gate = gateway.gate
        lanes = (frozenset(),)
        if gate.has_rule(SERVICE):
            lanes = gate.preferences(
                SERVICE,
                self.endpoints,
                self.now,
                self.now,
                wants_new=gate.wants_new(SERVICE, route),
                is_fresh=self.now - gateway.news_at <= gate.news_expiry_s,
            )
        elif self.now >= self.new_at_s:
            # It has not heard of the order, nor of endpoints after it.
            lanes = (frozenset(f"v2-{n}" for n in range(self.new_count)),)
        for excluded in lanes:
            usable = [e for e in self.endpoints if e.id not in excluded]
            if usable:
                break
        else:
            self.refused += 1
            return
        self._send(gateway, self.rng.choice(usable), route)

    def _send(self, gateway: Gateway, endpoint: Endpoint, route: str) -> None:
        version = endpoint.record.version
        is_new = version == "v2"
        if is_new:
            self.sent_new.append(self.now)
        elif self.state == "completed":
            self.old_after_end += 1
        faults = [self.fault] if is_new and self.fault else []
        if self.weak is not None and endpoint.id == self.weak_id:
            faults.append(self.weak)
        faults = [f for f in faults if f.applies(route, self.now)]
        slowness = max((f.slowness for f in faults), default=1.0)
        failed_part = sum(f.failed for f in faults) + self.usual_failed
        took_s = (
            USUAL_S * slowness * self.load * self.rng.lognormvariate(0, 0.35)
        )
        failed = self.rng.random() < failed_part
        is_bad = faults and (failed or slowness > SLOW_MULTIPLE)
        gateway.gate.record_placed(SERVICE, version)
        attempt = gateway.gate.begin(
            SERVICE,
            route,
            Choice(
                endpoint=endpoint,
                baseline_s=USUAL_S,
                wait_s=USUAL_S,
                cost_s=USUAL_S,
                uncached_tokens=0,
            ),
            Work(),
            self.now,
            is_first=True,
            is_engine=False,
        )
        active = gateway.active
        active[endpoint.id] += 1
        sent_at = self.now

        def end() -> None:
            active[endpoint.id] -= 1
            if not active[endpoint.id]:
                del active[endpoint.id]
            if is_bad and is_new:
                self.bad_at.append(sent_at + took_s)
            if attempt is not None:
                attempt.record_reply(sent_at + took_s, ok=not failed)

        self.later(took_s, end)


def _poisson(rng: Random, mean: float) -> int:
    """Return a Poisson variate."""
    events, at = 0, rng.expovariate(1.0)
    while at < mean:
        events += 1
        at += rng.expovariate(1.0)
    return events
