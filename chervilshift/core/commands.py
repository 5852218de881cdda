"""Commands of the replicated state machine and their replies."""

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

    Texts are YAML; names are kept so that faults can be shown with them.
    """

    base_name: str
    base: str
    overlays: dict[str, str] = {}


class ApplyConfig(Message):
    """Put a configuration in force if `base_version` is still current."""

    change_id: str
    base_version: int
    document: ConfigDocument
    operator: str = ""


class Claim(Message):
    """Reserve the right to send one call that may not be repeated.

    `attempt` is unique to the caller of this claim; `digest` is of the
    request. Keys belong to one customer.
    """

    customer: str
    key: str
    digest: str
    owner: str
    attempt: str


class Settle(Message):
    """Record the outcome of a claimed call.

    `outcome` is `done`, `not_run` or `unknown`; `not_run` is taken only
    from the owner of the attempt.
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
    """Ask for a fencing token larger than all before it."""

    holder: str


class AdvanceTime(Message):
    """Advance the log's own time by what the leader's clock measured."""

    elapsed_s: float


class Applied(Message):
    """The change is in force as `version`."""

    version: int


class Conflict(Message):
    """Another change was made from the same base version."""

    base_version: int
    version: int
    winner: str


class Reused(Message):
    """The id or key was used before with other content."""

    name: str


class ClaimReply(Message):
    """What the ledger knows about a claimed key.

    `granted` is true only for the attempt that may send. Otherwise `state`
    is `claimed`, `done`, `unknown` or `refused` with the stored answer.
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
    """The command was applied and has nothing to tell."""


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
)
