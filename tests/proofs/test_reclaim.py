"""Accepted requests survive announced reclaims and lost entries."""

import pytest

from tests.callers import follow
from tests.cluster import Cluster, eventually

TOKENS = 400
GAP_MS = 8


@pytest.fixture
def fleet(cluster: Cluster) -> Cluster:
    """Three controls, three entries and four engines in two domains."""
    cluster.add_controls()
    for number in range(3):
        cluster.add_entry(f"e{number + 1}", number)
    for number in range(4):
        cluster.add_standin(
            f"m{number + 1}",
            number=number % 2,
            gap_ms=GAP_MS,
            answer_tokens=TOKENS,
        )
    cluster.start()
    cluster.wait_ready()
    return cluster


def notice(cluster: Cluster, host: str, notice_s: float, entry="e1") -> None:
    caller = cluster.operator(entry)
    status, _ = caller.json(
        "POST", f"/v1/hosts/{host}/notice", {"notice_s": notice_s}
    )
    assert status == 200


def where(cluster: Cluster, follower) -> str:
    """Return the endpoint that a follower's request was last sent to."""
    request = follower.stream.request_id
    attempts = [
        event
        for event in cluster.events(request=request)
        if event["event"] == "attempt"
    ]
    return attempts[-1]["endpoint"]


def start(cluster: Cluster, count: int, **fields) -> list:
    entries = tuple(cluster.entries)
    return [
        follow(
            cluster,
            f"report {number}",
            entries[number % len(entries)],
            max_tokens=TOKENS,
            **fields,
        )
        for number in range(count)
    ]


def test_stream_moves_away_from_a_host_with_notice(fleet):
    (follower,) = start(fleet, 1)
    first = where(fleet, follower)
    notice(fleet, f"host-{first}", 2.5)
    eventually(lambda: where(fleet, follower) != first, "the stream moved")
    fleet.kill(first)
    follower.check()
    assert fleet.standin(where(fleet, follower))["executions"]


def test_target_of_the_move_is_reclaimed_too(fleet):
    (follower,) = start(fleet, 1)
    first = where(fleet, follower)
    notice(fleet, f"host-{first}", 2.5)
    eventually(lambda: where(fleet, follower) != first, "moved once")
    second = where(fleet, follower)
    notice(fleet, f"host-{second}", 2.5)
    fleet.kill(first)
    eventually(lambda: where(fleet, follower) != second, "moved twice")
    fleet.kill(second)
    follower.check()


def test_entry_dies_during_the_move(fleet):
    (follower,) = start(fleet, 1)
    first = where(fleet, follower)
    notice(fleet, f"host-{first}", 2.5, entry="e2")
    eventually(lambda: where(fleet, follower) != first, "the move began")
    fleet.kill("e1")
    fleet.kill(first)
    follower.check()
    assert follower.reconnects


def test_wave_takes_a_failure_domain(fleet):
    followers = start(fleet, 6)
    for name in ("m1", "m3"):
        notice(fleet, f"host-{name}", 3.0)
    eventually(
        lambda: not {"m1", "m3"} & {where(fleet, f) for f in followers},
        "all streams moved",
    )
    fleet.kill("m1")
    fleet.kill("m3")
    for follower in followers:
        follower.check()


def test_reclaim_without_enough_notice_and_a_dead_entry_together(fleet):
    followers = start(fleet, 3)
    fleet.kill(where(fleet, followers[0]))
    fleet.kill("e1")
    for follower in followers:
        follower.check()


def test_entry_hosts_own_notice(fleet):
    followers = start(fleet, 3, seed=5)
    notice(fleet, "host-e1", 5.0, entry="e2")
    process = fleet.processes["e1"]
    assert process.wait(60) == 0
    for follower in followers:
        follower.check()
    assert followers[0].reconnects
    assert not followers[1].reconnects


def test_frozen_entry_that_goes_on_does_not_spoil_a_taken_stream(fleet):
    (follower,) = start(fleet, 1)
    fleet.suspend("e1")
    again = fleet.caller("e2").resume(follower.stream)
    again.read()
    assert again.done
    assert again.text == follower.expected
    follower.gave_up.set()
    fleet.resume("e1")
    follower.join(60)
    assert follower.expected.startswith(follower.text)
    assert not follower.stream.done or follower.text == follower.expected
