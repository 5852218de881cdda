"""A leader's view of the replication to one peer."""

from chervilshift.core.raft.messages import Voter

__all__ = ["Progress"]


class Progress:
    """Replication state of one peer, voter or learner.

    `next_index` is the next entry to send and `match_index` the last one
    known to be stored by the peer. `acked_at` is the send time of the newest
    message that the peer replied to, and `snapshot_sent_at` that of a
    snapshot without a reply yet, both in the leader's monotonic seconds.
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
