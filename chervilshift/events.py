"""The time line: events of all processes in causal order.

Every process stamps its events with a hybrid logical clock that the
messages between processes carry, so that an effect sorts after its cause
even when the hosts' clocks disagree.
"""

import json
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import TextIO

from chervilshift.clock import Clock
from chervilshift.sink import LineSink

__all__ = ["EventLog", "HybridClock", "read_events"]

COUNTER_BITS = 16


class HybridClock:
    """A hybrid logical clock: wall-clock milliseconds and a counter.

    A stamp is one integer, milliseconds shifted left by `COUNTER_BITS`.
    """

    __slots__ = ("_clock", "_last")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a stamp later than every earlier one."""
        wall_ms = int(self._clock.utcnow().timestamp() * 1000)
        self._last = max(self._last + 1, wall_ms << COUNTER_BITS)
        return self._last

    def observe(self, stamp: int) -> None:
        """Take note of a stamp that came with a message."""
        self._last = max(self._last, stamp)


class EventLog:
    """Writes one process's events as JSON lines.

    Without a stream the events are only counted, not written.
    """

    __slots__ = ("_hlc", "_on_event", "_process", "_sink", "_stream")

    def __init__(
        self,
        *,
        process: str,
        hlc: HybridClock,
        stream: TextIO | None = None,
        sink: LineSink | None = None,
        on_event: Callable[[str], None] | None = None,
    ):
        self._process = process
        self._hlc = hlc
        self._stream = stream
        self._sink = sink
        self._on_event = on_event

    @property
    def hlc(self) -> HybridClock:
        """The clock that stamps the events."""
        return self._hlc

    def emit(
        self, event: str, *, urgent: bool = False, **fields: object
    ) -> None:
        """Write one event with its fields.

        `urgent` events explain a failure and are the last to be dropped.
        """
        if self._on_event is not None:
            self._on_event(event)
        if self._sink is not None:
            dropped = self._sink.take_dropped()
            if dropped:
                self._put("dropped", {"counts": dropped}, urgent=True)
        self._put(event, fields, urgent=urgent)

    def _put(
        self, event: str, fields: dict[str, object], *, urgent: bool
    ) -> None:
        if self._stream is None and self._sink is None:
            return
        record = {
            "hlc": self._hlc.tick(),
            "process": self._process,
            "event": event,
            **fields,
        }
        line = json.dumps(record, default=str)
        if self._sink is not None:
            self._sink.write(event, line.encode(), urgent=urgent)
        else:
            self._stream.write(line + "\n")
            self._stream.flush()


def _parse(path: Path) -> Iterator[dict]:
    with path.open(encoding="utf-8") as stream:
        for line in stream:
            try:
                yield json.loads(line)
            except ValueError:
                # A process that was killed may leave half a line.
                continue


def read_events(folder: Path, **wanted: str) -> Iterable[dict]:
    """Return all events under `folder` in causal order.

    Each keyword keeps only the events whose field has that value.
    """
    events = [
        event
        for path in sorted(folder.rglob("events-*.jsonl"))
        for event in _parse(path)
    ]
    kept = (
        event
        for event in events
        if all(str(event.get(key)) == val for key, val in wanted.items())
    )
    return sorted(kept, key=lambda event: (event["hlc"], event["process"]))
