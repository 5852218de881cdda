"""Commits and logs what follows from crashes of endpoints."""

from collections.abc import Callable
from functools import singledispatchmethod

from returns.result import Failure as Bad

from chervilshift.clock import Clock
from chervilshift.control.node import Node
from chervilshift.core.fleet.commands import (
    ClearParts,
    ExpireParts,
    NoteCrashes,
    QuarantineParts,
    ReleaseParts,
    StartTrial,
)
from chervilshift.core.fleet.crashanalysis import (
    CrashAnalysis,
    QuarantineCommand,
)
from chervilshift.core.fleet.presence import Presence
from chervilshift.events import EventLog

__all__ = ["Quarantine"]


class Quarantine:
    """The leader's part in the quarantine of requests and prompt parts."""

    def __init__(
        self,
        *,
        node: Node,
        presence: Presence,
        wall_s: Callable[[], float],
        clock: Clock,
        events: EventLog,
    ):
        self._node = node
        self._presence = presence
        self._wall_s = wall_s
        self._clock = clock
        self._events = events
        self._analysis = CrashAnalysis()

    async def step(self) -> None:
        """Commit what follows from the gateways' reports; called as leader."""
        commands = self._analysis.commands(
            self._node.machine.fleet.crashes,
            self._presence.reports(),
            self._wall_s(),
            self._clock.monotonic(),
        )
        for command in commands:
            if isinstance(await self._node.submit(command), Bad):
                # Reports that have not changed are looked at again.
                self._analysis = CrashAnalysis()
                return
            self._log(command)

    @singledispatchmethod
    def _log(self, command: QuarantineCommand) -> None:
        """Log a committed command."""
        raise TypeError(type(command))

    @_log.register
    def _(self, command: NoteCrashes) -> None:
        for crash in command.crashes:
            self._events.emit(
                "crash_noted",
                endpoint=crash.endpoint,
                born_ms=crash.born_ms,
                at_s=round(crash.at_s, 3),
                suspects=sorted(crash.parts),
            )

    @_log.register
    def _(self, command: ClearParts) -> None:
        self._events.emit("parts_cleared", parts=sorted(command.answered))

    @_log.register
    def _(self, command: QuarantineParts) -> None:
        table = self._node.machine.fleet.crashes
        counts = table.counts()
        self._events.emit(
            "parts_quarantined",
            crashes={part: counts.get(part, 0) for part in command.parts},
            suspects=len(table.suspicion().suspects),
        )

    @_log.register
    def _(self, command: ReleaseParts) -> None:
        self._events.emit("parts_released", parts=command.parts)

    @_log.register
    def _(self, command: ExpireParts) -> None:
        self._events.emit("parts_expired", parts=command.parts)

    @_log.register
    def _(self, command: StartTrial) -> None:
        self._events.emit(
            "part_trial", part=command.part, gateway=command.gateway
        )
