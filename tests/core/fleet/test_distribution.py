"""Distribution of reports and news over a leader and followers.

All processes run under one virtual clock. What can go wrong: sums that drift
from the gateways' last reports, news that never arrive, limits exceeded in
sum, and costs that grow with the fleet.
"""

from collections import deque
from random import Random
from time import process_time

import msgspec
import pytest

from chervilshift.core.fleet.controls import ControlChooser
from chervilshift.core.fleet.crashes import Crash
from chervilshift.core.fleet.distribution import Distributor
from chervilshift.core.fleet.intervals import (
    MIN_LISTING_TIMEOUT_S,
    RELAY_INTERVAL_S,
)
from chervilshift.core.fleet.limits import LimitAccount, LimitPolicy
from chervilshift.core.fleet.model import Customer
from chervilshift.core.fleet.otherload import OtherLoads
from chervilshift.core.fleet.sync import (
    ControlInfo,
    EndpointLoad,
    GatewayInfo,
    GatewaySync,
)

STEP_S = 0.05
DOMAINS = ("a1", "a2", "a3", "b1", "b2", "b3")
WINDOW_S, TOLERANCE, SLACK = 8.0, 0.1, 72_000.0
LINK_DELAY_S = 0.03


def policy() -> LimitPolicy:
    return LimitPolicy(window_s=WINDOW_S, tolerance=TOLERANCE, slack=SLACK)


class Gateway:
    """A gateway's part: reports, limits and the load of the others."""

    def __init__(self, world: "World", number: int):
        self.world = world
        self.id = f"g{number}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.alive = True
        self.ready = True
        self.incarnation = 1
        self.loads: dict[str, EndpointLoad] = {}
        self.start()

    def start(self) -> None:
        self.other_loads = OtherLoads()
        self.account = LimitAccount(policy=policy())
        self.account.configure(self.world.customers)
        self.chooser = ControlChooser(
            gateway_id=self.id,
            failure_domain=self.domain,
            region=self.domain[0],
            seeds=("c0",),
        )
        self.due_at = self.world.now
        self.interval_s = 0.25
        self.waiting: deque[tuple[float, float]] = deque()

    def request(self) -> GatewaySync:
        return GatewaySync(
            gateway=GatewayInfo(
                id=self.id,
                incarnation=str(self.incarnation),
                address=self.id,
                failure_domain=self.domain,
                region=self.domain[0],
                ready=self.ready,
            ),
            version=1,
            revision=1,
            seq=self.other_loads.record_report(self.loads),
            interval_s=self.interval_s,
            loads_source=self.other_loads.source,
            loads_cursor=self.other_loads.cursor,
            controls=self.chooser.digest,
            loads=self.loads,
            needed=self.account.needed(),
            prefetch=self.account.prefetch(),
        )

    def sync(self) -> None:
        world = self.world
        address = self.chooser.choose(world.now)
        self.due_at = world.now + self.interval_s
        if not world.reaches(self.id, address):
            self.chooser.set_aside(address, world.now + 0.3)
            self.due_at = world.now + 0.35
            return
        control = world.controls[address]
        world.syncs += 1
        control.update(leads=address == world.leader)
        message = self.request()
        control.core.observe(message, world.now)
        if control.core.needs_leader(message):
            world.relay(address)
        news = control.core.news(message, world.now)
        self.chooser.update(
            control.core.controls_for(message, world.controls),
            world.leader,
            news.gateways,
        )
        if news.leader_age_s > 1.0:
            self.chooser.set_aside(address, world.now)
        self.interval_s = news.interval_s
        self.due_at = world.now + self.interval_s
        self.account.set_gateway_count(news.gateways, news.interval_s)
        self.other_loads.apply(news.loads, news.included_seq)
        if news.granting:
            self.account.apply_grants(
                news.grants, news.waits, world.now, news.leader_age_s
            )


class Control:
    """A control process, the leader or a follower."""

    def __init__(self, world: "World", number: int, starts: int = 0):
        domain = DOMAINS[number % len(DOMAINS)]
        self.world = world
        self.core = Distributor(
            info=ControlInfo(
                address=f"c{number}", failure_domain=domain, region=domain[0]
            ),
            source=f"c{number}-{starts}",
            limit_policy=policy(),
        )

    def update(self, *, leads: bool) -> None:
        self.core.configure(
            self.world.customers,
            self.world.recorded,
            len(self.world.controls),
            self.world.now,
            leads=leads,
        )
        self.core.sweep(self.world.now)


