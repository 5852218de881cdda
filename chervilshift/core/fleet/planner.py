"""The leader's decisions for all gateways, made from their reports."""

from collections.abc import Iterable

from chervilshift.core.fleet.model import EndpointRecord, ServingConfig
from chervilshift.core.fleet.news import FleetNews
from chervilshift.core.fleet.rollouts import RolloutPlanner
from chervilshift.core.fleet.room import RoomPlanner
from chervilshift.core.fleet.speeds import SpeedPlanner
from chervilshift.core.fleet.sync import GatewaySync
from chervilshift.core.fleet.zones import SpillPlanner

__all__ = ["FleetPlanner", "PlanInput"]


class PlanInput:
    """What decisions are made from.

    `reports` are those of gateways that are heard, and `now` is monotonic.
    """

    __slots__ = ("cfg", "endpoints", "now", "reports")

    def __init__(
        self,
        *,
        reports: Iterable[GatewaySync],
        endpoints: Iterable[EndpointRecord],
        cfg: ServingConfig,
        now: float,
    ):
        self.reports = tuple(reports)
        self.endpoints = tuple(endpoints)
        self.cfg = cfg
        self.now = now


class FleetPlanner:
    """Makes the decisions; made anew by each leader."""

    __slots__ = ("rollouts", "room", "speeds", "spill")

    def __init__(self):
        self.speeds = SpeedPlanner()
        self.room = RoomPlanner()
        self.rollouts = RolloutPlanner()
        self.spill = SpillPlanner()

    def plan(self, given: PlanInput) -> FleetNews:
        """Return the decisions in force from now on."""
        observed = [report.observed for report in given.reports]
        speeds = self.speeds.plan(o.speeds for o in observed)
        return FleetNews(
            speeds=speeds,
            levels=self.room.plan((o.room for o in observed), given.now),
            versions=self.rollouts.plan(o.outcomes for o in observed),
            spill=self.spill.plan(o.flows for o in observed),
        )
