"""The queue before the endpoints: two classes, fair between customers."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from itertools import chain

from chervilshift.core.jobs import Job

__all__ = ["FairQueue"]

QUANTUM_TOKENS = 512
# A long job that has waited for this time goes before short ones.
LONG_PATIENCE_S = 10.0


class _Lane:
    """The waiting jobs of one customer in one class."""

    __slots__ = ("credit_tokens", "jobs")

    def __init__(self):
        self.jobs: deque[Job] = deque()
        self.credit_tokens = 0.0


class _FairLanes:
    """Deficit round robin between customers, by tokens and share."""

    __slots__ = ("_lanes",)

    def __init__(self):
        self._lanes: OrderedDict[str, _Lane] = OrderedDict()

    def __iter__(self) -> Iterator[Job]:
        return chain.from_iterable(lane.jobs for lane in self._lanes.values())

    def push(self, job: Job, *, front: bool) -> None:
        lane = self._lanes.get(job.customer)
        if lane is None:
            lane = self._lanes[job.customer] = _Lane()
        if front:
            lane.jobs.appendleft(job)
        else:
            lane.jobs.append(job)

    def shares(self) -> dict[str, tuple[int, float]]:
        return {
            customer: (len(lane.jobs), lane.jobs[0].share)
            for customer, lane in self._lanes.items()
        }

    def heads(self) -> tuple[Job, ...]:
        """Return each customer's first job, the next in turn first."""
        return tuple(lane.jobs[0] for lane in self._lanes.values())

    def charge(self, job: Job) -> None:
        """Take the job out and let its customer pay for it."""
        lane = self._lanes[job.customer]
        lane.jobs.remove(job)
        lane.credit_tokens -= job.cost_tokens
        if not lane.jobs:
            del self._lanes[job.customer]
            return
        if lane.credit_tokens <= 0:
            lane.credit_tokens += QUANTUM_TOKENS * job.share
            self._lanes.move_to_end(job.customer)

    def remove(self, job: Job) -> bool:
        lane = self._lanes.get(job.customer)
        if lane is None or job not in lane.jobs:
            return False
        lane.jobs.remove(job)
        if not lane.jobs:
            del self._lanes[job.customer]
        return True


class FairQueue:
    """Short work before long, and customers in turn within each class."""

    __slots__ = ("_count", "_long", "_short")

    def __init__(self):
        self._short = _FairLanes()
        self._long = _FairLanes()
        self._count: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(self._count.values())

    def __iter__(self) -> Iterator[Job]:
        return chain(self._short, self._long)

    def waiting(self, customer: str) -> int:
        """Return how many jobs of a customer wait."""
        return self._count.get(customer, 0)

    def short_shares(self) -> dict[str, tuple[int, float]]:
        """Return each customer's waiting short jobs and its share."""
        return self._short.shares()

    def push(self, job: Job, *, front: bool = False) -> None:
        """Add a job; `front` for one that had its turn already."""
        self._lanes(job).push(job, front=front)
        self._count[job.customer] = self.waiting(job.customer) + 1

    def heads(self, now: float) -> Iterator[Job]:
        """Yield the jobs that may go next, in order of precedence."""
        longs = self._long.heads()
        patient = tuple(
            job for job in longs if now - job.arrived_at < LONG_PATIENCE_S
        )
        overdue = tuple(
            job for job in longs if now - job.arrived_at >= LONG_PATIENCE_S
        )
        return chain(overdue, self._short.heads(), patient)

    def dequeue(self, job: Job) -> None:
        """Remove a job that goes to an endpoint."""
        self._lanes(job).charge(job)
        self._uncount(job)

    def remove(self, job: Job) -> bool:
        """Remove a job that was called off; tell whether it was there."""
        removed = self._lanes(job).remove(job)
        if removed:
            self._uncount(job)
        return removed

    def _lanes(self, job: Job) -> _FairLanes:
        return self._long if job.long else self._short

    def _uncount(self, job: Job) -> None:
        self._count[job.customer] -= 1
        if not self._count[job.customer]:
            del self._count[job.customer]
