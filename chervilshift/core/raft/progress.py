"""What a leader knows about one replica."""

from chervilshift.core.raft.messages import Voter

__all__ = ["Progress"]


class Progress:
    """Replication state of one peer as its leader sees it.

    `acked_at` is the send time of the newest message the peer answered, in
    the leader's monotonic seconds.
    """

    __slots__ = ("acked_at", "match", "next", "snapshot_at", "voter")

    def __init__(self, *, voter: Voter, next_index: int, now: float):
        self.voter = voter
        self.next = next_index
        self.match = 0
        self.acked_at = now
        self.snapshot_at: float | None = None
