"""Records when the process was told to stop.

A busy event loop handles a signal late, but the time to stop runs from its
arrival.
"""

import signal
from collections.abc import Callable, Iterable
from types import FrameType

__all__ = ["record_stop_signals", "stop_received_at"]

_received_at: float | None = None


def record_stop_signals(
    numbers: Iterable[int], monotonic: Callable[[], float]
) -> None:
    """Record the time of the first of some signals, beside their handlers."""

    def wrap(handler: object) -> Callable[[int, FrameType | None], None]:
        def record(number: int, frame: FrameType | None) -> None:
            global _received_at
            if _received_at is None:
                _received_at = monotonic()
            if callable(handler):
                handler(number, frame)

        return record

    for number in numbers:
        signal.signal(number, wrap(signal.getsignal(number)))


def stop_received_at() -> float | None:
    """Return the monotonic time of the first such signal, None before it."""
    return _received_at
