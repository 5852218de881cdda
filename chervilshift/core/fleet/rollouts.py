"""The leader's part in rollouts: shares, verdict and completion.

It responds to the traffic of a service that moves to a new version. The log
has the order, the stage and the share that was reached; evidence is rebuilt
from the gateways' totals, which go on while leaders change.
"""

import math
from collections.abc import Iterable

from chervilshift.core.fleet.commands import AdvanceRollout, EndRollout
from chervilshift.core.fleet.model import READY, EndpointRecord
from chervilshift.core.fleet.rollouttest import Evidence, Finding
from chervilshift.core.fleet.sync import GatewaySync
from chervilshift.core.fleet.versions import (
    COMPLETED,
    FINISH,
    RAMP,
    ROLLED_BACK,
    TEST,
    Rollout,
    RolloutPolicy,
    VersionShares,
    old_lease_end_s,
)

__all__ = ["RolloutInput", "RolloutPlanner", "RolloutRun"]

# Parts of the ramp time. The test takes at least the first, so that a fault
# that begins later shows at the exposure share, and usually at most the
# second.
TEST_MIN_PART = 0.4
TEST_MAX_PART = 0.5
# A version that is in doubt then is tested for longer.
SUSPECT_MAX_PART = 0.6
RAMP_END_PART = 0.8
# Time before the deadline in which the last requests end and all gateways
# report that they don't use the old version, and the earliest end of a ramp.
FINISH_S, MIN_RAMP_END_PART = 5.5, 0.6
# A ramp that is not done by then is given up.
GIVE_UP_PART = 1.5
# Outcomes without which no version is accepted, unless there are few requests:
# then this part of those that it may get. Twice as many are awaited for a
# while.
MIN_OUTCOMES, MIN_OUTCOMES_PART = 20, 0.2
# Shares of the ramp. Not all faults show in the test; one that does in the
# first half of the ramp still leaves the version within the exposure share of
# all requests up to the deadline.
RAMP_SHARES = (0.15, 0.25, 0.4, 0.65, 1.0)
MIN_STEP_S = 0.5
# Part of the slack that gateways may use before they have sent enough
# requests for their share. The rest covers gateways that restart.
SLACK_USE = 0.5
# During the test, routes with evidence get this part of the share. The others
# have equal parts of the rest, so that the smallest is tested too, but at most
# this share of their requests.
PROVEN_PART, MAX_TESTED_SHARE = 0.3, 0.5
# Part of a ramp's share that routes without evidence get.
UNPROVEN_RAMP_PART = 0.5
# Endpoints of the new version that get requests in the test, at least.
MIN_WIDTH = 4
# Part of the new endpoints' slots that requests may take.
MAX_UTILIZATION = 0.5
# From this part of the ramp time on, fewer new endpoints have to do, if they
# have this part of the old ones' slots.
PRESSED_PART, PRESSED_SLOTS = 0.8, 0.5
# Part of the gateways whose reports have to be known for a higher share.
MIN_HEARD_PART = 0.5
# The silence of a gateway has to last for this long after the end of its lease
# of the old version. Clocks differ by less.
SILENT_GRACE_S = 1.0


class RolloutInput:
    """What rollouts are decided from.

    `now` is monotonic and `wall_s` Unix time. `gateways` are the ids of all
    that may be running, also those without a report.
    """

    __slots__ = (
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
        rollouts: Iterable[Rollout],
        reports: Iterable[GatewaySync],
        endpoints: Iterable[EndpointRecord],
        gateways: Iterable[str],
        now: float,
        wall_s: float,
    ):
        self.rollouts = tuple(rollouts)
        self.reports = tuple(reports)
        self.endpoints = tuple(endpoints)
        self.gateways = frozenset(gateways)
        self.now = now
        self.wall_s = wall_s


