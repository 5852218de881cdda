"""The time of day by a majority of hosts.

Clocks of some hosts jump. Each process compares its own with those that its
peers' messages carry and goes by the median.
"""

from itertools import chain
from statistics import median

__all__ = ["WallTime"]

# A peer's clock that was not read for longer may have jumped meanwhile.
KEEP_S = 3.0


class WallTime:
    """Offsets of peers' clocks from this host's own, in seconds."""

    __slots__ = ("_offsets",)

    def __init__(self):
        self._offsets: dict[str, tuple[float, float]] = {}

    def observe(
        self, peer: str, peer_wall_s: float, wall_s: float, now: float
    ) -> None:
        """Take a peer's Unix time, read when this host's was `wall_s`."""
        self._offsets[peer] = (peer_wall_s - wall_s, now)

    def correct(self, wall_s: float, now: float) -> float:
        """Return the Unix time that most hosts would give."""
        fresh = (
            offset
            for offset, at in self._offsets.values()
            if now - at < KEEP_S
        )
        return wall_s + median(chain((0.0,), fresh))
