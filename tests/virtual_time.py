"""Event loop whose time moves to the next timer whenever it would wait."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from unittest.mock import patch

import anyio

__all__ = ["LoopClock", "run_virtual"]

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _Selector(selectors.DefaultSelector):
    """Adds to the time what it is asked to wait."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now += timeout
        return super().select(0)


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


class LoopClock:
    """Clock of the running event loop."""

    __slots__ = ()

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def utcnow(self) -> datetime:
        return EPOCH + timedelta(seconds=self.monotonic())


def run_virtual(
    func: Callable[[], Coroutine], thread_s: Callable[[], float]
) -> object:
    """Run `func` in virtual time; work for threads takes `thread_s` there."""

    async def run_sync(work, *args, **_):
        await anyio.sleep(thread_s())
        return work(*args)

    with (
        patch("anyio.to_thread.run_sync", run_sync),
        asyncio.Runner(loop_factory=_Loop) as runner,
    ):
        return runner.run(func())
