"""Commits what endpoints state about themselves to gateways."""

from collections.abc import Callable

from returns.result import Failure as Bad

from chervilshift.control.node import Node
from chervilshift.core.fleet.commands import NoteLeaving, NoteLimits
from chervilshift.core.fleet.endpointlimits import newest_statements
from chervilshift.core.fleet.presence import Presence
from chervilshift.events import EventLog

__all__ = ["StatementNotes"]


class StatementNotes:
    """The leader's part in the distribution of endpoints' statements."""

    __slots__ = ("_events", "_node", "_presence", "_wall_s")

    def __init__(
        self,
        *,
        node: Node,
        presence: Presence,
        wall_s: Callable[[], float],
        events: EventLog,
    ):
        self._node = node
        self._presence = presence
        self._wall_s = wall_s
        self._events = events

    async def step(self) -> None:
        """Commit what gateways report; called as leader."""
        await self._note_limits()
        await self._note_leaving()

    async def _note_limits(self) -> None:
        stated = newest_statements(
            (
                report.stated_limits
                for report in self._presence.reports()
                if report.stated_limits
            ),
            self._node.machine.fleet.limits,
            self._wall_s(),
        )
        if not stated:
            return
        reply = await self._node.submit(NoteLimits(stated=stated))
        if not isinstance(reply, Bad):
            per_s = {key: limit.per_s for key, limit in stated.items()}
            self._events.emit("endpoint_limits", per_s=per_s)

    async def _note_leaving(self) -> None:
        reported: dict[str, int] = {}
        for report in self._presence.reports():
            for endpoint_id, born_ms in report.leaving.items():
                newest = max(born_ms, reported.get(endpoint_id, born_ms))
                reported[endpoint_id] = newest
        leaving = self._node.machine.fleet.staying(reported)
        if not leaving:
            return
        reply = await self._node.submit(NoteLeaving(born_ms=leaving))
        if not isinstance(reply, Bad):
            self._events.emit("endpoints_leaving", endpoints=sorted(leaving))
