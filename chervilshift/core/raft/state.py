"""Roles, timings and records shared by the modules of this package."""

from chervilshift.core.message import Message
from chervilshift.core.raft.messages import LogEntry, RaftMessage, Snapshot

__all__ = ["CANDIDATE", "FOLLOWER", "LEADER", "HardState", "Ready", "Timing"]

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

# Default of the election timeout, which is drawn at random from this range.
ELECTION_TIMEOUT_MIN_S = 1.0
ELECTION_TIMEOUT_MAX_S = 2 * ELECTION_TIMEOUT_MIN_S
# A snapshot without a reply is sent again after this time.
SNAPSHOT_RETRY_S = 2.0
# A learner that is at most this far behind the log may become a voter.
LEARNER_MAX_LAG_ENTRIES = 16
# A voter that has not replied for this time is considered lost. Longer than
# restarts and short network partitions.
VOTER_REMOVE_TIMEOUT_S = 10.0


class Timing:
    """Timeouts of a replica in seconds, derived from the election timeout.

    For `election_timeout_min_s` after a message from the leader a voter
    refuses other candidates; it starts an election itself after at most twice
    that time. The lease is shorter than the time for which voters refuse
    candidates, so two leaders never hold one at once. Several heartbeats fit
    into a lease, so losing one message does not end it. A campaign takes
    `campaign_s`, two round trips, for which other candidates wait. A replica
    that hears from no leader for `rejoin_after_s`, longer than an election
    takes, asks to join again, as it may have been removed from the voter set.
    """

    __slots__ = (
        "campaign_s",
        "election_timeout_max_s",
        "election_timeout_min_s",
        "heartbeat_interval_s",
        "lease_duration_s",
        "rejoin_after_s",
    )

    def __init__(
        self, *, election_timeout_min_s: float = ELECTION_TIMEOUT_MIN_S
    ):
        self.election_timeout_min_s = election_timeout_min_s
        self.election_timeout_max_s = 2 * election_timeout_min_s
        self.campaign_s = 0.5 * election_timeout_min_s
        self.heartbeat_interval_s = 0.2 * election_timeout_min_s
        self.lease_duration_s = 0.8 * election_timeout_min_s
        self.rejoin_after_s = 2 * self.election_timeout_max_s


class HardState(Message):
    """Durable state besides the log: the term and the vote in this term.

    `commit` may lag behind the commit index. After a restart, entries up to
    it are applied at once and later ones when a leader has confirmed them.
    """

    term: int = 0
    vote: str = ""
    commit: int = 0


class Ready:
    """Output of `Raft.take_ready`: save the state first, then send.

    `hard_state` is None if term and vote are unchanged. Its `commit` is not
    set; the caller may save the current commit index in its place.
    """

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
        """Whether there is state to make durable before sending."""
        return bool(self.hard_state or self.entries or self.snapshot)
