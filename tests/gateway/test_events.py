"""Event streams are split into complete events wherever chunks end."""

from hypothesis import given
from hypothesis import strategies as st

from chervilshift.gateway.events import EventSplitter, last_event_id

STREAM = b"".join(
    f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, 6)
)


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_only_whole_events_pass_however_the_bytes_come(cuts):
    splitter = EventSplitter()
    out = b""
    edges = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(edges, edges[1:], strict=False):
        complete = splitter.feed(STREAM[start:end])
        assert complete == b"" or complete.endswith(b"\n\n")
        out += complete
    assert out == STREAM
    assert splitter.incomplete == b""


def test_last_id_of_several_events():
    assert last_event_id(STREAM) == 5
    assert last_event_id(b"data: x\n\n") is None
    assert last_event_id(b"id: x\n\n") is None
