"""Background tasks that outlast unexpected errors."""

from collections.abc import Awaitable, Callable

import anyio
from absl import logging

from chervilshift.events import EventLog

__all__ = ["RESTART_DELAY_S", "keep_running"]

# Between the failure of a task and its restart.
RESTART_DELAY_S = 0.2


async def keep_running(
    run: Callable[[], Awaitable[None]], *, name: str, events: EventLog
) -> None:
    """Run a task until it returns or is cancelled; restart it after errors.

    An error that no caller expected is logged with its traceback, and the
    other tasks of the process go on.
    """
    while True:
        try:
            await run()
            return
        except Exception as exc:
            events.emit("task_failed", urgent=True, task=name, error=repr(exc))
            logging.exception("task %s failed, restart follows", name)
        await anyio.sleep(RESTART_DELAY_S)
