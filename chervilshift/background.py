"""Background tasks that outlast unexpected errors."""

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
from absl import logging
from anyio.abc import TaskGroup

from chervilshift.clock import Clock
from chervilshift.events import EventLog

__all__ = ["RESTART_DELAY_S", "BackgroundTasks", "keep_running"]

# Between the failure of a task and its restart. The delay doubles with each
# failure, up to the maximum, and is the first again after a sound run.
RESTART_DELAY_S = 0.2
MAX_RESTART_DELAY_S = 3.2
SOUND_RUN_S = 10.0


class BackgroundTasks:
    """Starts tasks that are restarted after errors."""

    __slots__ = ("_clock", "_events")

    def __init__(self, *, clock: Clock, events: EventLog):
        self._clock = clock
        self._events = events

    def start(
        self, tg: TaskGroup, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Start a task in a group."""
        tg.start_soon(
            partial(
                keep_running,
                run,
                name=name,
                clock=self._clock,
                events=self._events,
            )
        )


async def keep_running(
    run: Callable[[], Awaitable[None]],
    *,
    name: str,
    clock: Clock,
    events: EventLog,
) -> None:
    """Run a task until it returns or is cancelled; restart it after errors.

    An error that no caller expected is logged with its traceback, and the
    other tasks of the process go on.
    """
    delay_s = RESTART_DELAY_S
    while True:
        began_at = clock.monotonic()
        try:
            await run()
            return
        except Exception as exc:
            if clock.monotonic() - began_at >= SOUND_RUN_S:
                delay_s = RESTART_DELAY_S
            events.emit(
                "task_failed",
                urgent=True,
                task=name,
                error=repr(exc),
                restart_in_s=delay_s,
            )
            logging.exception(
                "task %s failed, it starts again in %.1f s", name, delay_s
            )
        await anyio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)
