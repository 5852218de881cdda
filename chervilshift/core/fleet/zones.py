"""How much of a service's work leaves its failure domain or region."""

from collections.abc import Iterable

from chervilshift.core.message import Message

__all__ = ["FlowReport", "SpillGate", "SpillPlanner", "SpillShares"]


class FlowReport(Message):
    """What one gateway sent to each failure domain for a service."""


class SpillShares(Message):
    """Shares of a service's work that leave, by source and destination."""


class SpillPlanner:
    """The leader's part: shares by service."""

    __slots__ = ()

    def plan(
        self, reports: Iterable[dict[str, FlowReport]]
    ) -> dict[str, SpillShares]:
        """Return the shares of services of which work should leave."""
        return {}


class SpillGate:
    """A gateway's part."""

    __slots__ = ()

    def apply(self, shares: dict[str, SpillShares], now: float) -> None:
        """Take over the leader's shares."""

    def report(self, now: float) -> dict[str, FlowReport]:
        """Return what this gateway sent, by service."""
        return {}