class World:
    """All processes; `cut` holds ids that nobody reaches."""

    def __init__(self, gateways: int, controls: int = 9, rate: float = 0.0):
        self.now = 0.0
        self.syncs = 0
        self.customers = ()
        if rate:
            self.customers = (
                Customer(
                    name="acme",
                    keys=("k",),
                    rate_per_s=rate,
                    burst=rate,
                    by_tokens=True,
                ),
            )
        self.cut: set[str] = set()
        self.leader = "c0"
        self.recorded = tuple(f"g{n}" for n in range(gateways))
        self.controls = {f"c{n}": Control(self, n) for n in range(controls)}
        self.relay_due = dict.fromkeys(self.controls, 0.0)
        self.gateways = [Gateway(self, n) for n in range(gateways)]

    def reaches(self, one: str, other: str) -> bool:
        return one not in self.cut and other not in self.cut

    def relay(self, address: str) -> None:
        if address == self.leader or not self.reaches(address, self.leader):
            return
        follower = self.controls[address].core
        leader = self.controls[self.leader]
        leader.update(leads=True)
        message = follower.make_relay()
        reply = leader.core.receive_relay(message, self.controls, self.now)
        follower.apply_relay_reply(message, reply, self.now, self.now)

    def step(self, on_step=lambda: None) -> None:
        self.now += STEP_S
        for address, control in self.controls.items():
            control.update(leads=address == self.leader)
            if self.now >= self.relay_due[address]:
                self.relay_due[address] = self.now + RELAY_INTERVAL_S
                self.relay(address)
        for gateway in self.gateways:
            if gateway.alive and self.now >= gateway.due_at:
                gateway.sync()
        on_step()

    def run(self, seconds: float, on_step=lambda: None) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step(on_step)

    def total(self) -> dict[str, int]:
        """Return the true load of the gateways that are alive."""
        active: dict[str, int] = {}
        for gateway in self.gateways:
            if gateway.alive and gateway.id not in self.cut:
                for endpoint_id, load in gateway.loads.items():
                    active[endpoint_id] = (
                        active.get(endpoint_id, 0) + load.active
                    )
        return {e: n for e, n in active.items() if n}


def set_loads(world: World, rng: Random, endpoints: int = 69) -> None:
    for gateway in world.gateways:
        gateway.loads = {
            f"e{rng.randrange(endpoints)}": EndpointLoad(
                active=rng.randrange(1, 4), prefill_tokens=rng.randrange(5000)
            )
            for _ in range(rng.randrange(4))
        }


def others_seen_by(gateway: Gateway) -> dict[str, int]:
    loads = gateway.other_loads.loads()
    return {e: load.active for e, load in loads.items() if load.active}


def others_in_truth(world: World, gateway: Gateway) -> dict[str, int]:
    own = {e: load.active for e, load in gateway.loads.items()}
    rest = {e: n - own.get(e, 0) for e, n in world.total().items()}
    return {e: n for e, n in rest.items() if n}


def assert_all_know_the_loads(world: World) -> None:
    for gateway in world.gateways:
        if gateway.alive and gateway.id not in world.cut:
            expected = others_in_truth(world, gateway)
            assert others_seen_by(gateway) == expected, gateway.id


@pytest.mark.parametrize("size", [8, 300])
def test_every_gateway_learns_the_load_of_the_others(size):
    world, rng = World(size), Random(size)
    world.run(3.0)
    for _ in range(3):
        set_loads(world, rng)
        world.run(2.5)
        assert_all_know_the_loads(world)


def test_sums_are_right_after_crashes_cuts_and_new_leaders():
    """Crashed gateways, cut ones and a restarted leader in random order."""
    world, rng = World(60), Random(3)
    world.run(3.0)
    for _ in range(12):
        for gateway in rng.sample(world.gateways, 6):
            gateway.alive = not gateway.alive
            if gateway.alive:
                gateway.incarnation += 1
                gateway.start()
        world.cut = {g.id for g in rng.sample(world.gateways, 3)}
        followers = [a for a in world.controls if a != world.leader]
        world.cut |= set(rng.sample(followers, 2))
        if rng.random() < 0.5:
            old, world.leader = world.leader, rng.choice(followers)
            world.cut.discard(world.leader)
            number = int(old[1:])
            world.controls[old] = Control(world, number, round(world.now))
        set_loads(world, rng)
        world.run(5.0)
        assert_all_know_the_loads(world)


