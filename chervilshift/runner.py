"""Runs one process until a signal stops it gracefully."""

import gc
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
from absl import logging

from chervilshift import hangup
from chervilshift.clock import Clock, SystemClock
from chervilshift.errors import Failure
from chervilshift.events import EventLog, HybridClock
from chervilshift.metrics import Metrics
from chervilshift.sink import LineSink
from chervilshift.stopsignal import record_stop_signals

__all__ = ["open_events", "run_until_signal"]

EXIT_FAILED = 1
# Net allocations between garbage collections. Requests create few reference
# cycles, and with the default the collector runs several times a second under
# load.
GC_THRESHOLD_ALLOCATIONS = 20_000

RunFunction = Callable[..., Awaitable[None]]


def _ignore_reload() -> None:
    """Do nothing: the process has no settings that can be reloaded."""


def open_events(
    process: str,
    folder: Path | None,
    metrics: Metrics | None = None,
    *,
    stdout: bool = False,
) -> tuple[Clock, EventLog]:
    """Return the process's clock and its event log.

    Events go to a file under `folder`. Without a folder they go to standard
    output if `stdout` is true, otherwise they are only counted in `metrics`.
    """
    clock = SystemClock()
    stream = sink = None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"events-{process}.jsonl"
        stream = path.open("a", encoding="utf-8")
    on_event = None
    if metrics is not None:

        def on_event(event: str) -> None:
            metrics.count(f"events_{event}")

    hlc = HybridClock(clock=clock)
    if stdout and stream is None:
        sink = LineSink(fd=sys.stdout.fileno(), now=clock.monotonic)
    log = EventLog(
        process=process, hlc=hlc, stream=stream, sink=sink, on_event=on_event
    )
    return clock, log


def run_until_signal(
    run: RunFunction, reload: Callable[[], None] = _ignore_reload
) -> int:
    """Run `run(stop)`; SIGTERM or SIGINT sets `stop`.

    SIGHUP calls `reload`. Returns the exit code: 0, or `EXIT_FAILED` after
    a `Failure`, which is logged and printed on standard error.
    """
    return anyio.run(_run, run, reload, backend_options={"use_uvloop": True})


async def _run(run: RunFunction, reload: Callable[[], None]) -> int:
    stop = anyio.Event()
    code = 0
    # Modules live as long as the process, so collections exclude them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    try:
        async with anyio.create_task_group() as tg:
            tg.start_soon(_watch_signals, stop, reload)
            await run(stop)
            tg.cancel_scope.cancel()
    except* Failure as group:
        for exc in _flatten(group):
            logging.error("%s: %s", exc.name, exc)
            print(f"{exc.name}: {exc}\n{exc.remedy}", file=sys.stderr)
        code = EXIT_FAILED
    return code


async def _watch_signals(
    stop: anyio.Event, reload: Callable[[], None]
) -> None:
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*handled) as signals:
        record_stop_signals(
            (signal.SIGTERM, signal.SIGINT), SystemClock().monotonic
        )
        if hangup.sighup_received():
            reload()
        async for number in signals:
            if number == signal.SIGHUP:
                reload()
            else:
                stop.set()


def _flatten(group: BaseExceptionGroup) -> list[Failure]:
    return [
        failure
        for exc in group.exceptions
        for failure in (
            _flatten(exc) if isinstance(exc, BaseExceptionGroup) else [exc]
        )
    ]
