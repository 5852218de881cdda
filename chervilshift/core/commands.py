"""Commands of the replicated state machine and their replies."""

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
from chervilshift.core.message import Message

__all__ = [
    "AdvanceTime",
    "ApplyConfig",
    "Applied",
    "Claim",
    "ClaimReply",
    "Command",
    "CommandReply",
    "ConfigDocument",
    "Conflict",
    "Fenced",
    "IssueFence",
    "Ok",
    "Reused",
    "Settle",
]


class ConfigDocument(Message):
    """Configuration sources: the base file and each site's overlay.

    Texts are YAML; file names are stored for use in error messages.
    """

    base_name: str
    base: str
    overlays: dict[str, str] = {}


class ApplyConfig(Message):
    """Activate a configuration if `base_version` is still current."""

    change_id: str
    base_version: int
    document: ConfigDocument
    operator: str = ""


class Claim(Message):
    """Reserve the right to send one call that may not be repeated.

    `attempt` is unique to this claim's caller; `digest` is "SERVICE/" and a
    hash of the request. Keys of different customers are independent.
    """

    customer: str
    key: str
    digest: str
    owner: str
    attempt: str


class Settle(Message):
    """Record the outcome of a claimed call.

    `outcome` is `done`, `not_run` or `unknown`; `not_run` frees the key only
    if it comes from the owner of the attempt.
    """

    customer: str
    key: str
    owner: str
    attempt: str
    outcome: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    truncated: bool = False


class IssueFence(Message):
    """Request a fencing token that is larger than all previous ones."""

    holder: str


class AdvanceTime(Message):
    """Advance log time by the seconds that the leader's clock measured."""

    elapsed_s: float


class Applied(Message):
    """The change was accepted as `version`."""

    version: int


class Conflict(Message):
    """The change was rejected: its base version is not the current one.

    `winner` is the id of the change that was accepted instead.
    """

    base_version: int
    version: int
    winner: str


class Reused(Message):
    """The change id or key was used before with different content."""

    name: str


class ClaimReply(Message):
    """The reply to a claim.

    `granted` is true only for the attempt that may send the call. Otherwise
    `state` is `claimed`, `done`, `unknown` or `refused`; the other fields
    are the stored response of a `done` call.
    """

    granted: bool
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    truncated: bool = False


class Fenced(Message):
    """A fencing token."""

    token: int


class Ok(Message):
    """The command was applied; there is no result."""


Command = (
    ApplyConfig
    | Claim
    | Settle
    | IssueFence
    | AdvanceTime
    | AcceptServing
    | AnnounceEndpoint
    | CommitUsage
    | NoteGateways
    | NoteLeaving
    | NoteLimits
    | NoteStreams
    | NoteCrashes
    | ClearParts
    | QuarantineParts
    | ReleaseParts
    | ExpireParts
    | StartTrial
    | StartRollout
    | AdvanceRollout
    | EndRollout
)
CommandReply = (
    Applied
    | Conflict
    | Reused
    | ClaimReply
    | Fenced
    | Ok
    | ServingAccepted
    | EndpointKnown
    | UsageCommitted
    | GatewaysNoted
    | LeavingNoted
    | LimitsNoted
    | StreamsNoted
    | CrashesNoted
    | RolloutStarted
    | RolloutChanged
)
