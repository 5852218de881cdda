"""Fleet service of a control process: configuration, endpoints, gateways."""

from collections.abc import Callable

import anyio
from absl import logging
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.clock import Clock
from chervilshift.control.node import Node
from chervilshift.core.commands import (
    AcceptServing,
    AnnounceEndpoint,
    Command,
    CommandReply,
    NoteGateways,
)
from chervilshift.core.fleet.limits import LimitAllocator, LimitPolicy
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
from chervilshift.core.fleet.presence import GATEWAY_EXPIRY_S, Presence
from chervilshift.core.fleet.sync import (
    GatewaySync,
    Heartbeat,
    Heartbeats,
    ReadServing,
    ServingDocument,
    SyncReply,
)
from chervilshift.core.fleet.walltime import WallTime
from chervilshift.errors import Failure, NotLeader, NotReady
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
# Followers forward heartbeats of endpoints to the leader, which also looks for
# silent endpoints in this interval.
HEARTBEAT_FORWARD_INTERVAL_S = 0.4
HEARTBEAT_FORWARD_TIMEOUT_S = 0.8
# An endpoint is marked silent after this many announcement intervals without
# an announcement.
SILENT_AFTER_INTERVALS = 3.5
# A replica whose state is older than this refuses announcements without
# changes, because its record of the endpoint may be out of date.
MAX_STATE_AGE_S = 2.0
# Largest number of gateway addresses in the reply to a lookup.
MAX_RESOLVED_ADDRESSES = 64

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
        clock: Clock,
        events: EventLog,
    ):
        self._node = node
        self._clients = clients
        self._decode = decode
        self._silent_after_s = SILENT_AFTER_INTERVALS * announce_interval_s
        self._clock = clock
        self._events = events
        self.presence = Presence()
        self._wall_time = WallTime()
        self._limits = LimitAllocator(policy=limit_policy)
        self._leader = LeaderClient(addresses=(), clients=clients, clock=clock)
        self._unforwarded_heartbeats: dict[str, Heartbeat] = {}
        self._last_heartbeats: dict[str, tuple[int, float]] = {}
        self._leading_since: float | None = None
        self._cfg: ServingConfig | None = None

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
        version = decoded.unwrap().version
        if version <= self._node.machine.fleet.version:
            return Success(self._node.machine.fleet.version)
        command = AcceptServing(version=version, document=document)
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
            return self._read_under_lease()
        self._update_leader_addresses()
        return await self._leader.call(ReadServing(), CONFIG_READ_TIMEOUT_S)

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
            AnnounceEndpoint(endpoint=record), ANNOUNCE_COMMIT_TIMEOUT_S
        )
        self._events.emit(
            "endpoint",
            endpoint=record.id,
            state=record.state,
            service=record.service,
            address=record.address,
            failure_domain=record.failure_domain,
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

    def resolve(self, region: str) -> tuple[str, ...]:
        """Return the gateway addresses for a client of a region."""
        listed = self.presence.listed_gateways(self._clock.monotonic())
        return choose_gateways(listed, region, MAX_RESOLVED_ADDRESSES)

    def serving_config(self) -> ServingConfig | None:
        """Return the configuration applied here, or None before the first."""
        fleet = self._node.machine.fleet
        decoded_version = self._cfg.version if self._cfg else 0
        if fleet.version > decoded_version:
            decoded = self._decode(fleet.document)
            if isinstance(decoded, Bad):
                logging.error(
                    "configuration in force cannot be decoded, "
                    "keeping the previous one: %s",
                    decoded.failure(),
                )
                return self._cfg
            self._cfg = decoded.unwrap()
        return self._cfg

    def wall_s(self) -> float:
        """Return the Unix time that a majority of hosts agrees on."""
        wall_s = self._clock.utcnow().timestamp()
        return self._wall_time.correct(wall_s, self._clock.monotonic())

    # Used by the RPC server for gateways and other replicas

    def sync(self, message: GatewaySync) -> SyncReply:
        """Record the state of a gateway and return the reply to it."""
        now = self._clock.monotonic()
        wall_s = self._clock.utcnow().timestamp()
        self.presence.observe(message, now)
        self._wall_time.observe(
            message.gateway.id, message.wall_s, wall_s, now
        )
        fleet = self._node.machine.fleet
        has_lease = self._node.has_lease()
        newer = fleet.version > message.version
        changed = fleet.revision > message.revision
        cfg = self.serving_config()
        customers = cfg.customers if cfg else ()
        grants = {}
        if has_lease:
            grants = self._limits.grant(
                customers,
                message.needed,
                message.prefetch,
                self.presence.silent_share(fleet.gateways, now),
                now,
            )
        return SyncReply(
            led=has_lease,
            leader=self._node.leader_address(),
            stale_s=self._node.stale_s(),
            version=fleet.version,
            revision=fleet.revision,
            gateways=len(self.presence.known_gateways(fleet.gateways)),
            controls=tuple(v.address for v in self._node.raft.log.voters),
            document=fleet.document if newer else None,
            endpoints=fleet.endpoints() if changed else None,
            loads=self.presence.loads(message.gateway.id, now),
            wall_s=wall_s,
            granting=has_lease and self._limits.is_granting(now),
            grants=grants,
            waits=self._limits.waits(customers) if has_lease else {},
        )

    def receive_heartbeats(self, message: Heartbeats) -> None:
        """Record heartbeats that a follower has forwarded."""
        for heartbeat in message.beats:
            self._record_heartbeat(heartbeat)

    def answer_read(self) -> ServingDocument:
        """Return the document for another replica.

        Raises NotLeader, or NotReady if there is no document yet.
        """
        document = self._read_under_lease()
        if isinstance(document, Bad):
            raise document.failure()
        return document.unwrap()

    # Periodic work

    async def run(self) -> None:
        """Forward heartbeats as follower, expire endpoints as leader."""
        while True:
            await anyio.sleep(HEARTBEAT_FORWARD_INTERVAL_S)
            if self._node.has_lease():
                await self._expire_endpoints()
                await self._update_gateways()
                continue
            self._leading_since = None
            if not self._node.raft.is_leader:
                self._limits.step_down()
                await self._forward_heartbeats()

    def _read_under_lease(self) -> Result[ServingDocument, Failure]:
        fleet = self._node.machine.fleet
        if not self._node.has_lease():
            return Bad(NotLeader(leader=self._node.leader_address()))
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

    def _update_leader_addresses(self) -> None:
        leader_address = self._node.leader_address()
        others = (v.address for v in self._node.raft.log.voters)
        own_address = self._node.local_voter.address
        first = (leader_address,) if leader_address else ()
        self._leader.addresses = tuple(
            dict.fromkeys((*first, *(a for a in others if a != own_address)))
        )

    def _record_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._last_heartbeats[heartbeat.endpoint] = (
            heartbeat.born_ms,
            self._clock.monotonic(),
        )
        self._unforwarded_heartbeats[heartbeat.endpoint] = heartbeat

    async def _forward_heartbeats(self) -> None:
        leader = self._node.leader_address()
        if not leader or not self._unforwarded_heartbeats:
            return
        beats, self._unforwarded_heartbeats = self._unforwarded_heartbeats, {}
        reply = await self._clients.at(leader).call(
            Heartbeats(beats=tuple(beats.values())),
            HEARTBEAT_FORWARD_TIMEOUT_S,
        )
        if isinstance(reply, Bad):
            logging.info(
                "heartbeats not forwarded to the leader: %s", reply.failure()
            )

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
                await self._node.submit(AnnounceEndpoint(endpoint=silent))
                self._events.emit("endpoint_silent", endpoint=record.id)


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
    )
