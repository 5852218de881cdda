"""A worker runs an unsafe request and answers 503 without `Not-Run`.

The gateway may not answer the client with a status that promises that the
request has not run: the client sends it once more, and it runs twice.
"""

import asyncio
import sys
from itertools import chain
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from support_2 import (  # noqa: E402
    HOST,
    KEY,
    Record,
    System,
    call,
    config,
    new_id,
    reply,
    run_case,
    trouble,
)

# The worker that fails, and the part of its requests: at most as many as the
# site's `srv_grey` has (a share of 0.14 of the servers would be less than one
# of three; x 0.45).
FAILED_PART = 0.4
OPERATIONS = 120
# Together the workers run 18 at once.
AT_ONCE = 12
PROMISES = (408, 421, 429, 503)


def fails(number: int) -> bool:
    """Whether the n-th request of the faulty worker fails."""
    return (number - 1) * FAILED_PART % 1 < FAILED_PART


async def fail_some(worker, asked, reader, writer) -> bool:
    """Run a request; answer some with 503 and no statement on the run."""
    headers = worker.run(asked, b"logged")
    number = len(worker.ran)
    await asyncio.sleep(0.045)
    if trouble() and fails(number):
        writer.write(reply(503, headers, b"the log does not answer"))
    else:
        writer.write(reply(200, headers, b"logged"))
    await writer.drain()
    return True


async def confirm(system: System, number: int, record: Record) -> list:
    """Confirm one visit as a client does; return ids and statuses."""
    tries = []
    for attempt in range(2):
        request_id = new_id()
        answer = await call(
            system.front(number % 2),
            "POST",
            "/confirm/visit",
            [
                ("Host", HOST),
                ("Request-Id", request_id),
                ("Key", KEY),
                ("Deadline-Ms", "4000"),
            ],
            f"visit {number}".encode(),
        )
        record.add(
            f"visit {number} attempt {attempt + 1} id {request_id}: "
            f"{answer.status} {answer.error}"
        )
        tries.append((request_id, answer.status))
        if answer.status not in (429, 503):
            # Unsafe requests are retried only after a promise.
            break
        await asyncio.sleep(float(answer.get("Retry-After") or 0.05))
    return tries


async def play(system: System, record: Record) -> list[str]:
    """Return the breaks of the rule."""
    routes = [{"path_prefix": "/confirm/", "kind": "unsafe", "service": "app"}]
    await system.begin(config(1, {"app": False}, routes))
    workers = [system.worker("app", slots=6) for _ in range(3)]
    workers[0].behave = fail_some
    await system.add(workers)
    breaks = []
    for first in range(0, OPERATIONS, AT_ONCE):
        numbers = range(first, first + AT_ONCE)
        done = await asyncio.gather(
            *(confirm(system, number, record) for number in numbers)
        )
        for request_id, status in chain.from_iterable(done):
            ran_at = [w.name for w in workers if request_id in w.stamps]
            if ran_at and status in PROMISES:
                breaks.append(
                    f"{request_id} ran at {ran_at[0]}, answered {status}"
                )
    runs = [a.body.decode() for w in workers for _, a in w.ran]
    for visit in sorted({v for v in runs if runs.count(v) > 1}):
        record.add(f"{visit} was logged {runs.count(visit)} times")
    record.add(f"runs by worker: {[len(w.ran) for w in workers]}")
    record.add(f"{len(runs)} runs of {OPERATIONS} visits")
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(HERE / "record.txt", play, cores=3, fronts=2))