def test_report_that_is_as_it_was_before_a_move_is_not_taken_for_unchanged():
    """A gateway moves away, changes, moves back, and is as it was."""
    world = World(60)
    world.run(3.0)
    gateway = world.gateways[0]
    first = world.controls["c1"].core
    second = world.controls["c2"].core

    def report(core: Distributor, active: int, address: str) -> None:
        gateway.loads = {"e1": EndpointLoad(active=active)}
        core.observe(gateway.request(), world.now)
        world.relay(address)

    report(first, 1, "c1")
    report(second, 5, "c2")
    report(first, 1, "c1")
    report(first, 1, "c1")
    leader = world.controls["c0"].core.presence
    assert leader.load_sums.get("e1").active == 1


def test_crashes_reach_the_leader_and_the_next_one():
    """A relay that takes a crash for an unchanged report loses it."""
    world = World(60)
    world.run(3.0)
    gateway = world.gateways[0]
    crash = Crash(endpoint="e1", born_ms=1, at_s=1.0, parts={"bad": 1})
    follower = world.controls["c1"].core

    def leaders_crashes(address: str) -> set[Crash]:
        presence = world.controls[address].core.presence
        return {c.endpoint for r in presence.reports() for c in r.crashes}

    for _ in range(2):
        report = msgspec.structs.replace(gateway.request(), crashes=(crash,))
        follower.observe(report, world.now)
        world.relay("c1")
    assert leaders_crashes("c0") == {"e1"}
    world.leader = "c2"
    world.controls["c2"].update(leads=True)
    for _ in range(2):
        report = msgspec.structs.replace(gateway.request(), crashes=(crash,))
        follower.observe(report, world.now)
        world.relay("c1")
    assert leaders_crashes("c2") == {"e1"}


def test_needs_of_a_gateway_that_ended_are_forgotten():
    world = World(60, rate=36_000.0)
    world.run(3.0)
    follower = world.controls["c1"]
    world.gateways[0].account.add_waiting("acme", 1_000_000.0)
    message = world.gateways[0].request()
    follower.core.observe(message, world.now)
    assert follower.core.needs_leader(message)
    world.gateways[0].alive = False
    world.run(5.0)
    assert not follower.core.make_relay(grants_only=True).needed


def test_leader_whose_lease_lapses_for_a_moment_keeps_limits_and_gateways():
    """Each save beside a commit does that; grants stopped for 0.8 s."""
    world = World(8, rate=36_000.0)
    world.run(3.0)
    core = world.controls["c0"].core

    def news(*, has_lease: bool):
        core.configure(
            world.customers,
            world.recorded,
            9,
            world.now,
            leads=True,
            has_lease=has_lease,
        )
        message = world.gateways[0].request()
        core.observe(message, world.now)
        return core.news(message, world.now)

    assert news(has_lease=True).granting
    world.now += 0.1
    lapsed = news(has_lease=False)
    assert not lapsed.granting
    assert not lapsed.grants
    assert lapsed.leader_age_s < 0.2
    assert news(has_lease=True).granting


def test_leaders_bucket_regains_a_tenth_of_the_rate_while_its_lease_lapses():
    """The gateways, which are heard but granted nothing, spend the rest."""
    rate = 100_000.0
    world = World(1, rate=rate)
    world.run(3.0)
    core, gateway = world.controls["c0"].core, world.gateways[0]
    gateway.account.add_waiting("acme", 10 * rate)

    def granted(*, has_lease: bool) -> float:
        core.configure(
            world.customers,
            world.recorded,
            9,
            world.now,
            leads=True,
            has_lease=has_lease,
        )
        message = gateway.request()
        core.observe(message, world.now)
        return core.news(message, world.now).grants.get("acme", 0.0)

    assert granted(has_lease=True)
    for _ in range(15):
        world.now += 0.1
        assert not granted(has_lease=False)
    world.now += 0.05
    lapse_s = 1.55 - 0.55
    assert granted(has_lease=True) <= (0.55 + 0.1 * lapse_s) * rate + 1.0


