"""Refuses early what would wait for too long, each customer in its share."""

from chervilshift.core.jobs import Job
from chervilshift.core.queues import FairQueue
from chervilshift.core.rates import DecayingRate

__all__ = ["Admission"]

RATE_WINDOW_S = 2.0
MIN_QUEUED = 4
MIN_QUEUED_PER_CUSTOMER = 2


class Admission:
    """Bounds the queue of short work by how fast it empties.

    `wait_s` is the longest wait that is worth queueing for. A customer may
    fill its share of the queue that this allows, and others' shares not.
    """

    __slots__ = ("_placed", "wait_s")

    def __init__(self, *, wait_s: float):
        self.wait_s = wait_s
        self._placed = DecayingRate(window_s=RATE_WINDOW_S)

    def record_placement(self, job: Job, now: float) -> None:
        """Note that a job went from the queue to an endpoint."""
        if not job.long:
            self._placed.add(now)

    def allows(self, job: Job, queue: FairQueue, now: float) -> bool:
        """Tell whether a new job should be queued."""
        if job.long:
            return True
        allowed = max(MIN_QUEUED, self._placed.value(now) * self.wait_s)
        shares = queue.short_shares()
        if sum(count for count, _ in shares.values()) < allowed / 2:
            return True
        waiting, _ = shares.get(job.customer, (0, job.share))
        shares[job.customer] = (waiting, job.share)
        total = sum(share for _, share in shares.values())
        own = allowed * job.share / total
        return waiting < max(MIN_QUEUED_PER_CUSTOMER, own)
