"""What the leader does about crashes, from the reports of all gateways."""

from collections.abc import Iterable, Iterator
from itertools import chain

from chervilshift.core.fleet.commands import (
    ClearParts,
    ExpireParts,
    NoteCrashes,
    QuarantineParts,
    ReleaseParts,
    StartTrial,
)
from chervilshift.core.fleet.crashes import Crash, CrashTable
from chervilshift.core.fleet.sync import GatewaySync

__all__ = ["CrashAnalysis", "QuarantineCommand"]

# A quarantined part without requests is released after this time.
QUARANTINE_IDLE_S = 900.0

QuarantineCommand = (
    NoteCrashes
    | ClearParts
    | QuarantineParts
    | ReleaseParts
    | ExpireParts
    | StartTrial
)


class CrashAnalysis:
    """Turns reports into commands of the replicated log.

    It decides from the replicated table and from what gateways report again
    and again, so that a new leader decides the same.
    """

    __slots__ = ("_diagnosed_revision", "_noted", "_used_at")

    def __init__(self):
        # The crashes of each gateway's report that were looked at.
        self._noted: dict[str, tuple[Crash, ...]] = {}
        # The revision of the table that was diagnosed for good.
        self._diagnosed_revision = -1
        # When requests with a quarantined part last came, by part.
        self._used_at: dict[str, float] = {}

    def commands(
        self,
        table: CrashTable,
        reports: Iterable[GatewaySync],
        now_s: float,
        now: float,
    ) -> Iterator[QuarantineCommand]:
        """Yield commands; each has to be applied before the next is asked for.

        `now_s` is Unix time, `now` monotonic time.
        """
        reports = tuple(reports)
        crashes = table.unknown(self._new_crashes(reports))
        if crashes:
            yield NoteCrashes(crashes=crashes)
        answered = table.unknown_answers(_latest(r.answers for r in reports))
        if answered:
            yield ClearParts(answered=answered)
        yield from self._diagnose(table, now_s)
        gateways = {
            part: report.gateway.id
            for report in reports
            for part in report.refused
        }
        yield from _trials(table, gateways, now_s)
        unused = self._unused(table, gateways, now)
        if unused:
            yield ExpireParts(parts=unused, now_s=now_s)

    def _new_crashes(
        self, reports: tuple[GatewaySync, ...]
    ) -> tuple[Crash, ...]:
        """Return the crashes of reports that have changed."""
        noted = self._noted
        self._noted = {r.gateway.id: r.crashes for r in reports if r.crashes}
        changed = (
            crashes
            for gateway_id, crashes in self._noted.items()
            if noted.get(gateway_id) is not crashes
        )
        return tuple(chain.from_iterable(changed))

    def _diagnose(
        self, table: CrashTable, now_s: float
    ) -> Iterator[QuarantineCommand]:
        """Yield what follows from the crashes, if that may have changed."""
        if self._diagnosed_revision == table.revision:
            return
        diagnosis = table.diagnose(now_s)
        if diagnosis.causes:
            yield QuarantineParts(parts=diagnosis.causes, now_s=now_s)
        if diagnosis.released:
            yield ReleaseParts(parts=diagnosis.released)
        if table.is_final(now_s):
            self._diagnosed_revision = table.revision

    def _unused(
        self, table: CrashTable, used: Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Return the quarantined parts that no requests have come with."""
        self._used_at = {
            part: now if part in used else self._used_at.get(part, now)
            for part in table.quarantined
        }
        return tuple(
            part
            for part, at in self._used_at.items()
            if now - at > QUARANTINE_IDLE_S
        )


def _trials(
    table: CrashTable, gateways: dict[str, str], now_s: float
) -> Iterator[StartTrial]:
    """Yield the trials that are due, at gateways that got such requests."""
    for part in table.next_trials(now_s):
        if part in gateways:
            yield StartTrial(part=part, gateway=gateways[part], now_s=now_s)


def _latest(answers: Iterable[dict[str, float]]) -> dict[str, float]:
    """Return the latest time by part."""
    latest: dict[str, float] = {}
    for part, at_s in chain.from_iterable(a.items() for a in answers):
        latest[part] = max(at_s, latest.get(part, at_s))
    return latest
