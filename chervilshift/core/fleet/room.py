"""Admission under overload: levels of the fleet, and a gateway's part."""

from collections.abc import Iterable

from chervilshift.core.fleet.model import ServingConfig
from chervilshift.core.message import Message

__all__ = ["RoomGate", "RoomLevel", "RoomPlanner", "RoomReport"]


class RoomReport(Message):
    """What one gateway saw of a service's load."""


class RoomLevel(Message):
    """Which work the fleet admits of a service."""


class RoomPlanner:
    """The leader's part: levels by service."""

    __slots__ = ()

    def plan(
        self, reports: Iterable[dict[str, RoomReport]], cfg: ServingConfig
    ) -> dict[str, RoomLevel]:
        """Return the levels of services that are short of room."""
        return {}


class RoomGate:
    """A gateway's part."""

    __slots__ = ()

    def apply(self, levels: dict[str, RoomLevel], now: float) -> None:
        """Take over the leader's levels; services without one have room."""

    def report(self, now: float) -> dict[str, RoomReport]:
        """Return what this gateway saw, by service."""
        return {}
