"""Sharing of the work on small parts among replies that are read at once."""

import heapq

from chervilshift.core.pacing import (
    MAX_BURST_PARTS,
    MAX_SHARED_PARTS_PER_S,
    PARTS_PER_TURN,
    PartBudget,
)

DURATION_S = 10.0
FULL_TURN = [b"x"] * PARTS_PER_TURN
# Each reply may be its own burst and the parts of one read ahead.
MAX_PARTS_AHEAD = 2 * PARTS_PER_TURN
# A token of a stream, and the time between two at the target.
EVENT = [b"x" * 100]
EVENT_INTERVAL_S = 0.037


def simulate(readers: dict[tuple[str, int], tuple[list[bytes], float]]):
    """Let replies be read; return the parts and the longest wait of each.

    `readers` has, by endpoint and number, what one read returns and the time
    until the next one.
    """
    budget = PartBudget()
    bodies = {key: budget.open_body(key[0]) for key in readers}
    parts = dict.fromkeys(readers, 0)
    longest_s = dict.fromkeys(readers, 0.0)
    waits = {}
    due = [(0.0, key) for key in readers]
    heapq.heapify(due)
    while due[0][0] < DURATION_S:
        now, key = heapq.heappop(due)
        if key in waits:
            waits.pop(key).__exit__(None, None, None)
        read, interval_s = readers[key]
        parts[key] += len(read)
        wait_s = bodies[key].wait_s(read, now)
        if wait_s is not None:
            waits[key] = bodies[key].waiting()
            waits[key].__enter__()
            longest_s[key] = max(longest_s[key], wait_s)
        next_at = now + max(wait_s or 0.0, interval_s, 0.0001)
        heapq.heappush(due, (next_at, key))
    return parts, longest_s


def endless(endpoint: str, count: int):
    """Return replies that have small parts at any time."""
    return {(endpoint, n): (FULL_TURN, 0.0) for n in range(count)}


def streams(endpoint: str, count: int):
    """Return sound streams of events."""
    return {
        (endpoint, n): (EVENT, EVENT_INTERVAL_S)
        for n in range(1000, 1000 + count)
    }


def test_endless_replies_together_have_one_limit():
    parts, _ = simulate(endless("e1", 250))
    assert sum(parts.values()) < (
        MAX_BURST_PARTS
        + MAX_SHARED_PARTS_PER_S * DURATION_S
        + 250 * MAX_PARTS_AHEAD
    )


def test_replies_of_one_endpoint_share_its_part_evenly():
    parts, _ = simulate(endless("e1", 50))
    assert min(parts.values()) > 0.8 * max(parts.values())


def test_endpoint_with_more_replies_has_no_larger_share():
    parts, _ = simulate(endless("e1", 200) | endless("e2", 10))
    of_few = sum(n for key, n in parts.items() if key[0] == "e2")
    assert of_few > 0.4 * sum(parts.values())


def test_sound_streams_never_wait_beside_endless_replies():
    sound = streams("e1", 20) | streams("e2", 100) | streams("e3", 100)
    readers = sound | endless("e1", 200)
    parts, longest_s = simulate(readers)
    assert max(longest_s[key] for key in sound) == 0.0
    endless_parts = sum(parts[key] for key in readers if key not in sound)
    assert endless_parts < (
        MAX_BURST_PARTS
        + MAX_SHARED_PARTS_PER_S * DURATION_S
        + 200 * MAX_PARTS_AHEAD
    )


def test_streams_of_a_node_at_the_target_never_wait():
    readers = {}
    for n in range(16):
        readers |= streams(f"e{n}", 20)
    _, longest_s = simulate(readers)
    assert max(longest_s.values()) == 0.0


def test_large_parts_are_not_counted():
    readers = {("e1", n): ([b"x" * 4096] * 31, 0.001) for n in range(4)}
    _, longest_s = simulate(readers)
    assert max(longest_s.values()) == 0.0


def test_closed_replies_leave_nothing_behind():
    budget = PartBudget()
    body = budget.open_body("e1")
    with body.waiting():
        assert budget.waiting_endpoints == 1
    assert budget.waiting_endpoints == 0
    del body
    assert not budget._endpoints
