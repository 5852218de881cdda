"""How much work leaves its failure domain or region.

Gateways that all act on the same old news send their work to and fro between
domains, overload the one that had room, or fill the link between regions.
"""

from collections import defaultdict
from random import Random

import msgspec
import pytest

from chervilshift.core.fleet.model import (
    EngineSpec,
    Scaling,
    ServiceSpec,
    ServingConfig,
    ServingLimits,
)
from chervilshift.core.fleet.news import FleetNews, Observed
from chervilshift.core.fleet.placement import Placement, Work
from chervilshift.core.fleet.planner import FleetPlanner, PlanInput
from chervilshift.core.fleet.sync import (
    EndpointLoad,
    GatewayInfo,
    GatewaySync,
)
from chervilshift.core.fleet.zones import (
    BY_DOMAIN,
    BY_REGION,
    LINK_SHARE,
    FlowReport,
    SpillGate,
    SpillPlanner,
    SpillShares,
    ZoneFlow,
    share_gauges,
)
from tests.core.fleet.records import ready_endpoint

REGIONS = {"a": "west", "b": "west", "c": "east", "d": "east"}
DOMAINS = tuple(REGIONS)
GATEWAYS = 65
LINK_BYTES_PER_S = 30e6 / 8
STEP_S, NEWS_AGE_STEPS = 0.25, 2
TOKENS_PER_S = 80_000.0
PLAIN = ServiceSpec(name="pool", max_connections=100)
ENGINES = ServiceSpec(
    name="pool",
    max_connections=100,
    engine=EngineSpec(slots=24, kv_tokens=600_000),
    scaling=Scaling(minimum=1, maximum=20, boot_s=4.0),
)


def config(spec: ServiceSpec) -> ServingConfig:
    return ServingConfig(
        version=1,
        routes=(),
        services={spec.name: spec},
        limits=ServingLimits(),
    )


def endpoints(counts: dict[str, int], slots: int = 6):
    return [
        msgspec.structs.replace(
            ready_endpoint(f"{domain}{n}"), failure_domain=domain, slots=slots
        )
        for domain, count in counts.items()
        for n in range(count)
    ]


def make_planner(link_bytes_per_s: float = LINK_BYTES_PER_S) -> SpillPlanner:
    return SpillPlanner(regions=REGIONS, link_bytes_per_s=link_bytes_per_s)


