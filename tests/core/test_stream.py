"""Tests of stream buffers and of replicated stream records.

The output must be an exact prefix of the answer although chunks arrive late,
duplicated or out of order, also from attempts that were replaced.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilshift.core.records import RecordPart, RecordStore, rank_holders
from chervilshift.core.stream import StreamBuffer
from chervilshift.errors import StreamLost

ANSWER = tuple(f"t{n} " for n in range(40))

chunks = st.lists(
    st.tuples(st.integers(0, 3), st.integers(0, 39), st.integers(1, 8)),
    max_size=80,
)


@given(chunks)
def test_late_doubled_and_reordered_chunks_never_spoil_an_answer(script):
    buffer = StreamBuffer(request_id="r")
    buffer.begin_attempt()
    for attempt, offset, size in script:
        if attempt == 3:
            buffer.begin_attempt()
            continue
        number = buffer.attempt - attempt
        tokens = ANSWER[offset : offset + size]
        if attempt:
            # An older attempt sampled differently.
            tokens = tuple(f"old{n}" for n in tokens)
        try:
            buffer.add(number, offset, tokens)
        except StreamLost:
            assert offset > len(buffer.tokens)
        assert tuple(buffer.tokens) == ANSWER[: len(buffer.tokens)]


def test_end_without_all_tokens_is_not_whole():
    buffer = StreamBuffer(request_id="r")
    attempt, _ = buffer.begin_attempt()
    buffer.add(attempt, 0, ANSWER[:5])
    assert not buffer.finish(attempt, 6, "stop")
    assert not buffer.done
    assert buffer.finish(attempt, 5, "stop")


def test_end_of_an_old_attempt_is_not_taken():
    buffer = StreamBuffer(request_id="r")
    first, _ = buffer.begin_attempt()
    buffer.add(first, 0, ANSWER[:5])
    buffer.begin_attempt()
    assert not buffer.finish(first, 5, "stop")


def test_gap_is_an_error():
    buffer = StreamBuffer(request_id="r")
    attempt, _ = buffer.begin_attempt()
    with pytest.raises(StreamLost):
        buffer.add(attempt, 3, ANSWER[3:5])


def part(offset=0, tokens=(), epoch=1, owner="e1", **fields) -> RecordPart:
    return RecordPart(
        request_id="r",
        epoch=epoch,
        owner=owner,
        offset=offset,
        tokens=tuple(tokens),
        customer="qurum",
        request=b"asked",
        **fields,
    )


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 10))))
def test_record_is_always_a_prefix_of_the_answer(parts):
    store = RecordStore()
    store.append([part()], 0.0)
    for offset, size in parts:
        store.append([part(offset, ANSWER[offset : offset + size])], 0.0)
        tokens = store.fetch("r").tokens
        assert tokens == ANSWER[: len(tokens)]


def test_owner_that_was_superseded_is_told():
    store = RecordStore()
    store.append([part(0, ANSWER[:3])], 0.0)
    taken = store.take_over("r", "e2", 1.0)
    assert (taken.epoch, taken.tokens) == (2, ANSWER[:3])
    reply = store.append([part(3, ANSWER[3:5])], 2.0)
    assert reply.superseded == ("r",)
    mine = store.append([part(3, ANSWER[3:4], epoch=2, owner="e2")], 2.0)
    assert mine.superseded == ()
    assert store.fetch("r").tokens == ANSWER[:4]


def test_part_that_continues_nothing_is_reported_lost():
    store = RecordStore()
    assert store.append([part(5, ANSWER[5:6])], 0.0).lost == ("r",)


def test_store_is_bounded_and_expires():
    store = RecordStore(max_records=2)
    parts = [
        RecordPart(
            request_id=str(n), epoch=1, owner="e", offset=0, request=b"x"
        )
        for n in range(3)
    ]
    assert store.append(parts, 0.0).lost == ("2",)
    store.expire(1e6)
    assert len(store) == 0


def test_holders_are_ranked_the_same_everywhere():
    names = [f"e{n}" for n in range(8)]
    assert rank_holders("r", names) == rank_holders("r", reversed(names))
