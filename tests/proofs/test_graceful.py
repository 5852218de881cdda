"""A planned stop of an entry or a leader fails no request.

Requests could fail when a process exits before its streams have ended, or
while callers still use the address that the lookup gave them.
"""

import signal
import threading
import time

import pytest

from tests.callers import asked_text, follow
from tests.cluster import Caller, Cluster, eventually

ANSWER_TOKENS = 300


@pytest.fixture
def trio(cluster: Cluster) -> Cluster:
    """Three control replicas, two entries, an engine and a slow service."""
    cluster.add_controls()
    cluster.add_entry("e1", 0)
    cluster.add_entry("e2", 1)
    cluster.add_standin("m1", gap_ms=15, answer_tokens=ANSWER_TOKENS)
    cluster.add_standin("s1", kind="service", delay_ms=300)
    cluster.start()
    cluster.wait_ready()
    return cluster


def test_entry_finishes_its_streams_before_it_stops(trio):
    follower = follow(trio, "to the end", "e1", max_tokens=ANSWER_TOKENS)
    trio.signal("e1", signal.SIGTERM)
    time.sleep(0.3)
    # A second signal changes nothing.
    trio.signal("e1", signal.SIGTERM)
    follower.check()
    assert not follower.reconnects
    assert trio.processes["e1"].wait(60) == 0


def test_callers_with_an_old_lookup_answer_are_served(trio):
    """A stopping entry serves callers for the lookup's time to live."""
    ttl_s = trio.settings["e1"]["lookup_ttl_s"]
    trio.signal("e1", signal.SIGTERM)
    deadline = time.monotonic() + ttl_s
    served = 0
    while time.monotonic() < deadline:
        stream = trio.caller("e1").chat("late", max_tokens=5, seed=2)
        stream.read()
        assert stream.text == asked_text("late", 2, 5)
        served += 1
    assert served
    eventually(
        lambda: all(
            info["address"] != trio.entries["e1"]
            for info in trio.caller("e2").json("GET", "/v1/entries")[1][
                "entries"
            ]
        ),
        "the lookup no longer lists e1",
    )


def test_steady_callers_see_no_failure_through_an_entrys_stop(trio):
    """Callers use the address of a lookup until its time to live is over."""
    failures = []
    stop = threading.Event()
    counts = [0] * 4

    def send_steadily(worker: int) -> None:
        address, fresh_until = trio.entries["e1"], 0.0
        while not stop.is_set():
            now = time.monotonic()
            if now >= fresh_until:
                caller = Caller(address)
                status, answer = caller.json("GET", "/v1/entries")
                if status != 200:
                    failures.append(answer)
                    continue
                address = answer["entries"][0]["address"]
                fresh_until = now + answer["ttl_s"]
            key = f"w{worker}-{counts[worker]}"
            headers = {"idempotency-key": key, "x-mark": key}
            try:
                reply = Caller(address).request(
                    "POST", "/svc/booking/visits", 1, headers
                )
            except Exception as exc:
                failures.append(repr(exc))
                continue
            if reply.status != 200:
                failures.append(reply.content)
            counts[worker] += 1

    threads = [
        threading.Thread(target=send_steadily, args=(n,)) for n in range(4)
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    assert trio.terminate("e1") == 0
    time.sleep(1.0)
    stop.set()
    for thread in threads:
        thread.join()
    assert not failures
    executions = trio.standin("s1")["executions"]
    assert sum(executions.values()) == sum(counts)
    assert max(executions.values()) == 1


def test_leader_hands_over_without_a_failed_call(trio):
    """A leader that stops transfers leadership while calls need claims."""
    leader = eventually(lambda: trio.leader("e1"), "a leader is known")
    failures = []
    stop = threading.Event()
    sent_keys = []

    def send_steadily() -> None:
        while not stop.is_set():
            key = f"k{len(sent_keys)}"
            headers = {"idempotency-key": key, "x-mark": key}
            reply = trio.caller("e2").request(
                "POST", "/svc/booking/visits", 1, headers
            )
            if reply.status != 200:
                failures.append(reply.content)
            sent_keys.append(key)

    thread = threading.Thread(target=send_steadily)
    thread.start()
    time.sleep(1.0)
    assert trio.terminate(leader) == 0
    time.sleep(2.0)
    stop.set()
    thread.join()
    assert not failures
    handovers = [e for e in trio.events() if e["event"] == "handed_over"]
    assert handovers[-1]["done"]
    counts = trio.standin("s1")["executions"]
    assert [counts[key] for key in sent_keys] == [1] * len(sent_keys)


def test_drain_command_stops_in_good_order(trio):
    follower = follow(trio, "drained", "e1", max_tokens=ANSWER_TOKENS)
    status, _ = trio.operator("e1").json("POST", "/v1/drain", {})
    assert status == 200
    follower.check()
    assert trio.processes["e1"].wait(60) == 0