class Fleet:
    """The decisions of 65 gateways that all follow the same old shares.

    `clients` are requests per second by failure domain, `tokens` those of
    one request, of which `shared` are of shared parts.
    """

    def __init__(
        self, spec: ServiceSpec, *, counts, clients, tokens=0, shared=0, size=0
    ):
        self.spec = spec
        self.counts, self.clients = dict(counts), dict(clients)
        self.tokens, self.shared, self.size = tokens, shared, size
        self.planner = make_planner()
        self.slow: dict[str, float] = {}
        self.now = 0.0
        rng = Random(4)
        self.gates = [
            (
                DOMAINS[n % 4],
                SpillGate(
                    enabled=True,
                    domain=DOMAINS[n % 4],
                    regions=REGIONS,
                    rng=rng,
                ),
            )
            for n in range(GATEWAYS)
        ]
        self.news = []
        self._count = 0
        # Requests sent in the last step by source and destination domain.
        self.sent: dict[tuple[str, str], int] = {}
        self.history: list[dict[tuple[str, str], int]] = []

    def step(self) -> None:
        """Send a step's requests, then report and decide."""
        began_at = self.now
        sent = defaultdict(int)
        by_domain = defaultdict(list)
        for domain, gate in self.gates:
            by_domain[domain].append(gate)
        for domain, rate in self.clients.items():
            gates = by_domain[domain]
            count = round(rate * STEP_S)
            for n in range(count):
                self.now = began_at + STEP_S * (n + 1) / count
                self._send(domain, gates[n % len(gates)], sent)
        self.sent = dict(sent)
        self.history.append(self.sent)
        self.now = began_at + STEP_S
        reports = [(d, gate.report(self.now)) for d, gate in self.gates]
        self.news.append(
            self.planner.plan(
                reports, endpoints(self.counts), config(self.spec)
            )
        )
        if len(self.news) > NEWS_AGE_STEPS:
            for _, gate in self.gates:
                gate.apply(self.news[-1 - NEWS_AGE_STEPS], self.now)

    def _send(self, domain, gate, sent) -> None:
        self._count += 1
        key = f"t{self._count % 1500}" if self.shared else ""
        zone = gate.zone(self.spec.name, key, self.now, follows_leader=True)
        targets = [
            (d, c)
            for d, c in self.counts.items()
            if c
            and (
                zone.includes(d, REGIONS[d])
                if zone is not None
                else REGIONS[d] == REGIONS[domain]
            )
        ]
        if not targets:
            targets = [(d, c) for d, c in self.counts.items() if c]
        # Inside a zone placement spreads by capacity.
        (target,) = Random(self._count).choices(
            [d for d, _ in targets], [c for _, c in targets]
        )
        gate.record_sent(
            self.spec.name,
            target,
            zone,
            self.now,
            tokens=self.tokens,
            shared_tokens=self.shared,
            size_bytes=self.size,
        )
        ratio = self.slow.get(target, 1.0)
        gate.observe(self.spec.name, target, 0.09, 0.09 * ratio, self.now)
        sent[domain, target] += 1

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def utilization(self, last_s: float) -> dict[str, float]:
        """Return the load of each domain's endpoints over the last steps."""
        steps = self.history[-round(last_s / STEP_S) :]
        used = defaultdict(float)
        for sent in steps:
            for (_, target), count in sent.items():
                used[target] += count / len(steps) / STEP_S
        engine = self.spec.engine is not None
        per_request = self.tokens / TOKENS_PER_S if engine else 0.09 / 6
        return {
            domain: used[domain] * per_request / count
            for domain, count in self.counts.items()
            if count
        }

    def left(self, source: str, sent) -> float:
        """Return the share of a domain's requests that left it."""
        total = sum(c for (s, _), c in sent.items() if s == source)
        stayed = sent.get((source, source), 0)
        return 1.0 - stayed / total


EVEN = dict.fromkeys(DOMAINS, 4)
RATES = dict.fromkeys(DOMAINS, 120.0)


def check_settles(
    fleet: Fleet, source: str, since_s: float, within_s: float
) -> None:
    """Check that the share that leaves moves to one value and stays there."""
    shares = [
        sum(news["pool"].shares.get(source, {}).values())
        for news in fleet.news[round(since_s / STEP_S) :]
    ]
    final = shares[-1]
    settled = shares[round(within_s / STEP_S) :]
    assert len(settled) >= 12
    assert all(abs(share - final) <= 0.05 for share in settled)
    # Steps backwards, after which 65 gateways would send work to and fro.
    direction = 1.0 if final >= shares[0] else -1.0
    steps = zip(shares, shares[1:], strict=False)
    assert all(direction * (new - old) >= -0.05 for old, new in steps)


def test_work_stays_in_its_domain_while_that_has_room():
    fleet = Fleet(PLAIN, counts=EVEN, clients=RATES)
    fleet.run(5.0)
    assert all(s == t for sent in fleet.history[-8:] for s, t in sent)


def test_domain_that_loses_half_of_its_endpoints():
    """120 requests/s need 1.8 of the 2 that are left of 4 endpoints."""
    fleet = Fleet(PLAIN, counts=EVEN, clients=RATES)
    fleet.run(5.0)
    fleet.counts["a"] = 2
    fleet.run(10.0)
    used = fleet.utilization(6.0)
    assert used["a"] < 0.8 and used["b"] < 0.8
    assert all(
        t in "ab" for sent in fleet.history for s, t in sent if s == "a"
    )
    check_settles(fleet, "a", since_s=5.0, within_s=2.0)
    check_settles(fleet, "b", since_s=2.0, within_s=0.0)
    fleet.counts["a"] = 4
    fleet.run(6.0)
    assert fleet.left("a", fleet.sent) == 0.0
    check_settles(fleet, "a", since_s=15.0, within_s=2.0)


