"""The log sink is bounded, never blocks and drops urgent lines last."""

import json
import os

from chervilshift.clock import ManualClock
from chervilshift.events import EventLog, HybridClock
from chervilshift.sink import (
    MAX_PENDING_BYTES,
    ORDINARY_BURST_LINES,
    ORDINARY_LINES_PER_S,
    LineSink,
)

USUAL_REQUESTS_PER_S = 30


def make_piped_log() -> tuple[int, LineSink, ManualClock, EventLog]:
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    clock = ManualClock()
    sink = LineSink(fd=write_fd, now=clock.monotonic)
    log = EventLog(process="p", hlc=HybridClock(clock=clock), sink=sink)
    return read_fd, sink, clock, log


def read(read_fd: int) -> bytes:
    data = b""
    while True:
        try:
            data += os.read(read_fd, 1 << 16)
        except BlockingIOError:
            return data


def drain(read_fd: int) -> list[dict]:
    return [json.loads(line) for line in read(read_fd).splitlines()]


def test_trace_of_failed_requests_survives_ten_times_the_usual_load():
    read_fd, _, clock, log = make_piped_log()
    lines = []
    failed = 0
    for second in range(10):
        for number in range(USUAL_REQUESTS_PER_S * 10):
            log.emit("request", request=f"{second}-{number}")
            if number % 3 == 0:
                failed += 1
                log.emit("request", urgent=True, request=f"f{failed}")
            clock.advance(1 / (USUAL_REQUESTS_PER_S * 10))
            lines += drain(read_fd)
    traced = {ln["request"] for ln in lines if "request" in ln}
    assert {f"f{n}" for n in range(1, failed + 1)} <= traced
    ordinary = [r for r in traced if not r.startswith("f")]
    assert (
        len(ordinary) <= ORDINARY_BURST_LINES + 10 * ORDINARY_LINES_PER_S + 1
    )
    reported_drops = sum(sum(ln.get("counts", {}).values()) for ln in lines)
    assert reported_drops > 0


def test_reader_that_stopped_holds_nothing_up_and_costs_bounded_memory():
    _, sink, clock, log = make_piped_log()
    for number in range(20_000):
        log.emit("request", urgent=True, request=str(number), pad="x" * 200)
        clock.advance(0.01)
    assert len(sink._pending) <= MAX_PENDING_BYTES + 512


def test_lines_stay_whole_when_the_reader_comes_back():
    read_fd, _, clock, log = make_piped_log()
    for number in range(400):
        log.emit("request", urgent=True, request=str(number), pad="x" * 400)
        clock.advance(0.01)
    data = read(read_fd)
    # Each write also flushes lines that are pending.
    for number in range(8):
        log.emit("request", request=f"late{number}")
        data += read(read_fd)
    lines = [json.loads(line) for line in data.splitlines()]
    assert lines[-1]["request"] == "late7"
    assert all(line["process"] == "p" for line in lines)


def test_reader_that_is_gone_is_no_error():
    read_fd, _, _, log = make_piped_log()
    os.close(read_fd)
    log.emit("request", request="1")
    log.emit("request", request="2")
