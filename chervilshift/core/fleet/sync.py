"""Messages that synchronize gateways, control replicas and the leader."""

from chervilshift.core.fleet.crashes import Crash, Suspicion
from chervilshift.core.fleet.endpointlimits import StatedLimit
from chervilshift.core.fleet.model import EndpointRecord
from chervilshift.core.fleet.news import FleetNews, Observed
from chervilshift.core.fleet.origins import Origin, OriginBatch
from chervilshift.core.fleet.usage import UsageEntry
from chervilshift.core.fleet.versions import Rollout
from chervilshift.core.message import Message

__all__ = [
    "ControlInfo",
    "EndpointLoad",
    "FindOrigin",
    "GatewayInfo",
    "GatewaySync",
    "GatewaysDelta",
    "Heartbeat",
    "LoadsDelta",
    "OriginFound",
    "ReadOrigin",
    "ReadRollout",
    "ReadServing",
    "RecordStreams",
    "Relay",
    "RelayReply",
    "RolloutFound",
    "ServingDocument",
    "StreamsRecorded",
    "SyncReply",
    "Unchanged",
]


class GatewayInfo(Message):
    """One gateway process; clients may connect to it if `ready`."""

    id: str
    incarnation: str
    address: str
    failure_domain: str
    region: str
    ready: bool


class ControlInfo(Message):
    """One control process; the places are empty if they are not known."""

    address: str
    failure_domain: str = ""
    region: str = ""


class EndpointLoad(Message, tag=False, array_like=True):
    """Requests of one or more gateways in flight at one endpoint.

    `active` is the number of requests, `prefill_tokens` the prompt tokens
    whose prefill is not known to be done.
    """

    active: int = 0
    prefill_tokens: int = 0


class LoadsDelta(Message):
    """Changes of the load of all gateways by endpoint id.

    `source` names the table that `cursor` belongs to. With `full`, endpoints
    that `loads` lacks have no load; None is no load either.
    """

    source: str
    cursor: int
    full: bool = False
    loads: dict[str, EndpointLoad | None] = {}


class GatewaysDelta(Message):
    """Changes of the gateways that clients may connect to, by id.

    The fields are those of `LoadsDelta`; None is a gateway that has left.
    """

    source: str
    cursor: int
    full: bool = False
    gateways: dict[str, GatewayInfo | None] = {}


class GatewaySync(Message):
    """State report of one gateway to a control process.

    `seq` orders the reports of one incarnation, `interval_s` is the time
    until the next. `version` and `revision` are the configuration and the
    endpoint list that the gateway has, `loads_source` and `loads_cursor` the
    last `LoadsDelta` that it received, and `controls` the digest of the
    control processes that it knows. `loads`, by endpoint id, and `usage`, the
    requests started per window and customer since the process started, are
    totals, not increments, of this gateway only. `usage` always has the newest
    windows and the others from time to time; `usage_window` is the one that
    had not ended. `reading` is the uncached prompt tokens per second sent to
    engines, by service. `needed` is the amount of each customer's limit that
    requests wait for, also of endpoints' limits, `prefetch` the amount that
    may be granted in advance. `stated_limits` are limits of endpoints, by id,
    that the fleet's of `limits_revision` lack, and `leaving` the incarnations
    of endpoints, by id, that leave.
    `wall_s` is the gateway's Unix time. `suspicion_revision` is that of the
    last `Suspicion`; `crashes` are crashes of endpoints that the gateway saw,
    `answers` the Unix times of the last answers to requests with suspected
    prompt parts, and `refused` the quarantined parts that are still asked for.
    `observed` is what the leader's decisions are made from, and `news_id`
    names those that the gateway has. `rollouts_revision` is that of the
    rollouts that it follows.
    """

    gateway: GatewayInfo
    version: int
    revision: int
    seq: int = 0
    interval_s: float = 0.25
    loads_source: str = ""
    loads_cursor: int = 0
    controls: int = 0
    loads: dict[str, EndpointLoad] = {}
    usage: dict[int, dict[str, int]] = {}
    usage_window: int = 0
    reading: dict[str, float] = {}
    wall_s: float = 0.0
    needed: dict[str, float] = {}
    prefetch: dict[str, float] = {}
    suspicion_revision: int = 0
    crashes: tuple[Crash, ...] = ()
    answers: dict[str, float] = {}
    refused: tuple[str, ...] = ()
    limits_revision: int = 0
    stated_limits: dict[str, StatedLimit] = {}
    leaving: dict[str, int] = {}
    observed: Observed = Observed()
    news_id: str = ""
    rollouts_revision: int = 0


