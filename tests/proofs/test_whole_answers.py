"""Each caller gets the whole answer to its own request, and no other.

Answers could be cut, mixed up or repeated when engines end streams early,
connections go silent, or callers resume and join streams.
"""

import pytest

from tests.callers import Follower, asked_text, follow
from tests.cluster import OTHER_CALLER_KEY, Caller, Cluster, eventually

ANSWER_TOKENS = 120


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """One control replica, two entries and two engines.

    All tests use them, so each test restores what it changes.
    """
    cluster = Cluster(tmp_path_factory.mktemp("answers"))
    cluster.add_controls(("c1",))
    cluster.add_entry("e1", 0)
    cluster.add_entry("e2", 1)
    for number in range(2):
        cluster.add_standin(
            f"m{number + 1}",
            number=number,
            gap_ms=4,
            answer_tokens=ANSWER_TOKENS,
        )
    cluster.start()
    cluster.wait_ready()
    yield cluster
    cluster.close()


def set_behaviour(cluster: Cluster, **behaviour) -> None:
    """Change the behaviour of both engines."""
    for name in ("m1", "m2"):
        cluster.standin(name, **behaviour)


def executions(cluster: Cluster, request_id: str) -> int:
    """Return how often a request was executed, at both engines together."""
    return sum(
        cluster.standin(name)["executions"].get(request_id, 0)
        for name in ("m1", "m2")
    )


def test_many_callers_with_the_same_text_get_their_own(shared):
    followers = [
        Follower(
            shared,
            "the same text",
            f"e{number % 2 + 1}",
            max_tokens=ANSWER_TOKENS,
            seed=number,
        )
        for number in range(16)
    ]
    for follower in followers:
        follower.start()
    for follower in followers:
        follower.check()
    ids = {follower.stream.request_id for follower in followers}
    assert len(ids) == 16


def test_end_without_the_final_marker_is_not_called_whole(shared):
    """Both engines end the stream early without "[DONE]"."""
    set_behaviour(shared, end_early=30)
    stream = shared.caller("e1").chat("cut", max_tokens=ANSWER_TOKENS, seed=1)
    stream.read()
    set_behaviour(shared, end_early=0)
    assert not stream.done
    assert asked_text("cut", 1, ANSWER_TOKENS).startswith(stream.text)


def test_end_without_marker_at_one_engine_is_continued_at_another(shared):
    shared.standin("m1", end_early=30)
    followers = [
        follow(shared, f"early {n}", "e1", max_tokens=ANSWER_TOKENS)
        for n in range(4)
    ]
    for follower in followers:
        follower.check()
    shared.standin("m1", end_early=0)


def test_open_connections_that_go_silent_are_left_for_new_ones(shared):
    """Open connections carry no more data, without an error; new ones do.

    The stream is resumed at the same engine, without a second execution.
    """
    follower = follow(shared, "silent", "e1", max_tokens=ANSWER_TOKENS)
    for link in shared.engine_links.values():
        link.silence_connections()
    follower.check()
    request_id = follower.stream.request_id
    resume_events = [
        event
        for event in shared.events(request=request_id)
        if event["event"] == "resume"
    ]
    assert resume_events
    assert executions(shared, request_id) == 1


def test_engine_that_answers_nobody_is_left(shared):
    """The network drops all packets of the engine that runs the stream."""
    follower = follow(shared, "hole", "e1", max_tokens=ANSWER_TOKENS)
    attempts = [
        event
        for event in shared.events(request=follower.stream.request_id)
        if event["event"] == "attempt"
    ]
    link = shared.engine_links[attempts[0]["endpoint"]]
    link.silence_connections()
    link.black_hole()
    follower.check()
    link.heal()


def test_idempotency_key_joins_the_running_answer(shared):
    """A resend gets the text of the running request, executed only once.

    The same key with another prompt is refused.
    """
    headers = {"idempotency-key": "report-1"}
    follower = Follower(
        shared, "join me", "e1", max_tokens=ANSWER_TOKENS, headers=headers
    )
    follower.start()
    eventually(lambda: len(follower.text) > 20, "begun")
    joined = shared.caller("e1").chat(
        "join me", headers, max_tokens=ANSWER_TOKENS, seed=11
    )
    joined.read()
    follower.check()
    assert joined.done
    assert joined.text == follower.text
    assert joined.request_id == follower.stream.request_id
    assert executions(shared, joined.request_id) == 1
    other = shared.caller("e1").chat(
        "another text", headers, max_tokens=ANSWER_TOKENS, seed=11
    )
    other.read()
    assert other.error["type"] == "KeyReused"


def test_streams_of_others_are_out_of_reach(shared):
    """Another customer that knows the request id can't resume the stream."""
    follower = follow(shared, "secret", "e1", max_tokens=ANSWER_TOKENS)
    for entry in ("e1", "e2"):
        other_customer = Caller(shared.entries[entry], OTHER_CALLER_KEY)
        resumed = other_customer.resume(follower.stream)
        before = resumed.text
        resumed.read()
        assert resumed.error["type"] == "NotFound"
        assert resumed.text == before
    follower.check()
    assert not follower.reconnects


def test_whole_answer_without_streaming(shared):
    body = {
        "model": "desk",
        "seed": 3,
        "max_tokens": ANSWER_TOKENS,
        "messages": [{"role": "user", "content": "all at once"}],
    }
    status, reply = shared.caller("e2").json(
        "POST", "/v1/chat/completions", body
    )
    assert status == 200
    text = reply["choices"][0]["message"]["content"]
    assert text == asked_text("all at once", 3, ANSWER_TOKENS)


def test_resume_from_every_place_gives_the_exact_rest(shared):
    """A stream is resumed after 0 tokens, after all, and between."""
    follower = follow(shared, "places", "e1", max_tokens=ANSWER_TOKENS)
    follower.check()
    full_text = follower.text
    request_id = follower.stream.request_id
    for offset in (0, 1, 57, ANSWER_TOKENS - 1, ANSWER_TOKENS):
        follower.stream.last_id = f"{request_id}:{offset}"
        # Followers use the seed 11 by default.
        follower.stream.text = asked_text("places", 11, offset)
        resumed = shared.caller("e1").resume(follower.stream)
        resumed.read()
        assert resumed.done
        assert resumed.text == full_text
