"""Admission control: refuses short jobs that would wait for too long."""

from chervilshift.core.jobs import Job
from chervilshift.core.queues import FairQueue
from chervilshift.core.rates import DecayingRate

__all__ = ["Admission"]

PLACEMENT_RATE_WINDOW_S = 2.0
# Lower bounds that apply while few jobs leave the queue.
MIN_QUEUED = 4
MIN_QUEUED_PER_CUSTOMER = 2


class Admission:
    """Bounds the queue of short jobs by the rate at which it empties.

    The queue may hold as many jobs as leave it within `max_wait_s`. Once it is
    half full, each customer may fill its own share of that number, but not
    the shares of others.
    """

    __slots__ = ("_placement_rate", "max_wait_s")

    def __init__(self, *, max_wait_s: float):
        self.max_wait_s = max_wait_s
        self._placement_rate = DecayingRate(window_s=PLACEMENT_RATE_WINDOW_S)

    def record_placement(self, job: Job, now: float) -> None:
        """Record that a job went from the queue to an endpoint."""
        if not job.long:
            self._placement_rate.add(now)

    def allows(self, job: Job, queue: FairQueue, now: float) -> bool:
        """Return whether a new job should be queued; long jobs always are."""
        if job.long:
            return True
        max_queued = max(
            MIN_QUEUED, self._placement_rate.value(now) * self.max_wait_s
        )
        shares = queue.short_shares()
        if sum(count for count, _ in shares.values()) < max_queued / 2:
            return True
        waiting, _ = shares.get(job.customer, (0, job.share))
        shares[job.customer] = (waiting, job.share)
        total_share = sum(share for _, share in shares.values())
        own_max_queued = max_queued * job.share / total_share
        return waiting < max(MIN_QUEUED_PER_CUSTOMER, own_max_queued)
