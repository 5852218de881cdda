"""The newest rollout of each service, replicated through the log."""

from collections.abc import Container, Iterable

import msgspec

from chervilshift.core.fleet.commands import (
    ACCEPTED,
    CONFLICT,
    SAME,
    UNKNOWN_SERVICE,
    AdvanceRollout,
    EndRollout,
    RolloutChanged,
    RolloutStarted,
    StartRollout,
)
from chervilshift.core.fleet.model import GONE, EndpointRecord
from chervilshift.core.fleet.versions import (
    COMPLETED,
    FINISH,
    RAMP,
    ROLLED_BACK,
    TEST,
    Rollout,
)

__all__ = ["RolloutTable"]

STAGES = (TEST, RAMP, FINISH)
# After its end a rollout goes on to exclude versions for at least this time:
# endpoints that were ordered before may still appear.
SETTLE_AFTER_S = 60.0


class RolloutTable:
    """Applies orders and their progress in log order.

    `revision` is the log position of the last change.
    """

    __slots__ = ("revision", "rollouts")

    def __init__(self, *, rollouts: Iterable[Rollout] = (), revision: int = 0):
        self.rollouts = {r.service: r for r in rollouts}
        self.revision = revision

    def start(
        self,
        command: StartRollout,
        services: Container[str],
        endpoints: Iterable[EndpointRecord],
        index: int,
    ) -> RolloutStarted:
        """Record an order, unless another one of the service is running."""
        last = self.rollouts.get(command.service)
        if last is not None:
            same = (last.to, last.ramp_s) == (command.to, command.ramp_s)
            if same:
                return RolloutStarted(outcome=SAME, rollout=last)
            if last.is_running:
                return RolloutStarted(outcome=CONFLICT)
        if command.service not in services:
            return RolloutStarted(outcome=UNKNOWN_SERVICE)
        barred = _excluded_by(last) - {command.to}
        old = _versions(command.service, endpoints) - {command.to} - barred
        started = Rollout(
            order=index,
            changed_at=index,
            service=command.service,
            to=command.to,
            ramp_s=command.ramp_s,
            ordered_s=command.now_s,
            deadline_s=command.now_s + command.ramp_s,
            old=tuple(sorted(old)),
            barred=tuple(sorted(barred)),
        )
        if not old:
            # There is nothing to move away from.
            started = msgspec.structs.replace(
                started,
                state=COMPLETED,
                stage=FINISH,
                share=1.0,
                reason="no endpoint of another version",
                ended_s=command.now_s,
            )
        self._set(started, index)
        return RolloutStarted(outcome=ACCEPTED, rollout=started)

    def advance(self, command: AdvanceRollout, index: int) -> RolloutChanged:
        """Record a further stage or share; there is no way back."""
        rollout = self._running(command.service, command.order)
        if rollout is not None and command.stage in STAGES:
            before = (STAGES.index(rollout.stage), rollout.share)
            after = (STAGES.index(command.stage), command.share)
            if after > before:
                self._set(
                    msgspec.structs.replace(
                        rollout, stage=command.stage, share=command.share
                    ),
                    index,
                )
        return self._changed(command.service)

    def end(
        self,
        command: EndRollout,
        endpoints: Iterable[EndpointRecord],
        index: int,
    ) -> RolloutChanged:
        """Record the end of one that is running.

        It can be completed only once no gateway uses the old version.
        """
        rollout = self._running(command.service, command.order)
        if rollout is not None and (
            command.state == ROLLED_BACK
            or (command.state == COMPLETED and rollout.stage == FINISH)
        ):
            old = {*rollout.old, *_versions(command.service, endpoints)}
            old -= {rollout.to, *rollout.barred}
            self._set(
                msgspec.structs.replace(
                    rollout,
                    state=command.state,
                    reason=command.reason,
                    old=tuple(sorted(old)),
                    ended_s=command.now_s,
                ),
                index,
            )
        return self._changed(command.service)

    def settle(
        self,
        services: Iterable[str],
        endpoints: Iterable[EndpointRecord],
        now_s: float,
        index: int,
    ) -> None:
        """Lift the exclusions of ended rollouts that have no more effect."""
        for service in services:
            rollout = self.rollouts.get(service)
            if (
                rollout is None
                or rollout.is_running
                or rollout.settled
                or now_s < rollout.ended_s + SETTLE_AFTER_S
            ):
                continue
            serving = _versions(service, endpoints)
            if not any(rollout.excludes(version) for version in serving):
                settled = msgspec.structs.replace(rollout, settled=True)
                self._set(settled, index)

    def retain(self, services: Container[str], index: int) -> None:
        """Forget ended rollouts of services that are no longer named."""
        for service, rollout in tuple(self.rollouts.items()):
            if service not in services and not rollout.is_running:
                del self.rollouts[service]
                self.revision = index

    def _running(self, service: str, order: int) -> Rollout | None:
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.order != order:
            return None
        return rollout if rollout.is_running else None

    def _changed(self, service: str) -> RolloutChanged:
        rollout = self.rollouts.get(service)
        if rollout is None:
            return RolloutChanged()
        return RolloutChanged(
            order=rollout.order, state=rollout.state, stage=rollout.stage
        )

    def _set(self, rollout: Rollout, index: int) -> None:
        self.rollouts[rollout.service] = msgspec.structs.replace(
            rollout, changed_at=index
        )
        self.revision = index


def _versions(service: str, endpoints: Iterable[EndpointRecord]) -> set[str]:
    return {
        e.version
        for e in endpoints
        if e.service == service and e.state != GONE
    }


def _excluded_by(last: Rollout | None) -> set[str]:
    """Return the versions that the last rollout still excludes."""
    if last is None or last.settled:
        return set()
    versions = {last.to, *last.old, *last.barred}
    return {version for version in versions if last.excludes(version)}