def test_shift_of_half_of_the_clients():
    fleet = Fleet(PLAIN, counts=EVEN, clients=RATES)
    fleet.run(5.0)
    fleet.clients = {"a": 180.0, "b": 60.0, "c": 120.0, "d": 120.0}
    fleet.run(5.0)
    fleet.clients = {"a": 280.0, "b": 80.0, "c": 60.0, "d": 60.0}
    fleet.run(10.0)
    used = fleet.utilization(5.0)
    assert max(used.values()) < 0.8
    check_settles(fleet, "a", since_s=10.0, within_s=4.0)
    check_settles(fleet, "b", since_s=2.0, within_s=0.0)


def test_loss_of_a_domain_moves_its_work_at_once_to_the_same_region():
    fleet = Fleet(PLAIN, counts=EVEN, clients=RATES)
    fleet.run(5.0)
    fleet.counts["a"] = 0
    fleet.run(3.0)
    assert all(target != "a" for _, target in fleet.sent)
    used = fleet.utilization(1.0)
    assert used["b"] <= 0.95 and max(used.values()) == used["b"]


def test_region_that_is_overloaded_uses_the_other_as_the_link_allows():
    """What should leave, 69 requests/s of 37 KB, is more than may cross."""
    fleet = Fleet(
        ENGINES,
        counts={"a": 6, "b": 6, "c": 20, "d": 20},
        clients={"a": 70.0, "b": 70.0, "c": 20.0, "d": 20.0},
        tokens=9_190,
        shared=6_300,
        size=37_000,
    )
    fleet.run(10.0)
    crossing = [
        sum(c for (s, t), c in sent.items() if REGIONS[s] != REGIONS[t])
        for sent in fleet.history
    ]
    carried = LINK_BYTES_PER_S * LINK_SHARE * STEP_S
    settled = crossing[-24:]
    assert min(settled) > 0
    assert sum(settled) / len(settled) * 37_000 <= 1.05 * carried
    assert max(settled) * 37_000 <= 1.6 * carried
    assert max(crossing) * 37_000 <= LINK_BYTES_PER_S * STEP_S
    check_settles(fleet, "west", since_s=0.0, within_s=3.0)
    shares = fleet.planner.plan(
        [(d, g.report(fleet.now)) for d, g in fleet.gates],
        endpoints(fleet.counts),
        config(ENGINES),
    )["pool"]
    assert shares.by == BY_REGION and set(shares.shares) == {"west"}


def test_large_shared_parts_pool_a_region_and_small_ones_do_not():
    pooled = Fleet(
        ENGINES, counts=EVEN, clients=RATES, tokens=2_890, shared=6_300
    )
    local = Fleet(ENGINES, counts=EVEN, clients=RATES, tokens=543, shared=172)
    pooled.run(3.0)
    local.run(3.0)
    assert pooled.planner._sent["pool"].by == BY_REGION
    assert local.planner._sent["pool"].by == BY_DOMAIN
    assert all(s == t for s, t in local.sent)
    assert all(REGIONS[s] == REGIONS[t] for s, t in pooled.sent)


def test_slow_domain_counts_with_less_capacity():
    fleet = Fleet(PLAIN, counts=EVEN, clients=RATES)
    fleet.run(4.0)
    fleet.slow = {"a": 4.0}
    fleet.run(10.0)
    assert fleet.left("a", fleet.sent) > 0.1
    assert max(fleet.utilization(4.0).values()) < 0.85
    check_settles(fleet, "a", since_s=4.0, within_s=5.0)
    assert any('reason="slow"' in k for k in share_gauges(fleet.planner._sent))


