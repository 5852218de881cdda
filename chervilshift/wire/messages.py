"""Messages between the processes of the system.

All requests and replies go through one gRPC method, each in an `Envelope`.
The type of its body tells what is requested.
"""

import msgspec

from chervilshift.core.commands import (
    Command,
    CommandReply,
    ConfigDocument,
)
from chervilshift.core.fleet.sync import (
    FindOrigin,
    GatewaySync,
    OriginFound,
    ReadOrigin,
    ReadRollout,
    ReadServing,
    RecordStreams,
    Relay,
    RelayReply,
    RolloutFound,
    ServingDocument,
    StreamsRecorded,
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
    """Raft messages for one replica, in order.

    The reply is a batch of the answers to them if the sender `takes_answers`;
    earlier releases don't.
    """

    messages: tuple[
        RequestVote
        | VoteReply
        | Append
        | AppendReply
        | InstallSnapshot
        | TimeoutNow,
        ...,
    ]
    takes_answers: bool = False


class Join(Message):
    """Ask for a newly formatted replica to be added to the group."""

    voter: Voter


class Submit(Message):
    """Commit a command through the leader."""

    command: Command


class SubmitReply(Message):
    """The reply of an applied command."""

    reply: CommandReply


class WatchConfig(Message):
    """Ask for a configuration newer than `version`, waiting up to `wait_s`."""

    version: int
    wait_s: float


class WatchReply(Message):
    """The newest configuration that a replica knows.

    It was known to be current `stale_s` ago. `document` is None if `version`
    is not newer than that of the request.
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
    """Ask for the `last` most recent accepted configuration changes."""

    last: int


class History(Message):
    """Accepted configuration changes, oldest first."""

    changes: tuple[Change, ...]


class GetControlStatus(Message):
    """Ask a replica for its state."""


class ControlStatus(Message):
    """The state of one replica.

    `commit` is the index of its last committed log entry, `version` the
    configuration in force, known to be current `stale_s` ago. `fence` is
    the last fencing token, `ledger_records` the number of ledger records.
    """

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
    """A reply without content."""


class FailureReply(Message):
    """A failure, by the name of its class in `errors` and its fields."""

    name: str
    fields: dict[str, object] = {}


class Envelope(Message):
    """One request or reply; `hlc` is a stamp of the sender's HybridClock."""

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
        | Relay
        | RelayReply
        | ReadServing
        | ServingDocument
        | ReadRollout
        | RolloutFound
        | RecordStreams
        | StreamsRecorded
        | FindOrigin
        | ReadOrigin
        | OriginFound
        | Ack
        | FailureReply
    )


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Envelope)
