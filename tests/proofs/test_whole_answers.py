"""Each caller gets the whole answer to its own request."""

import pytest

from tests.callers import Follower, asked_text, follow
from tests.cluster import OTHER_CALLER_KEY, Caller, Cluster, eventually

TOKENS = 120


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """One control, two entries, two engines; tests leave them as found."""
    made = Cluster(tmp_path_factory.mktemp("answers"))
    made.add_controls(("c1",))
    made.add_entry("e1", 0)
    made.add_entry("e2", 1)
    for number in range(2):
        made.add_standin(
            f"m{number + 1}", number=number, gap_ms=4, answer_tokens=TOKENS
        )
    made.start()
    made.wait_ready()
    yield made
    made.close()


def engines(cluster: Cluster, **behaviour) -> None:
    for name in ("m1", "m2"):
        cluster.standin(name, **behaviour)


def executions(cluster: Cluster, request_id: str) -> int:
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
            max_tokens=TOKENS,
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
    engines(shared, end_early=30)
    stream = shared.caller("e1").chat("cut", max_tokens=TOKENS, seed=1)
    stream.read()
    engines(shared, end_early=0)
    assert not stream.done
    assert asked_text("cut", 1, TOKENS).startswith(stream.text)


def test_end_without_marker_at_one_engine_is_continued_at_another(shared):
    shared.standin("m1", end_early=30)
    followers = [
        follow(shared, f"early {n}", "e1", max_tokens=TOKENS) for n in range(4)
    ]
    for follower in followers:
        follower.check()
    shared.standin("m1", end_early=0)


def test_open_connections_that_go_silent_are_left_for_new_ones(shared):
    follower = follow(shared, "silent", "e1", max_tokens=TOKENS)
    for link in shared.engine_links.values():
        link.silence_connections()
    follower.check()
    request = follower.stream.request_id
    resumed = [
        event
        for event in shared.events(request=request)
        if event["event"] == "resume"
    ]
    assert resumed
    assert executions(shared, request) == 1


def test_engine_that_answers_nobody_is_left(shared):
    follower = follow(shared, "hole", "e1", max_tokens=TOKENS)
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
    headers = {"idempotency-key": "report-1"}
    follower = Follower(
        shared, "join me", "e1", max_tokens=TOKENS, headers=headers
    )
    follower.start()
    eventually(lambda: len(follower.text) > 20, "begun")
    again = shared.caller("e1").chat(
        "join me", headers, max_tokens=TOKENS, seed=11
    )
    again.read()
    follower.check()
    assert again.done
    assert again.text == follower.text
    assert again.request_id == follower.stream.request_id
    assert executions(shared, again.request_id) == 1
    other = shared.caller("e1").chat(
        "another text", headers, max_tokens=TOKENS, seed=11
    )
    other.read()
    assert other.error["type"] == "KeyReused"


def test_streams_of_others_are_out_of_reach(shared):
    follower = follow(shared, "secret", "e1", max_tokens=TOKENS)
    for entry in ("e1", "e2"):
        stranger = Caller(shared.entries[entry], OTHER_CALLER_KEY)
        stolen = stranger.resume(follower.stream)
        before = stolen.text
        stolen.read()
        assert stolen.error["type"] == "NotFound"
        assert stolen.text == before
    follower.check()
    assert not follower.reconnects


def test_whole_answer_without_streaming(shared):
    body = {
        "model": "desk",
        "seed": 3,
        "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": "all at once"}],
    }
    status, reply = shared.caller("e2").json(
        "POST", "/v1/chat/completions", body
    )
    assert status == 200
    text = reply["choices"][0]["message"]["content"]
    assert text == asked_text("all at once", 3, TOKENS)


def test_resume_from_every_place_gives_the_exact_rest(shared):
    follower = follow(shared, "places", "e1", max_tokens=TOKENS)
    follower.check()
    whole = follower.text
    request = follower.stream.request_id
    for offset in (0, 1, 57, TOKENS - 1, TOKENS):
        follower.stream.last_id = f"{request}:{offset}"
        follower.stream.text = asked_text("places", 11, offset)
        rest = shared.caller("e1").resume(follower.stream)
        rest.read()
        assert rest.done
        assert rest.text == whole
