"""The leader's decisions for all gateways, made from their reports."""

from collections import Counter

from chervilshift.core.fleet.model import READY, ServingConfig
from chervilshift.core.fleet.news import FleetNews
from chervilshift.core.fleet.rollouts import RolloutInput, RolloutPlanner
from chervilshift.core.fleet.room import RoomPlanner
from chervilshift.core.fleet.speeds import (
    ServiceSpeed,
    SpeedPlanner,
    tokens_per_s,
)
from chervilshift.core.fleet.versions import RolloutPolicy
from chervilshift.core.fleet.zones import SpillPlanner, SpillShares

__all__ = ["FleetPlanner", "PlanInput"]


class PlanInput(RolloutInput):
    """What decisions are made from; `cfg` is the configuration in force."""

    __slots__ = ("cfg",)

    def __init__(self, *, cfg: ServingConfig, **fields: object):
        super().__init__(**fields)
        self.cfg = cfg


class FleetPlanner:
    """Makes the decisions; made anew by each leader.

    Without `spill` no work is told to leave its failure domain.
    """

    __slots__ = ("rollouts", "room", "speeds", "spill")

    def __init__(
        self,
        *,
        rollout_policy: RolloutPolicy | None = None,
        spill: SpillPlanner | None = None,
    ):
        self.speeds = SpeedPlanner()
        self.room = RoomPlanner()
        self.rollouts = RolloutPlanner(policy=rollout_policy)
        self.spill = spill

    def plan(self, given: PlanInput) -> FleetNews:
        """Return the decisions in force from now on."""
        observed = [report.observed for report in given.reports]
        speeds = self.speeds.plan(
            (o.speeds for o in observed), given.cfg.services
        )
        return FleetNews(
            speeds=speeds,
            levels=self.room.plan(
                (o.room for o in observed),
                given.now,
                _total_speeds(given, speeds),
            ),
            versions=self.rollouts.plan(given),
            spill=self._plan_spill(given),
        )

    def _plan_spill(self, given: PlanInput) -> dict[str, SpillShares]:
        if self.spill is None:
            return {}
        flows = (
            (report.gateway.failure_domain, report.observed.flows)
            for report in given.reports
        )
        return self.spill.plan(flows, given.endpoints, given.cfg)


def _total_speeds(
    given: PlanInput, speeds: dict[str, ServiceSpeed]
) -> dict[str, float]:
    """Return the prompt tokens per second of all ready engines by service."""
    ready = Counter(e.service for e in given.endpoints if e.state == READY)
    return {
        name: ready[name] * tokens_per_s(speeds, name)
        for name, spec in given.cfg.services.items()
        if spec.engine is not None
    }
