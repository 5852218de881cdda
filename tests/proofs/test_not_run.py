"""When a refusal says "not run", the request did not run.

Each path of the table in docs/GUARANTEES.md is driven here; the stand-ins
count what ran.
"""

import json
import socket
import threading

import pytest

from chervilshift.keys import hash_key
from tests.cluster import CALLER_KEY, CONFIG, Cluster, eventually

LIMITED = (
    CONFIG.replace(
        "    services: [booking]\n  other",
        "    services: [booking]\n    max_running: 2\n    max_queued: 2\n"
        "  other",
    )
    + f"""\
  walled:
    keys: [{hash_key("walled-key")}]
limits:
  body_bytes: 2000
  body_timeout_s: 1
"""
)


@pytest.fixture(scope="module")
def small(tmp_path_factory):
    """One control, one entry, one slow engine, one service, low limits."""
    made = Cluster(tmp_path_factory.mktemp("refusals"))
    made.add_controls(("c1",))
    made.add_entry("e1", 0)
    made.add_standin("m1", gap_ms=20, answer_tokens=100)
    made.add_standin("s1", kind="service")
    made.start()
    made.wait_ready()
    status, reply = made.apply("e1", LIMITED, "limits", made.version("e1"))
    assert status == 200, reply
    eventually(lambda: made.version("e1") == reply["version"], "in force")
    yield made
    made.close()


def ran(cluster: Cluster) -> int:
    return sum(
        sum(cluster.standin(name)["executions"].values())
        for name in ("m1", "s1")
    )


def refused(cluster: Cluster, method, path, value, kind, **options) -> None:
    """Assert that a request is refused as not run, and did not run."""
    before = ran(cluster)
    caller = cluster.caller("e1", options.pop("key", CALLER_KEY))
    reply = caller.request(method, path, value, options.get("headers"))
    failure = json.loads(reply.content)["error"]
    assert (failure["type"], failure["not_run"]) == (kind, True)
    assert (b"x-not-run", b"true") in reply.headers
    assert ran(cluster) == before


CHAT = "/v1/chat/completions"
SVC = "/svc/booking/visits"
ASK = {"model": "desk", "messages": [{"role": "user", "content": "x"}]}

REFUSALS = [
    ("POST", CHAT, ASK, "Unauthorized", {"key": "wrong"}),
    ("POST", SVC, 1, "Unauthorized", {"key": ""}),
    ("POST", CHAT, {"model": 3}, "BadRequest", {}),
    ("POST", CHAT, {**ASK, "messages": []}, "BadRequest", {}),
    (
        "POST",
        CHAT,
        {**ASK, "max_tokens": 0},
        "NotFound",
        {"key": "walled-key"},
    ),
    ("POST", CHAT, {**ASK, "max_tokens": -1}, "BadRequest", {}),
    ("POST", CHAT, {**ASK, "model": "none"}, "NotFound", {}),
    ("POST", CHAT, {**ASK, "adapter": "none"}, "NotFound", {}),
    ("POST", CHAT, {**ASK, "user": "x" * 3000}, "BodyTooLarge", {}),
    ("POST", SVC, "x" * 3000, "BodyTooLarge", {}),
    ("POST", "/svc/none/x", 1, "NotFound", {}),
    ("POST", SVC, 1, "NotFound", {"key": "walled-key"}),
]


@pytest.mark.parametrize(
    ("method", "path", "value", "kind", "options"), REFUSALS
)
def test_refused_before_anything_is_sent(
    small, method, path, value, kind, options
):
    refused(small, method, path, value, kind, **options)


def test_at_capacity(small):
    streams = [
        small.caller("e1").chat(f"busy {n}", max_tokens=100) for n in range(2)
    ]
    threads = [threading.Thread(target=stream.read) for stream in streams]
    for thread in threads:
        thread.start()
    eventually(lambda: all(stream.text for stream in streams), "both run")
    refused(small, "POST", CHAT, ASK, "AtCapacity")
    for thread in threads:
        thread.join()
    assert all(stream.done for stream in streams)


def test_slow_body_is_refused(small):
    before = ran(small)
    host, _, port = small.entries["e1"].rpartition(":")
    with socket.create_connection((host, int(port)), timeout=30) as sock:
        sock.sendall(
            f"POST {SVC} HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {CALLER_KEY}\r\n"
            "Content-Length: 10\r\n\r\n1".encode()
        )
        answer = sock.recv(4096)
    assert answer.startswith(b"HTTP/1.1 400")
    assert ran(small) == before


def test_no_endpoint(small):
    small.kill("m1")
    eventually(lambda: "m1" not in small.endpoints("e1"), "it is gone")

    def not_served() -> bool:
        _, reply = small.caller("e1").json("POST", CHAT, ASK)
        assert reply["error"]["not_run"]
        return reply["error"]["type"] == "NoEndpoint"

    eventually(not_served, "refused for want of an endpoint")
    small.start("m1")
    eventually(lambda: "m1" in small.endpoints("e1"), "it is back")


def test_failures_that_may_have_run_never_say_not_run(small):
    small.standin("s1", hang_up=True)
    caller = small.caller("e1")
    for method in ("GET", "POST"):
        status, reply = caller.json(method, SVC, 1, {"x-mark": "hung"})
        assert status == 502
        assert not reply["error"]["not_run"]
    small.standin("s1", hang_up=False)
    assert small.standin("s1")["executions"]["hung"] >= 2


def test_draining(small):
    small.operator("e1").json("POST", "/v1/drain", {})
    before = ran(small)
    kinds = set()
    while True:
        try:
            status, reply = small.caller("e1").json("POST", CHAT, ASK)
        except Exception:
            break
        if status != 200:
            kinds.add(reply["error"]["type"])
            assert reply["error"]["not_run"]
        else:
            before += 1
    assert kinds <= {"Draining"}
    eventually(lambda: ran(small) == before, "no refused one ran")
    assert small.processes["e1"].wait(60) == 0
