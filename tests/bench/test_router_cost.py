"""Benchmark of one routing decision.

The times are printed only; other tests bound the cost by operation counts.
"""

from itertools import count
from random import Random

import pytest

from chervilshift.core.dispatcher import Dispatcher, Policy
from chervilshift.core.jobs import Job
from chervilshift.core.registry import EndpointInfo

BLOCKS = tuple(range(8))


def make_dispatcher(endpoints: int) -> Dispatcher:
    dispatcher = Dispatcher(policy=Policy(), region="west", rng=Random(1))
    infos = [
        EndpointInfo(
            id=f"m{number}",
            address=f"m{number}",
            host=f"h{number}",
            failure_domain="fd0",
            region="west",
            kind="engine",
            serves=("desk",),
            capacity=16,
        )
        for number in range(endpoints)
    ]
    dispatcher.set_endpoints(infos, 0.0)
    return dispatcher


@pytest.mark.parametrize("endpoints", [10, 100, 1000])
def test_decision(benchmark, endpoints):
    dispatcher = make_dispatcher(endpoints)
    job_numbers = count()

    def decide() -> None:
        number = next(job_numbers)
        now = number * 0.001
        job = Job(
            id=str(number),
            customer=f"c{number % 5}",
            target="desk",
            arrived_at=now,
            deadline_at=now + 10.0,
            prompt_tokens=640,
            predicted_tokens=60,
            blocks=(number % 7, *BLOCKS),
            kind="bench",
        )
        dispatcher.submit(job)
        (assignment,) = dispatcher.assign(now)
        dispatcher.observe_first_token(assignment.job.id, now + 0.05)
        dispatcher.observe_token_gap(assignment.job.id, 0.02, now + 0.07)
        dispatcher.job_ended(assignment.job.id, 60)

    benchmark.pedantic(decide, rounds=200, iterations=5, warmup_rounds=20)
    assert not dispatcher.queue
    assert not dispatcher._endpoint_by_job
