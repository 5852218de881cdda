"""Gateways known to a control process, with their load and usage."""

from collections import Counter
from collections.abc import Iterable

from chervilshift.core.fleet.limits import RESERVE_AFTER_S
from chervilshift.core.fleet.sync import (
    EndpointLoad,
    GatewayInfo,
    GatewaySync,
)

__all__ = ["Presence"]

# A gateway syncs several times a second; one that is silent for longer is not
# listed for clients.
LISTING_TIMEOUT_S = 1.5
# Load reported longer ago is assumed to have ended.
LOAD_MAX_AGE_S = 2.0
# A silent gateway may still be spending its fallback share; after this long it
# is assumed to have ended.
GATEWAY_EXPIRY_S = 30.0
# Newest windows for which the usage of ended incarnations is kept, enough to
# cover those not yet reported.
MAX_ENDED_WINDOWS = 8


class _ReceivedSync:
    __slots__ = ("received_at", "sync")

    def __init__(self, *, sync: GatewaySync, received_at: float):
        self.sync = sync
        self.received_at = received_at


class Presence:
    """The last sync of each gateway, and the usage of ended gateways."""

    __slots__ = ("_ended_usage", "_syncs")

    def __init__(self):
        self._syncs: dict[str, _ReceivedSync] = {}
        self._ended_usage: dict[int, Counter[str]] = {}

    def observe(self, sync: GatewaySync, now: float) -> None:
        """Record a sync, and drop gateways that were silent for too long."""
        previous = self._syncs.get(sync.gateway.id)
        incarnation = sync.gateway.incarnation
        if (
            previous is not None
            and previous.sync.gateway.incarnation != incarnation
        ):
            self._retain_usage(previous.sync)
        self._syncs[sync.gateway.id] = _ReceivedSync(
            sync=sync, received_at=now
        )
        for gateway_id, received in tuple(self._syncs.items()):
            if now - received.received_at > GATEWAY_EXPIRY_S:
                self._retain_usage(received.sync)
                del self._syncs[gateway_id]

    def listed_gateways(self, now: float) -> tuple[GatewayInfo, ...]:
        """Return the gateways that clients may connect to."""
        return tuple(
            received.sync.gateway
            for received in self._syncs.values()
            if received.sync.gateway.ready
            and now - received.received_at < LISTING_TIMEOUT_S
        )

    def known_gateways(self, recorded: Iterable[str] = ()) -> tuple[str, ...]:
        """Return the gateways that may be running.

        `recorded` are the ids in the replicated state, which may include
        gateways that have not synced with this process.
        """
        return tuple(sorted({*self._syncs, *recorded}))

    def silent_share(self, recorded: Iterable[str], now: float) -> float:
        """Return the share of the known gateways without a recent sync.

        Returns 1 if no gateway is known.
        """
        known = self.known_gateways(recorded)
        heard = sum(
            now - received.received_at <= RESERVE_AFTER_S
            for received in self._syncs.values()
        )
        return 1.0 - heard / len(known) if known else 1.0

    def loads(self, excluding: str, now: float) -> dict[str, EndpointLoad]:
        """Return the load from all gateways but one, by endpoint id."""
        active: Counter[str] = Counter()
        prefill: Counter[str] = Counter()
        for gateway_id, received in self._syncs.items():
            if (
                gateway_id == excluding
                or now - received.received_at > LOAD_MAX_AGE_S
            ):
                continue
            for endpoint_id, load in received.sync.loads.items():
                active[endpoint_id] += load.active
                prefill[endpoint_id] += load.prefill_tokens
        return {
            endpoint_id: EndpointLoad(
                active=count, prefill_tokens=prefill[endpoint_id]
            )
            for endpoint_id, count in active.items()
        }

    def prefill_tokens_per_s(self, service: str, now: float) -> float:
        """Return the prefill tokens per second that a service is sent."""
        return sum(
            received.sync.reading.get(service, 0.0)
            for received in self._syncs.values()
            if now - received.received_at <= LOAD_MAX_AGE_S
        )

    def usage(self, window: int) -> dict[str, int]:
        """Return the requests started in a window, by customer."""
        total = Counter(self._ended_usage.get(window, {}))
        for received in self._syncs.values():
            total.update(received.sync.usage.get(window, {}))
        return dict(total)

    def _retain_usage(self, sync: GatewaySync) -> None:
        for window, counts in sync.usage.items():
            self._ended_usage.setdefault(window, Counter()).update(counts)
        for window in sorted(self._ended_usage)[:-MAX_ENDED_WINDOWS]:
            del self._ended_usage[window]
