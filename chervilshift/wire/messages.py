"""Messages between the system's processes.

One gRPC method carries an `Envelope`; its body's type says what is asked.
"""

import msgspec

from chervilshift.core.commands import (
    Command,
    CommandReply,
    ConfigDocument,
)
from chervilshift.core.fleet.sync import (
    GatewaySync,
    Heartbeats,
    ReadServing,
    ServingDocument,
    SyncReply,
)
from chervilshift.core.machine import Change
from chervilshift.core.message import Message
from chervilshift.core.raft.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    RequestVote,
    TimeoutNow,
    Voter,
    VoteReply,
)
from chervilshift.core.records import (
    AppendRecord,
    FetchRecord,
    RecordReply,
    Takeover,
)
from chervilshift.core.registry import Delta, Pull

__all__ = [
    "Ack",
    "ControlStatus",
    "Envelope",
    "FailureReply",
    "GetControlStatus",
    "GetHistory",
    "History",
    "Join",
    "RaftBatch",
    "ReadVersion",
    "Submit",
    "SubmitReply",
    "Version",
    "WatchConfig",
    "WatchReply",
]


class RaftBatch(Message):
    """Consensus messages for one replica, in order."""

    messages: tuple[
        RequestVote
        | VoteReply
        | Append
        | AppendReply
        | InstallSnapshot
        | TimeoutNow,
        ...,
    ]


class Join(Message):
    """A freshly formatted replica asks to be replicated to."""

    voter: Voter


class Submit(Message):
    """Commit a command through the leader."""

    command: Command


class SubmitReply(Message):
    """The reply of an applied command."""

    reply: CommandReply


class WatchConfig(Message):
    """Wait up to `wait_s` for a configuration newer than `version`."""

    version: int
    wait_s: float


class WatchReply(Message):
    """The newest configuration known and how fresh that knowledge is.

    `document` is absent when `version` is not newer than the asked one.
    """

    version: int
    stale_s: float
    document: ConfigDocument | None = None


class ReadVersion(Message):
    """Ask the leader, under its lease, which version is in force."""


class Version(Message):
    """The version in force."""

    version: int


class GetHistory(Message):
    """Ask for the last accepted changes."""

    last: int


class History(Message):
    """Accepted changes, oldest first."""

    changes: tuple[Change, ...]


class GetControlStatus(Message):
    """Ask a replica for its state."""


class ControlStatus(Message):
    """One replica's state."""

    name: str
    role: str
    term: int
    commit: int
    leader: str
    version: int
    stale_s: float
    voters: tuple[Voter, ...]
    fence: int = 0
    ledger_records: int = 0


class Ack(Message):
    """Received."""


class FailureReply(Message):
    """A typed failure: its class name and its fields."""

    name: str
    fields: dict[str, object] = {}


class Envelope(Message):
    """One request or reply with the sender's event clock."""

    hlc: int
    body: (
        RaftBatch
        | Join
        | Submit
        | SubmitReply
        | WatchConfig
        | WatchReply
        | ReadVersion
        | Version
        | GetHistory
        | History
        | GetControlStatus
        | ControlStatus
        | Pull
        | Delta
        | AppendRecord
        | FetchRecord
        | RecordReply
        | Takeover
        | GatewaySync
        | SyncReply
        | Heartbeats
        | ReadServing
        | ServingDocument
        | Ack
        | FailureReply
    )


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Envelope)
