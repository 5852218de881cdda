"""Replicated state: document, endpoints, limits, gateways, usage, crashes."""

from collections.abc import Iterable
from functools import singledispatchmethod
from itertools import islice, takewhile

from chervilshift.core.fleet.commands import (
    AcceptServing,
    AdvanceRollout,
    AnnounceEndpoint,
    ClearParts,
    CommitUsage,
    CrashesNoted,
    EndpointKnown,
    EndRollout,
    ExpireParts,
    GatewaysNoted,
    LeavingNoted,
    LimitsNoted,
    NoteCrashes,
    NoteGateways,
    NoteLeaving,
    NoteLimits,
    NoteStreams,
    QuarantineParts,
    ReleaseParts,
    RolloutChanged,
    RolloutStarted,
    ServingAccepted,
    StartRollout,
    StartTrial,
    StreamsNoted,
    UsageCommitted,
)
from chervilshift.core.fleet.crashes import CrashSnapshot, CrashTable
from chervilshift.core.fleet.endpointlimits import (
    StatedLimit,
    allocated_limits,
)
from chervilshift.core.fleet.limits import EndpointLimit
from chervilshift.core.fleet.model import (
    DRAINING,
    GONE,
    READY,
    SILENT,
    EndpointRecord,
    with_state,
)
from chervilshift.core.fleet.origins import OriginSnapshot, OriginTable
from chervilshift.core.fleet.rolloutlog import RolloutTable
from chervilshift.core.fleet.versions import Rollout
from chervilshift.core.message import Message

__all__ = ["MAX_ENDPOINTS", "FleetState", "FleetSnapshot"]

# Records of endpoints, ended ones too; above the largest fleet.
MAX_ENDPOINTS = 16_384
# Records that are forgotten at once to make room, as gateways then have to be
# told of all.
FORGOTTEN_ENDPOINTS = MAX_ENDPOINTS // 16
# Records of ended endpoints are kept to reject late announcements; the oldest
# are dropped.
MAX_TOMBSTONES = 512
# Newest windows whose committed usage is kept, several minutes' worth, so that
# a new leader can repeat their reports.
MAX_USAGE_WINDOWS = 64


class FleetSnapshot(Message):
    """Snapshot of a `FleetState`."""

    version: int = 0
    document: bytes = b""
    services: tuple[str, ...] = ()
    revision: int = 0
    endpoints: tuple[EndpointRecord, ...] = ()
    usage: dict[int, dict[str, int]] = {}
    gateways: tuple[str, ...] = ()
    crashes: CrashSnapshot = CrashSnapshot()
    limits: dict[str, StatedLimit] = {}
    limits_revision: int = 0
    origins: OriginSnapshot = OriginSnapshot()
    rollouts: tuple[Rollout, ...] = ()
    rollouts_revision: int = 0


