"""Queue of an entry: two priority classes, fair between customers."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from itertools import chain

from chervilshift.core.jobs import Job

__all__ = ["FairQueue"]

# Tokens that a customer with share 1.0 gets in each round.
QUANTUM_TOKENS = 512
# A long job that has waited for this time takes precedence over short ones.
LONG_OVERDUE_S = 10.0


class _CustomerQueue:
    """The queued jobs of one customer in one class.

    `deficit_tokens` is what the customer has left in the current round,
    negative after a job that cost more.
    """

    __slots__ = ("deficit_tokens", "jobs")

    def __init__(self):
        self.jobs: deque[Job] = deque()
        self.deficit_tokens = 0.0


class _DeficitRoundRobin:
    """Deficit round robin between customers, by tokens and share.

    Customers are ordered by turn, the next one first.
    """

    __slots__ = ("_queues",)

    def __init__(self):
        self._queues: OrderedDict[str, _CustomerQueue] = OrderedDict()

    def __iter__(self) -> Iterator[Job]:
        return chain.from_iterable(
            queue.jobs for queue in self._queues.values()
        )

    def push(self, job: Job, *, front: bool) -> None:
        queue = self._queues.get(job.customer)
        if queue is None:
            queue = self._queues[job.customer] = _CustomerQueue()
        if front:
            queue.jobs.appendleft(job)
        else:
            queue.jobs.append(job)

    def shares(self) -> dict[str, tuple[int, float]]:
        return {
            customer: (len(queue.jobs), queue.jobs[0].share)
            for customer, queue in self._queues.items()
        }

    def heads(self) -> tuple[Job, ...]:
        """Return each customer's first job, that of the next in turn first."""
        return tuple(queue.jobs[0] for queue in self._queues.values())

    def dequeue(self, job: Job) -> None:
        """Remove the job and charge its cost to its customer."""
        queue = self._queues[job.customer]
        queue.jobs.remove(job)
        queue.deficit_tokens -= job.cost_tokens
        if not queue.jobs:
            del self._queues[job.customer]
            return
        if queue.deficit_tokens <= 0:
            queue.deficit_tokens += QUANTUM_TOKENS * job.share
            self._queues.move_to_end(job.customer)

    def remove(self, job: Job) -> bool:
        queue = self._queues.get(job.customer)
        if queue is None or job not in queue.jobs:
            return False
        queue.jobs.remove(job)
        if not queue.jobs:
            del self._queues[job.customer]
        return True


class FairQueue:
    """Short jobs before long ones, customers in turn within each class."""

    __slots__ = ("_counts", "_long", "_short")

    def __init__(self):
        self._short = _DeficitRoundRobin()
        self._long = _DeficitRoundRobin()
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(self._counts.values())

    def __iter__(self) -> Iterator[Job]:
        return chain(self._short, self._long)

    def waiting(self, customer: str) -> int:
        """Return the number of a customer's queued jobs."""
        return self._counts.get(customer, 0)

    def short_shares(self) -> dict[str, tuple[int, float]]:
        """Return each customer's number of queued short jobs and its share."""
        return self._short.shares()

    def push(self, job: Job, *, front: bool = False) -> None:
        """Add a job, before its customer's others if `front`."""
        self._class_of(job).push(job, front=front)
        self._counts[job.customer] = self.waiting(job.customer) + 1

    def heads(self, now: float) -> Iterator[Job]:
        """Yield the jobs that may be dequeued next, by precedence."""
        long_heads = self._long.heads()
        not_overdue = tuple(
            job for job in long_heads if now - job.arrived_at < LONG_OVERDUE_S
        )
        overdue = tuple(
            job for job in long_heads if now - job.arrived_at >= LONG_OVERDUE_S
        )
        return chain(overdue, self._short.heads(), not_overdue)

    def dequeue(self, job: Job) -> None:
        """Remove a job that is sent to an endpoint."""
        self._class_of(job).dequeue(job)
        self._decrement(job)

    def remove(self, job: Job) -> bool:
        """Remove a cancelled or expired job; return whether it was queued."""
        removed = self._class_of(job).remove(job)
        if removed:
            self._decrement(job)
        return removed

    def _class_of(self, job: Job) -> _DeficitRoundRobin:
        return self._long if job.long else self._short

    def _decrement(self, job: Job) -> None:
        self._counts[job.customer] -= 1
        if not self._counts[job.customer]:
            del self._counts[job.customer]
