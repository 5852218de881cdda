"""Event log of each process, and the merged time line of all processes.

Every process stamps its events with a hybrid logical clock, and messages
between processes carry its stamps. An effect therefore sorts after its cause
even when the hosts' clocks differ.
"""

import json
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import TextIO

from chervilshift.clock import Clock
from chervilshift.sink import LineSink

__all__ = ["EventLog", "HybridClock", "read_events"]

# Low bits of a stamp that count events within one millisecond.
HLC_COUNTER_BITS = 16


class HybridClock:
    """A hybrid logical clock: wall-clock milliseconds and a counter.

    A stamp is an integer: Unix time in milliseconds, shifted left by
    `HLC_COUNTER_BITS`, plus the counter.
    """

    __slots__ = ("_clock", "_last")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a stamp greater than all returned or observed so far."""
        wall_ms = int(self._clock.utcnow().timestamp() * 1000)
        self._last = max(self._last + 1, wall_ms << HLC_COUNTER_BITS)
        return self._last

    def observe(self, stamp: int) -> None:
        """Advance the clock to at least the stamp of a received message."""
        self._last = max(self._last, stamp)


class EventLog:
    """Writes one process's events as JSON lines.

    Events go to `sink` if there is one, otherwise to `stream`; without
    either they are only passed to `on_event`.
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
        """The hybrid logical clock that stamps the events."""
        return self._hlc

    def emit(
        self, event: str, *, urgent: bool = False, **fields: object
    ) -> None:
        """Write one event with its fields.

        `urgent` events explain a failure. The sink limits their rate
        separately, so that other events can't displace them.
        """
        if self._on_event is not None:
            self._on_event(event)
        if self._sink is not None:
            dropped = self._sink.pop_dropped()
            if dropped:
                self._write("dropped", {"counts": dropped}, urgent=True)
        self._write(event, fields, urgent=urgent)

    def _write(
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


def _read_file(path: Path) -> Iterator[dict]:
    with path.open(encoding="utf-8") as stream:
        for line in stream:
            try:
                yield json.loads(line)
            except ValueError:
                # A process that was killed may have written part of a line.
                continue


def read_events(folder: Path, **wanted: str) -> Iterable[dict]:
    """Return all events under `folder` in causal order.

    Each keyword selects the events whose field of that name has that value.
    """
    events = [
        event
        for path in sorted(folder.rglob("events-*.jsonl"))
        for event in _read_file(path)
    ]
    selected = (
        event
        for event in events
        if all(str(event.get(key)) == value for key, value in wanted.items())
    )
    return sorted(selected, key=lambda event: (event["hlc"], event["process"]))
