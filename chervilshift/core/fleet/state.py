"""The replicated state of routed traffic: document, endpoints, usage."""

from functools import singledispatchmethod
from itertools import islice

from chervilshift.core.fleet.commands import (
    AcceptServing,
    AnnounceEndpoint,
    CommitUsage,
    EndpointKnown,
    GatewaysNoted,
    NoteGateways,
    ServingAccepted,
    UsageCommitted,
)
from chervilshift.core.fleet.model import (
    GONE,
    READY,
    SILENT,
    EndpointRecord,
    with_state,
)
from chervilshift.core.message import Message

__all__ = ["FleetState", "FleetSnapshot"]

# Records of ended endpoints reject late announcements; the newest are kept.
TOMBSTONES = 512
# Windows kept for a successor that repeats a report: several minutes' worth.
USAGE_WINDOWS = 64


class FleetSnapshot(Message):
    """Everything `FleetState` holds."""

    version: int = 0
    document: bytes = b""
    revision: int = 0
    endpoints: tuple[EndpointRecord, ...] = ()
    usage: dict[int, dict[str, int]] = {}
    gateways: tuple[str, ...] = ()


class FleetState:
    """Applies fleet commands in log order, the same on every replica.

    `revision` is the log position of the last change to the endpoints.
    """

    __slots__ = (
        "_endpoints",
        "_usage",
        "document",
        "gateways",
        "revision",
        "version",
    )

    def __init__(self, *, snapshot: FleetSnapshot | None = None):
        held = snapshot or FleetSnapshot()
        self.version = held.version
        self.document = held.document
        self.revision = held.revision
        self._endpoints = {record.id: record for record in held.endpoints}
        self._usage = dict(held.usage)
        self.gateways = held.gateways

    def snapshot(self) -> FleetSnapshot:
        """Return all state."""
        return FleetSnapshot(
            version=self.version,
            document=self.document,
            revision=self.revision,
            endpoints=tuple(self._endpoints.values()),
            usage=self._usage,
            gateways=self.gateways,
        )

    def endpoint(self, endpoint_id: str) -> EndpointRecord | None:
        """Return what is held about an endpoint."""
        return self._endpoints.get(endpoint_id)

    def endpoints(self) -> tuple[EndpointRecord, ...]:
        """Return the endpoints that have not ended."""
        return tuple(e for e in self._endpoints.values() if e.state != GONE)

    def committed_usage(self, window: int) -> dict[str, int] | None:
        """Return the committed counts of a window, or None."""
        return self._usage.get(window)

    def newest_usage(self) -> int | None:
        """Return the newest window whose usage is committed."""
        return max(self._usage, default=None)

    @singledispatchmethod
    def apply(self, command: Message, index: int) -> Message:
        """Apply one command at log position `index`."""
        raise TypeError(type(command))

    @apply.register
    def _(self, command: AcceptServing, index: int) -> ServingAccepted:
        if command.version > self.version:
            self.version = command.version
            self.document = command.document
        return ServingAccepted(version=self.version)

    @apply.register
    def _(self, command: CommitUsage, index: int) -> UsageCommitted:
        counts = self._usage.setdefault(command.window, command.counts)
        for window in sorted(self._usage)[:-USAGE_WINDOWS]:
            del self._usage[window]
        return UsageCommitted(window=command.window, counts=counts)

    @apply.register
    def _(self, command: NoteGateways, index: int) -> GatewaysNoted:
        self.gateways = command.ids
        return GatewaysNoted(count=len(self.gateways))

    @apply.register
    def _(self, command: AnnounceEndpoint, index: int) -> EndpointKnown:
        news = command.endpoint
        held = self._endpoints.get(news.id)
        if held is not None and news.state == GONE and not news.born_ms:
            # It does not say which boot has left: the one that is known.
            news = with_state(held, GONE)
        if held is not None and not self._accepts(held, news):
            return EndpointKnown(state=held.state)
        rival = self._rival(news)
        if rival is not None and rival.born_ms > news.born_ms:
            # A late announcement of a boot that another has replaced.
            news = with_state(news, GONE)
        elif rival is not None and news.state != GONE:
            self._endpoints[rival.id] = with_state(rival, GONE)
        self._endpoints.pop(news.id, None)
        self._endpoints[news.id] = news
        self.revision = index
        self._forget_ended()
        return EndpointKnown(state=news.state)

    def _accepts(self, held: EndpointRecord, news: EndpointRecord) -> bool:
        if news.born_ms != held.born_ms:
            return news.born_ms > held.born_ms
        if held.state == GONE:
            return False
        if news.state in (SILENT, GONE):
            return held.state != news.state
        leaving = held.state not in (READY, SILENT)
        if leaving and news.state == READY:
            return False
        return news.seq > held.seq

    def _rival(self, news: EndpointRecord) -> EndpointRecord | None:
        """Return another endpoint that still holds the same address."""
        return next(
            (
                record
                for record in self._endpoints.values()
                if record.address == news.address
                and record.id != news.id
                and record.state != GONE
            ),
            None,
        )

    def _forget_ended(self) -> None:
        ended = [e.id for e in self._endpoints.values() if e.state == GONE]
        for endpoint_id in islice(ended, max(0, len(ended) - TOMBSTONES)):
            del self._endpoints[endpoint_id]