class RolloutRun:
    """What the leader knows of one running rollout.

    `finding` is the strongest evidence that the version is bad, and
    `unproven` the routes on which it may still be. `is_bad` is true once it
    is found bad, `is_logged` once the verdict is in the event log.
    """

    __slots__ = (
        "evidence",
        "extra",
        "finding",
        "is_bad",
        "is_logged",
        "order",
        "silent_at",
        "step",
        "step_at",
        "unproven",
    )

    def __init__(self, *, rollout: Rollout, now: float):
        self.order = rollout.order
        self.evidence = Evidence(to=rollout.to)
        self.finding = Finding()
        self.unproven: frozenset[str] = frozenset()
        self.is_bad = self.is_logged = False
        # Never more than before: what gateways got is spent.
        self.extra = math.inf
        # The stage and share that the log has, and since when.
        self.step = (rollout.stage, rollout.share)
        self.step_at = now
        # When gateways were first missing among the reports.
        self.silent_at: dict[str, float] = {}


class RolloutPlanner:
    """Decides shares, and what the log has to record next.

    `commands` are to be committed; until they are, they are decided again.
    """

    __slots__ = ("_policy", "commands", "runs")

    def __init__(self, *, policy: RolloutPolicy | None = None):
        self._policy = policy
        self.commands: list[AdvanceRollout | EndRollout] = []
        self.runs: dict[str, RolloutRun] = {}

    def plan(self, given: RolloutInput) -> dict[str, VersionShares]:
        """Return the shares of services with a running rollout."""
        self.commands = []
        running = [r for r in given.rollouts if r.is_running]
        self.runs = {r.service: self._run(r, given.now) for r in running}
        if self._policy is None:
            return {}
        return {r.service: self._plan(r, given) for r in running}

    def _run(self, rollout: Rollout, now: float) -> RolloutRun:
        run = self.runs.get(rollout.service)
        if run is None or run.order != rollout.order:
            return RolloutRun(rollout=rollout, now=now)
        if run.step != (rollout.stage, rollout.share):
            run.step, run.step_at = (rollout.stage, rollout.share), now
        return run

    def _plan(self, rollout: Rollout, given: RolloutInput) -> VersionShares:
        run = self.runs[rollout.service]
        fleet = _Fleet(rollout, given)
        for report in given.reports:
            outcomes = report.observed.outcomes.get(rollout.service)
            if outcomes and all(
                o.order == rollout.order for o in outcomes.values()
            ):
                gateway = report.gateway
                run.evidence.add((gateway.id, gateway.incarnation), outcomes)
        width = self._width(rollout, fleet)
        used = min(width or fleet.new_count, fleet.new_count)
        run.evidence.test(fleet.old_count, given.now)
        run.finding = run.evidence.finding(used, given.now)
        run.unproven = run.evidence.unproven_routes(used)
        run.is_bad = run.is_bad or run.finding.is_bad
        command = self._next_command(rollout, run, fleet, given)
        if command is not None:
            self.commands.append(command)
        return self._shares(rollout, run, fleet, given, width)

    def _shares(
        self,
        rollout: Rollout,
        run: RolloutRun,
        fleet: "_Fleet",
        given: RolloutInput,
        width: int,
    ) -> VersionShares:
        count = max(1, len(given.gateways))
        run.extra = min(run.extra, SLACK_USE * self._policy.slack / count)
        share = self._policy.share if rollout.stage == TEST else rollout.share
        part = _part(rollout, given.wall_s)
        share = min(share, fleet.largest_share(part))
        parts = run.evidence.parts()
        if rollout.stage == TEST:
            routes = _tested_shares(share, parts, run.unproven)
        else:
            has_time = part < SUSPECT_MAX_PART
            routes = {
                route: share * UNPROVEN_RAMP_PART
                for route in parts
                if has_time and route in run.unproven
            }
        return VersionShares(
            order=rollout.order,
            share=round(share, 3),
            # Rounded, so that news don't change with every request.
            routes={route: float(f"{s:.2g}") for route, s in routes.items()},
            width=width,
            extra=round(run.extra, 3),
            closed=run.is_bad,
            usual=run.evidence.usual(),
        )

    def _width(self, rollout: Rollout, fleet: "_Fleet") -> int:
        """Return how many new endpoints get the new version's share.

        As few as are loaded like the old ones: a fault that shows only under
        load is to show during the test.
        """
        share = self._policy.share if rollout.stage == TEST else rollout.share
        if share >= 0.5 or not fleet.old_slots or not fleet.new_count:
            return 0
        slots_each = fleet.new_slots / fleet.new_count
        loaded_alike = share * fleet.old_slots / slots_each
        return max(MIN_WIDTH, round(loaded_alike + 0.5))

    def _next_command(
        self,
        rollout: Rollout,
        run: RolloutRun,
        fleet: "_Fleet",
        given: RolloutInput,
    ) -> AdvanceRollout | EndRollout | None:
        part = _part(rollout, given.wall_s)
        finding = run.finding
        is_suspect = finding.is_suspect and part >= SUSPECT_MAX_PART
        if run.is_bad or (rollout.stage == TEST and is_suspect):
            run.is_bad = True
            return self._end(rollout, ROLLED_BACK, str(finding), given)
        if rollout.stage == TEST:
            if fleet.is_seen and self._is_accepted(run, fleet, part):
                return self._advance(rollout, RAMP, RAMP_SHARES[0])
            if part >= 1.0:
                reason = "not enough evidence by the deadline"
                return self._end(rollout, ROLLED_BACK, reason, given)
            return None
        if rollout.stage == RAMP:
            if part >= GIVE_UP_PART:
                reason = "too few endpoints to take all requests"
                return self._end(rollout, ROLLED_BACK, reason, given)
            return self._next_step(rollout, run, fleet, given)
        if fleet.old_count and not fleet.new_count:
            reason = "no endpoint is ready any more"
            return self._end(rollout, ROLLED_BACK, reason, given)
        if self._is_finished(rollout, run, fleet, given):
            reason = "no sign of a fault"
            return self._end(rollout, COMPLETED, reason, given)
        return None

    def _is_accepted(
        self, run: RolloutRun, fleet: "_Fleet", part: float
    ) -> bool:
        if not fleet.new_count or part < TEST_MIN_PART:
            return False
        if part < TEST_MAX_PART:
            return bool(run.evidence.parts()) and not run.unproven
        expected = self._policy.share * run.evidence.requests
        least = min(MIN_OUTCOMES, MIN_OUTCOMES_PART * expected)
        if part < SUSPECT_MAX_PART:
            is_doubtful = run.finding.is_doubtful
            return not is_doubtful and run.evidence.ended() >= 2 * least
        return not run.finding.is_suspect and run.evidence.ended() >= least

    def _next_step(
        self,
        rollout: Rollout,
        run: RolloutRun,
        fleet: "_Fleet",
        given: RolloutInput,
    ) -> AdvanceRollout | None:
        left = [s for s in RAMP_SHARES if s > rollout.share]
        part = _part(rollout, given.wall_s)
        time_left_s = _ramp_end_s(rollout) - part * rollout.ramp_s
        # Steps are left out if there is no time for all.
        left = left[-max(1, int(time_left_s / MIN_STEP_S)) :]
        step_s = max(MIN_STEP_S, time_left_s / (len(left) + 1))
        if given.now - run.step_at < step_s or run.finding.is_suspect:
            return None
        if not fleet.is_seen:
            return None
        share = left[0] if left else 1.0
        if fleet.largest_share(part) < share:
            return None
        stage = RAMP if left else FINISH
        return self._advance(rollout, stage, share)

    def _is_finished(
        self,
        rollout: Rollout,
        run: RolloutRun,
        fleet: "_Fleet",
        given: RolloutInput,
    ) -> bool:
        """Whether no gateway uses the old version, nor may begin to.

        A gateway without reports may not once its lease of the old version
        has ended.
        """
        reported = {r.gateway.id: r for r in given.reports}
        for gateway_id in given.gateways - reported.keys():
            run.silent_at.setdefault(gateway_id, given.now)
        for gateway_id in tuple(run.silent_at):
            if gateway_id in reported or gateway_id not in given.gateways:
                del run.silent_at[gateway_id]
        if run.silent_at:
            lease_end_s = old_lease_end_s(rollout) + SILENT_GRACE_S
            silent_since = max(run.silent_at.values())
            if (
                given.wall_s < lease_end_s
                or given.now - silent_since < SILENT_GRACE_S
            ):
                return False
        return all(
            report.rollouts_revision >= rollout.changed_at
            and not any(report.loads.get(e) for e in fleet.old_ids)
            for report in reported.values()
        )

    def _advance(
        self,
        rollout: Rollout,
        stage: str,
        share: float,
    ) -> AdvanceRollout:
        return AdvanceRollout(
            service=rollout.service,
            order=rollout.order,
            stage=stage,
            share=share,
        )

    def _end(
        self, rollout: Rollout, state: str, reason: str, given: RolloutInput
    ) -> EndRollout:
        return EndRollout(
            service=rollout.service,
            order=rollout.order,
            state=state,
            reason=reason,
            now_s=given.wall_s,
        )


