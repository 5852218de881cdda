"""Messages and records of the consensus protocol."""

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

COMMAND = "command"
NOOP = "noop"
VOTERS = "voters"


class Voter(Message):
    """One replica: its name, its incarnation and where it listens.

    The incarnation is drawn when a replica's disk is formatted, so a replica
    that lost its disk is a different voter.
    """

    name: str
    incarnation: str
    address: str
    failure_domain: str

    @property
    def id(self) -> str:
        """Identity in the protocol: name and incarnation."""
        return f"{self.name}~{self.incarnation}"


class LogEntry(Message):
    """One position of the log; `kind` says how to read `data`."""

    index: int
    term: int
    kind: str = COMMAND
    data: bytes = b""


class Snapshot(Message):
    """The applied state up to `index`, which replaces the log before it."""

    index: int = 0
    term: int = 0
    voters: tuple[Voter, ...] = ()
    data: bytes = b""


class _Addressed(Message):
    src: str
    dst: str
    term: int


class RequestVote(_Addressed):
    """Ask for a vote; `pre` asks only whether one would be granted.

    `transfer` marks an election that the current leader asked for.
    """

    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


class VoteReply(_Addressed):
    """Answer to `RequestVote`."""

    granted: bool
    pre: bool = False


class Append(_Addressed):
    """Replicate entries; without entries a heartbeat.

    `sent_at` is the leader's monotonic time, echoed in the reply.
    `lease_age_s` is how long ago a quorum last confirmed the leader.
    """

    prev_index: int
    prev_term: int
    commit: int
    sent_at: float
    lease_age_s: float = 0.0
    entries: tuple[LogEntry, ...] = ()


class AppendReply(_Addressed):
    """Answer to `Append` and `InstallSnapshot`.

    On success `match` is the last index known to be equal; on refusal it is
    the index from which the leader should try again.
    """

    ok: bool
    match: int
    sent_at: float


class InstallSnapshot(_Addressed):
    """Replace a lagging replica's log by a snapshot."""

    snapshot: Snapshot
    sent_at: float


class TimeoutNow(_Addressed):
    """Ask a caught-up voter to start an election at once."""


RaftMessage = (
    RequestVote
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | TimeoutNow
)


def first_snapshot(voters: tuple[Voter, ...]) -> Snapshot:
    """Return what a replica starts from: position 1 sets the first voters.

    A replica that joins later starts from nothing and is sent a snapshot.
    """
    return Snapshot(index=1, voters=voters) if voters else Snapshot()


def encode_voters(voters: tuple[Voter, ...]) -> bytes:
    """Return the data of a `VOTERS` entry."""
    return msgspec.msgpack.encode(voters)


def decode_voters(data: bytes) -> tuple[Voter, ...]:
    """Return the voters in the data of a `VOTERS` entry."""
    return msgspec.msgpack.decode(data, type=tuple[Voter, ...])
