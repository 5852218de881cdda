"""Which version began a stream, as control and one gateway know it.

A wrong or guessed version joins parts that don't fit together; a forgotten one
ends streams that could go on.
"""

import msgspec

from chervilshift.core.fleet.commands import AnnounceEndpoint
from chervilshift.core.fleet.model import GONE, SILENT, with_state
from chervilshift.core.fleet.origins import (
    KEY_BYTES,
    MAX_ENDED_SERVICES,
    MAX_OPEN_STREAMS,
    MAX_RECORDED_BYTES,
    MAX_UNNAMED_VERSIONS,
    MAX_VERSIONS,
    STREAM_SLACK_S,
    OpenStreams,
    Origin,
    OriginBatch,
    OriginSnapshot,
    OriginTable,
    decide_origin,
    keep_s,
    stream_key,
)
from chervilshift.core.fleet.state import FleetState
from tests.core.fleet.records import ready_endpoint

V1 = Origin(service="llm", version="v1")
V2 = Origin(service="llm", version="v2")
OTHER = Origin(service="app", version="v1")
KEPT_S = 100.0


def key(number: int) -> bytes:
    return stream_key(b"%d" % number)


def batch(origin: Origin, *numbers: int) -> OriginBatch:
    return OriginBatch(origin=origin, keys=b"".join(map(key, numbers)))


def test_recorded_stream_is_found_until_it_is_over():
    table = OriginTable()
    table.note((batch(V1, 1, 2), batch(V2, 3)), 1000.0, KEPT_S)
    assert table.find(key(2)) == {V1}
    assert table.find(key(3)) == {V2}
    assert not table.find(key(4))
    table.note((batch(V2, 4),), 1000.0 + KEPT_S + 1.0, KEPT_S)
    assert not table.find(key(2))
    assert table.find(key(4)) == {V2}


def test_key_is_not_found_across_two_others():
    table = OriginTable()
    keys = b"\0\0\0\0abcdefgh\0\0\0\0"
    table.note((OriginBatch(origin=V1, keys=keys),), 1.0, KEPT_S)
    assert not table.find(b"abcdefgh")
    keys = b"\0\0\0\0abcdefgh\0\0\0\0abcdefgh"
    table.note((OriginBatch(origin=V2, keys=keys),), 1.0, KEPT_S)
    assert table.find(b"abcdefgh") == {V2}


def test_stream_with_two_recorded_versions_is_unclear():
    assert decide_origin((V1, OTHER), ("llm",)) == V1
    assert decide_origin((V1, V2), ("llm",)) is None
    assert decide_origin((OTHER,), ("llm",)) is None


def test_version_counts_for_as_long_as_its_streams_may_last():
    table = OriginTable()
    table.note_versions("llm", ("v1",), 1000.0)
    table.note_versions("llm", ("v1", "v2"), 1010.0)
    table.note_versions("llm", ("v2",), 1020.0)
    assert table.versions_since("llm", 1015.0) == {"v1", "v2"}
    assert table.versions_since("llm", 1021.0) == {"v2"}
    assert table.mixed_services(1015.0) == ("llm",)
    assert table.mixed_services(1021.0) == ()
    table.note_versions("llm", ("v1", "v2"), 1030.0)
    assert table.versions_since("llm", 1021.0) == {"v1", "v2"}


def test_streams_are_kept_for_longer_than_any_route_lets_them_last():
    assert keep_s(None) >= STREAM_SLACK_S


def test_silent_endpoint_serves_its_version_and_an_ended_one_does_not():
    state = FleetState()
    first = msgspec.structs.replace(
        ready_endpoint(), service="llm", version="v1"
    )
    state.apply(AnnounceEndpoint(endpoint=first, now_s=10.0), 1)
    silent = with_state(first, SILENT)
    state.apply(AnnounceEndpoint(endpoint=silent, now_s=20.0), 2)
    assert state.origins.versions_since("llm", 1000.0) == {"v1"}
    gone = with_state(first, GONE)
    state.apply(AnnounceEndpoint(endpoint=gone, now_s=30.0), 3)
    assert not state.origins.versions_since("llm", 1000.0)
    assert state.origins.versions_since("llm", 25.0) == {"v1"}