class _Fleet:
    """The endpoints of a service during a rollout."""

    __slots__ = (
        "_active",
        "is_seen",
        "new_count",
        "new_slots",
        "old_count",
        "old_ids",
        "old_slots",
    )

    def __init__(self, rollout: Rollout, given: RolloutInput):
        endpoints = [
            e for e in given.endpoints if e.service == rollout.service
        ]
        ready = [e for e in endpoints if e.state == READY]
        new = [e.slots for e in ready if e.version == rollout.to]
        self.new_count = len(new)
        self.new_slots = sum(new)
        old = [e.slots for e in ready if _is_safe(rollout, e)]
        self.old_count = len(old)
        self.old_slots = sum(old)
        self.old_ids = frozenset(
            e.id for e in endpoints if e.version != rollout.to
        )
        heard = len(given.reports)
        known = len(given.gateways.union(r.gateway.id for r in given.reports))
        # Whether enough gateways report that a fault would show.
        self.is_seen = heard > 0 and heard >= MIN_HEARD_PART * known
        ids = {e.id for e in endpoints}
        self._active = sum(
            load.active
            for report in given.reports
            for endpoint_id, load in report.loads.items()
            if endpoint_id in ids
        )

    def largest_share(self, part: float) -> float:
        """Return the share of the requests that the new endpoints can take.

        They take as much each as the old ones do, or more as long as their
        slots are far from full. `part` is that of the ramp time.
        """
        if not self.new_slots:
            return 0.0
        if not self.old_slots:
            return 1.0
        by_slots = self.new_slots / self.old_slots
        if part >= PRESSED_PART and by_slots >= PRESSED_SLOTS:
            return 1.0
        by_load = MAX_UTILIZATION * self.new_slots / max(1, self._active)
        return min(1.0, max(by_slots, by_load))


def _is_safe(rollout: Rollout, record: EndpointRecord) -> bool:
    version = record.version
    return version != rollout.to and version not in rollout.barred


def _tested_shares(
    share: float, parts: dict[str, float], unproven: frozenset[str]
) -> dict[str, float]:
    """Return the shares by route that add up to a share of all requests."""
    proven_part = sum(p for route, p in parts.items() if route not in unproven)
    left = share * (1 - PROVEN_PART * proven_part)
    return {
        route: min(MAX_TESTED_SHARE, left / len(unproven) / max(part, 0.01))
        if route in unproven
        else share * PROVEN_PART
        for route, part in parts.items()
    }


def _ramp_end_s(rollout: Rollout) -> float:
    """Return when all requests go to the new version, since the order."""
    ramp_s = rollout.ramp_s
    latest_s = min(RAMP_END_PART * ramp_s, ramp_s - FINISH_S)
    return max(MIN_RAMP_END_PART * ramp_s, latest_s)


def _part(rollout: Rollout, wall_s: float) -> float:
    """Return which part of the ramp time has passed."""
    return (wall_s - rollout.ordered_s) / rollout.ramp_s
