"""Runs one process until a signal stops it in good order."""

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

__all__ = ["open_events", "run_until_signal"]

EXIT_FAILURE = 1
# Allocations between collections; requests leave few cycles behind, and the
# default collects several times a second under load.
GC_ALLOCATIONS = 20_000

Run = Callable[..., Awaitable[None]]


def _ignore() -> None:
    """Go on: this process has nothing to reload."""


def open_events(
    process: str,
    folder: Path | None,
    metrics: Metrics | None = None,
    *,
    stdout: bool = False,
) -> tuple[Clock, EventLog]:
    """Return the process's clock and its event log.

    Events go to a file under `folder`; with `stdout`, and no folder, to
    standard output.
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


def run_until_signal(run: Run, reload: Callable[[], None] = _ignore) -> int:
    """Run `run(stop)`; a first SIGTERM or SIGINT sets `stop`.

    SIGHUP calls `reload`. Returns the exit code.
    """
    return anyio.run(_run, run, reload, backend_options={"use_uvloop": True})


async def _run(run: Run, reload: Callable[[], None]) -> int:
    stop = anyio.Event()
    code = 0
    # Modules live as long as the process: no collection looks at them again.
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
    try:
        async with anyio.create_task_group() as tg:
            tg.start_soon(_watch_signals, stop, reload)
            await run(stop)
            tg.cancel_scope.cancel()
    except* Failure as group:
        for exc in _leaves(group):
            logging.error("%s: %s", exc.name, exc)
            print(f"{exc.name}: {exc}\n{exc.remedy}", file=sys.stderr)
        code = EXIT_FAILURE
    return code


async def _watch_signals(
    stop: anyio.Event, reload: Callable[[], None]
) -> None:
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*wanted) as signals:
        if hangup.was_held():
            reload()
        async for number in signals:
            if number == signal.SIGHUP:
                reload()
            else:
                stop.set()


def _leaves(group: BaseExceptionGroup) -> list[Failure]:
    return [
        leaf
        for exc in group.exceptions
        for leaf in (
            _leaves(exc) if isinstance(exc, BaseExceptionGroup) else [exc]
        )
    ]
