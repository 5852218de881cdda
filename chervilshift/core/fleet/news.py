"""What gateways observe, and what the leader decides from it for all.

Observations travel in the gateways' reports. The leader makes its decisions
at a fixed interval; a gateway gets them with the reply to its report, once per
change.
"""

import msgspec

from chervilshift.core.fleet.room import RoomLevel, RoomReport
from chervilshift.core.fleet.speeds import ServiceSpeed, SpeedReport
from chervilshift.core.fleet.versions import VersionOutcomes, VersionShares
from chervilshift.core.fleet.zones import FlowReport, SpillShares
from chervilshift.core.message import Message

__all__ = ["NEWS_EXPIRY_S", "FleetNews", "NewsCopy", "Observed"]

# Decisions this old are no longer followed: the leader that made them is not
# heard of, and another one may have made others.
NEWS_EXPIRY_S = 2.0


class Observed(Message):
    """What a gateway observed, by service, `outcomes` also by version."""

    room: dict[str, RoomReport] = {}
    speeds: dict[str, SpeedReport] = {}
    outcomes: dict[str, dict[str, VersionOutcomes]] = {}
    flows: dict[str, FlowReport] = {}


class FleetNews(Message):
    """Decisions of the leader, by service; `id` changes with any of them."""

    id: str = ""
    levels: dict[str, RoomLevel] = {}
    speeds: dict[str, ServiceSpeed] = {}
    versions: dict[str, VersionShares] = {}
    spill: dict[str, SpillShares] = {}


class NewsCopy:
    """The newest decisions that a process has, and their age.

    `made_at` is when they were in force at the leader at the latest, in this
    process's monotonic time.
    """

    __slots__ = ("_count", "_source", "made_at", "news")

    def __init__(self, *, source: str):
        self._source = source
        self._count = 0
        self.news = FleetNews()
        self.made_at = float("-inf")

    def set(self, news: FleetNews, now: float) -> None:
        """Take over what this process decided as leader."""
        self.made_at = now
        if msgspec.structs.replace(news, id=self.news.id) != self.news or (
            not self.news.id.startswith(f"{self._source}/")
        ):
            self._count += 1
            self.news = msgspec.structs.replace(
                news, id=f"{self._source}/{self._count}"
            )

    def receive(
        self, news: FleetNews | None, age_s: float, now: float
    ) -> bool:
        """Take over what another process sent; return whether it is new.

        None confirms the decisions that this process has.
        """
        self.made_at = max(self.made_at, now - age_s)
        if news is None:
            return False
        self.news = news
        return True

    def newer_than(self, known_id: str) -> FleetNews | None:
        """Return the decisions, or None if the reader has them."""
        return None if known_id == self.news.id else self.news

    def age_s(self, now: float) -> float:
        """Return the age of the decisions."""
        return now - self.made_at
