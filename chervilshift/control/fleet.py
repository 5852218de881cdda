"""Routed traffic at a control process: documents, endpoints, gateways."""

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

# An endpoint waits one second for the answer to an announcement.
ANNOUNCE_TIMEOUT_S = 0.9
# An operator waits one second, more for large documents.
CONFIG_TIMEOUT_S = 0.95
READ_TIMEOUT_S = 0.9
FORWARD_INTERVAL_S = 0.4
FORWARD_TIMEOUT_S = 0.8
# An endpoint is silent after this many missed announcements.
MISSED_BEATS = 3.5
# A replica out of touch for longer can't vouch for what it holds.
FRESH_S = 2.0
MAX_ADDRESSES = 64

Decode = Callable[[bytes], Result[ServingConfig, Failure]]


class FleetService:
    """Answers operators, endpoints, clients' lookups and gateways."""

    def __init__(
        self,
        *,
        node: Node,
        clients: Clients,
        decode: Decode,
        beat_s: float,
        limit_policy: LimitPolicy,
        clock: Clock,
        events: EventLog,
    ):
        self._node = node
        self._clients = clients
        self._decode = decode
        self._silent_after_s = MISSED_BEATS * beat_s
        self._clock = clock
        self._events = events
        self.presence = Presence()
        self._wall = WallTime()
        self._limits = LimitAllocator(policy=limit_policy)
        self._leader = LeaderClient(addresses=(), clients=clients, clock=clock)
        self._beats: dict[str, Heartbeat] = {}
        self._heard: dict[str, tuple[int, float]] = {}
        self._led_since: float | None = None
        self._cfg: ServingConfig | None = None

    # For the interfaces towards operators, endpoints and clients

    async def put_document(self, document: bytes) -> Result[int, Failure]:
        """Put a document in force; returns the version in force.

        A version that is not higher than the one held changes nothing.
        Fails with ConfigRefused, or with what kept it from being committed.
        """
        decoded = self._decode(document)
        if isinstance(decoded, Bad):
            self._events.emit("config_refused", reason=str(decoded.failure()))
            return decoded
        version = decoded.unwrap().version
        if version <= self._node.machine.fleet.version:
            return Success(self._node.machine.fleet.version)
        command = AcceptServing(version=version, document=document)
        reply = await self._submit(command, CONFIG_TIMEOUT_S)
        self._events.emit(
            "config_put", version=version, taken=not isinstance(reply, Bad)
        )
        return reply.map(lambda accepted: accepted.version)

    async def read_document(self) -> Result[ServingDocument, Failure]:
        """Return the document in force, confirmed by the leader's lease."""
        if self._node.raft.is_leader:
            return self._read_here()
        self._aim_at_leader()
        return await self._leader.call(ReadServing(), READ_TIMEOUT_S)

    async def announce(self, news: EndpointRecord) -> Result[None, Failure]:
        """Take an announcement; success means it can't be lost any more."""
        held = self._node.machine.fleet.endpoint(news.id)
        if held is not None and held.born_ms > news.born_ms:
            return Success(None)
        if held is not None and not _changes(held, news):
            if self._node.stale_s() > FRESH_S:
                return Bad(NotReady(reason="out of touch with the leader"))
            self._hear(Heartbeat(endpoint=news.id, born_ms=news.born_ms))
            return Success(None)
        reply = await self._submit(
            AnnounceEndpoint(endpoint=news), ANNOUNCE_TIMEOUT_S
        )
        self._events.emit(
            "endpoint",
            endpoint=news.id,
            state=news.state,
            service=news.service,
            address=news.address,
            failure_domain=news.failure_domain,
            spot=news.spot,
            leaves_s=news.leaves_s,
            taken=not isinstance(reply, Bad),
        )
        if isinstance(reply, Bad):
            return reply
        self._hear(Heartbeat(endpoint=news.id, born_ms=news.born_ms))
        return Success(None)

    def held_endpoint(self, endpoint_id: str) -> EndpointRecord | None:
        """Return what is held about an endpoint."""
        return self._node.machine.fleet.endpoint(endpoint_id)

    def resolve(self, region: str) -> tuple[str, ...]:
        """Return gateways' addresses for a client of a region."""
        listed = self.presence.listed_gateways(self._clock.monotonic())
        return choose_gateways(listed, region, MAX_ADDRESSES)

    def serving(self) -> ServingConfig | None:
        """Return the configuration in force here, or None before one is."""
        fleet = self._node.machine.fleet
        held = self._cfg.version if self._cfg else 0
        if fleet.version > held:
            decoded = self._decode(fleet.document)
            if isinstance(decoded, Bad):
                logging.error("held document: %s", decoded.failure())
                return self._cfg
            self._cfg = decoded.unwrap()
        return self._cfg

    def wall_s(self) -> float:
        """Return the Unix time that most hosts agree on."""
        wall_s = self._clock.utcnow().timestamp()
        return self._wall.correct(wall_s, self._clock.monotonic())

    # For the system's own processes

    def sync(self, message: GatewaySync) -> SyncReply:
        """Answer a gateway."""
        now = self._clock.monotonic()
        wall_s = self._clock.utcnow().timestamp()
        self.presence.observe(message, now)
        self._wall.observe(message.gateway.id, message.wall_s, wall_s, now)
        fleet = self._node.machine.fleet
        led = self._node.has_lease()
        newer = fleet.version > message.version
        changed = fleet.revision > message.revision
        cfg = self.serving()
        customers = cfg.customers if cfg else ()
        grants = {}
        if led:
            grants = self._limits.grant(
                customers,
                message.needed,
                message.prefetch,
                self.presence.silent_share(fleet.gateways, now),
                now,
            )
        return SyncReply(
            led=led,
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
            granting=led and self._limits.is_granting(now),
            grants=grants,
            waits=self._limits.waits(customers) if led else {},
        )

    def hear(self, message: Heartbeats) -> None:
        """Take signs of life that a follower heard."""
        for beat in message.beats:
            self._hear(beat)

    def read(self) -> ServingDocument:
        """Answer another replica's read; raises NotLeader."""
        document = self._read_here()
        if isinstance(document, Bad):
            raise document.failure()
        return document.unwrap()

    # The tasks

    async def run(self) -> None:
        """Pass heartbeats on and expire silent endpoints until cancelled."""
        while True:
            await anyio.sleep(FORWARD_INTERVAL_S)
            if self._node.has_lease():
                await self._expire()
                await self._note_gateways()
                continue
            self._led_since = None
            if not self._node.raft.is_leader:
                self._limits.step_down()
                await self._forward()

    def _read_here(self) -> Result[ServingDocument, Failure]:
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

        The commands of this service may be repeated.
        """
        if self._node.raft.is_leader:
            with anyio.move_on_after(timeout_s):
                return await self._node.submit(command)
            return Bad(NotReady(reason="not committed in time"))
        self._aim_at_leader()
        reply = await self._leader.call(Submit(command=command), timeout_s)
        return reply.map(lambda submitted: submitted.reply)

    def _aim_at_leader(self) -> None:
        known = self._node.leader_address()
        others = (v.address for v in self._node.raft.log.voters)
        mine = self._node.local_voter.address
        first = (known,) if known else ()
        self._leader.addresses = tuple(
            dict.fromkeys((*first, *(a for a in others if a != mine)))
        )

    def _hear(self, beat: Heartbeat) -> None:
        self._heard[beat.endpoint] = (beat.born_ms, self._clock.monotonic())
        self._beats[beat.endpoint] = beat

    async def _forward(self) -> None:
        leader = self._node.leader_address()
        if not leader or not self._beats:
            return
        beats, self._beats = self._beats, {}
        sent = await self._clients.at(leader).call(
            Heartbeats(beats=tuple(beats.values())), FORWARD_TIMEOUT_S
        )
        if isinstance(sent, Bad):
            logging.info("heartbeats not passed on: %s", sent.failure())

    async def _note_gateways(self) -> None:
        """Record new gateways, and drop those that were silent for long."""
        recorded = self._node.machine.fleet.gateways
        led_s = self._clock.monotonic() - self._led_since
        kept = recorded if led_s < GATEWAY_EXPIRY_S else ()
        known = self.presence.known_gateways(kept)
        if known != recorded:
            await self._node.submit(NoteGateways(ids=known))

    async def _expire(self) -> None:
        """Mark endpoints silent that no replica has heard from."""
        self._beats = {}
        now = self._clock.monotonic()
        if self._led_since is None:
            self._led_since = now
        for record in self._node.machine.fleet.endpoints():
            born_ms, at = self._heard.get(record.id, (0, self._led_since))
            heard_at = at if born_ms == record.born_ms else self._led_since
            quiet_s = now - max(heard_at, self._led_since)
            if record.state == READY and quiet_s > self._silent_after_s:
                silent = with_state(record, SILENT)
                await self._node.submit(AnnounceEndpoint(endpoint=silent))
                self._events.emit("endpoint_silent", endpoint=record.id)


def _changes(held: EndpointRecord, news: EndpointRecord) -> bool:
    """Whether an announcement says more than that the endpoint lives."""
    if news.born_ms != held.born_ms:
        return True
    if held.state == GONE:
        return False
    if news.state == READY and held.state == DRAINING:
        return False
    return (
        news.state != held.state
        or news.address != held.address
        or news.service != held.service
        or news.slots != held.slots
    )
