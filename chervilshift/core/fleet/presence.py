"""Gateways known to a control process, with their load and usage.

The sum of all loads is kept up to date by the difference between a gateway's
last two reports, so a report costs as much as it changes, whatever the size
of the fleet. Silent gateways are dropped by `sweep`, which a timer calls.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

from chervilshift.core.fleet.changes import ChangeTable
from chervilshift.core.fleet.intervals import (
    is_relayed,
    listing_timeout_s,
    load_expiry_s,
    reserve_after_s,
)
from chervilshift.core.fleet.sync import (
    EndpointLoad,
    GatewayInfo,
    GatewaySync,
    Unchanged,
)
from chervilshift.core.fleet.usage import UsageEntry, UsageTable

__all__ = ["Presence"]

# A silent gateway may still be spending its fallback share; after this long it
# is assumed to have ended.
GATEWAY_EXPIRY_S = 30.0
# Counts of usage of a gateway that is silent this long, or for two of its
# intervals, are passed on to other control processes.
USAGE_SILENT_S = 0.75
# Ended incarnations are remembered for this long, far longer than a report
# should be under way.
ENDED_INCARNATION_MEMORY_S = 30.0
# More than one gateway can have in flight at one endpoint.
MAX_ACTIVE = 100_000
MAX_PREFILL_TOKENS = 1_000_000_000


class _Report:
    """The newest report of one gateway, and what it adds to the sums."""

    __slots__ = ("counted", "heard_at", "sync")

    def __init__(self):
        self.sync: GatewaySync | None = None
        self.heard_at = 0.0
        self.counted: dict[str, EndpointLoad] = {}


class Presence:
    """The newest report of each gateway, and sums over all gateways.

    `loads` is the load of all gateways by endpoint id, `listing` the gateways
    that clients may connect to by id.
    """

    __slots__ = (
        "_active",
        "_ended",
        "_prefill",
        "_reports",
        "listing",
        "load_sums",
        "refused_reports",
        "usage",
    )

    def __init__(self):
        self._reports: dict[str, _Report] = {}
        # When incarnations ended, by gateway id and incarnation.
        self._ended: dict[tuple[str, str], float] = {}
        self._active: Counter[str] = Counter()
        self._prefill: Counter[str] = Counter()
        self.load_sums: ChangeTable[str, EndpointLoad] = ChangeTable()
        self.listing: ChangeTable[str, GatewayInfo] = ChangeTable()
        self.refused_reports = 0
        self.usage = UsageTable()

    def observe(self, sync: GatewaySync, now: float) -> bool:
        """Record a report; return False if a newer one is known.

        An incarnation that another one followed is heard again only when that
        one is silent, in case their first reports came in the wrong order.
        Loads that no gateway can have are counted in `refused_reports` and
        taken as none.
        """
        gateway = sync.gateway
        report = self._reports.setdefault(gateway.id, _Report())
        previous = report.sync
        if previous is not None:
            if previous.gateway.incarnation != gateway.incarnation:
                silent_s = now - report.heard_at
                is_silent = silent_s >= load_expiry_s(previous.interval_s)
                returned = (gateway.id, gateway.incarnation)
                if returned in self._ended and not is_silent:
                    return False
                self._ended.pop(returned, None)
                ended = (gateway.id, previous.gateway.incarnation)
                self._ended[ended] = now
                self.usage.record_end(*ended)
            elif sync.seq < previous.seq:
                return False
        report.sync = sync
        report.heard_at = now
        if sync.usage_window or sync.usage:
            self.usage.record(
                UsageEntry(
                    gateway=gateway.id,
                    incarnation=gateway.incarnation,
                    window=sync.usage_window,
                    counts=sync.usage,
                ),
                now,
            )
        self.usage.record_alive(gateway.id, gateway.incarnation)
        self._count(report, self._plausible(sync.loads))
        self.listing.set(gateway.id, gateway if gateway.ready else None)
        return True

    def confirm(self, same: Unchanged, now: float) -> bool:
        """Record that a report has not changed; False if it is not known.

        It is not known if another one came in between by another way.
        """
        report = self._reports.get(same.gateway)
        if (
            report is None
            or report.sync.gateway.incarnation != same.incarnation
            or report.sync.seq != same.relayed_seq
        ):
            return False
        report.sync = msgspec.structs.replace(report.sync, seq=same.seq)
        report.heard_at = now
        self.usage.record_alive(same.gateway, same.incarnation)
        self._count(report, self._plausible(report.sync.loads))
        return True

    def sweep(self, now: float) -> None:
        """Drop the load, listing and state of gateways that are silent."""
        self._ended = {
            ended: at
            for ended, at in self._ended.items()
            if now - at < ENDED_INCARNATION_MEMORY_S
        }
        self.usage.sweep(self._incarnation, now)
        for gateway_id, report in tuple(self._reports.items()):
            silent_s = now - report.heard_at
            interval_s = report.sync.interval_s
            if silent_s > max(USAGE_SILENT_S, 2 * interval_s):
                self.usage.record_end(
                    gateway_id, report.sync.gateway.incarnation
                )
            if silent_s > load_expiry_s(interval_s):
                self._count(report, {})
            if silent_s > listing_timeout_s(interval_s):
                self.listing.set(gateway_id, None)
            elif report.sync.gateway.ready:
                self.listing.set(gateway_id, report.sync.gateway)
            if silent_s > GATEWAY_EXPIRY_S:
                del self._reports[gateway_id]

    def report(self, gateway_id: str) -> GatewaySync | None:
        """Return the newest report of a gateway, or None."""
        report = self._reports.get(gateway_id)
        return report.sync if report else None

    def reports(self) -> Iterator[GatewaySync]:
        """Return the newest report of each gateway."""
        return (report.sync for report in self._reports.values())

    def live_reports(self, now: float) -> tuple[GatewaySync, ...]:
        """Return the newest reports of gateways that are not silent."""
        return tuple(
            report.sync
            for report in self._reports.values()
            if now - report.heard_at <= load_expiry_s(report.sync.interval_s)
        )

    def heard_at(self, gateway_id: str) -> float:
        """Return when a gateway last reported, minus infinity if never."""
        report = self._reports.get(gateway_id)
        return report.heard_at if report else float("-inf")

    def listed_gateways(self, now: float) -> tuple[GatewayInfo, ...]:
        """Return the gateways that clients may connect to."""
        return tuple(
            report.sync.gateway
            for report in self._reports.values()
            if report.sync.gateway.ready
            and now - report.heard_at
            < listing_timeout_s(report.sync.interval_s)
        )

    def known_gateways(self, recorded: Iterable[str] = ()) -> tuple[str, ...]:
        """Return the gateways that may be running.

        `recorded` are the ids in the replicated state, which may include
        gateways that have not reported to this process.
        """
        return tuple(sorted({*self._reports, *recorded}))

    def silent_share(self, recorded: Iterable[str], now: float) -> float:
        """Return the share of the known gateways without a recent report.

        Returns 1 if no gateway is known.
        """
        known = self.known_gateways(recorded)
        relayed = is_relayed(len(known))
        heard = sum(
            now - report.heard_at
            <= reserve_after_s(report.sync.interval_s, relayed=relayed)
            for report in self._reports.values()
        )
        return 1.0 - heard / len(known) if known else 1.0

    def loads(self, excluding: str, now: float) -> dict[str, EndpointLoad]:
        """Return the load from all gateways but one, by endpoint id."""
        excluded = self._reports.get(excluding)
        own = excluded.counted if excluded else {}
        idle = EndpointLoad()
        return {
            endpoint_id: EndpointLoad(
                active=total.active - own.get(endpoint_id, idle).active,
                prefill_tokens=total.prefill_tokens
                - own.get(endpoint_id, idle).prefill_tokens,
            )
            for endpoint_id, total in self.load_sums.items().items()
        }

    def prefill_tokens_per_s(self, service: str, now: float) -> float:
        """Return the prefill tokens per second that a service is sent."""
        return sum(
            report.sync.reading.get(service, 0.0)
            for report in self._reports.values()
            if now - report.heard_at <= load_expiry_s(report.sync.interval_s)
        )

    def without_usage(
        self, window: int, recorded: Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Return the gateways whose counts of a window may yet change.

        They may be running, and have not reported since the window's end. A
        gateway that stopped as planned sent its last counts before.
        """
        return tuple(
            gateway_id
            for gateway_id in self.known_gateways(recorded)
            if not self._has_usage(gateway_id, window, now)
        )

    def _incarnation(self, gateway_id: str) -> str | None:
        sync = self.report(gateway_id)
        return sync.gateway.incarnation if sync else None

    def _has_usage(self, gateway_id: str, window: int, now: float) -> bool:
        report = self._reports.get(gateway_id)
        if report is None:
            return False
        gateway = report.sync.gateway
        silent_s = now - report.heard_at
        has_left = not gateway.ready and silent_s > load_expiry_s(
            report.sync.interval_s
        )
        return has_left or self.usage.has_all(
            gateway_id, gateway.incarnation, window
        )

    def _count(self, report: _Report, loads: dict[str, EndpointLoad]) -> None:
        """Replace what a report adds to the sums by `loads`."""
        counted, idle = report.counted, EndpointLoad()
        if counted == loads:
            return
        for endpoint_id in counted.keys() | loads.keys():
            old = counted.get(endpoint_id, idle)
            new = loads.get(endpoint_id, idle)
            if old == new:
                continue
            active = self._active[endpoint_id] + new.active - old.active
            prefill = (
                self._prefill[endpoint_id]
                + new.prefill_tokens
                - old.prefill_tokens
            )
            if not active and not prefill:
                del self._active[endpoint_id], self._prefill[endpoint_id]
                self.load_sums.set(endpoint_id, None)
                continue
            self._active[endpoint_id] = active
            self._prefill[endpoint_id] = prefill
            self.load_sums.set(
                endpoint_id,
                EndpointLoad(active=active, prefill_tokens=prefill),
            )
        report.counted = loads

    def _plausible(
        self, loads: dict[str, EndpointLoad]
    ) -> dict[str, EndpointLoad]:
        plausible = {
            endpoint_id: load
            for endpoint_id, load in loads.items()
            if 0 <= load.active <= MAX_ACTIVE
            and 0 <= load.prefill_tokens <= MAX_PREFILL_TOKENS
        }
        self.refused_reports += len(plausible) < len(loads)
        return plausible