class SyncReply(Message):
    """Reply of a control process to one gateway's `GatewaySync`.

    `leader` is the leader's RPC address, empty if unknown, and `leader_age_s`
    the time since the leader had the state that the reply is made from, 0 from
    the leader itself. `document`, which is packed, `endpoints`, `suspicion`
    and `limits`, those of endpoints, are None if the gateway has the current
    ones; with `partial` the endpoints
    are those that have changed since the gateway's revision. `controls` is
    empty if the gateway knows the control processes.
    `loads` counts all gateways, this one as of its report `included_seq`.
    While `granting` is false, gateways continue with their fallback shares.
    `waits` is the seconds until an exhausted limit has room, by customer.
    `stale_s` is an upper bound on the age of the sender's replicated state,
    `wall_s` the Unix time that the sender's peers agree on, `gateways` the
    number of known gateways and `interval_s` the time until the next report.
    `mixed` are the services that had several versions a short time ago.
    `news` are the leader's decisions, made `news_age_s` ago, None if the
    gateway has them. `rollouts` are those of the log, None if it has them.
    """

    leader: str
    stale_s: float
    version: int
    revision: int
    gateways: int
    loads: LoadsDelta
    leader_age_s: float = 0.0
    controls: tuple[ControlInfo, ...] = ()
    document: bytes | None = None
    endpoints: tuple[EndpointRecord, ...] | None = None
    partial: bool = False
    included_seq: int = 0
    wall_s: float = 0.0
    granting: bool = False
    grants: dict[str, float] = {}
    waits: dict[str, float] = {}
    interval_s: float = 0.25
    suspicion: Suspicion | None = None
    limits: dict[str, StatedLimit] | None = None
    limits_revision: int = 0
    mixed: tuple[str, ...] = ()
    news: FleetNews | None = None
    news_age_s: float = 0.0
    rollouts: tuple[Rollout, ...] | None = None
    rollouts_revision: int = 0


class Heartbeat(Message):
    """Receipt of an endpoint's announcement at a control process."""

    endpoint: str
    born_ms: int


class Unchanged(Message, tag=False, array_like=True):
    """A report that equals the one relayed before but for its number.

    `relayed_seq` is the number of that one, `seq` the newest.
    """

    gateway: str
    incarnation: str
    relayed_seq: int
    seq: int


class Relay(Message):
    """What a follower passes on to the leader.

    `reports` are the gateways' reports that differ from those relayed
    before, `unchanged` names the others. `needed` and `prefetch` are the sums
    that the follower asks for on behalf of its gateways. The cursors are those
    of the last reply. `usage` are the gateways' counts that changed after the
    last relay, up to this process's `usage_revision`; the reports are without
    them. `beats` are the heartbeats of endpoints. With `grants_only` the rest
    is empty, and the reply has nothing but grants.
    """

    sender: ControlInfo
    grants_only: bool = False
    reports: tuple[GatewaySync, ...] = ()
    unchanged: tuple[Unchanged, ...] = ()
    needed: dict[str, float] = {}
    prefetch: dict[str, float] = {}
    loads_source: str = ""
    loads_cursor: int = 0
    gateways_cursor: int = 0
    usage: tuple[UsageEntry, ...] = ()
    usage_revision: int = 0
    usage_cursor: int = 0
    beats: tuple[Heartbeat, ...] = ()
    wall_s: float = 0.0
    news_id: str = ""


class RelayReply(Message):
    """The leader's reply to a `Relay`.

    `unknown` are the ids of unchanged reports that the leader does not have.
    `usage` are counts of gateways that ended or are silent, up to
    `usage_cursor`, so that a new leader has them.
    """

    loads: LoadsDelta = LoadsDelta(source="", cursor=0)
    gateways: GatewaysDelta = GatewaysDelta(source="", cursor=0)
    controls: tuple[ControlInfo, ...] = ()
    unknown: tuple[str, ...] = ()
    usage: tuple[UsageEntry, ...] = ()
    usage_cursor: int = 0
    granting: bool = False
    grants: dict[str, float] = {}
    waits: dict[str, float] = {}
    wall_s: float = 0.0
    news: FleetNews | None = None
    news_age_s: float = 0.0


class ReadServing(Message):
    """Request the active document from the leader, valid under its lease."""


class ServingDocument(Message):
    """The active document, packed between processes, and its version."""

    version: int
    document: bytes


class ReadRollout(Message):
    """Request a service's rollout from the leader, valid under its lease."""

    service: str


class RolloutFound(Message):
    """The newest rollout of a service, None if there was none."""

    rollout: Rollout | None = None


class RecordStreams(Message):
    """Record which versions began a gateway's streams."""

    batches: tuple[OriginBatch, ...]


class StreamsRecorded(Message):
    """The records of a `RecordStreams` are committed."""


class FindOrigin(Message):
    """Ask which version of one of these services began a stream.

    `key` is that of the stream, empty if its client did not name it.
    """

    key: bytes
    services: tuple[str, ...]


class ReadOrigin(Message):
    """Ask the leader, which answers under its lease."""

    question: FindOrigin


class OriginFound(Message):
    """The origins that a stream may have.

    They are those `recorded` for it, or else all versions that the services
    had while it may have begun.
    """

    origins: tuple[Origin, ...] = ()
    recorded: bool = False
