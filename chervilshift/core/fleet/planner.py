"""The leader's decisions for all gateways, made from their reports."""

from collections import Counter
from collections.abc import Iterable

from chervilshift.core.fleet.model import (
    READY,
    EndpointRecord,
    ServingConfig,
)
from chervilshift.core.fleet.news import FleetNews
from chervilshift.core.fleet.rollouts import RolloutInput, RolloutPlanner
from chervilshift.core.fleet.room import RoomPlanner
from chervilshift.core.fleet.speeds import (
    ServiceSpeed,
    SpeedPlanner,
    tokens_per_s,
)
from chervilshift.core.fleet.sync import GatewaySync
from chervilshift.core.fleet.versions import Rollout, RolloutPolicy
from chervilshift.core.fleet.zones import SpillPlanner, SpillShares

__all__ = ["FleetPlanner", "PlanInput"]


class PlanInput:
    """What decisions are made from.

    `reports` are those of gateways that are heard, and `now` is monotonic.
    `rollouts` are those of the log, `gateways` the ids of all gateways that
    may be running, and `wall_s` is Unix time.
    """

    __slots__ = (
        "cfg",
        "endpoints",
        "gateways",
        "now",
        "reports",
        "rollouts",
        "wall_s",
    )

    def __init__(
        self,
        *,
        reports: Iterable[GatewaySync],
        endpoints: Iterable[EndpointRecord],
        cfg: ServingConfig,
        now: float,
        rollouts: Iterable[Rollout] = (),
        gateways: Iterable[str] = (),
        wall_s: float = 0.0,
    ):
        self.reports = tuple(reports)
        self.endpoints = tuple(endpoints)
        self.cfg = cfg
        self.now = now
        self.rollouts = tuple(rollouts)
        self.gateways = tuple(gateways)
        self.wall_s = wall_s


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
            versions=self.rollouts.plan(_rollout_input(given)),
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


def _rollout_input(given: PlanInput) -> RolloutInput:
    return RolloutInput(
        rollouts=given.rollouts,
        reports=given.reports,
        endpoints=given.endpoints,
        gateways=given.gateways,
        now=given.now,
        wall_s=given.wall_s,
    )
