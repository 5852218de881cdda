"""Fleet service of a control process: configuration, endpoints, gateways."""

from collections.abc import Callable
from secrets import token_hex

import anyio
import msgspec
from absl import logging
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.clock import Clock
from chervilshift.control.lease import wait_lease
from chervilshift.control.node import Node
from chervilshift.control.origins import OriginService
from chervilshift.control.quarantine import Quarantine
from chervilshift.control.relay import LeaderRelay
from chervilshift.control.rollouts import RolloutService
from chervilshift.control.statements import StatementNotes
from chervilshift.core.commands import (
    AcceptServing,
    AnnounceEndpoint,
    Command,
    CommandReply,
    NoteGateways,
)
from chervilshift.core.fleet.commands import EndpointKnown
from chervilshift.core.fleet.distribution import Distributor
from chervilshift.core.fleet.documents import pack, unpack
from chervilshift.core.fleet.limits import LimitPolicy
from chervilshift.core.fleet.lookup import choose_gateways
from chervilshift.core.fleet.model import (
    DRAINING,
    GONE,
    READY,
    SILENT,
    EndpointRecord,
    ServingConfig,
    with_state,
)
from chervilshift.core.fleet.planner import FleetPlanner, PlanInput
from chervilshift.core.fleet.presence import GATEWAY_EXPIRY_S
from chervilshift.core.fleet.speeds import ServiceSpeed
from chervilshift.core.fleet.state import MAX_ENDPOINTS
from chervilshift.core.fleet.sync import (
    ControlInfo,
    GatewayInfo,
    GatewaySync,
    Heartbeat,
    ReadServing,
    Relay,
    RelayReply,
    ServingDocument,
    SyncReply,
)
from chervilshift.core.fleet.versions import RolloutPolicy
from chervilshift.core.fleet.walltime import WallTime
from chervilshift.core.fleet.zones import SpillPlanner, SpillShares
from chervilshift.core.message import Message
from chervilshift.errors import Failure, NotLeader, NotReady, Unserved
from chervilshift.events import EventLog
from chervilshift.wire.leader import LeaderClient
from chervilshift.wire.messages import Submit
from chervilshift.wire.rpc import Clients

__all__ = ["FleetService"]

# An endpoint waits one second for the reply to an announcement.
ANNOUNCE_COMMIT_TIMEOUT_S = 0.9
# An operator waits one second for the reply, longer for large documents.
CONFIG_COMMIT_TIMEOUT_S = 0.95
CONFIG_READ_TIMEOUT_S = 0.9
ROLLOUT_COMMIT_TIMEOUT_S = 0.95
ROLLOUT_READ_TIMEOUT_S = 0.9
# Gateways wait longer for both.
ORIGIN_COMMIT_TIMEOUT_S = 1.0
ORIGIN_READ_TIMEOUT_S = 0.6
# Interval in which silent gateways and endpoints are looked for.
SWEEP_INTERVAL_S = 0.25
# How long the reply to a gateway waits for grants of the leader.
GRANT_TIMEOUT_S = 0.2
# Ages in messages are finite.
MAX_AGE_S = 1e9
# An endpoint is marked silent after this many announcement intervals without
# an announcement.
SILENT_AFTER_INTERVALS = 3.5
# A replica whose state is older than this refuses announcements without
# changes, because its record of the endpoint may be out of date.
MAX_STATE_AGE_S = 2.0
# Largest number of gateway addresses in the reply to a lookup.
MAX_RESOLVED_ADDRESSES = 64
# A lookup is answered from a list at most this old.
LOOKUP_CACHE_S = 0.1
# Places with a cached lookup; callers may send any place.
MAX_CACHED_LOOKUPS = 256
SOURCE_ID_BYTES = 8

DecodeConfig = Callable[[bytes], Result[ServingConfig, Failure]]


