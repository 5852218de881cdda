"""A leaving endpoint gets nothing new after a few seconds."""

import time

import pytest

from chervilshift.core.registry import LEASE_S
from tests.cluster import ENDPOINT_KEY, Caller, Cluster, eventually

FEW_SECONDS_S = LEASE_S + 1.0


@pytest.fixture
def pair(cluster: Cluster) -> Cluster:
    """One control, two entries and two engines."""
    cluster.add_controls(("c1",))
    cluster.add_entry("e1", 0)
    cluster.add_entry("e2", 1)
    for number in range(2):
        cluster.add_standin(
            f"m{number + 1}", number=number, gap_ms=2, answer_tokens=5
        )
    cluster.start()
    cluster.wait_ready()
    return cluster


def announce(cluster: Cluster, entry: str, name: str, **changes):
    """Announce an endpoint as the stand-in itself would."""
    settings = cluster.settings[name]
    fields = ("id", "address", "host", "failure_domain", "region", "kind")
    body = {
        **{field: settings[field] for field in fields},
        "serves": settings["serves"],
        **changes,
    }
    caller = Caller(cluster.entries[entry], ENDPOINT_KEY)
    status, _ = caller.json("POST", "/v1/endpoints/announce", body)
    assert status == 200


def total(cluster: Cluster, name: str) -> int:
    return sum(cluster.standin(name)["executions"].values())


def ask(cluster: Cluster, entry: str, count: int = 12) -> None:
    for number in range(count):
        stream = cluster.caller(entry).chat(f"ask {number}", max_tokens=5)
        stream.read()
        assert stream.done, stream.error


def incarnation(cluster: Cluster, name: str) -> int:
    """Return an incarnation above the running stand-in's."""
    return int(time.time() * 1000) + 10_000_000


def test_nothing_new_after_leaving_even_with_stale_alive_news(pair):
    run = incarnation(pair, "m1")
    announce(pair, "e1", "m1", incarnation=run, seq=50, leaving=True)
    eventually(lambda: "m1" not in pair.endpoints("e2"), "e2 knows")
    announce(pair, "e2", "m1", incarnation=run, seq=40)
    announce(pair, "e1", "m1", incarnation=run, seq=99)
    before = total(pair, "m1")
    for entry in ("e1", "e2"):
        ask(pair, entry)
    assert total(pair, "m1") == before
    announce(pair, "e2", "m1", incarnation=run + 1, seq=1)
    eventually(lambda: "m1" in pair.endpoints("e1"), "a new life counts")


def test_cut_off_entry_stops_using_endpoints_without_news(pair):
    """The endpoint dies; an entry that hears nothing must leave it, too."""
    pair.kill("m1")
    eventually(
        lambda: (
            "m1" not in pair.endpoints("e1")
            and "m1" not in pair.endpoints("e2")
        ),
        "the lease ran out at both",
    )
    ask(pair, "e1", 4)


def test_frozen_entry_that_goes_on_trusts_no_old_news(pair):
    """News that waited in a socket while the entry slept is old news."""
    pair.suspend("e1")
    time.sleep(1.5)
    pair.kill("m1")
    time.sleep(FEW_SECONDS_S)
    pair.resume("e1")
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        assert "m1" not in pair.endpoints("e1")
    ask(pair, "e1", 4)


def test_stopping_stand_in_finishes_what_runs(pair):
    pair.standin("m1", gap_ms=20, answer_tokens=60)
    pair.standin("m2", gap_ms=20, answer_tokens=60)
    streams = [
        pair.caller("e1").chat(f"slow {n}", max_tokens=60, seed=1)
        for n in range(4)
    ]
    for stream in streams:
        stream.read(events=1)
    assert pair.terminate("m1") == 0