def test_nobody_is_starved_when_all_are_overloaded():
    fleet = Fleet(
        PLAIN,
        counts=EVEN,
        clients={"a": 900.0, "b": 100.0, "c": 400, "d": 400},
    )
    fleet.run(8.0)
    used = fleet.utilization(4.0)
    assert max(used.values()) < 1.25 * min(used.values())
    check_settles(fleet, "a", since_s=0.0, within_s=3.0)


def test_lost_reports_move_little():
    """A third of the reports is missing in each step, others each time."""
    fleet = Fleet(PLAIN, counts={**EVEN, "a": 2}, clients=RATES)
    fleet.run(6.0)
    rng = Random(1)
    shares = []
    for _ in range(40):
        reports = [
            (d, g.report(fleet.now))
            for d, g in fleet.gates
            if rng.random() > 1 / 3
        ]
        plan = fleet.planner.plan(
            reports, endpoints(fleet.counts), config(PLAIN)
        )
        shares.append(sum(plan["pool"].shares.get("a", {}).values()))
    changes = [abs(x - y) for x, y in zip(shares, shares[1:], strict=False)]
    assert max(changes) < 0.15


def test_new_leader_goes_on_with_the_shares_in_use():
    fleet = Fleet(PLAIN, counts={**EVEN, "a": 2}, clients=RATES)
    fleet.run(8.0)
    before = fleet.planner._sent["pool"].shares["a"]["b"]
    fleet.planner = make_planner()
    fleet.step()
    assert fleet.planner._sent["pool"].shares["a"]["b"] == pytest.approx(
        before, abs=0.1
    )


def test_impossible_reports_change_nothing():
    nan, inf = float("nan"), float("inf")
    good = FlowReport(
        flows={"a": ZoneFlow(requests=50.0, expected_s=4.5, actual_s=4.5)}
    )
    bad = FlowReport(
        flows={"b": ZoneFlow(requests=nan, expected_s=-1.0, actual_s=inf)},
        tokens=nan,
        shared_tokens=-5.0,
        size_bytes=inf,
    )
    reports = [("a", {"pool": good}), ("b", {"pool": bad}), ("x", {"no": bad})]
    plan = make_planner().plan(reports, endpoints(EVEN), config(PLAIN))
    assert not plan["pool"].shares
    assert not make_planner().plan(reports, [], config(PLAIN))


def test_keys_move_as_little_as_shares_do():
    gate = SpillGate(enabled=True, domain="a", regions=REGIONS, rng=Random(1))
    fleet = Fleet(PLAIN, counts=EVEN, clients=RATES)
    fleet.run(2.0)
    sent = fleet.planner._sent["pool"]

    def targets(share: float) -> dict[str, str]:
        shares = {"a": {"b": share}} if share else {}
        news = {"pool": msgspec.structs.replace(sent, shares=shares)}
        gate.apply(news, 0.0)
        return {
            f"t{n}": gate.zone("pool", f"t{n}", 0.0, follows_leader=True).name
            for n in range(2_000)
        }

    before, after = targets(0.2), targets(0.3)
    moved = [k for k in before if before[k] != after[k]]
    assert 150 < len(moved) < 250
    assert all(after[k] == "b" for k in moved)
    assert sum(t == "b" for t in before.values()) == pytest.approx(400, abs=60)
    assert set(targets(0.0).values()) == {"a"}


def test_gateway_without_news_uses_its_domain_and_leaves_it_when_crowded():
    gate = SpillGate(enabled=True, domain="a", regions=REGIONS, rng=Random(1))
    assert gate.zone("pool", "", 0.0, follows_leader=False) is None
    gate.record_sent("pool", "a", None, 0.0)
    zone = gate.zone("pool", "", 0.1, follows_leader=False)
    assert (zone.by, zone.name) == (BY_DOMAIN, "a")
    for count in (2, 40):
        placement = Placement(region="west", regions=REGIONS, rng=Random(1))
        records = endpoints(dict.fromkeys(DOMAINS, count))
        placement.update_endpoints(records)
        for number in range(50):
            chosen = placement.choose(
                PLAIN, Work(), number / 100, zone=zone
            ).endpoint
            assert chosen.record.failure_domain == "a"
        busy = {
            r.id: EndpointLoad(active=12) for r in records if r.id[0] == "a"
        }
        placement.set_other_loads(busy)
        left = [
            placement.choose(
                PLAIN, Work(), number / 100, zone=zone
            ).endpoint.record.failure_domain
            for number in range(50)
        ]
        assert left.count("b") > 25
        assert not placement.choose(
            PLAIN,
            Work(),
            1.0,
            frozenset(r.id for r in records if r.id[0] == "a"),
            zone=zone,
        ).endpoint.id.startswith("a")


