"""A leaving or dead endpoint gets no new requests after a few seconds.

Updates that are delayed, reordered or queued in a socket could make it
appear usable again.
"""

import time

import pytest

from chervilshift.core.registry import LEASE_S
from tests.cluster import ENDPOINT_KEY, Caller, Cluster, eventually

LEASE_EXPIRY_WAIT_S = LEASE_S + 1.0


@pytest.fixture
def pair(cluster: Cluster) -> Cluster:
    """One control replica, two entries and two engines."""
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
    """Announce an endpoint in the name of its stand-in."""
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


def total_executions(cluster: Cluster, name: str) -> int:
    """Return the number of requests that an engine executed."""
    return sum(cluster.standin(name)["executions"].values())


def send_requests(cluster: Cluster, entry: str, count: int = 12) -> None:
    for number in range(count):
        stream = cluster.caller(entry).chat(f"ask {number}", max_tokens=5)
        stream.read()
        assert stream.done, stream.error


def newer_incarnation(cluster: Cluster, name: str) -> int:
    """Return an incarnation above that of the running stand-in.

    Incarnations are start times in milliseconds.
    """
    return int(time.time() * 1000) + 10_000_000


def test_nothing_new_after_leaving_even_with_stale_alive_news(pair):
    """Updates of the same incarnation, older or newer, don't revert leaving.

    Only an announcement with a higher incarnation makes m1 usable again.
    """
    incarnation = newer_incarnation(pair, "m1")
    announce(pair, "e1", "m1", incarnation=incarnation, seq=50, leaving=True)
    eventually(lambda: "m1" not in pair.endpoints("e2"), "e2 dropped m1")
    announce(pair, "e2", "m1", incarnation=incarnation, seq=40)
    announce(pair, "e1", "m1", incarnation=incarnation, seq=99)
    before = total_executions(pair, "m1")
    for entry in ("e1", "e2"):
        send_requests(pair, entry)
    assert total_executions(pair, "m1") == before
    announce(pair, "e2", "m1", incarnation=incarnation + 1, seq=1)
    eventually(
        lambda: "m1" in pair.endpoints("e1"), "e1 lists the new incarnation"
    )


def test_cut_off_entry_stops_using_endpoints_without_news(pair):
    """A killed endpoint announces no leaving; its lease must expire."""
    pair.kill("m1")
    eventually(
        lambda: (
            "m1" not in pair.endpoints("e1")
            and "m1" not in pair.endpoints("e2")
        ),
        "the lease expired at both entries",
    )
    send_requests(pair, "e1", 4)


def test_frozen_entry_that_goes_on_trusts_no_old_news(pair):
    """The endpoint dies while an entry is suspended.

    Announcements that waited in the entry's socket are older than the lease
    when it is resumed, and must not make the endpoint usable.
    """
    pair.suspend("e1")
    time.sleep(1.5)
    pair.kill("m1")
    time.sleep(LEASE_EXPIRY_WAIT_S)
    pair.resume("e1")
    deadline = time.monotonic() + 3.0
    while time.monotonic() < deadline:
        assert "m1" not in pair.endpoints("e1")
    send_requests(pair, "e1", 4)


def test_stopping_stand_in_finishes_what_runs(pair):
    """A stand-in that is terminated while it runs requests exits with 0."""
    pair.standin("m1", gap_ms=20, answer_tokens=60)
    pair.standin("m2", gap_ms=20, answer_tokens=60)
    streams = [
        pair.caller("e1").chat(f"slow {n}", max_tokens=60, seed=1)
        for n in range(4)
    ]
    for stream in streams:
        stream.read(events=1)
    assert pair.terminate("m1") == 0
