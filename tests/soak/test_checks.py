"""The checks of the soak test find each kind of broken promise."""

import pytest

from tests.platform.standin import Endpoint
from tests.soak.checks import find_broken_promises
from tests.soak.history import Answer, ConfigRead, History

EVENTS = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 6))


def make_history(runs: int = 1, path: str = "/write/", **changes) -> History:
    """Return the history of one request that ran `runs` times."""
    made = History()
    endpoint = Endpoint(name="w", service="app", address="")
    endpoint.runs = [{b"request-id": b"r1"}] * runs
    made.endpoints.append(endpoint)
    answer = Answer(request_id="r1", path=path, gateway="front-0")
    answer.status = 200
    answer.complete = True
    answer.body = EVENTS
    answer.headers = {"server-stamp": b"stamp", "request-id": b"r1"}
    for name, value in changes.items():
        setattr(answer, name, value)
    made.answers.append(answer)
    return made


def test_proper_run_breaks_nothing():
    assert find_broken_promises(make_history()) == []
    assert find_broken_promises(make_history(runs=3, path="/read/")) == []
    assert (
        find_broken_promises(make_history(runs=0, status=429, headers={}))
        == []
    )


@pytest.mark.parametrize(
    ("made", "said"),
    [
        (make_history(runs=2), "ran 2 times"),
        (make_history(runs=4, path="/v3/"), "ran 4 times"),
        (make_history(status=503, headers={}), "but it ran"),
        (make_history(headers={"request-id": b"r1"}), "signature"),
        (
            make_history(
                headers={"server-stamp": b"stamp", "request-id": b"r2"}
            ),
            "another request",
        ),
        (make_history(body=EVENTS[:-20]), "events"),
        (
            make_history(status=None, answer_required=True, headers={}),
            "no answer",
        ),
    ],
)
def test_broken_answers_are_found(made, said):
    assert any(said in line for line in find_broken_promises(made))


def test_request_that_no_client_sent_is_found():
    made = make_history()
    made.endpoints[0].runs = [{b"request-id": b"r9"}]
    assert any("no client sent" in line for line in find_broken_promises(made))


def test_configuration_that_goes_back_is_found():
    made = History()
    made.config_reads.append(
        ConfigRead(acked_version=4, version=3, control="core-1")
    )
    made.denied_version["front-0", 1] = 2
    assert len(find_broken_promises(made)) == 2


@pytest.mark.parametrize(
    ("calls", "said"),
    [
        ([("/scale", 2, "a", {}), ("/scale", 1, "b", {})], "after 2"),
        ([("/scale", 1, "a", {}), ("/usage", 1, "b", None)], "used by"),
        (
            [
                ("/usage", 1, "a", {"window": 5, "counts": {"acme": 1}}),
                ("/usage", 1, "a", {"window": 5, "counts": {"acme": 2}}),
            ],
            "two reports",
        ),
    ],
)
def test_broken_duties_are_found(calls, said):
    made = History()
    made.cloud_calls = [
        (path, token, holder, body or {"window": 1, "counts": {}})
        for path, token, holder, body in calls
    ]
    assert any(said in line for line in find_broken_promises(made))


@pytest.mark.parametrize("version", ["v1", "v2"])
@pytest.mark.parametrize("taken_up", [False, True])
def test_stream_that_goes_on_at_another_version_is_found(version, taken_up):
    made = make_history(path="/stream/")
    (endpoint,), (answer,) = made.endpoints, made.answers
    endpoint.version = version
    endpoint.runs[0] |= {b"last-event-id": b"2"}
    if taken_up:
        answer.after, answer.begun_version = 2, "v1"
        answer.body = b"".join(b"id: %d\ndata: x\n\n" % n for n in (3, 4, 5))
    else:
        answer.headers |= {"x-version": b"v1"}
    lines = find_broken_promises(made)
    assert [line for line in lines if "went on at" not in line] == []
    assert bool(lines) == (version == "v2")
