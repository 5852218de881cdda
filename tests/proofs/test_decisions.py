"""The dispatcher's decisions, observed with separate processes.

Guards against dispatch to an engine that is slow or unreachable, and
against long requests that delay short ones.
"""

import time

import pytest

from tests.callers import Follower, follow
from tests.cluster import WAIT_S, Cluster, eventually

ANSWER_TOKENS = 30
SLOW_TOKEN_GAP_MS = 200


@pytest.fixture
def engines(cluster: Cluster) -> Cluster:
    """One control replica, two entries and four engines."""
    cluster.add_controls(("c1",))
    cluster.add_entry("e1", 0)
    cluster.add_entry("e2", 1)
    for number in range(4):
        cluster.add_standin(
            f"m{number + 1}",
            number=number,
            gap_ms=5,
            answer_tokens=ANSWER_TOKENS,
        )
    cluster.start()
    cluster.wait_ready()
    return cluster


def execution_share(cluster: Cluster, name: str, before: dict) -> float:
    """Return an engine's share of the executions since the counts `before`."""
    now = execution_counts(cluster)
    new = {engine: now[engine] - before[engine] for engine in now}
    return new[name] / sum(new.values())


def execution_counts(cluster: Cluster) -> dict[str, int]:
    """Return the number of executions of each engine."""
    return {
        name: sum(cluster.standin(name)["executions"].values())
        for name in cluster.standins
    }


def send_requests(cluster: Cluster, count: int) -> None:
    """Send requests, eight at a time, and check all answers."""
    for first in range(0, count, 8):
        batch = [
            Follower(
                cluster, f"ask {n}", f"e{n % 2 + 1}", max_tokens=ANSWER_TOKENS
            )
            for n in range(first, first + 8)
        ]
        for follower in batch:
            follower.start()
        for follower in batch:
            follower.check()


def send_until_executed(cluster: Cluster, name: str, before: dict) -> None:
    """Send requests until an engine executed one since the counts `before`.

    An engine that seemed slow is tried again after some time.
    """
    deadline = time.monotonic() + WAIT_S
    while execution_counts(cluster)[name] == before[name]:
        assert time.monotonic() < deadline, f"{name} gets no requests"
        send_requests(cluster, 8)


def test_slow_engine_gets_little_and_its_streams_move(engines):
    """An engine turns slow while it still announces itself as usable.

    Streams run there then, also if it seemed slow a moment before. After 32
    requests, in which the entries can measure the slowdown, its share of 64
    more stays below 0.125, half of an even share. At least one stream is moved
    off it.
    """
    send_requests(engines, 32)
    at_slowdown = execution_counts(engines)
    engines.standin("m1", gap_ms=SLOW_TOKEN_GAP_MS)
    send_until_executed(engines, "m1", at_slowdown)
    send_requests(engines, 32)
    before = execution_counts(engines)
    slow_executions = before["m1"] - at_slowdown["m1"]
    send_requests(engines, 64)
    assert execution_share(engines, "m1", before) < 0.125
    moved = [
        event
        for event in engines.events(reason="endpoint slow")
        if event["event"] == "attempt_ended"
    ]
    assert moved, (
        f"no stream moved; m1 executed {slow_executions} requests when slow"
    )


def test_black_holed_engine_is_left_and_all_are_answered(engines):
    """The network drops all packets of an engine without an error."""
    send_requests(engines, 16)
    engines.engine_links["m1"].black_hole()
    engines.engine_links["m1"].silence_connections()
    send_requests(engines, 16)
    engines.engine_links["m1"].heal()


def test_short_work_passes_long_work_that_fills_its_bound(engines):
    """Long requests may use half of an engine, so a short one gets a slot."""
    for name in ("m2", "m3", "m4"):
        engines.terminate(name)
        del engines.standins[name]
    eventually(lambda: engines.endpoints("e1") == {"m1"}, "only m1 is listed")
    engines.standin("m1", gap_ms=30, answer_tokens=400)
    for number in range(16):
        Follower(engines, f"long {number}", "e1", max_tokens=400).start()
    eventually(
        lambda: engines.standin("m1")["running"] >= 6,
        "long requests are running",
    )
    short = follow(engines, "short", "e1", max_tokens=10)
    short.check()
    running = engines.standin("m1")["running"]
    assert running <= 9, "long requests hold more than half of sixteen slots"
