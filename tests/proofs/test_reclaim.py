"""Accepted requests complete despite reclaimed hosts and lost entries.

A stream could end early or repeat text when its engine's host is reclaimed
while it moves, or when its entry is lost and a caller resumes it at another.
"""

import pytest

from tests.callers import asked_text, follow
from tests.cluster import Cluster, eventually

ANSWER_TOKENS = 400
TOKEN_GAP_MS = 8
# With it a stream lasts 16 s, far longer than a test takes to start several.
LONG_TOKEN_GAP_MS = 40


@pytest.fixture
def fleet(cluster: Cluster) -> Cluster:
    """Three control replicas, three entries and four engines.

    The engines are in two failure domains: m1 and m3, m2 and m4.
    """
    cluster.add_controls()
    for number in range(3):
        cluster.add_entry(f"e{number + 1}", number)
    for number in range(4):
        cluster.add_standin(
            f"m{number + 1}",
            number=number % 2,
            gap_ms=TOKEN_GAP_MS,
            answer_tokens=ANSWER_TOKENS,
        )
    cluster.start()
    cluster.wait_ready()
    return cluster


def send_notice(
    cluster: Cluster, host: str, notice_s: float, entry="e1"
) -> None:
    """Announce at an entry that a host is reclaimed after `notice_s`."""
    caller = cluster.operator(entry)
    status, _ = caller.json(
        "POST", f"/v1/hosts/{host}/notice", {"notice_s": notice_s}
    )
    assert status == 200


def set_token_gap(cluster: Cluster, gap_ms: float) -> None:
    """Set the time between tokens of all engines."""
    for name in cluster.standins:
        cluster.standin(name, gap_ms=gap_ms)


def last_endpoint(cluster: Cluster, follower) -> str:
    """Return the endpoint to which a follower's request was last sent."""
    request_id = follower.stream.request_id
    attempts = [
        event
        for event in cluster.events(request=request_id)
        if event["event"] == "attempt"
    ]
    return attempts[-1]["endpoint"]


def start_followers(cluster: Cluster, count: int, **fields) -> list:
    """Start followers, distributed over the entries in turn."""
    entries = tuple(cluster.entries)
    return [
        follow(
            cluster,
            f"report {number}",
            entries[number % len(entries)],
            max_tokens=ANSWER_TOKENS,
            **fields,
        )
        for number in range(count)
    ]


def test_stream_moves_away_from_a_host_with_notice(fleet):
    (follower,) = start_followers(fleet, 1)
    first = last_endpoint(fleet, follower)
    send_notice(fleet, f"host-{first}", 2.5)
    eventually(
        lambda: last_endpoint(fleet, follower) != first, "the stream moved"
    )
    fleet.kill(first)
    follower.check()
    assert fleet.standin(last_endpoint(fleet, follower))["executions"]


def test_target_of_the_move_is_reclaimed_too(fleet):
    """The engine that took over the stream has little time left as well."""
    (follower,) = start_followers(fleet, 1)
    first = last_endpoint(fleet, follower)
    send_notice(fleet, f"host-{first}", 2.5)
    eventually(
        lambda: last_endpoint(fleet, follower) != first,
        "the stream moved once",
    )
    second = last_endpoint(fleet, follower)
    send_notice(fleet, f"host-{second}", 2.5)
    fleet.kill(first)
    eventually(
        lambda: last_endpoint(fleet, follower) != second,
        "the stream moved twice",
    )
    fleet.kill(second)
    follower.check()


def test_entry_dies_during_the_move(fleet):
    """Entry and old engine are lost; another entry must resume the stream."""
    (follower,) = start_followers(fleet, 1)
    first = last_endpoint(fleet, follower)
    send_notice(fleet, f"host-{first}", 2.5, entry="e2")
    eventually(
        lambda: last_endpoint(fleet, follower) != first, "the move has begun"
    )
    fleet.kill("e1")
    fleet.kill(first)
    follower.check()
    assert follower.reconnects


def test_wave_takes_a_failure_domain(fleet):
    """All engines of a failure domain are reclaimed together."""
    followers = start_followers(fleet, 6)
    for name in ("m1", "m3"):
        send_notice(fleet, f"host-{name}", 3.0)
    eventually(
        lambda: (
            not {"m1", "m3"} & {last_endpoint(fleet, f) for f in followers}
        ),
        "all streams moved",
    )
    fleet.kill("m1")
    fleet.kill("m3")
    for follower in followers:
        follower.check()


def test_reclaim_without_enough_notice_and_a_dead_entry_together(fleet):
    """An engine and the entry of one of its streams are killed at once.

    The other entries need the records of the lost entry's streams to
    resume them.
    """
    followers = start_followers(fleet, 3)
    fleet.kill(last_endpoint(fleet, followers[0]))
    fleet.kill("e1")
    for follower in followers:
        follower.check()


def test_entry_hosts_own_notice(fleet):
    """An entry gives up its streams shortly before its host is reclaimed.

    It exits with 0, and only its own caller reconnects.
    """
    set_token_gap(fleet, LONG_TOKEN_GAP_MS)
    followers = start_followers(fleet, 3, seed=5)
    send_notice(fleet, "host-e1", 5.0, entry="e2")
    process = fleet.processes["e1"]
    assert process.wait(60) == 0
    set_token_gap(fleet, TOKEN_GAP_MS)
    for follower in followers:
        follower.check()
    assert followers[0].reconnects
    assert not followers[1].reconnects


def test_resume_at_an_entry_that_ends_is_refused_with_a_failure(fleet):
    """The entry began to ask for the record, ended, and sent a bare 500."""
    set_token_gap(fleet, LONG_TOKEN_GAP_MS)
    stream = fleet.caller("e1").chat(
        "report", max_tokens=ANSWER_TOKENS, seed=5
    )
    stream.read(until_text=20)
    send_notice(fleet, "host-e1", 3.5)
    stream = fleet.caller("e1").resume(stream)
    events = stream.iterate()
    next(events)
    for name in ("e2", "e3"):
        fleet.suspend(name)
    for _ in events:
        continue
    assert not stream.done
    refused = fleet.caller("e1").resume(stream)
    refused.read()
    # Without a status the entry no longer listened.
    assert refused.status in (0, 503)
    assert not refused.error or refused.error["type"] == "Draining"
    for name in ("e2", "e3"):
        fleet.resume(name)
    assert fleet.processes["e1"].wait(60) == 0
    set_token_gap(fleet, TOKEN_GAP_MS)

    def resume_elsewhere():
        resumed = fleet.caller("e2").resume(stream)
        resumed.read()
        return resumed.done and resumed

    resumed = eventually(resume_elsewhere, "the stream goes on elsewhere")
    assert resumed.text == asked_text("report", 5, ANSWER_TOKENS)


def test_frozen_entry_that_goes_on_does_not_spoil_a_taken_stream(fleet):
    """A suspended entry's stream is resumed at another entry.

    When the first entry is resumed too, its caller may get a part of the
    answer, but no wrong text.
    """
    (follower,) = start_followers(fleet, 1)
    fleet.suspend("e1")
    resumed = fleet.caller("e2").resume(follower.stream)
    resumed.read()
    assert resumed.done
    assert resumed.text == follower.expected
    follower.gave_up.set()
    fleet.resume("e1")
    follower.join(60)
    assert follower.expected.startswith(follower.text)
    assert not follower.stream.done or follower.text == follower.expected
