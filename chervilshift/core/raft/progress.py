"""What a leader knows about one replica."""

from chervilshift.core.raft.messages import Voter

__all__ = ["Progress"]


class Progress:
    """Replication state of one peer as its leader sees it.

    `acked_at` is the send time of the newest message the peer answered, in
    the leader's monotonic seconds.
    """

    __slots__ = (
        "acked_at",
        "match_index",
        "next_index",
        "snapshot_sent_at",
        "voter",
    )

    def __init__(self, *, voter: Voter, next_index: int, now: float):
        self.voter = voter
        self.next_index = next_index
        self.match_index = 0
        self.acked_at = now
        self.snapshot_sent_at: float | None = None
