"""Usage that is missing in reports after cuts, kills and new leaders.

Counts that arrive after their window was committed are lost, as committed
counts never change.
"""

from collections import Counter
from random import Random

import msgspec
import pytest

from chervilshift.control.duties import USAGE_SETTLE_S, USAGE_WAIT_S
from chervilshift.core.fleet import usage as module
from chervilshift.core.fleet.sync import GatewaySync
from chervilshift.core.fleet.usage import (
    UsageCounter,
    UsageEntry,
    UsageTable,
    window_of,
)
from tests.core.fleet.test_distribution import STEP_S, Gateway, World

WINDOW_S = 5.0
REQUESTS_PER_S = 8.0
# What a gateway that is killed may not have reported: the requests since its
# last report, and those of the report that had not been relayed.
MAX_LOST_S = 0.6


class CountingGateway(Gateway):
    """A gateway that also reports usage."""

    def start(self) -> None:
        super().start()
        self.usage = UsageCounter(window_s=WINDOW_S)

    def request(self) -> GatewaySync:
        now = self.world.now
        window, counts = self.usage.report(now, now)
        return msgspec.structs.replace(
            super().request(), usage=counts, usage_window=window
        )

    def sync(self) -> None:
        before = self.world.syncs
        super().sync()
        if self.world.syncs > before:
            self.usage.record_reply()


class Fleet:
    """Gateways with traffic, and a leader that commits windows.

    The rule is that of `DutyTask`. `truth` counts the requests begun by
    window, `committed` those in the reports.
    """

    def __init__(self, gateways: int, seed: int = 1):
        self.world = World(gateways)
        self.world.gateways = [
            CountingGateway(self.world, n) for n in range(gateways)
        ]
        self.rng = Random(seed)
        self.truth: Counter[int] = Counter()
        self.committed: dict[int, int] = {}
        self.waited: list[float] = []

    def run(self, seconds: float) -> None:
        self.world.run(seconds, self.step)

    def step(self) -> None:
        world = self.world
        for gateway in world.gateways:
            if gateway.alive and self.rng.random() < REQUESTS_PER_S * STEP_S:
                gateway.usage.count_request("acme", world.now)
                self.truth[window_of(world.now, WINDOW_S)] += 1
        window = len(self.committed)
        waited_s = world.now - (window + 1) * WINDOW_S
        if world.leader in world.cut or waited_s < USAGE_SETTLE_S:
            return
        presence = world.controls[world.leader].core.presence
        missing = presence.without_usage(window, world.recorded, world.now)
        if missing and waited_s < USAGE_WAIT_S:
            return
        self.waited.append(waited_s)
        self.committed[window] = presence.usage.total(window).get("acme", 0)

    def lost(self) -> int:
        """Return the requests that the committed windows lack."""
        differences = [self.truth[w] - n for w, n in self.committed.items()]
        assert min(differences) >= 0
        return sum(differences)


@pytest.fixture(params=[24, 65], ids=["to the leader", "to followers"])
def fleet(request) -> Fleet:
    """Fleets whose gateways report to the leader, and to followers."""
    fleet = Fleet(request.param)
    fleet.run(12.4)
    return fleet


def kill(fleet: Fleet, count: int) -> None:
    for gateway in fleet.world.gateways[:count]:
        gateway.alive = False


def test_all_is_reported_soon_without_trouble(fleet):
    fleet.run(28.0)
    assert fleet.lost() == 0
    assert max(fleet.waited) < USAGE_SETTLE_S + 0.5


def test_killed_gateways_lose_the_last_moment_only(fleet):
    kill(fleet, 4)
    fleet.run(28.0)
    assert fleet.lost() <= 4 * REQUESTS_PER_S * MAX_LOST_S
    assert max(fleet.waited) <= USAGE_WAIT_S + STEP_S


