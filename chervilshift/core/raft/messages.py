"""Messages and stored records of the Raft protocol."""

import msgspec

from chervilshift.core.message import Message

__all__ = [
    "Append",
    "AppendReply",
    "InstallSnapshot",
    "LogEntry",
    "RaftMessage",
    "RequestVote",
    "Snapshot",
    "TimeoutNow",
    "VoteReply",
    "Voter",
]

# Kinds of log entry: a state machine command, the empty entry that opens a
# term, and a new voter set.
COMMAND = "command"
NOOP = "noop"
VOTERS = "voters"


class Voter(Message):
    """A replica: its name, its incarnation and its RPC address.

    The incarnation is generated when the data folder is formatted. A replica
    that lost its disk, and with it its vote, is therefore a different voter.
    """

    name: str
    incarnation: str
    address: str
    failure_domain: str

    @property
    def id(self) -> str:
        """Identifier in the protocol, from name and incarnation."""
        return f"{self.name}~{self.incarnation}"


class LogEntry(Message):
    """Entry of the log; `kind` determines the encoding of `data`."""

    index: int
    term: int
    kind: str = COMMAND
    data: bytes = b""


class Snapshot(Message):
    """State after applying the log up to and including `index`."""

    index: int = 0
    term: int = 0
    voters: tuple[Voter, ...] = ()
    data: bytes = b""


class _Addressed(Message):
    src: str
    dst: str
    term: int


class _Introduced(_Addressed, kw_only=True):
    """A message that opens an exchange.

    `sender` has the address for the reply: the receiver's own voter set may
    be too old to list the sender. It is None from releases before this field.
    """

    sender: Voter | None = None


class RequestVote(_Introduced):
    """Request for a vote.

    `pre` marks a pre-vote: it asks whether a vote would be granted and
    changes no state. `transfer` marks an election that the leader requested
    with `TimeoutNow`.
    """

    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


class VoteReply(_Addressed):
    """Reply to `RequestVote`."""

    granted: bool
    pre: bool = False


class Append(_Introduced):
    """Replicates entries; a heartbeat if there are none.

    `sent_at` is the leader's monotonic time in seconds, returned in the
    reply. `lease_age_s` is the time since a quorum last confirmed the leader.
    """

    prev_index: int
    prev_term: int
    commit: int
    sent_at: float
    lease_age_s: float = 0.0
    entries: tuple[LogEntry, ...] = ()


class AppendReply(_Addressed):
    """Reply to `Append` and `InstallSnapshot`.

    If `ok`, `match` is the last index at which both logs are known to agree;
    otherwise the leader should continue after index `match`.
    """

    ok: bool
    match: int
    sent_at: float


class InstallSnapshot(_Introduced):
    """Replaces the log of a replica that is too far behind."""

    snapshot: Snapshot
    sent_at: float


class TimeoutNow(_Addressed):
    """Asks a voter that has caught up to start an election at once."""


RaftMessage = (
    RequestVote
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | TimeoutNow
)


def initial_snapshot(voters: tuple[Voter, ...]) -> Snapshot:
    """Return the snapshot a new replica starts from.

    For the first voters of a cluster it sets the voter set at index 1. A
    replica that joins later passes no voters, starts with an empty log and
    receives a snapshot from the leader.
    """
    return Snapshot(index=1, voters=voters) if voters else Snapshot()


def encode_voters(voters: tuple[Voter, ...]) -> bytes:
    """Encode the data of a `VOTERS` entry."""
    return msgspec.msgpack.encode(voters)


def decode_voters(data: bytes) -> tuple[Voter, ...]:
    """Decode the data of a `VOTERS` entry."""
    return msgspec.msgpack.decode(data, type=tuple[Voter, ...])
