"""Commands of the replicated log that change `FleetState`, and replies."""

from chervilshift.core.fleet.crashes import Crash
from chervilshift.core.fleet.endpointlimits import StatedLimit
from chervilshift.core.fleet.model import EndpointRecord
from chervilshift.core.fleet.origins import OriginBatch
from chervilshift.core.fleet.versions import Rollout
from chervilshift.core.message import Message

__all__ = [
    "ACCEPTED",
    "AcceptServing",
    "AdvanceRollout",
    "AnnounceEndpoint",
    "CONFLICT",
    "ClearParts",
    "CommitUsage",
    "CrashesNoted",
    "EndRollout",
    "EndpointKnown",
    "ReleaseParts",
    "GatewaysNoted",
    "LeavingNoted",
    "LimitsNoted",
    "NoteCrashes",
    "NoteGateways",
    "NoteLeaving",
    "NoteLimits",
    "NoteStreams",
    "QuarantineParts",
    "ExpireParts",
    "RolloutChanged",
    "RolloutStarted",
    "SAME",
    "ServingAccepted",
    "StartRollout",
    "StartTrial",
    "StreamsNoted",
    "UNKNOWN_SERVICE",
    "UsageCommitted",
]

# What becomes of an order of a rollout.
ACCEPTED = "accepted"
SAME = "same"
CONFLICT = "conflict"
UNKNOWN_SERVICE = "unknown service"


class AcceptServing(Message):
    """Activate a packed serving document if its version is the highest.

    `services` are the names of its services.
    """

    version: int
    document: bytes
    services: tuple[str, ...] = ()


class AnnounceEndpoint(Message):
    """Record an endpoint's announcement unless a newer one is stored.

    `now_s` is Unix time.
    """

    endpoint: EndpointRecord
    now_s: float = 0.0


class CommitUsage(Message):
    """Store the usage counts of one window before they are reported.

    `window` is the index of the window (`usage.window_of`), `counts` the
    number of requests per customer.
    """

    window: int
    counts: dict[str, int]


class NoteGateways(Message):
    """Record the ids of all gateways.

    Each gateway's fallback share of a rate limit is computed from their
    number, so that the shares add up to the limit.
    """

    ids: tuple[str, ...]


class NoteLimits(Message):
    """Record the rate limits that endpoints stated, by endpoint id."""

    stated: dict[str, StatedLimit]


class NoteLeaving(Message):
    """Record that incarnations of endpoints, by endpoint id, leave."""

    born_ms: dict[str, int]


class LeavingNoted(Message):
    """The ids of the endpoints that were not known to leave before."""

    ids: tuple[str, ...]


class LimitsNoted(Message):
    """The log position of the last change to the endpoints' limits."""

    revision: int


class NoteStreams(Message):
    """Record which versions began streams; `now_s` is Unix time.

    Records that are older than `kept_s` are dropped.
    """

    batches: tuple[OriginBatch, ...]
    now_s: float
    kept_s: float


class StreamsNoted(Message):
    """The log position of the records."""

    revision: int


class NoteCrashes(Message):
    """Add crashes of endpoints and the prompt parts suspected of them."""

    crashes: tuple[Crash, ...]


class ClearParts(Message):
    """Clear prompt parts of the crashes before the Unix times by part."""

    answered: dict[str, float]


class QuarantineParts(Message):
    """Refuse requests with these prompt parts; `now_s` is Unix time."""

    parts: tuple[str, ...]
    now_s: float


class ReleaseParts(Message):
    """Accept requests with these prompt parts: others cause the crashes."""

    parts: tuple[str, ...]


class ExpireParts(Message):
    """Accept requests with these prompt parts until the next crash."""

    parts: tuple[str, ...]
    now_s: float


class StartTrial(Message):
    """Let one gateway send one request with a quarantined prompt part."""

    part: str
    gateway: str
    now_s: float


class StartRollout(Message):
    """Order that a service moves to the version `to`; `now_s` is Unix time.

    The same order as the last one of the service changes nothing.
    """

    service: str
    to: str
    ramp_s: float
    now_s: float


class AdvanceRollout(Message):
    """Move the rollout that was ordered at `order` to a stage and share."""

    service: str
    order: int
    stage: str
    share: float


class EndRollout(Message):
    """End the rollout that was ordered at `order`; `now_s` is Unix time."""

    service: str
    order: int
    state: str
    reason: str
    now_s: float


class RolloutStarted(Message):
    """What became of an order, one of the constants of this module.

    `rollout` is the service's, if the order is in force.
    """

    outcome: str
    rollout: Rollout | None = None


class RolloutChanged(Message):
    """The service's rollout after the command, 0 and empty without one."""

    order: int = 0
    state: str = ""
    stage: str = ""


class CrashesNoted(Message):
    """The log position of the last change to crashes and quarantine."""

    revision: int


class GatewaysNoted(Message):
    """The number of recorded gateways."""

    count: int


class ServingAccepted(Message):
    """The active version after the command."""

    version: int


class EndpointKnown(Message):
    """The stored state of the endpoint after the command.

    It is empty if there is no room for the endpoint.
    """

    state: str


class UsageCommitted(Message):
    """The counts that were committed first for the window."""

    window: int
    counts: dict[str, int]