def test_gateways_with_long_intervals_stay_served():
    world = World(8)
    core = world.controls["c1"].core
    gateway = world.gateways[0]
    gateway.interval_s = 2.0
    for step in range(4):
        core.observe(gateway.request(), 2.5 * step)
        core.sweep(2.5 * step + 2.4)
        assert core.served_count == 1


def test_gateways_find_another_control_process_when_half_of_control_is_gone():
    world = World(300)
    world.run(3.0)
    world.cut = {"c1", "c2", "c3", "c4"}
    set_loads(world, Random(1))
    world.run(4.0)
    assert_all_know_the_loads(world)


def test_lookups_everywhere_list_the_gateways_that_run():
    world = World(60)
    world.run(3.0)
    for control in world.controls.values():
        assert len(control.core.listed_gateways(world.now)) == 60
    world.gateways[7].alive = False
    world.run(MIN_LISTING_TIMEOUT_S + 1.0)
    for control in world.controls.values():
        listed = {g.id for g in control.core.listed_gateways(world.now)}
        assert listed == {g.id for g in world.gateways} - {"g7"}


def test_gateway_that_stops_leaves_every_lookup_that_it_told_at_once():
    world = World(60)
    world.run(3.0)
    stopping = world.gateways[7]
    stopping.ready = False
    message = stopping.request()
    for control in world.controls.values():
        control.core.observe(message, world.now)
        listed = {g.id for g in control.core.listed_gateways(world.now)}
        assert "g7" not in listed
    world.run(3.0)
    for control in world.controls.values():
        listed = {g.id for g in control.core.listed_gateways(world.now)}
        assert "g7" not in listed


def test_gateway_that_was_not_ready_at_its_first_report_is_listed():
    """It told one control process so, and became ready at another."""
    world = World(8)
    for control in world.controls.values():
        control.update(leads=control is world.controls["c0"])
        world.gateways[3].ready = False
        control.core.observe(world.gateways[3].request(), world.now)
    world.gateways[3].ready = True
    world.run(2.0)
    for control in world.controls.values():
        listed = {g.id for g in control.core.listed_gateways(world.now)}
        assert "g3" in listed


def test_late_report_of_an_ended_incarnation_changes_nothing():
    world = World(2)
    core = world.controls["c0"].core
    core.observe(world.gateways[0].request(), 0.0)
    old = world.gateways[0].request()
    world.gateways[0].incarnation = 2
    world.gateways[0].loads = {"e1": EndpointLoad(active=3)}
    core.observe(world.gateways[0].request(), 0.1)
    core.observe(old, 0.2)
    assert core.presence.load_sums.get("e1").active == 3
    assert core.presence.report("g0").gateway.incarnation == "2"


@pytest.mark.parametrize("down_s", [0.5, 1.0, 1.5])
def test_gateway_that_restarts_soon_is_listed_and_its_load_is_known(down_s):
    """Its reports, numbered from 1 again, were taken for relayed ones."""
    world = World(60)
    world.run(30.0)
    gateway = world.gateways[5]
    gateway.alive = False
    world.run(down_s)
    gateway.incarnation += 1
    gateway.start()
    gateway.alive = True
    gateway.loads = {"e1": EndpointLoad(active=7)}
    world.run(2.0)
    leader = world.controls["c0"].core
    for _ in range(20):
        world.run(0.5)
        listed = {g.id: g for g in leader.listed_gateways(world.now)}
        assert listed["g5"].incarnation == "2"
        assert_all_know_the_loads(world)


def test_report_of_an_ended_incarnation_is_not_named_as_included():
    """The new one dropped its own reports up to that number."""
    world = World(60)
    world.run(3.0)
    follower, gateway = world.controls["c1"].core, world.gateways[5]
    message = gateway.request()
    follower.observe(message, world.now)
    world.relay("c1")
    assert follower.news(message, world.now).included_seq == message.seq
    gateway.incarnation += 1
    gateway.start()
    message = gateway.request()
    follower.observe(message, world.now)
    assert follower.news(message, world.now).included_seq == 0
    world.relay("c1")
    assert follower.news(message, world.now).included_seq == message.seq