def test_gateways_cut_off_with_their_control_processes_are_waited_for(fleet):
    """A third of the fleet was missing in the window that ended meanwhile."""
    third = fleet.world.gateways[: len(fleet.world.gateways) // 3]
    fleet.world.cut |= {"c1", "c2", "c3", *(g.id for g in third)}
    fleet.run(4.5)
    fleet.world.cut.clear()
    fleet.run(25.0)
    assert fleet.lost() == 0


def test_killed_gateways_are_known_to_a_new_leader(fleet):
    """Only the former leader had their counts."""
    kill(fleet, 4)
    fleet.run(1.5)
    fleet.world.cut.add("c0")
    fleet.run(1.0)
    fleet.world.leader = "c4"
    fleet.run(25.0)
    assert fleet.lost() <= 4 * REQUESTS_PER_S * MAX_LOST_S


def test_followers_pass_on_to_a_new_leader_what_the_lost_one_had():
    """The former leader had not noticed yet that the gateways were gone."""
    fleet = Fleet(65)
    fleet.run(12.4)
    kill(fleet, 20)
    fleet.run(0.4)
    fleet.world.cut.add("c0")
    fleet.run(1.0)
    fleet.world.leader = "c4"
    fleet.run(25.0)
    served_by_lost_leader = 3
    lost_s = MAX_LOST_S * 20 + WINDOW_S * served_by_lost_leader
    assert fleet.lost() <= REQUESTS_PER_S * lost_s


def test_leader_elected_in_a_window_waits_for_the_known_gateways(fleet):
    """Its first sums lacked the gateways that had not reported to it yet."""
    fleet.run(2.0)
    fleet.world.cut |= {"c0", *(g.id for g in fleet.world.gateways[:10])}
    fleet.run(0.6)
    fleet.world.leader = "c4"
    fleet.run(4.0)
    fleet.world.cut = {"c0"}
    fleet.run(20.0)
    assert fleet.lost() == 0


def test_follower_that_is_cut_off_passes_on_what_killed_gateways_reported():
    fleet = Fleet(65)
    fleet.run(12.4)
    served = [
        g
        for g in fleet.world.gateways
        if g.chooser.choose(fleet.world.now) == "c1"
    ]
    fleet.world.cut.add("c1")
    follower = fleet.world.controls["c1"].core
    for gateway in served:
        for _ in range(5):
            gateway.usage.count_request("acme", fleet.world.now)
            fleet.truth[2] += 1
        # It still reaches the follower, which does not reach the leader.
        follower.observe(gateway.request(), fleet.world.now)
        gateway.alive = False
    fleet.run(4.0)
    fleet.world.cut.clear()
    fleet.run(20.0)
    assert served
    assert fleet.lost() == 0


def test_gateway_cut_off_for_long_delays_reports_no_longer_than_that(fleet):
    fleet.world.cut.add("g1")
    fleet.run(28.0)
    assert max(fleet.waited) <= USAGE_WAIT_S + STEP_S
    assert len(fleet.committed) >= 6


# Counter and table


def test_all_windows_are_reported_after_a_report_without_reply():
    """Windows that ended meanwhile were taken as reported."""
    counter = UsageCounter(window_s=WINDOW_S)
    for second in (1.0, 6.0, 11.0):
        counter.count_request("acme", second)
    assert len(counter.report(12.0, 12.0)[1]) == 3
    counter.record_reply()
    assert set(counter.report(12.1, 12.1)[1]) == {1, 2}
    assert len(counter.report(12.2, 12.2)[1]) == 3
    counter.record_reply()
    assert set(counter.report(12.3, 12.3)[1]) == {1, 2}


def test_first_report_names_no_window():
    """The host's clock may be ahead until control has told the time."""
    counter = UsageCounter(window_s=WINDOW_S)
    assert counter.report(1e9, 0.0)[0] == 0
    counter.record_reply()
    assert counter.report(21.0, 0.3)[0] == 4


def entry(count: int, window: int = 3, gateway: str = "g1") -> UsageEntry:
    return UsageEntry(
        gateway=gateway,
        incarnation="1",
        window=window,
        counts={3: {"acme": count}},
    )


def test_late_and_repeated_counts_lower_and_double_nothing():
    table = UsageTable()
    for count in (5, 7, 5, 7):
        table.record(entry(count), 0.0)
    assert table.total(3) == {"acme": 7}
    table.record(entry(2, gateway="g2"), 0.0)
    assert table.total(3) == {"acme": 9}


def test_only_changes_are_passed_on():
    table = UsageTable()
    table.record(entry(5), 0.0)
    entries, cursor = table.changes_since(0)
    assert entries == (entry(5),)
    table.record(entry(5), 1.0)
    assert table.changes_since(cursor) == ((), cursor)
    table.record(entry(5, window=4), 2.0)
    entries, _ = table.changes_since(cursor)
    assert entries == (UsageEntry(gateway="g1", incarnation="1", window=4),)


def test_changes_that_exceed_a_message_follow_in_the_next(monkeypatch):
    monkeypatch.setattr(module, "MAX_SENT_ENTRIES", 2)
    table, copy = UsageTable(), UsageTable()
    for number in range(5):
        table.record(entry(1, gateway=f"g{number}"), 0.0)
    cursor = 0
    for _ in range(3):
        entries, cursor = table.changes_since(cursor)
        assert len(entries) <= 2
        for received in entries:
            copy.record(received, 0.0)
    assert copy.total(3) == {"acme": 5}
    assert table.changes_since(cursor)[0] == ()


def test_gateway_that_was_silent_is_not_passed_on_for_ever():
    """Each of its reports went to all followers."""
    table = UsageTable()
    table.record(entry(5), 0.0)
    table.record_end("g1", "1")
    entries, cursor = table.ended_since(0)
    assert entries == (entry(5),)
    table.record_alive("g1", "1")
    table.record(entry(6), 1.0)
    assert table.ended_since(cursor)[0] == ()


def test_ended_incarnations_are_bounded_and_expire(monkeypatch):
    monkeypatch.setattr(module, "MAX_ENTRIES", 3)
    table = UsageTable()
    for number in range(9):
        table.record(entry(1, gateway=f"g{number}"), float(number))
    assert table.total(3) == {"acme": 3}
    now = module.ENTRY_EXPIRY_S + 20.0
    table.sweep({"g8": "1"}.get, now)
    assert table.total(3) == {"acme": 1}
