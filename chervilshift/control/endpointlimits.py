"""Commits the rate limits that endpoints state to gateways."""

from collections.abc import Callable

from returns.result import Failure as Bad

from chervilshift.control.node import Node
from chervilshift.core.fleet.commands import NoteLimits
from chervilshift.core.fleet.endpointlimits import newest_statements
from chervilshift.core.fleet.presence import Presence
from chervilshift.events import EventLog

__all__ = ["LimitNotes"]


class LimitNotes:
    """The leader's part in the distribution of endpoints' limits."""

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
        if isinstance(reply, Bad):
            return
        self._events.emit(
            "endpoint_limits",
            per_s={
                endpoint_id: limit.per_s
                for endpoint_id, limit in stated.items()
            },
        )
