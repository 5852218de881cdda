"""Requests and a configuration change through separate processes."""

from chervilshift.standins.engine import answer_size, expected_text
from tests.cluster import CONFIG, Caller, eventually


def test_separate_processes_serve_and_follow_changes(cluster):
    cluster.add_controls()
    for number, name in enumerate(("e1", "e2", "e3")):
        cluster.add_entry(name, number)
    cluster.add_standin("m1", gap_ms=3)
    cluster.add_standin("m2", number=1, gap_ms=3)
    cluster.add_standin("s1", kind="service")
    cluster.start()
    cluster.wait_ready()

    status, answer = cluster.caller("e1").json("GET", "/v1/entries")
    assert status == 200
    domains = {entry["failure_domain"] for entry in answer["entries"]}
    assert len(domains) >= 2

    chosen = Caller(answer["entries"][0]["address"])
    stream = chosen.chat("Which route is open?", seed=7)
    prompt = "user: Which route is open?"
    size = answer_size(prompt)
    assert stream.read() == expected_text(prompt, 7, size)
    assert stream.done

    status, reply = chosen.json("POST", "/svc/booking/visits?a=1", {"n": 1})
    assert (status, reply["method"], reply["path"]) == (200, "POST", "/visits")

    version = cluster.version("e1")
    changed = CONFIG.replace("services: [booking]", "services: []", 1)
    status, reply = cluster.apply("e2", changed, "no-booking", version)
    assert status == 200
    for entry in cluster.entries:
        eventually(
            lambda entry=entry: (
                cluster.caller(entry).request("GET", "/svc/booking/x").status
                == 404
            ),
            f"the change shows at {entry}",
        )
    assert cluster.terminate("s1") == 0
