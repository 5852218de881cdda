"""Chooses the control process that a gateway reports to."""

import zlib
from collections.abc import Iterable

from chervilshift.core.fleet.hashing import hash64
from chervilshift.core.fleet.intervals import is_relayed
from chervilshift.core.fleet.sync import ControlInfo

__all__ = ["ControlChooser", "controls_digest"]

# A control process that did not reply, or that has lost the leader, is not
# chosen again for this long unless there is no other.
SET_ASIDE_S = 3.0


def controls_digest(controls: Iterable[ControlInfo]) -> int:
    """Return a number that differs for different sets of processes."""
    text = "|".join(
        f"{c.address},{c.failure_domain},{c.region}"
        for c in sorted(controls, key=lambda c: c.address)
    )
    return zlib.crc32(text.encode())


class ControlChooser:
    """Ranks the control processes that a gateway knows.

    In a small fleet the leader comes first. In a large one the nearest come
    first, and gateways of one failure domain spread over those in it.
    """

    __slots__ = (
        "_aside_until",
        "_controls",
        "_failure_domain",
        "_gateway_count",
        "_gateway_id",
        "_leader",
        "_region",
        "_seeds",
    )

    def __init__(
        self,
        *,
        gateway_id: str,
        failure_domain: str,
        region: str,
        seeds: Iterable[str],
    ):
        self._gateway_id = gateway_id
        self._failure_domain = failure_domain
        self._region = region
        self._controls: dict[str, ControlInfo] = {}
        self._aside_until: dict[str, float] = {}
        self._leader = ""
        self._gateway_count = 1
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the addresses that are known without any reply."""
        self._seeds = tuple(seeds)

    def update(
        self, controls: Iterable[ControlInfo], leader: str, gateway_count: int
    ) -> None:
        """Take over what a reply said.

        `controls` is empty if nothing has changed, and `leader` if it is not
        known.
        """
        known = {c.address: c for c in controls}
        if known:
            self._controls = known
        self._leader = leader
        self._gateway_count = gateway_count

    @property
    def digest(self) -> int:
        """The digest of the known control processes, 0 without any."""
        if not self._controls:
            return 0
        return controls_digest(self._controls.values())

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all known control processes."""
        return tuple(dict.fromkeys((*self._controls, *self._seeds)))

    def set_aside(self, address: str, now: float) -> None:
        """Prefer other control processes for some time."""
        self._aside_until[address] = now + SET_ASIDE_S

    def choose(self, now: float) -> str:
        """Return the address to report to."""
        return min(self.addresses(), key=lambda a: self._rank(a, now))

    def _rank(self, address: str, now: float) -> tuple:
        aside_s = max(0.0, self._aside_until.get(address, 0.0) - now)
        known = self._controls.get(address)
        info = known or ControlInfo(address=address)
        is_near = (
            info.failure_domain == self._failure_domain,
            info.region == self._region,
        )
        if not is_relayed(self._gateway_count):
            is_near = (address == self._leader, *is_near)
        order = hash64(f"{self._gateway_id}|{address}")
        return (aside_s, not known, *(not near for near in is_near), order)