def test_incarnation_that_was_taken_for_ended_is_heard_again():
    """The first report of an old incarnation may come after the new one's."""
    world = World(2)
    core = world.controls["c0"].core
    old = world.gateways[0].request()
    world.gateways[0].incarnation = 2
    core.observe(world.gateways[0].request(), 0.1)
    core.observe(old, 0.2)
    for step in range(1, 10):
        core.observe(world.gateways[0].request(), 0.2 + 0.25 * step)
    assert core.presence.report("g0").gateway.incarnation == "2"


def test_impossible_loads_are_counted_and_harm_no_other():
    world = World(2)
    core = world.controls["c0"].core
    world.gateways[0].loads = {
        "e1": EndpointLoad(active=-5, prefill_tokens=1),
        "e2": EndpointLoad(active=2),
        "nowhere": EndpointLoad(active=10**9),
    }
    world.gateways[1].loads = {"e1": EndpointLoad(active=1)}
    for gateway in world.gateways:
        core.observe(gateway.request(), 0.1)
    assert core.presence.refused_reports == 1
    assert {
        e: load.active for e, load in core.presence.load_sums.items().items()
    } == {"e1": 1, "e2": 2}


@pytest.mark.parametrize("load_factor", [0.5, 3.0])
@pytest.mark.parametrize("is_cut", [False, True])
def test_limit_holds_in_sum_and_is_used(load_factor, is_cut):
    """The bound is the operator's; below the limit nearly all is served.

    For a time, two followers and a tenth of the gateways are cut off, and
    another leader starts without state.
    """
    rate, size = 275_000.0, 120
    world, rng = World(size, rate=rate), Random(7)
    acme = world.customers[0]
    spends: deque[tuple[float, float]] = deque()
    served = asked = max_use = 0.0

    def spend(amount: float) -> None:
        nonlocal served
        spends.append((world.now, amount))
        served += amount

    def on_step() -> None:
        nonlocal asked, max_use
        for gateway in world.gateways:
            if not gateway.alive:
                continue
            for _ in range(len(gateway.waiting)):
                amount, since = gateway.waiting.popleft()
                gateway.account.remove_waiting("acme", amount)
                if gateway.account.try_spend(acme, amount, world.now):
                    spend(amount)
                elif world.now - since < 0.3:
                    gateway.account.add_waiting("acme", amount)
                    gateway.waiting.append((amount, since))
            amount = rng.choice((200.0, 2_000.0, 9_000.0))
            if rng.random() > load_factor * rate * STEP_S / size / 3_733.0:
                continue
            asked += amount
            if gateway.account.try_spend(acme, amount, world.now):
                spend(amount)
            else:
                gateway.account.add_waiting("acme", amount)
                gateway.waiting.append((amount, world.now))
                gateway.due_at = min(gateway.due_at, world.now + STEP_S)
        while spends and spends[0][0] < world.now - WINDOW_S:
            spends.popleft()
        max_use = max(max_use, sum(amount for _, amount in spends))

    world.run(15.0, on_step)
    if is_cut:
        world.cut = {"c1", "c2"} | {f"g{n}" for n in range(0, size, 10)}
        world.run(4.0, on_step)
        world.leader = "c3"
        world.controls["c0"] = Control(world, 0, 1)
        world.run(4.0, on_step)
        world.cut = set()
    world.run(12.0, on_step)
    bound = (rate * WINDOW_S + rate) * (1 + TOLERANCE) + SLACK
    assert max_use <= bound
    if load_factor < 1 and not is_cut:
        assert served > 0.97 * asked
    if load_factor > 1 and not is_cut:
        assert served > 0.8 * rate * world.now


def sync_cost_s(size: int) -> float:
    """Return the processor time of all control processes per sync.

    Loads change all the time. The part that timers take is included.
    """
    world, rng = World(size), Random(size)
    world.run(2.0)
    set_loads(world, rng)
    spent = 0.0
    syncs = world.syncs
    for _ in range(20):
        for gateway in rng.sample(world.gateways, size // 10):
            gateway.loads = {f"e{rng.randrange(69)}": EndpointLoad(active=1)}
        began = process_time()
        world.step()
        spent += process_time() - began
    return spent / max(1, world.syncs - syncs)


def test_cost_of_a_sync_is_flat_in_the_number_of_gateways():
    """The old sync cost ten times as much for ten times the gateways."""
    small = min(sync_cost_s(30) for _ in range(3))
    large = min(sync_cost_s(300) for _ in range(3))
    assert large < 2.5 * small
