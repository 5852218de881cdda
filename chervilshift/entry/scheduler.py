"""The task that owns the dispatcher and assigns endpoints to requests."""

from random import Random

import anyio
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.config import Config, Routing
from chervilshift.core.budgets import RatioBudget
from chervilshift.core.dispatcher import Assignment, Dispatcher, Policy
from chervilshift.core.jobs import Job
from chervilshift.entry.directory import Directory
from chervilshift.errors import (
    AtCapacity,
    DeadlineExceeded,
    Failure,
    NoEndpoint,
)

__all__ = ["Scheduler"]

# Longest time between two attempts to assign queued jobs.
ASSIGN_INTERVAL_S = 0.05
ENDPOINT_REFRESH_INTERVAL_S = 0.25


class _Waiter:
    """The outcome that a queued job waits for: an endpoint or a failure."""

    __slots__ = ("_finished", "outcome")

    def __init__(self):
        self.outcome: Result[Assignment, Failure] | None = None
        self._finished = anyio.Event()

    def finish(self, outcome: Result[Assignment, Failure]) -> None:
        self.outcome = outcome
        self._finished.set()

    async def wait(self) -> Result[Assignment, Failure]:
        await self._finished.wait()
        return self.outcome


class Scheduler:
    """Admits and queues requests and assigns them as the dispatcher decides.

    `running_streams` is the number of running streams of each customer;
    `retry_budget` limits retries to a share of the requests.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        region: str,
        rng: Random,
    ):
        self.dispatcher = Dispatcher(policy=Policy(), region=region, rng=rng)
        self.retry_budget = RatioBudget(share=Routing().retry_share)
        self.running_streams: dict[str, int] = {}
        self._directory = directory
        self._waiters: dict[str, _Waiter] = {}
        self._wake = anyio.Event()
        self._load_seen_at: dict[str, float] = {}

    def configure(self, cfg: Config) -> None:
        """Apply the routing settings of a configuration."""
        self.dispatcher.policy.candidates = cfg.routing.candidates
        self.dispatcher.policy.long_share = cfg.routing.long_share
        self.dispatcher.admission.max_wait_s = cfg.routing.queue_wait_s
        self.retry_budget.share = cfg.routing.retry_share

    def admit(self, job: Job, cfg: Config) -> Result[None, Failure]:
        """Check whether a job may be queued.

        Fails with NoEndpoint or AtCapacity, before anything is sent.
        """
        customer = cfg.customers[job.customer]
        if not self.dispatcher.serves(job.target):
            # An endpoint may have been announced since the last refresh.
            self._refresh_endpoints()
        if not self.dispatcher.serves(job.target):
            return Bad(NoEndpoint(target=job.target))
        if self.dispatcher.queue.waiting(job.customer) >= customer.max_queued:
            return Bad(AtCapacity(customer=job.customer, reason="queue full"))
        if self.running_streams.get(job.customer, 0) >= customer.max_running:
            return Bad(
                AtCapacity(customer=job.customer, reason="too many running")
            )
        if not self.dispatcher.admits(job, self._directory.now()):
            return Bad(AtCapacity(customer=job.customer, reason="overload"))
        self.retry_budget.deposit()
        return Success(None)

    async def acquire(
        self, job: Job, *, front: bool = False
    ) -> Result[Assignment, Failure]:
        """Queue a job and wait for its endpoint.

        `front` puts it before other jobs. `release` must follow a success.
        Fails with DeadlineExceeded when the job's deadline passes first, or
        with NoEndpoint when its target has had no endpoint for some seconds
        (`Dispatcher.drop_unserved`).
        """
        waiter = _Waiter()
        self._waiters[job.id] = waiter
        self.dispatcher.reset_exclusions(job)
        self.dispatcher.submit(job, front=front)
        self._assign_jobs()
        try:
            return await waiter.wait()
        except anyio.get_cancelled_exc_class():
            self.dispatcher.cancel(job)
            raise
        finally:
            self._waiters.pop(job.id, None)

    def release(self, job: Job, produced_tokens: int | None = None) -> None:
        """Release a job's endpoint.

        `produced_tokens` is the length of a completed answer, else None.
        """
        self.dispatcher.job_ended(job.id, produced_tokens)
        self._wake.set()

    async def run(self) -> None:
        """Refresh endpoints and assign jobs until cancelled."""
        refresh_at = 0.0
        while True:
            now = self._directory.now()
            if now >= refresh_at:
                self._refresh_endpoints()
                refresh_at = now + ENDPOINT_REFRESH_INTERVAL_S
            self._assign_jobs()
            self._wake = anyio.Event()
            with anyio.move_on_after(ASSIGN_INTERVAL_S):
                await self._wake.wait()

    def _refresh_endpoints(self) -> None:
        now = self._directory.now()
        entries = len(self._directory.entries())
        self.dispatcher.policy.entry_count = max(1, entries)
        self.dispatcher.set_endpoints(self._directory.endpoints(), now)
        for endpoint, load, seen_at in self._directory.load_reports():
            if self._load_seen_at.get(endpoint) != seen_at:
                self._load_seen_at[endpoint] = seen_at
                self.dispatcher.update_load(endpoint, load, seen_at)

    def _assign_jobs(self) -> None:
        now = self._directory.now()
        for job in self.dispatcher.drop_expired(now):
            self._finish(job, Bad(DeadlineExceeded()))
        for job in self.dispatcher.drop_unserved(now):
            self._finish(job, Bad(NoEndpoint(target=job.target)))
        for assignment in self.dispatcher.assign(now):
            # The endpoint's lease may have expired since the last refresh,
            # so it is checked again at dispatch.
            if self._directory.usable_endpoint(assignment.endpoint) is None:
                self._requeue(assignment)
                continue
            self._finish(assignment.job, Success(assignment))

    def _requeue(self, assignment: Assignment) -> None:
        self.dispatcher.job_ended(assignment.job.id)
        self._refresh_endpoints()
        self.dispatcher.submit(assignment.job, front=True)

    def _finish(self, job: Job, outcome: Result[Assignment, Failure]) -> None:
        waiter = self._waiters.get(job.id)
        if waiter is not None:
            waiter.finish(outcome)
        elif not isinstance(outcome, Bad):
            # No task waits for this job any more: release its endpoint.
            self.dispatcher.job_ended(job.id)