class FleetState:
    """Applies fleet commands in log order, with equal results on all replicas.

    `services` are the services that the configuration names.
    `revision` is the log position of the last change to the endpoints,
    `limits_revision` that of the last change to `limits`, the rate limits
    that endpoints stated.
    """

    __slots__ = (
        "_allocated",
        "_changed_at",
        "_changes_since",
        "_endpoints",
        "_usage",
        "crashes",
        "document",
        "gateways",
        "limits",
        "limits_revision",
        "origins",
        "revision",
        "rollouts",
        "services",
        "version",
    )

    def __init__(self, *, snapshot: FleetSnapshot | None = None):
        stored = snapshot or FleetSnapshot()
        self.version = stored.version
        self.document = stored.document
        self.services = frozenset(stored.services)
        self.revision = stored.revision
        # In the order of their last change.
        self._endpoints = {record.id: record for record in stored.endpoints}
        self._changed_at: dict[str, int] = {}
        # Changes up to this revision can't be told apart.
        self._changes_since = stored.revision
        self._usage = dict(stored.usage)
        self.gateways = stored.gateways
        self.crashes = CrashTable(snapshot=stored.crashes)
        self.origins = OriginTable(snapshot=stored.origins)
        self.rollouts = RolloutTable(
            rollouts=stored.rollouts, revision=stored.rollouts_revision
        )
        self._set_limits(dict(stored.limits), stored.limits_revision)

    def snapshot(self) -> FleetSnapshot:
        """Return a snapshot of the whole state."""
        return FleetSnapshot(
            version=self.version,
            document=self.document,
            services=tuple(sorted(self.services)),
            revision=self.revision,
            endpoints=tuple(self._endpoints.values()),
            usage=self._usage,
            gateways=self.gateways,
            crashes=self.crashes.snapshot(),
            limits=self.limits,
            limits_revision=self.limits_revision,
            origins=self.origins.snapshot(),
            rollouts=tuple(self.rollouts.rollouts.values()),
            rollouts_revision=self.rollouts.revision,
        )

    def endpoint(self, endpoint_id: str) -> EndpointRecord | None:
        """Return the record of an endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def endpoints(self) -> tuple[EndpointRecord, ...]:
        """Return the records of endpoints that have not ended."""
        return tuple(e for e in self._endpoints.values() if e.state != GONE)

    def endpoints_since(
        self, revision: int
    ) -> tuple[EndpointRecord, ...] | None:
        """Return the records that changed after a revision, ended ones too.

        Returns None if the changes since then are not known.
        """
        if revision < self._changes_since or revision > self.revision:
            return None
        newest_first = reversed(self._endpoints.values())
        return tuple(
            takewhile(
                lambda e: self._changed_at.get(e.id, 0) > revision,
                newest_first,
            )
        )

    def endpoint_limits(self) -> tuple[EndpointLimit, ...]:
        """Return the limits of endpoints that state one."""
        return self._allocated

    def staying(self, born_ms: dict[str, int]) -> dict[str, int]:
        """Return the incarnations, by id, that are not known to leave."""
        return {
            endpoint_id: born
            for endpoint_id, born in born_ms.items()
            if (record := self._endpoints.get(endpoint_id)) is not None
            and record.born_ms == born
            and record.state in (READY, SILENT)
        }

    def committed_usage(self, window: int) -> dict[str, int] | None:
        """Return the committed counts of a window by customer, or None."""
        return self._usage.get(window)

    def newest_usage(self) -> int | None:
        """Return the newest window with committed usage, or None."""
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
            self.services = frozenset(command.services)
            self.rollouts.retain(self.services, index)
        return ServingAccepted(version=self.version)

    @apply.register
    def _(self, command: CommitUsage, index: int) -> UsageCommitted:
        counts = self._usage.setdefault(command.window, command.counts)
        for window in sorted(self._usage)[:-MAX_USAGE_WINDOWS]:
            del self._usage[window]
        return UsageCommitted(window=command.window, counts=counts)

    @apply.register
    def _(self, command: NoteGateways, index: int) -> GatewaysNoted:
        self.gateways = command.ids
        return GatewaysNoted(count=len(self.gateways))

    @apply.register
    def _(self, command: NoteLeaving, index: int) -> LeavingNoted:
        leaving_ids = tuple(self.staying(command.born_ms))
        for endpoint_id in leaving_ids:
            record = with_state(self._endpoints[endpoint_id], DRAINING)
            self._replace(record, index)
            self.revision = index
        return LeavingNoted(ids=leaving_ids)

    @apply.register
    def _(self, command: NoteLimits, index: int) -> LimitsNoted:
        newer = {
            endpoint_id: stated
            for endpoint_id, stated in command.stated.items()
            if self._may_note(endpoint_id, stated)
        }
        if newer:
            self._set_limits(self.limits | newer, index)
        return LimitsNoted(revision=self.limits_revision)

    @apply.register
    def _(self, command: StartRollout, index: int) -> RolloutStarted:
        return self.rollouts.start(
            command, self.services, self._endpoints.values(), index
        )

    @apply.register
    def _(self, command: AdvanceRollout, index: int) -> RolloutChanged:
        return self.rollouts.advance(command, index)

    @apply.register
    def _(self, command: EndRollout, index: int) -> RolloutChanged:
        return self.rollouts.end(command, self._endpoints.values(), index)

    @apply.register
    def _(self, command: NoteStreams, index: int) -> StreamsNoted:
        self.origins.note(command.batches, command.now_s, command.kept_s)
        return StreamsNoted(revision=index)

    @apply.register
    def _(self, command: NoteCrashes, index: int) -> CrashesNoted:
        self.crashes.note(command.crashes, index)
        return CrashesNoted(revision=index)

    @apply.register
    def _(self, command: ClearParts, index: int) -> CrashesNoted:
        self.crashes.clear(command.answered, index)
        return CrashesNoted(revision=index)

    @apply.register
    def _(self, command: QuarantineParts, index: int) -> CrashesNoted:
        self.crashes.quarantine(command.parts, command.now_s, index)
        return CrashesNoted(revision=index)

    @apply.register
    def _(self, command: ReleaseParts, index: int) -> CrashesNoted:
        self.crashes.release(command.parts, index)
        return CrashesNoted(revision=index)

    @apply.register
    def _(self, command: ExpireParts, index: int) -> CrashesNoted:
        self.crashes.expire(command.parts, command.now_s, index)
        return CrashesNoted(revision=index)

    @apply.register
    def _(self, command: StartTrial, index: int) -> CrashesNoted:
        self.crashes.start_trial(
            command.part, command.gateway, command.now_s, index
        )
        return CrashesNoted(revision=index)

    @apply.register
    def _(self, command: AnnounceEndpoint, index: int) -> EndpointKnown:
        announced = command.endpoint
        stored = self._endpoints.get(announced.id)
        if (
            stored is not None
            and announced.state == GONE
            and not announced.born_ms
        ):
            # The announcement does not name an incarnation, so the stored one
            # has ended.
            announced = with_state(stored, GONE)
        if stored is not None and not self._should_replace(stored, announced):
            return EndpointKnown(state=stored.state)
        if stored is None and not self._make_room(command.now_s, index):
            return EndpointKnown(state=GONE if announced.state == GONE else "")
        other = self._address_holder(announced)
        if other is not None and other.born_ms > announced.born_ms:
            # A late announcement: a newer endpoint uses the address now.
            announced = with_state(announced, GONE)
        elif other is not None and announced.state != GONE:
            self._replace(with_state(other, GONE), index)
        self._replace(announced, index)
        self.revision = index
        self._note_versions(
            filter(None, (stored, other, announced)), command.now_s
        )
        self.rollouts.settle(
            (announced.service,),
            self._endpoints.values(),
            command.now_s,
            index,
        )
        self._prune_tombstones()
        return EndpointKnown(state=announced.state)

    def _note_versions(
        self, changed: Iterable[EndpointRecord], now_s: float
    ) -> None:
        """Record the versions of the services of changed records."""
        serving = {record.service: {} for record in changed}
        for record in self._endpoints.values():
            if record.service in serving and record.state != GONE:
                serving[record.service][record.version] = None
        for service, versions in serving.items():
            self.origins.note_versions(
                service, versions, now_s, named=self.services
            )

    def _replace(self, record: EndpointRecord, index: int) -> None:
        self._endpoints.pop(record.id, None)
        self._endpoints[record.id] = record
        self._changed_at[record.id] = index
        stated = self.limits.get(record.id)
        ended = record.state == GONE
        if stated and (ended or stated.born_ms != record.born_ms):
            kept = {k: v for k, v in self.limits.items() if k != record.id}
            self._set_limits(kept, index)

    def _set_limits(self, limits: dict[str, StatedLimit], index: int) -> None:
        self.limits = limits
        self.limits_revision = index
        self._allocated = allocated_limits(limits)

    def _may_note(self, endpoint_id: str, stated: StatedLimit) -> bool:
        """Return whether a statement is of a running endpoint, and newer."""
        record = self._endpoints.get(endpoint_id)
        if record is None or record.state == GONE:
            return False
        known = self.limits.get(endpoint_id)
        return record.born_ms == stated.born_ms and (
            known is None or stated.at_s > known.at_s
        )

    def _should_replace(
        self, stored: EndpointRecord, announced: EndpointRecord
    ) -> bool:
        """Return whether an announcement is newer than the stored record.

        Within one incarnation an ended endpoint stays ended, and a draining
        one does not become ready again. SILENT and GONE apply whatever the
        sequence number.
        """
        if announced.born_ms != stored.born_ms:
            return announced.born_ms > stored.born_ms
        if stored.state == GONE:
            return False
        if announced.state in (SILENT, GONE):
            return stored.state != announced.state
        leaving = stored.state not in (READY, SILENT)
        if leaving and announced.state == READY:
            return False
        return announced.seq > stored.seq

    def _address_holder(
        self, announced: EndpointRecord
    ) -> EndpointRecord | None:
        """Return another endpoint with the same address that has not ended."""
        return next(
            (
                record
                for record in self._endpoints.values()
                if record.address == announced.address
                and record.id != announced.id
                and record.state != GONE
            ),
            None,
        )

    def _make_room(self, now_s: float, index: int) -> bool:
        """Return whether there is room for one more record.

        If there is none, endpoints that take no new requests are forgotten:
        first those of services that the configuration doesn't name, then
        those that changed longest ago.
        """
        if len(self._endpoints) < MAX_ENDPOINTS:
            return True
        forgotten = sorted(
            (e for e in self._endpoints.values() if e.state != READY),
            key=lambda e: e.service in self.services,
        )[:FORGOTTEN_ENDPOINTS]
        for record in forgotten:
            self._forget(record.id, index)
        self._note_versions(forgotten, now_s)
        return bool(forgotten)

    def _prune_tombstones(self) -> None:
        ended = [e.id for e in self._endpoints.values() if e.state == GONE]
        for endpoint_id in islice(ended, max(0, len(ended) - MAX_TOMBSTONES)):
            self._forget(endpoint_id, self.revision)

    def _forget(self, endpoint_id: str, index: int) -> None:
        """Forget a record; gateways are then told of all that are left."""
        del self._endpoints[endpoint_id]
        self._changed_at.pop(endpoint_id, None)
        self._changes_since = self.revision = index
        if endpoint_id in self.limits:
            kept = {k: v for k, v in self.limits.items() if k != endpoint_id}
            self._set_limits(kept, index)
