"""The history of one request, from the logs of several processes."""

import json

from chervilshift.explain import explain, parse_lines


def line(at_ms: int, process: str, event: str, **fields) -> str:
    record = {"hlc": at_ms << 16, "process": process, "event": event}
    return json.dumps(record | fields)


LINES = [
    line(1000, "core-1", "endpoint", endpoint="w1", state="draining"),
    line(1500, "core-2", "role", role="leader", term=4),
    line(1600, "core-2", "endpoint", endpoint="w9", state="ready"),
    "half a line {",
    "  12.5 front-1 "
    + line(
        2000,
        "front-1",
        "request",
        request="r1",
        outcome="UpstreamFailed",
        endpoints=["w1 active 2+1 wait 0.1"],
        failures=["w1: ReadError"],
    ),
    line(2100, "front-2", "request", request="r2", outcome="whole"),
]


def test_story_has_the_attempts_and_what_happened_to_their_endpoints():
    history = explain("r1", parse_lines(reversed(LINES)))
    text = "\n".join(history)
    assert "state=draining" in history[0]
    assert "term=4" in text
    assert "w9" not in text
    assert "r2" not in text
    assert "attempt 1: w1 active 2+1" in text
    assert "failed: w1: ReadError" in text
    assert history[2].startswith("*")


def test_unknown_request_is_said_to_be_unknown():
    assert explain("zz", parse_lines(LINES)) == ["no event names request zz"]
