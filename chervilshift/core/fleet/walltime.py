"""Unix time corrected by the median of several hosts' clocks.

The clocks of some hosts jump. Each process compares its clock with the times
in its peers' messages and applies the median offset.
"""

from itertools import chain
from statistics import median

__all__ = ["WallTime"]

# Older offsets are ignored: the peer's clock may have jumped since then.
OFFSET_MAX_AGE_S = 3.0


class WallTime:
    """Offsets of peers' clocks from this host's clock, in seconds.

    With `counts_own`, this host's clock is one of those that are compared;
    without it the peers' times are taken as agreed upon already.
    """

    __slots__ = ("_offsets", "_own")

    def __init__(self, *, counts_own: bool = True):
        self._own = (0.0,) if counts_own else ()
        self._offsets: dict[str, tuple[float, float]] = {}

    def observe(
        self, peer: str, peer_wall_s: float, wall_s: float, now: float
    ) -> None:
        """Record a peer's Unix time, received at this host's `wall_s`.

        `now` is monotonic time.
        """
        # The oldest is first.
        self._offsets.pop(peer, None)
        self._offsets[peer] = (peer_wall_s - wall_s, now)
        while not self._is_recent(next(iter(self._offsets)), now):
            del self._offsets[next(iter(self._offsets))]

    def correct(self, wall_s: float, now: float) -> float:
        """Return this host's Unix time `wall_s` plus the median offset."""
        recent = (
            offset
            for peer, (offset, _) in self._offsets.items()
            if self._is_recent(peer, now)
        )
        return wall_s + median(tuple(chain(self._own, recent)) or (0.0,))

    def _is_recent(self, peer: str, now: float) -> bool:
        _, observed_at = self._offsets[peer]
        return now - observed_at < OFFSET_MAX_AGE_S
