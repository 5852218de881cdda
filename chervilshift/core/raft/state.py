"""States, timings and records that the parts of a replica share."""

from chervilshift.core.message import Message
from chervilshift.core.raft.messages import LogEntry, RaftMessage, Snapshot

__all__ = ["CANDIDATE", "FOLLOWER", "LEADER", "HardState", "Ready", "Timing"]

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

# Unless settings say otherwise.
ELECTION_MIN_S = 1.0
ELECTION_MAX_S = 2 * ELECTION_MIN_S
SNAPSHOT_RETRY_S = 2.0
CAUGHT_UP_ENTRIES = 16
# A voter that is silent for longer than restarts and short cuts last is
# taken for gone.
VOTER_REMOVE_TIMEOUT_S = 10.0
# The smallest set that survives the loss of one voter.
MIN_VOTERS = 3


class Timing:
    """How soon replicas act when they hear nothing; all in seconds.

    A voter hears a leader out for `election_min_s` and stands for election
    by twice that time. The lease is shorter than the time for which voters
    refuse other candidates; several heartbeats fit into it, so that one
    that is lost and sent again costs no lease. A replica that hears from no
    leader for longer than an election takes asks whether it was removed.
    """

    __slots__ = (
        "rejoin_after_s",
        "election_max_s",
        "election_min_s",
        "heartbeat_s",
        "lease_s",
    )

    def __init__(self, *, election_min_s: float = ELECTION_MIN_S):
        self.election_min_s = election_min_s
        self.election_max_s = 2 * election_min_s
        self.heartbeat_s = 0.2 * election_min_s
        self.lease_s = 0.8 * election_min_s
        self.rejoin_after_s = 2 * self.election_max_s


class HardState(Message):
    """What a replica must not forget: its term and its vote in it.

    `commit` may lag: what is known to be committed is served at once after
    a restart, the rest once a leader has confirmed it.
    """

    term: int = 0
    vote: str = ""
    commit: int = 0


class Ready:
    """Work for the driver: save first, then send."""

    __slots__ = ("entries", "hard_state", "messages", "snapshot")

    def __init__(
        self,
        *,
        hard_state: HardState | None,
        entries: tuple[LogEntry, ...],
        snapshot: Snapshot | None,
        messages: tuple[RaftMessage, ...],
    ):
        self.hard_state = hard_state
        self.entries = entries
        self.snapshot = snapshot
        self.messages = messages

    @property
    def must_save(self) -> bool:
        """Whether anything has to be durable before the messages go."""
        return bool(self.hard_state or self.entries or self.snapshot)
