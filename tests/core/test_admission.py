"""Tests of admission control and of ratio budgets."""

from chervilshift.core.admission import (
    MIN_QUEUED_PER_CUSTOMER,
    Admission,
)
from chervilshift.core.budgets import RatioBudget
from chervilshift.core.jobs import Job
from chervilshift.core.queues import FairQueue


def job(name: str, customer: str, share=1.0, long=False) -> Job:
    return Job(
        id=name,
        customer=customer,
        target="desk",
        arrived_at=0.0,
        deadline_at=1.0,
        share=share,
        long=long,
    )


def fill(admission, queue, customer: str, count: int, share=1.0) -> int:
    """Offer `count` jobs of a customer; return how many were queued."""
    queued = 0
    for number in range(count):
        offered = job(f"{customer}{number}", customer, share)
        if admission.allows(offered, queue, 1.0):
            queue.push(offered)
            queued += 1
    return queued


def busy(rate: int) -> Admission:
    """Return an Admission after `rate` placements within one second."""
    admission = Admission(max_wait_s=0.4)
    for number in range(rate):
        admission.record_placement(job("x", "a"), number / rate)
    return admission


def test_queue_is_bounded_by_how_fast_it_empties():
    slow = fill(busy(20), FairQueue(), "a", 200)
    fast = fill(busy(200), FairQueue(), "a", 200)
    assert slow <= 8
    assert 4 * slow < fast < 80


def test_greedy_customer_leaves_room_for_others():
    admission, queue = busy(200), FairQueue()
    fill(admission, queue, "greedy", 500)
    assert fill(admission, queue, "modest", 10) >= MIN_QUEUED_PER_CUSTOMER


def test_share_counts():
    admission, queue = busy(200), FairQueue()
    for _ in range(40):
        fill(admission, queue, "small", 1)
        fill(admission, queue, "large", 3, share=3.0)
    large, _ = queue.short_shares()["large"]
    small, _ = queue.short_shares()["small"]
    assert large > 1.5 * small


def test_long_work_is_not_refused_for_waiting():
    admission, queue = busy(1), FairQueue()
    fill(admission, queue, "a", 50)
    assert admission.allows(job("long", "a", long=True), queue, 1.0)


def test_budget_is_a_share_of_requests():
    budget = RatioBudget(share=0.1, burst=5.0)
    spent = sum(budget.withdraw() for _ in range(20))
    assert spent == 5
    for _ in range(100):
        budget.deposit()
        spent += budget.withdraw()
    assert 14 <= spent <= 15
