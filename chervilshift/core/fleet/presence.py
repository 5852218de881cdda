"""Which gateways a control process hears from, and their shared load."""

from collections import Counter
from collections.abc import Iterable

from chervilshift.core.fleet.limits import RESERVE_AFTER_S
from chervilshift.core.fleet.sync import (
    EndpointLoad,
    GatewayInfo,
    GatewaySync,
)

__all__ = ["Presence"]

# A gateway syncs several times a second; one silent for longer is not
# handed to clients.
LISTING_TIMEOUT_S = 1.5
# Load that was not confirmed for longer is taken for finished.
LOAD_FOR_S = 2.0
# A silent gateway may go on under its fallback share for this long before
# it is taken for dead.
GATEWAY_EXPIRY_S = 30.0
# Usage of incarnations that ended is kept until their windows are reported.
USAGE_WINDOWS = 8


class _Seen:
    __slots__ = ("at", "sync")

    def __init__(self, *, sync: GatewaySync, at: float):
        self.sync = sync
        self.at = at


class Presence:
    """What the gateways' syncs said, by gateway."""

    __slots__ = ("_ended", "_seen")

    def __init__(self):
        self._seen: dict[str, _Seen] = {}
        self._ended: dict[int, Counter[str]] = {}

    def observe(self, sync: GatewaySync, now: float) -> None:
        """Take one sync in."""
        held = self._seen.get(sync.gateway.id)
        new = sync.gateway.incarnation
        if held is not None and held.sync.gateway.incarnation != new:
            self._keep_usage(held.sync)
        self._seen[sync.gateway.id] = _Seen(sync=sync, at=now)
        for gateway_id, seen in tuple(self._seen.items()):
            if now - seen.at > GATEWAY_EXPIRY_S:
                self._keep_usage(seen.sync)
                del self._seen[gateway_id]

    def listed_gateways(self, now: float) -> tuple[GatewayInfo, ...]:
        """Return the gateways that clients may use."""
        return tuple(
            seen.sync.gateway
            for seen in self._seen.values()
            if seen.sync.gateway.ready and now - seen.at < LISTING_TIMEOUT_S
        )

    def known_gateways(self, recorded: Iterable[str] = ()) -> tuple[str, ...]:
        """Return the gateways that may be running.

        `recorded` are those that the cluster knew before this process did.
        """
        return tuple(sorted({*self._seen, *recorded}))

    def silent_share(self, recorded: Iterable[str], now: float) -> float:
        """Return the part of the known gateways that is out of touch."""
        known = self.known_gateways(recorded)
        heard = sum(
            now - seen.at <= RESERVE_AFTER_S for seen in self._seen.values()
        )
        return 1.0 - heard / len(known) if known else 1.0

    def loads(self, excluding: str, now: float) -> dict[str, EndpointLoad]:
        """Return the work of all other gateways by endpoint."""
        active: Counter[str] = Counter()
        prefill: Counter[str] = Counter()
        for gateway_id, seen in self._seen.items():
            if gateway_id == excluding or now - seen.at > LOAD_FOR_S:
                continue
            for endpoint_id, load in seen.sync.loads.items():
                active[endpoint_id] += load.active
                prefill[endpoint_id] += load.prefill_tokens
        return {
            endpoint_id: EndpointLoad(
                active=count, prefill_tokens=prefill[endpoint_id]
            )
            for endpoint_id, count in active.items()
        }

    def prefill_tokens_per_s(self, service: str, now: float) -> float:
        """Return the prompt tokens a second that a service has to read."""
        return sum(
            seen.sync.reading.get(service, 0.0)
            for seen in self._seen.values()
            if now - seen.at <= LOAD_FOR_S
        )

    def usage(self, window: int) -> dict[str, int]:
        """Return the requests begun in a window, by customer."""
        total = Counter(self._ended.get(window, {}))
        for seen in self._seen.values():
            total.update(seen.sync.usage.get(window, {}))
        return dict(total)

    def _keep_usage(self, sync: GatewaySync) -> None:
        for window, counts in sync.usage.items():
            self._ended.setdefault(window, Counter()).update(counts)
        for window in sorted(self._ended)[:-USAGE_WINDOWS]:
            del self._ended[window]
