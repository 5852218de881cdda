"""Holds a SIGHUP that comes before the process can read settings again.

Its default action would end the process. This module is imported before any
other, so that the time without a handler is short.
"""

import signal
from types import FrameType

__all__ = ["hold", "was_held"]

_held = False


def hold() -> None:
    """Note signals from now on, until another handler takes over."""
    signal.signal(signal.SIGHUP, _note)


def was_held() -> bool:
    """Return whether a signal came meanwhile."""
    return _held


def _note(number: int, frame: FrameType | None) -> None:
    global _held
    _held = True
