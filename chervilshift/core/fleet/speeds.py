"""Measured speeds of services and endpoints, pooled over gateways."""

from collections.abc import Iterable

from chervilshift.core.message import Message

__all__ = ["ServiceSpeed", "SpeedBook", "SpeedPlanner", "SpeedReport"]


class SpeedReport(Message):
    """What one gateway measured at a service."""


class ServiceSpeed(Message):
    """The speed of a service's endpoints."""


class SpeedPlanner:
    """The leader's part: estimates by service."""

    __slots__ = ()

    def plan(
        self, reports: Iterable[dict[str, SpeedReport]]
    ) -> dict[str, ServiceSpeed]:
        """Return the estimates of services with enough samples."""
        return {}


class SpeedBook:
    """A gateway's part: samples, and the fleet's estimates."""

    __slots__ = ()

    def apply(self, speeds: dict[str, ServiceSpeed], now: float) -> None:
        """Take over the fleet's estimates."""

    def report(self, now: float) -> dict[str, SpeedReport]:
        """Return what this gateway measured, by service."""
        return {}
