"""Roll-outs of versions: exposure, verdict and completion."""

from collections.abc import Iterable

from chervilshift.core.message import Message

__all__ = [
    "RolloutPlanner",
    "VersionGate",
    "VersionOutcomes",
    "VersionShares",
]


class VersionOutcomes(Message):
    """Totals of one gateway for one version of a service."""


class VersionShares(Message):
    """How a service's requests are divided among its versions."""


class RolloutPlanner:
    """The leader's part: shares by service."""

    __slots__ = ()

    def plan(
        self, reports: Iterable[dict[str, dict[str, VersionOutcomes]]]
    ) -> dict[str, VersionShares]:
        """Return the shares of services with a roll-out."""
        return {}


class VersionGate:
    """A gateway's part."""

    __slots__ = ()

    def apply(self, shares: dict[str, VersionShares], now: float) -> None:
        """Take over the leader's shares."""

    def report(self, now: float) -> dict[str, dict[str, VersionOutcomes]]:
        """Return the totals of outcomes, by service and version."""
        return {}