def test_requests_for_another_region_go_there_unless_it_keeps_them_waiting():
    gate = SpillGate(enabled=True, domain="a", regions=REGIONS, rng=Random(1))
    news = SpillShares(by=BY_REGION, shares={"west": {"east": 1.0}})
    gate.apply({"pool": news}, 0.0)
    work = Work(tokens=9_190, parts=(("s", 6_300), ("own", 2_890)))
    zone = gate.zone("pool", "s", 0.0, follows_leader=True)
    assert (zone.by, zone.name) == (BY_REGION, "east")
    for count in (2, 40):
        placement = Placement(region="west", regions=REGIONS, rng=Random(1))
        records = endpoints(dict.fromkeys(DOMAINS, count))
        placement.update_endpoints(records)
        homes = {
            placement.choose(ENGINES, work, 0.0, zone=zone).endpoint.id
            for _ in range(50)
        }
        assert len(homes) == 1 and homes.pop()[0] in "cd"
        busy = EndpointLoad(active=24, prefill_tokens=200_000)
        placement.set_other_loads(
            {r.id: busy for r in records if r.id[0] in "cd"}
        )
        chosen = placement.choose(ENGINES, work, 0.0, zone=zone)
        assert chosen.endpoint.id[0] in "ab"


def test_leader_with_the_setting_decides_and_one_without_does_not():
    gate = SpillGate(enabled=True, domain="a", regions=REGIONS, rng=Random(1))
    for n in range(40):
        gate.record_sent("pool", "b", None, n / 40)
        gate.observe("pool", "b", 0.09, 0.09, n / 40)
    info = GatewayInfo(
        id="g",
        incarnation="1",
        address="g:1",
        failure_domain="a",
        region="west",
        ready=True,
    )
    report = GatewaySync(
        gateway=info,
        version=1,
        revision=1,
        observed=Observed(flows=gate.report(1.0)),
    )
    given = PlanInput(
        reports=[report],
        endpoints=endpoints({"b": 4}),
        cfg=config(PLAIN),
        now=1.0,
        rollouts=(),
        gateways=(),
        wall_s=0.0,
    )
    assert not FleetPlanner().plan(given).spill
    news = FleetPlanner(spill=make_planner()).plan(given)
    (shares,) = news.spill.values()
    assert shares.shares == {"a": {"b": 1.0}}
    assert shares.reasons == {"a": "no_endpoints"}
    wire = msgspec.msgpack.encode(news)
    assert msgspec.msgpack.decode(wire, type=FleetNews) == news
    gate.apply(news.spill, 1.0)
    assert gate.zone("pool", "", 1.0, follows_leader=True).name == "b"


def test_nothing_is_reported_or_preferred_without_the_setting():
    gate = SpillGate(domain="a", regions=REGIONS, rng=Random(1))
    gate.record_sent("pool", "a", None, 0.0)
    gate.observe("pool", "a", 0.1, 0.1, 0.0)
    assert not gate.report(0.1)
    assert gate.zone("pool", "", 0.1, follows_leader=True) is None


def test_odd_names_do_not_end_a_label():
    """A quote in a service's name made all metrics unreadable."""
    sent = {
        'a"b': SpillShares(shares={"x": {"y": 0.5}}, reasons={"x": "slow"})
    }
    assert list(share_gauges(sent)) == [
        'service="a\\"b",source="x",destination="y",reason="slow"'
    ]
