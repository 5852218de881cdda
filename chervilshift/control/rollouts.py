"""Takes orders of rollouts, answers for them, and commits their progress."""

from collections.abc import Callable
from functools import singledispatchmethod

from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.control.lease import wait_lease
from chervilshift.control.node import Node
from chervilshift.core.commands import (
    AdvanceRollout,
    Command,
    EndRollout,
    StartRollout,
)
from chervilshift.core.fleet.commands import CONFLICT, UNKNOWN_SERVICE
from chervilshift.core.fleet.rollouts import RolloutPlanner, RolloutRun
from chervilshift.core.fleet.sync import ReadRollout, RolloutFound
from chervilshift.core.fleet.versions import (
    ROLLED_BACK,
    Rollout,
    RolloutPolicy,
    VersionShares,
)
from chervilshift.errors import (
    BadRequest,
    Failure,
    NotFound,
    NotLeader,
    RolloutRunning,
)
from chervilshift.events import EventLog
from chervilshift.wire.leader import AskLeader, SubmitCommand

__all__ = ["RolloutService"]

# Of names that callers send, in answers.
MAX_SHOWN_CHARS = 64


class RolloutService:
    """The control process's part in rollouts.

    `policy` is None if the settings allow none. `submit` commits a command
    through the leader, `ask_leader` reads from it.
    """

    __slots__ = (
        "_ask_leader",
        "_events",
        "_node",
        "_planned",
        "_runs",
        "_submit",
        "_wall_s",
        "policy",
    )

    def __init__(
        self,
        *,
        policy: RolloutPolicy | None,
        node: Node,
        submit: SubmitCommand,
        ask_leader: AskLeader,
        wall_s: Callable[[], float],
        events: EventLog,
    ):
        self.policy = policy
        self._node = node
        self._submit = submit
        self._ask_leader = ask_leader
        self._wall_s = wall_s
        self._events = events
        # The leader's last decisions and what they were made from.
        self._planned: dict[str, VersionShares] = {}
        self._runs: dict[str, RolloutRun] = {}

    # Gauges of the leader, over all rollouts, 0 elsewhere

    def largest_share(self) -> float:
        """Return the largest share that a new version gets."""
        shares = (0.0 if s.closed else s.share for s in self._planned.values())
        return max(shares, default=0.0) if self._leads else 0.0

    def suspicion(self) -> float:
        """Return the largest evidence that a new version is bad."""
        findings = (run.finding.log_ratio for run in self._runs.values())
        return max(findings, default=0.0) if self._leads else 0.0

    def attempts(self) -> int:
        """Return the attempts at new versions since their orders."""
        attempts = sum(r.evidence.attempts for r in self._runs.values())
        return attempts if self._leads else 0

    @property
    def _leads(self) -> bool:
        return self._node.raft.is_leader

    # Operators

    async def start(
        self, service: str, to: str, ramp_s: float
    ) -> Result[Rollout, Failure]:
        """Commit an order; return the service's rollout.

        Fails with BadRequest if the service is not known, with RolloutRunning
        if another one is running, or with the reason for which it was not
        committed.
        """
        reply = await self._submit(
            StartRollout(
                service=service, to=to, ramp_s=ramp_s, now_s=self._wall_s()
            )
        )
        outcome = reply.map(lambda started: started.outcome).value_or("")
        self._events.emit(
            "rollout_ordered",
            service=service,
            to=to,
            ramp_s=ramp_s,
            outcome=outcome,
            reason=str(reply.failure()) if isinstance(reply, Bad) else "",
        )
        if outcome == UNKNOWN_SERVICE:
            reason = f"unknown service {service[:MAX_SHOWN_CHARS]!r}"
            return Bad(BadRequest(reason=reason))
        if outcome == CONFLICT:
            return Bad(RolloutRunning(service=service))
        return reply.map(lambda started: started.rollout)

    async def read(self, service: str) -> Result[Rollout, Failure]:
        """Return a service's newest rollout.

        It is confirmed under the leader's lease. Fails with NotFound if there
        was none, or with the reason for which that can't be confirmed.
        """
        message = ReadRollout(service=service)
        if self._node.raft.is_leader:
            reply = await self._read_under_lease(message)
        else:
            reply = await self._ask_leader(message)
        if isinstance(reply, Bad):
            return reply
        rollout = reply.unwrap().rollout
        if rollout is None:
            name = service[:MAX_SHOWN_CHARS]
            return Bad(NotFound(kind="rollout of service", name=name))
        return Success(rollout)

    async def answer_read(self, message: ReadRollout) -> RolloutFound:
        """Answer for another replica; raises NotLeader."""
        found = await self._read_under_lease(message)
        if isinstance(found, Bad):
            raise found.failure()
        return found.unwrap()

    async def _read_under_lease(
        self, message: ReadRollout
    ) -> Result[RolloutFound, Failure]:
        if not await wait_lease(self._node):
            return Bad(NotLeader(leader=self._node.leader_address()))
        rollouts = self._node.machine.fleet.rollouts.rollouts
        return Success(RolloutFound(rollout=rollouts.get(message.service)))

    # The leader's duty

    def current(self) -> tuple[Rollout, ...]:
        """Return the newest rollout of each service."""
        return tuple(self._node.machine.fleet.rollouts.rollouts.values())

    async def step(
        self, planner: RolloutPlanner, planned: dict[str, VersionShares]
    ) -> None:
        """Commit what the planner decided; called as leader.

        A command that is not committed is decided again.
        """
        self._planned, self._runs = planned, planner.runs
        for command in planner.commands:
            run = planner.runs[command.service]
            if isinstance(command, EndRollout) and not run.is_logged:
                run.is_logged = True
                self._log_verdict(command, run)
            reply = await self._node.submit(command)
            if not isinstance(reply, Bad):
                self._log(command, run)

    def _log_verdict(self, command: EndRollout, run: RolloutRun) -> None:
        self._events.emit(
            "rollout_verdict",
            urgent=command.state == ROLLED_BACK,
            service=command.service,
            order=command.order,
            verdict=command.state,
            reason=command.reason,
            attempts=run.evidence.attempts,
            requests=run.evidence.requests,
            outcomes=run.evidence.counts(),
        )

    @singledispatchmethod
    def _log(self, command: Command, run: RolloutRun) -> None:
        """Log a committed command."""
        raise TypeError(type(command))

    @_log.register
    def _(self, command: AdvanceRollout, run: RolloutRun) -> None:
        self._events.emit(
            "rollout_stage",
            service=command.service,
            order=command.order,
            stage=command.stage,
            share=command.share,
            attempts=run.evidence.attempts,
            requests=run.evidence.requests,
            suspicion=round(run.finding.log_ratio, 2),
            unproven=sorted(run.unproven),
            outcomes=run.evidence.counts(),
        )

    @_log.register
    def _(self, command: EndRollout, run: RolloutRun) -> None:
        self._events.emit(
            "rollout_ended",
            service=command.service,
            order=command.order,
            state=command.state,
            reason=command.reason,
        )