def test_snapshot_keeps_everything():
    table = OriginTable()
    table.note((batch(V1, 1, 2), batch(V2, 3)), 1000.0, KEPT_S)
    table.note_versions("llm", ("v1", "v2"), 1000.0)
    stored = msgspec.msgpack.encode(table.snapshot())
    copy = OriginTable(
        snapshot=msgspec.msgpack.decode(stored, type=OriginSnapshot)
    )
    assert copy.snapshot() == table.snapshot()
    assert copy.find(key(2)) == {V1}


def test_memory_is_bounded_under_a_flood():
    table = OriginTable()
    keys = bytes(MAX_RECORDED_BYTES // 4)
    for number in range(10):
        table.note((OriginBatch(origin=V1, keys=keys),), number, KEPT_S)
        table.note_versions(
            "llm",
            [f"{number}-{n}" for n in range(MAX_VERSIONS)],
            number,
            named=("llm",),
        )
    stored = table.snapshot()
    assert sum(len(b.keys) for b in stored.batches) <= MAX_RECORDED_BYTES
    assert len(stored.versions["llm"]) <= MAX_VERSIONS
    streams = OpenStreams()
    for number in range(MAX_OPEN_STREAMS + 10):
        streams.begin(key(number), V1, "e1", float(number))
    (reported,) = streams.unreported(("llm",), 2 * MAX_OPEN_STREAMS)
    assert len(reported.keys) == MAX_OPEN_STREAMS * KEY_BYTES


def test_ever_new_services_are_bounded_and_used_ones_are_kept():
    table = OriginTable()
    table.note_versions("named", ("v1",), 1.0, named=("named",))
    table.note_versions("named", (), 2.0, named=("named",))
    table.note_versions("serving", ("v1",), 3.0, named=("named",))
    for number in range(10 * MAX_ENDED_SERVICES):
        for serving in (("v1",), ("v1", "v2"), ()):
            table.note_versions(
                f"other-{number}", serving, 10.0 + number, named=("named",)
            )
        table.note_versions(f"empty-{number}", (), 10.0, named=("named",))
    stored = table.snapshot().versions
    assert len(stored) <= MAX_ENDED_SERVICES + 2
    assert table.versions_since("named", 1.0) == {"v1"}
    assert table.versions_since("serving", 1e9) == {"v1"}
    assert f"other-{10 * MAX_ENDED_SERVICES - 1}" in stored


def test_versions_of_a_service_that_is_not_named_are_bounded():
    table = OriginTable()
    for number in range(100):
        table.note_versions("other", (f"v{number}",), float(number))
    assert len(table.snapshot().versions["other"]) <= MAX_UNNAMED_VERSIONS


def test_gateway_reports_a_stream_until_it_is_recorded_or_over():
    streams = OpenStreams()
    streams.begin(key(1), V1, "e1", 0.0)
    streams.begin(key(2), OTHER, "e2", 0.0)
    streams.begin(key(3), V2, "e3", 0.0)
    streams.end(key(3))
    assert streams.unreported(("llm",), 10) == (batch(V1, 1),)
    streams.record_reported((batch(V1, 1),))
    assert not streams.unreported(("llm",), 10)
    assert streams.find(key(1)) == {V1}
    streams.expire(KEPT_S + 1.0, KEPT_S)
    assert not streams.find(key(1))


def test_endpoint_that_starts_anew_with_another_version_makes_it_unclear():
    streams = OpenStreams()
    streams.begin(key(1), V1, "e1", 0.0)
    streams.record_reported((batch(V1, 1),))
    streams.begin(key(2), V1, "e2", 0.0)
    streams.endpoint_changed("e1", V2)
    assert decide_origin(streams.find(key(1)), ("llm",)) is None
    assert decide_origin(streams.find(key(2)), ("llm",)) == V1
    (reported,) = streams.unreported(("llm",), 1)
    assert reported.keys == key(1)
