"""Distribution of state between gateways, control replicas and the leader.

A gateway reports to one control process. A follower relays its gateways'
reports to the leader in batches, and gets the changes of the load of all
gateways and of the gateways that clients may connect to. So the leader's
messages grow with the number of replicas, a replica's with the gateways that
it serves, and a gateway's do not grow with the fleet.
"""

from collections.abc import Iterable

import msgspec

from chervilshift.core.fleet.changes import Changes, ChangeTable
from chervilshift.core.fleet.controls import controls_digest
from chervilshift.core.fleet.intervals import (
    is_relayed,
    load_expiry_s,
    report_interval_s,
)
from chervilshift.core.fleet.limits import (
    EndpointLimit,
    Limit,
    LimitAllocator,
    LimitPolicy,
)
from chervilshift.core.fleet.model import Customer
from chervilshift.core.fleet.news import FleetNews, NewsCopy
from chervilshift.core.fleet.pool import LimitPool
from chervilshift.core.fleet.presence import Presence
from chervilshift.core.fleet.sync import (
    ControlInfo,
    EndpointLoad,
    GatewayInfo,
    GatewaysDelta,
    GatewaySync,
    Heartbeat,
    LoadsDelta,
    Relay,
    RelayReply,
    Unchanged,
)

__all__ = ["Distributor", "GatewayNews"]

# Counts over all gateways are made anew at most this often.
COUNT_INTERVAL_S = 0.1
# Reports in one relay; the others follow with the next.
MAX_RELAYED_REPORTS = 256
# A gateway that stops tells all control processes; the leader's list is
# without it at the latest after this time.
STOP_NEWS_MAX_DELAY_S = 1.0
# A control process that did not relay for this long is no longer told to
# gateways with its place.
CONTROL_EXPIRY_S = 20.0
# A gateway whose requests wait reports several times in this time. What an
# older report asks for waits no longer.
NEED_EXPIRY_S = 0.3
# Ages in messages are finite.
MAX_NEWS_AGE_S = 1e9


class GatewayNews:
    """What a control process tells one gateway; see `SyncReply`."""

    __slots__ = (
        "gateways",
        "granting",
        "grants",
        "included_seq",
        "interval_s",
        "leader_age_s",
        "loads",
        "news",
        "news_age_s",
        "waits",
    )

    def __init__(
        self,
        *,
        loads: LoadsDelta,
        included_seq: int,
        leader_age_s: float,
        granting: bool,
        grants: dict[str, float],
        waits: dict[str, float],
        gateways: int,
        interval_s: float,
        news: FleetNews | None = None,
        news_age_s: float = 0.0,
    ):
        self.loads = loads
        self.included_seq = included_seq
        self.leader_age_s = leader_age_s
        self.granting = granting
        self.grants = grants
        self.waits = waits
        self.gateways = gateways
        self.interval_s = interval_s
        self.news = news
        self.news_age_s = news_age_s


class _LeaderState:
    """What a follower last heard from the leader."""

    __slots__ = (
        "controls",
        "gateways_cursor",
        "granting",
        "heard_at",
        "loads_cursor",
        "source",
        "usage_cursor",
        "usage_revision",
        "waits_until",
    )

    def __init__(self):
        self.source = ""
        self.heard_at = float("-inf")
        self.loads_cursor = 0
        self.gateways_cursor = 0
        # Counts that it sent, by its revisions, and that it was sent.
        self.usage_cursor = 0
        self.usage_revision = 0
        self.granting = False
        self.waits_until: dict[str, float] = {}
        self.controls: tuple[ControlInfo, ...] = ()