class FleetService:
    """Serves operators, endpoints, lookups of clients, and gateways."""

    def __init__(
        self,
        *,
        node: Node,
        clients: Clients,
        decode: DecodeConfig,
        announce_interval_s: float,
        limit_policy: LimitPolicy,
        info: ControlInfo,
        clock: Clock,
        events: EventLog,
        rollout_policy: RolloutPolicy | None = None,
        make_spill: Callable[[], SpillPlanner | None] = lambda: None,
    ):
        self._node = node
        self._clients = clients
        self._decode = decode
        self._silent_after_s = SILENT_AFTER_INTERVALS * announce_interval_s
        self._clock = clock
        self._events = events
        self._distributor = Distributor(
            info=info,
            source=token_hex(SOURCE_ID_BYTES),
            limit_policy=limit_policy,
        )
        self.presence = self._distributor.presence
        self._quarantine = Quarantine(
            node=node,
            presence=self.presence,
            wall_s=self.wall_s,
            clock=clock,
            events=events,
        )
        self._statement_notes = StatementNotes(
            node=node,
            presence=self.presence,
            wall_s=self.wall_s,
            events=events,
        )
        self.origins = OriginService(
            node=node,
            submit=lambda command: self._submit(
                command, ORIGIN_COMMIT_TIMEOUT_S
            ),
            ask_leader=lambda message: self._ask_leader(
                message, ORIGIN_READ_TIMEOUT_S
            ),
            serving_config=self.serving_config,
            wall_s=self.wall_s,
        )
        self.rollouts = RolloutService(
            policy=rollout_policy,
            node=node,
            submit=lambda command: self._submit(
                command, ROLLOUT_COMMIT_TIMEOUT_S
            ),
            ask_leader=lambda message: self._ask_leader(
                message, ROLLOUT_READ_TIMEOUT_S
            ),
            wall_s=self.wall_s,
            events=events,
        )
        self.relay = LeaderRelay(
            leader=self._leader_to_relay_to,
            make=self._make_relay,
            apply=self._apply_relay_reply,
            clients=clients,
            clock=clock,
        )
        self._lookups: dict[tuple[str, str], tuple[float, tuple]] = {}
        self._wall_time = WallTime()
        # What the leader's time is, as a follower last heard.
        self._leader_time = WallTime(counts_own=False)
        self._leader = LeaderClient(addresses=(), clients=clients, clock=clock)
        self._unforwarded_heartbeats: dict[str, Heartbeat] = {}
        self._last_heartbeats: dict[str, tuple[int, float]] = {}
        self._leading_since: float | None = None
        self._make_spill = make_spill
        self._planner = self._new_planner()
        self.spill: dict[str, SpillShares] = {}
        self._cfg: ServingConfig | None = None
        # The document that was read last.
        self._packed = b""
        self._unpacked = b""

    # Used by the HTTP interfaces for operators, endpoints and clients

    async def put_document(self, document: bytes) -> Result[int, Failure]:
        """Commit a configuration; return the version then in force.

        A version that is not higher than the current one changes nothing.
        Fails with ConfigRefused, or with the reason it was not committed.
        """
        decoded = self._decode(document)
        if isinstance(decoded, Bad):
            self._events.emit("config_refused", reason=str(decoded.failure()))
            return decoded
        cfg = decoded.unwrap()
        version = cfg.version
        if version <= self._node.machine.fleet.version:
            return Success(self._node.machine.fleet.version)
        command = AcceptServing(
            version=version,
            document=pack(document),
            services=tuple(cfg.services),
        )
        reply = await self._submit(command, CONFIG_COMMIT_TIMEOUT_S)
        self._events.emit(
            "config_put", version=version, taken=not isinstance(reply, Bad)
        )
        return reply.map(lambda accepted: accepted.version)

    async def read_document(self) -> Result[ServingDocument, Failure]:
        """Return the document in force, confirmed under the leader's lease.

        Fails with NotReady if there is no document yet, with NotLeader, or
        with the failure of the call to the leader.
        """
        if self._node.raft.is_leader:
            serving = await self._read_under_lease()
        else:
            self._update_leader_addresses()
            serving = await self._leader.call(
                ReadServing(), CONFIG_READ_TIMEOUT_S
            )
        return serving.bind(self._unpack)

    def _unpack(
        self, serving: ServingDocument
    ) -> Result[ServingDocument, Failure]:
        """Unpack the document; readers of the same one share its bytes."""
        if self._packed != serving.document:
            document = unpack(serving.document)
            if isinstance(document, Bad):
                return document
            self._packed = serving.document
            self._unpacked = document.unwrap()
        return Success(
            ServingDocument(version=serving.version, document=self._unpacked)
        )

    async def announce(self, record: EndpointRecord) -> Result[None, Failure]:
        """Process an announcement of an endpoint.

        Success means that its content is committed and cannot be lost. One
        without changes counts as a heartbeat, and one from an earlier start
        of the endpoint is ignored. Fails with NotReady, or with the reason it
        was not committed.
        """
        held = self._node.machine.fleet.endpoint(record.id)
        if held is not None and held.born_ms > record.born_ms:
            return Success(None)
        if held is not None and not _needs_commit(held, record):
            if self._node.stale_s() > MAX_STATE_AGE_S:
                return Bad(
                    NotReady(reason="no recent contact with the leader")
                )
            self._record_heartbeat(
                Heartbeat(endpoint=record.id, born_ms=record.born_ms)
            )
            return Success(None)
        reply = await self._submit(
            AnnounceEndpoint(endpoint=record, now_s=self.wall_s()),
            ANNOUNCE_COMMIT_TIMEOUT_S,
        )
        reply = reply.bind(_recorded)
        self._events.emit(
            "endpoint",
            endpoint=record.id,
            state=record.state,
            service=record.service,
            address=record.address,
            failure_domain=record.failure_domain,
            version=record.version,
            spot=record.spot,
            leaves_s=record.leaves_s,
            taken=not isinstance(reply, Bad),
        )
        if isinstance(reply, Bad):
            return reply
        self._record_heartbeat(
            Heartbeat(endpoint=record.id, born_ms=record.born_ms)
        )
        return Success(None)

    def find_endpoint(self, endpoint_id: str) -> EndpointRecord | None:
        """Return the record of an endpoint, or None if it is unknown."""
        return self._node.machine.fleet.endpoint(endpoint_id)

    def resolve(self, region: str, failure_domain: str) -> tuple[str, ...]:
        """Return the gateway addresses for a client at a place."""
        now = self._clock.monotonic()
        place = (region, failure_domain)
        at, addresses = self._lookups.get(place, (float("-inf"), ()))
        if now - at > LOOKUP_CACHE_S:
            addresses = choose_gateways(
                self.listed_gateways(),
                region,
                failure_domain,
                MAX_RESOLVED_ADDRESSES,
            )
            if len(self._lookups) > MAX_CACHED_LOOKUPS:
                self._lookups.clear()
            self._lookups[place] = (now, addresses)
        return addresses

    def prefill_speeds(self) -> dict[str, ServiceSpeed]:
        """Return the speeds of services' engines, empty unless leader."""
        return self._planner.speeds.speeds

    def listed_gateways(self) -> tuple[GatewayInfo, ...]:
        """Return the gateways that clients may connect to."""
        return self._distributor.listed_gateways(self._clock.monotonic())

    def serving_config(self) -> ServingConfig | None:
        """Return the configuration applied here, or None before the first."""
        fleet = self._node.machine.fleet
        decoded_version = self._cfg.version if self._cfg else 0
        if fleet.version > decoded_version:
            decoded = unpack(fleet.document).bind(self._decode)
            if isinstance(decoded, Bad):
                logging.error(
                    "configuration in force cannot be decoded, "
                    "keeping the previous one: %s",
                    decoded.failure(),
                )
                return self._cfg
            self._cfg = decoded.unwrap()
        return self._cfg

    @property
    def served_count(self) -> int:
        """The number of gateways that report to this process."""
        return self._distributor.served_count

    @property
    def leader_age_s(self) -> float:
        """Seconds since the leader took a relay, 0 if this process leads."""
        now = self._clock.monotonic()
        return min(MAX_AGE_S, self._distributor.leader_age_s(now))

    def wall_s(self) -> float:
        """Return the Unix time that a majority of hosts agrees on."""
        wall_s = self._clock.utcnow().timestamp()
        times = (
            self._wall_time if self._node.has_lease() else self._leader_time
        )
        return times.correct(wall_s, self._clock.monotonic())

    # Used by the RPC server for gateways and other replicas

    async def sync(self, message: GatewaySync) -> SyncReply:
        """Record the state of a gateway and return the reply to it.

        Waits for the leader if only that can grant what the gateway needs.
        """
        self._configure()
        refused = self.presence.refused_reports
        self._distributor.observe(message, self._clock.monotonic())
        if self.presence.refused_reports > refused:
            self._events.emit(
                "report_refused",
                gateway=message.gateway.id,
                reason="a load is negative or too large; taken as none",
                refused=self.presence.refused_reports,
            )
        self._observe_wall_time(message.gateway.id, message.wall_s)
        if self._distributor.needs_leader(message):
            await self.relay.request_grants(GRANT_TIMEOUT_S)
        return self._reply(message)

    def _reply(self, message: GatewaySync) -> SyncReply:
        now = self._clock.monotonic()
        fleet = self._node.machine.fleet
        news = self._distributor.news(message, now)
        voters = tuple(v.address for v in self._node.raft.log.voters)
        endpoints = changed = None
        if fleet.revision > message.revision:
            changed = fleet.endpoints_since(message.revision)
            endpoints = fleet.endpoints() if changed is None else changed
        newer = fleet.version > message.version
        suspicion = None
        if fleet.crashes.revision > message.suspicion_revision:
            suspicion = fleet.crashes.suspicion()
        limits = None
        if fleet.limits_revision > message.limits_revision:
            limits = fleet.limits
        rollouts = None
        if fleet.rollouts.revision > message.rollouts_revision:
            rollouts = self.rollouts.current()
        return SyncReply(
            leader=self._node.leader_address(),
            leader_age_s=min(news.leader_age_s, MAX_AGE_S),
            stale_s=self._node.stale_s(),
            version=fleet.version,
            revision=fleet.revision,
            gateways=news.gateways,
            controls=self._distributor.controls_for(message, voters),
            document=fleet.document if newer else None,
            endpoints=endpoints,
            partial=changed is not None,
            loads=news.loads,
            included_seq=news.included_seq,
            wall_s=self.wall_s(),
            granting=news.granting,
            grants=news.grants,
            waits=news.waits,
            interval_s=news.interval_s,
            suspicion=suspicion,
            limits=limits,
            limits_revision=fleet.limits_revision,
            mixed=self.origins.mixed_services(),
            news=news.news,
            news_age_s=news.news_age_s,
            rollouts=rollouts,
            rollouts_revision=fleet.rollouts.revision,
        )

    async def receive_relay(self, message: Relay) -> RelayReply:
        """Record what a follower relays, and return the reply to it.

        Raises NotLeader.
        """
        if not await wait_lease(self._node):
            raise NotLeader(leader=self._node.leader_address())
        self._configure()
        for heartbeat in message.beats:
            self._record_heartbeat(heartbeat)
        self._observe_wall_time(message.sender.address, message.wall_s)
        reply = self._distributor.receive_relay(
            message,
            tuple(v.address for v in self._node.raft.log.voters),
            self._clock.monotonic(),
        )
        return msgspec.structs.replace(reply, wall_s=self.wall_s())

    def _configure(self) -> None:
        """Pass the replicated state on to the distributor."""
        cfg = self.serving_config()
        self._distributor.configure(
            cfg.customers if cfg else (),
            self._node.machine.fleet.gateways,
            len(self._node.raft.log.voters),
            self._clock.monotonic(),
            leads=self._node.raft.is_leader,
            has_lease=self._node.has_lease(),
            endpoint_limits=self._node.machine.fleet.endpoint_limits(),
        )

    def _observe_wall_time(self, peer: str, peer_wall_s: float) -> None:
        self._wall_time.observe(
            peer,
            peer_wall_s,
            self._clock.utcnow().timestamp(),
            self._clock.monotonic(),
        )

    def _make_relay(self, grants_only: bool) -> Relay:
        beats = {}
        if not grants_only:
            beats = self._unforwarded_heartbeats
            self._unforwarded_heartbeats = {}
        return self._distributor.make_relay(
            beats.values(),
            self._clock.utcnow().timestamp(),
            grants_only=grants_only,
        )

    def _apply_relay_reply(
        self, relay: Relay, reply: RelayReply | None, sent_at: float
    ) -> None:
        now = self._clock.monotonic()
        if reply is not None:
            wall_s = self._clock.utcnow().timestamp()
            self._leader_time.observe("leader", reply.wall_s, wall_s, now)
        self._distributor.apply_relay_reply(relay, reply, sent_at, now)

    async def answer_read(self) -> ServingDocument:
        """Return the packed document for another replica.

        Raises NotLeader, or NotReady if there is no document yet.
        """
        document = await self._read_under_lease()
        if isinstance(document, Bad):
            raise document.failure()
        return document.unwrap()

    # Periodic work

    async def run(self) -> None:
        """Relay to the leader as follower, expire endpoints as leader."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.relay.run)
            tg.start_soon(self.origins.run)
            while True:
                await anyio.sleep(SWEEP_INTERVAL_S)
                self._configure()
                self._distributor.sweep(self._clock.monotonic())
                self._forget_heartbeats()
                if self._node.has_lease():
                    await self._statement_notes.step()
                    await self._quarantine.step()
                    await self._expire_endpoints()
                    await self._update_gateways()
                    await self._plan()
                elif not self._node.raft.is_leader:
                    self._leading_since = None
                    self._planner = self._new_planner()
                    self.spill = {}

    @property
    def level_count(self) -> int:
        """The number of services whose work this leader limits."""
        return len(self._planner.room.levels)

    def _new_planner(self) -> FleetPlanner:
        return FleetPlanner(
            rollout_policy=self.rollouts.policy, spill=self._make_spill()
        )

    async def _plan(self) -> None:
        """Decide for all gateways; called as leader."""
        cfg = self.serving_config()
        if cfg is None:
            return
        now = self._clock.monotonic()
        news = self._planner.plan(
            PlanInput(
                reports=self.presence.live_reports(now),
                endpoints=self._node.machine.fleet.endpoints(),
                cfg=cfg,
                now=now,
                rollouts=self.rollouts.current(),
                gateways=self.presence.known_gateways(
                    self._node.machine.fleet.gateways
                ),
                wall_s=self.wall_s(),
            )
        )
        self._note_spill(news.spill)
        self._distributor.set_news(news, now)
        self._log_decisions()
        await self.rollouts.step(self._planner.rollouts, news.versions)

    def _log_decisions(self) -> None:
        """Log what has changed by much since the last decisions."""
        for service, former, speed in self._planner.speeds.take_changes():
            self._events.emit(
                "prefill_speed",
                service=service,
                tokens_per_s=speed.tokens_per_s,
                former_tokens_per_s=former,
                base_s=speed.base_s,
                samples=speed.samples,
            )
        for service, level in self._planner.room.changes().items():
            self._events.emit(
                "room_level" if level else "room_level_ended",
                service=service,
                priority=level.priority if level else None,
                share=level.share if level else None,
                recovers_s=level.recovers_s if level else None,
            )

    def _note_spill(self, spill: dict[str, SpillShares]) -> None:
        """Log changed shares of work that leave."""
        for service, shares in spill.items():
            if shares != self.spill.get(service, SpillShares(by=shares.by)):
                self._events.emit(
                    "spill",
                    service=service,
                    by=shares.by,
                    shares=shares.shares,
                    reasons=shares.reasons,
                )
        self.spill = spill

    def _leader_to_relay_to(self) -> str:
        """Return the leader's address, empty if this process leads."""
        return "" if self._node.raft.is_leader else self._node.leader_address()

    async def _read_under_lease(self) -> Result[ServingDocument, Failure]:
        if not await wait_lease(self._node):
            return Bad(NotLeader(leader=self._node.leader_address()))
        # A rebuild replaces the state, so it is read after the wait.
        fleet = self._node.machine.fleet
        if not fleet.version:
            return Bad(NotReady(reason="no configuration yet"))
        return Success(
            ServingDocument(version=fleet.version, document=fleet.document)
        )

    async def _submit(
        self, command: Command, timeout_s: float
    ) -> Result[CommandReply, Failure]:
        """Commit a command, here or through the leader.

        The command may reach the leader more than once; all commands of this
        service are idempotent.
        """
        if self._node.raft.is_leader:
            with anyio.move_on_after(timeout_s):
                return await self._node.submit(command)
            return Bad(NotReady(reason="not committed in time"))
        self._update_leader_addresses()
        reply = await self._leader.call(Submit(command=command), timeout_s)
        return reply.map(lambda submitted: submitted.reply)

    async def _ask_leader(
        self, message: Message, timeout_s: float
    ) -> Result[Message, Failure]:
        self._update_leader_addresses()
        return await self._leader.call(message, timeout_s)

    def _update_leader_addresses(self) -> None:
        leader_address = self._node.leader_address()
        others = (v.address for v in self._node.raft.log.voters)
        own_address = self._node.local_voter.address
        first = (leader_address,) if leader_address else ()
        self._leader.addresses = tuple(
            dict.fromkeys((*first, *(a for a in others if a != own_address)))
        )

    def _forget_heartbeats(self) -> None:
        """Forget heartbeats of endpoints that are no longer recorded."""
        fleet = self._node.machine.fleet
        if len(self._last_heartbeats) > MAX_ENDPOINTS:
            self._last_heartbeats = {
                endpoint_id: heartbeat
                for endpoint_id, heartbeat in self._last_heartbeats.items()
                if fleet.endpoint(endpoint_id) is not None
            }

    def _record_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._last_heartbeats[heartbeat.endpoint] = (
            heartbeat.born_ms,
            self._clock.monotonic(),
        )
        if self._node.raft.is_leader:
            self._unforwarded_heartbeats = {}
        else:
            self._unforwarded_heartbeats[heartbeat.endpoint] = heartbeat

    async def _update_gateways(self) -> None:
        """Commit the set of gateways if it has changed.

        A new leader keeps the committed ones until they had time to expire.
        """
        recorded_ids = self._node.machine.fleet.gateways
        leading_s = self._clock.monotonic() - self._leading_since
        kept_ids = recorded_ids if leading_s < GATEWAY_EXPIRY_S else ()
        known_ids = self.presence.known_gateways(kept_ids)
        if known_ids != recorded_ids:
            await self._node.submit(NoteGateways(ids=known_ids))

    async def _expire_endpoints(self) -> None:
        """Mark endpoints as silent that no replica has a heartbeat from."""
        self._unforwarded_heartbeats = {}
        now = self._clock.monotonic()
        if self._leading_since is None:
            self._leading_since = now
        for record in self._node.machine.fleet.endpoints():
            born_ms, at = self._last_heartbeats.get(
                record.id, (0, self._leading_since)
            )
            heard_at = at if born_ms == record.born_ms else self._leading_since
            silent_s = now - max(heard_at, self._leading_since)
            if record.state == READY and silent_s > self._silent_after_s:
                silent = with_state(record, SILENT)
                await self._node.submit(
                    AnnounceEndpoint(endpoint=silent, now_s=self.wall_s())
                )
                self._events.emit("endpoint_silent", endpoint=record.id)


def _recorded(known: EndpointKnown) -> Result[EndpointKnown, Failure]:
    if not known.state:
        return Bad(Unserved(reason="too many endpoints are ready"))
    return Success(known)


def _needs_commit(held: EndpointRecord, record: EndpointRecord) -> bool:
    """Return whether an announcement is more than a heartbeat.

    Until it starts anew, an endpoint that is gone stays gone, and a draining
    one does not become ready again.
    """
    if record.born_ms != held.born_ms:
        return True
    if held.state == GONE:
        return False
    if record.state == READY and held.state == DRAINING:
        return False
    return (
        record.state != held.state
        or record.address != held.address
        or record.service != held.service
        or record.slots != held.slots
        or record.version != held.version
    )
