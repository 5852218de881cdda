"""Defers a SIGHUP that arrives before the process can reload its settings.

The default action of SIGHUP would terminate the process. This module is
imported before any other, so that the time without a handler is short.
"""

import signal
from types import FrameType

__all__ = ["defer_sighup", "sighup_received"]

_received = False


def defer_sighup() -> None:
    """Only record SIGHUP from now on, until another handler is installed."""
    signal.signal(signal.SIGHUP, _record)


def sighup_received() -> bool:
    """Return whether SIGHUP arrived while `defer_sighup` was in effect."""
    return _received


def _record(number: int, frame: FrameType | None) -> None:
    global _received
    _received = True