class Distributor:
    """One control process's part; leader and followers use the same object.

    `source` names this process's tables and has to differ after a restart.
    `now` is monotonic time throughout.
    """

    def __init__(
        self, *, info: ControlInfo, source: str, limit_policy: LimitPolicy
    ):
        self._info = info
        self._source = source
        self.presence = Presence()
        self._allocator = LimitAllocator(policy=limit_policy)
        self._pool = LimitPool(policy=limit_policy)
        self._news = NewsCopy(source=source)
        self._leader = _LeaderState()
        # A follower's copies of the leader's tables.
        self._loads: ChangeTable[str, EndpointLoad] = ChangeTable()
        self._listing: ChangeTable[str, GatewayInfo] = ChangeTable()
        self._relayed: dict[str, GatewaySync] = {}
        self._served: dict[str, float] = {}
        self._controls: dict[str, tuple[ControlInfo, float]] = {}
        self._limits: tuple[Limit, ...] = ()
        self._recorded: tuple[str, ...] = ()
        self._counted_at = float("-inf")
        self._gateway_count = 0
        self._silent_share = 1.0
        self._leads = False
        self._may_grant = False
        self._lease_held_at = float("-inf")

    # Both roles

    def configure(
        self,
        customers: Iterable[Customer],
        recorded: tuple[str, ...],
        replicas: int,
        now: float,
        *,
        leads: bool,
        has_lease: bool = True,
        endpoint_limits: tuple[EndpointLimit, ...] = (),
    ) -> None:
        """Take over the replicated state.

        A leader whose lease lapses for a moment, as while entries are being
        saved, keeps its limits but does not grant.
        `recorded` are the ids of the gateways in the replicated state.
        """
        limits = (*customers, *endpoint_limits)
        if limits != self._limits:
            self._limits = limits
            self._allocator.retain(limits)
        self._recorded = recorded
        if self._leads and not leads:
            self._allocator.step_down()
        self._leads = leads
        self._may_grant = leads and has_lease
        if self._may_grant:
            self._lease_held_at = now
        elif leads:
            self._allocator.record_lapse()
        if now - self._counted_at >= COUNT_INTERVAL_S:
            self._recount(now)
        self._pool.configure(self._limits, self._gateway_count, replicas)

    def sweep(self, now: float) -> None:
        """Drop what is no longer reported."""
        self.presence.sweep(now)
        for gateway_id, at in self._served.items():
            if now - at > NEED_EXPIRY_S:
                self._pool.drop(gateway_id)
        for gateway_id, at in tuple(self._served.items()):
            sync = self.presence.report(gateway_id)
            if sync is None or now - at > load_expiry_s(sync.interval_s):
                del self._served[gateway_id]
                self._relayed.pop(gateway_id, None)
                self._pool.drop(gateway_id)
        self._controls = {
            address: (info, at)
            for address, (info, at) in self._controls.items()
            if now - at < CONTROL_EXPIRY_S
        }

    def observe(self, sync: GatewaySync, now: float) -> None:
        """Record the report of a gateway to this process."""
        if self.presence.observe(sync, now):
            self._served[sync.gateway.id] = now
        if not sync.gateway.ready:
            self._pool.drop(sync.gateway.id)

    def news(self, sync: GatewaySync, now: float) -> GatewayNews:
        """Return the reply to a gateway, and take its grants."""
        if self._leads:
            return self._leader_news(sync, now)
        leader = self._leader
        gateway_id = sync.gateway.id
        relayed = self._relayed_report(sync.gateway)
        return GatewayNews(
            loads=self._loads_delta(
                self._loads, sync.loads_source, sync.loads_cursor
            ),
            included_seq=relayed.seq if relayed else 0,
            leader_age_s=self.leader_age_s(now),
            granting=leader.granting,
            grants=self._pool.take(gateway_id, sync.needed, sync.prefetch),
            waits={
                name: until - now
                for name, until in leader.waits_until.items()
                if until > now
            },
            gateways=self._gateway_count,
            interval_s=report_interval_s(len(self._served)),
            news=self._news.newer_than(sync.news_id),
            news_age_s=self.news_age_s(now),
        )

    def set_news(self, news: FleetNews, now: float) -> None:
        """Set what this process decided as leader."""
        self._news.set(news, now)

    def news_age_s(self, now: float) -> float:
        """Return the age of the leader's decisions, finite."""
        return min(MAX_NEWS_AGE_S, self._news.age_s(now))

    def needs_leader(self, sync: GatewaySync) -> bool:
        """Whether only the leader can grant what a gateway waits for."""
        return not self._leads and self._pool.request(
            sync.gateway.id, sync.needed
        )

    @property
    def served_count(self) -> int:
        """The number of gateways that report to this process."""
        return len(self._served)

    def leader_age_s(self, now: float) -> float:
        """Return the seconds since the leader took a relay, 0 as leader."""
        if self._leads:
            return now - self._lease_held_at
        return now - self._leader.heard_at

    def listed_gateways(self, now: float) -> tuple[GatewayInfo, ...]:
        """Return the gateways that clients may connect to.

        A follower combines the leader's list with the reports to itself,
        which are newer while they arrive, and with the gateways that told it
        that they stop.
        """
        own = {g.id: g for g in self.presence.listed_gateways(now)}
        if self._leads:
            return tuple(own.values())
        listed = self._listing.items() | own
        return tuple(g for g in listed.values() if not self._has_left(g))

    def controls(self, voters: Iterable[str]) -> tuple[ControlInfo, ...]:
        """Return the control replicas at `voters`, with places if known."""
        known = {info.address: info for info in self._leader.controls}
        if self._leads:
            known = {a: info for a, (info, _) in self._controls.items()}
        known[self._info.address] = self._info
        return tuple(known.get(a) or ControlInfo(address=a) for a in voters)

    def controls_for(
        self, sync: GatewaySync, voters: Iterable[str]
    ) -> tuple[ControlInfo, ...]:
        """Return the control replicas, or nothing if the gateway has them."""
        controls = self.controls(voters)
        return () if controls_digest(controls) == sync.controls else controls

    # Follower

    def make_relay(
        self,
        beats: Iterable[Heartbeat] = (),
        wall_s: float = 0.0,
        *,
        grants_only: bool = False,
    ) -> Relay:
        """Return what the leader does not have yet."""
        if grants_only:
            return Relay(
                sender=self._info,
                grants_only=True,
                needed=self._pool.ask(),
                wall_s=wall_s,
            )
        reports, unchanged = [], []
        for gateway_id in self._served:
            sync = self.presence.report(gateway_id)
            if sync is None:
                continue
            relayed = self._relayed_report(sync.gateway)
            if relayed is not None and relayed.seq >= sync.seq:
                continue
            if relayed is not None and _same_content(relayed, sync):
                unchanged.append(
                    Unchanged(
                        gateway=gateway_id,
                        incarnation=sync.gateway.incarnation,
                        relayed_seq=relayed.seq,
                        seq=sync.seq,
                    )
                )
            else:
                reports.append(sync)
        usage, usage_revision = self.presence.usage.changes_since(
            self._leader.usage_revision
        )
        return Relay(
            sender=self._info,
            reports=tuple(
                msgspec.structs.replace(
                    sync, needed={}, prefetch={}, usage={}, usage_window=0
                )
                for sync in reports[:MAX_RELAYED_REPORTS]
            ),
            usage=usage,
            usage_revision=usage_revision,
            usage_cursor=self._leader.usage_cursor,
            unchanged=tuple(unchanged),
            needed=self._pool.ask(),
            prefetch=self._pool.prefetch(),
            loads_source=self._leader.source,
            loads_cursor=self._leader.loads_cursor,
            gateways_cursor=self._leader.gateways_cursor,
            beats=tuple(beats),
            wall_s=wall_s,
            news_id=self._news.news.id,
        )

    def apply_relay_reply(
        self,
        relay: Relay,
        reply: RelayReply | None,
        sent_at: float,
        now: float,
    ) -> None:
        """Take over the reply to a relay sent at `sent_at`, None without."""
        self._pool.answered(relay.needed)
        if reply is None:
            return
        self._pool.add(reply.grants)
        leader = self._leader
        leader.waits_until = {n: now + s for n, s in reply.waits.items()}
        if relay.grants_only:
            return
        if reply.loads.source != leader.source:
            # Another leader: it gets all reports with the next relay.
            self._relayed = {}
            leader.source = reply.loads.source
            leader.usage_revision = 0
            leader.usage_cursor = 0
        else:
            leader.usage_revision = relay.usage_revision
            leader.usage_cursor = reply.usage_cursor
        for entry in reply.usage:
            self.presence.usage.record(entry, now)
        for sync in relay.reports:
            self._relayed[sync.gateway.id] = sync
        for same in relay.unchanged:
            held = self._relayed.get(same.gateway)
            if held is not None:
                self._relayed[same.gateway] = msgspec.structs.replace(
                    held, seq=same.seq
                )
        for gateway_id in reply.unknown:
            self._relayed.pop(gateway_id, None)
        self._loads.apply(
            Changes(
                cursor=reply.loads.cursor,
                full=reply.loads.full,
                values=reply.loads.loads,
            )
        )
        self._listing.apply(
            Changes(
                cursor=reply.gateways.cursor,
                full=reply.gateways.full,
                values=reply.gateways.gateways,
            )
        )
        leader.loads_cursor = reply.loads.cursor
        leader.gateways_cursor = reply.gateways.cursor
        leader.heard_at = sent_at
        leader.granting = reply.granting
        leader.controls = reply.controls
        self._news.receive(reply.news, reply.news_age_s, now)

    def _relayed_report(self, gateway: GatewayInfo) -> GatewaySync | None:
        """Return the last relayed report of this incarnation, or None."""
        relayed = self._relayed.get(gateway.id)
        if (
            relayed is None
            or relayed.gateway.incarnation != gateway.incarnation
        ):
            return None
        return relayed

    # Leader

    def receive_relay(
        self, relay: Relay, voters: Iterable[str], now: float
    ) -> RelayReply:
        """Record a follower's relay and return the reply to it."""
        if relay.grants_only:
            grants, waits = self._grant(
                relay.sender.address, relay.needed, {}, now
            )
            return RelayReply(grants=grants, waits=waits)
        self._controls[relay.sender.address] = (relay.sender, now)
        for entry in relay.usage:
            self.presence.usage.record(entry, now)
        for sync in relay.reports:
            self.presence.observe(sync, now)
        unknown = tuple(
            same.gateway
            for same in relay.unchanged
            if not self.presence.confirm(same, now)
        )
        grants, waits = self._grant(
            relay.sender.address, relay.needed, relay.prefetch, now
        )
        is_known = relay.loads_source == self._source
        usage, usage_cursor = self.presence.usage.ended_since(
            relay.usage_cursor if is_known else 0
        )
        gateways = self.presence.listing.since(
            relay.gateways_cursor if is_known else 0
        )
        return RelayReply(
            loads=self._loads_delta(
                self.presence.load_sums, relay.loads_source, relay.loads_cursor
            ),
            gateways=GatewaysDelta(
                source=self._source,
                cursor=gateways.cursor,
                full=gateways.full,
                gateways=gateways.values,
            ),
            controls=self.controls(voters),
            unknown=unknown,
            usage=usage,
            usage_cursor=usage_cursor,
            granting=self._allocator.is_granting(now),
            grants=grants,
            waits=waits,
            news=self._news.newer_than(relay.news_id),
            news_age_s=self.news_age_s(now),
        )

    def _leader_news(self, sync: GatewaySync, now: float) -> GatewayNews:
        grants, waits = self._grant(
            sync.gateway.id, sync.needed, sync.prefetch, now
        )
        return GatewayNews(
            loads=self._loads_delta(
                self.presence.load_sums, sync.loads_source, sync.loads_cursor
            ),
            included_seq=sync.seq,
            leader_age_s=self.leader_age_s(now),
            granting=self._may_grant and self._allocator.is_granting(now),
            grants=grants,
            waits=waits,
            gateways=self._gateway_count,
            interval_s=report_interval_s(
                len(self._served) if is_relayed(self._gateway_count) else 0
            ),
            news=self._news.newer_than(sync.news_id),
            news_age_s=self.news_age_s(now),
        )

    def _grant(
        self,
        asker: str,
        needed: dict[str, float],
        prefetch: dict[str, float],
        now: float,
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Return grants, and the waits of exhausted limits."""
        if not self._may_grant:
            return {}, {}
        self._allocator.set_gateway_count(self._gateway_count)
        grants = self._allocator.grant(
            self._limits, needed, prefetch, self._silent_share, now, asker
        )
        return grants, self._allocator.waits(self._limits)

    def _recount(self, now: float) -> None:
        self._counted_at = now
        self._gateway_count = len(self.presence.known_gateways(self._recorded))
        self._silent_share = self.presence.silent_share(self._recorded, now)

    def _has_left(self, gateway: GatewayInfo) -> bool:
        own = self.presence.report(gateway.id)
        return (
            own is not None
            and own.gateway.incarnation == gateway.incarnation
            and not own.gateway.ready
            and self._leader.heard_at
            < self.presence.heard_at(gateway.id) + STOP_NEWS_MAX_DELAY_S
        )

    def _loads_delta(
        self,
        table: ChangeTable[str, EndpointLoad],
        reader_source: str,
        reader_cursor: int,
    ) -> LoadsDelta:
        source = self._table_source()
        changes = table.since(reader_cursor if reader_source == source else 0)
        return LoadsDelta(
            source=source,
            cursor=changes.cursor,
            full=changes.full,
            loads=changes.values,
        )

    def _table_source(self) -> str:
        """Return the name of the table of loads that readers are served.

        A process that becomes leader serves another table than before.
        """
        return self._source if self._leads else f"{self._source}/copy"


def _same_content(old: GatewaySync, new: GatewaySync) -> bool:
    return (
        old.gateway == new.gateway
        and old.loads == new.loads
        and old.reading == new.reading
        and old.crashes == new.crashes
        and old.answers == new.answers
        and old.refused == new.refused
        and old.stated_limits == new.stated_limits
        and old.leaving == new.leaving
        and old.observed == new.observed
        and old.rollouts_revision == new.rollouts_revision
    )
