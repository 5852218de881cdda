"""The decisions' direction, seen through separate processes."""

import pytest

from tests.callers import Follower, follow
from tests.cluster import Cluster, eventually

TOKENS = 30
SLOW_GAP_MS = 200


@pytest.fixture
def engines(cluster: Cluster) -> Cluster:
    """One control, two entries and four engines."""
    cluster.add_controls(("c1",))
    cluster.add_entry("e1", 0)
    cluster.add_entry("e2", 1)
    for number in range(4):
        cluster.add_standin(
            f"m{number + 1}", number=number, gap_ms=5, answer_tokens=TOKENS
        )
    cluster.start()
    cluster.wait_ready()
    return cluster


def share(cluster: Cluster, name: str, before: dict) -> float:
    """Return an engine's share of the executions since `before`."""
    now = counts(cluster)
    new = {engine: now[engine] - before[engine] for engine in now}
    return new[name] / sum(new.values())


def counts(cluster: Cluster) -> dict[str, int]:
    return {
        name: sum(cluster.standin(name)["executions"].values())
        for name in cluster.standins
    }


def ask(cluster: Cluster, count: int) -> None:
    """Ask with eight callers at a time, until all are answered."""
    for first in range(0, count, 8):
        batch = [
            Follower(cluster, f"ask {n}", f"e{n % 2 + 1}", max_tokens=TOKENS)
            for n in range(first, first + 8)
        ]
        for follower in batch:
            follower.start()
        for follower in batch:
            follower.check()


def test_slow_engine_gets_little_and_its_streams_move(engines):
    ask(engines, 32)
    fast = counts(engines)
    engines.standin("m1", gap_ms=SLOW_GAP_MS)
    ask(engines, 32)
    before = counts(engines)
    during = before["m1"] - fast["m1"]
    ask(engines, 64)
    assert share(engines, "m1", before) < 0.125
    moved = [
        event
        for event in engines.events(reason="endpoint slow")
        if event["event"] == "attempt_ended"
    ]
    assert moved, f"m1 ran {during} since it turned slow"


def test_black_holed_engine_is_left_and_all_are_answered(engines):
    ask(engines, 16)
    engines.engine_links["m1"].black_hole()
    engines.engine_links["m1"].silence_connections()
    ask(engines, 16)
    engines.engine_links["m1"].heal()


def test_short_work_passes_long_work_that_fills_its_bound(engines):
    for name in ("m2", "m3", "m4"):
        engines.terminate(name)
        del engines.standins[name]
    eventually(lambda: engines.endpoints("e1") == {"m1"}, "one is left")
    engines.standin("m1", gap_ms=30, answer_tokens=400)
    for number in range(16):
        Follower(engines, f"long {number}", "e1", max_tokens=400).start()
    eventually(lambda: engines.standin("m1")["running"] >= 6, "long runs")
    short = follow(engines, "short", "e1", max_tokens=10)
    short.check()
    running = engines.standin("m1")["running"]
    assert running <= 9, "long work takes half of sixteen, and a bit"
