"""Requests that wait at one gateway for their customers' limits.

It responds to a customer that sends more than its limit allows. A request
waits only if the leader's backlog of the limit lets it be granted within the
time that it may wait; others are refused at once and told when what goes
ahead of them will have been granted. Inside a limit, small requests go first
and then the most urgent ones.
"""

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Container
from heapq import heappop, heappush
from itertools import count, takewhile
from random import Random

from chervilshift.core.fleet.limits import LimitAccount
from chervilshift.core.fleet.model import Customer
from chervilshift.core.fleet.tables import forget_unnamed
from chervilshift.core.rates import DecayingRate

__all__ = ["LimitQueue", "Waiting"]

# A request that costs at most this many seconds of its customer's rate goes
# first: it delays the others by no more than that.
SMALL_RANK_MAX_S = 0.01
# Part of the less urgent requests that go with the most urgent ones, so that
# these don't starve them.
FLOOR_SHARE = 0.25
SMALL_RANK = -1
URGENT_RANK = 0
# A request waits only if it is expected to be granted within this part of the
# time that it may wait: the backlog is that of the last replies, and grants
# reach gateways unevenly. The less urgent ones make way first.
JOIN_SHARE = 0.6
LESS_URGENT_JOIN_SHARE = 0.2
# Window of what the ranks of a customer ask for: longer than a request waits,
# shorter than a burst.
DEMAND_WINDOW_S = 2.0
# Clients wait for `Retry-After` up to this part of their remaining time.
MAX_RETRY_SHARE = 1 / 3
# `Retry-After` is longer by up to this part, so that what is refused in one
# moment does not return in one moment.
RETRY_SPREAD = 0.2
# The least time after which a client is asked to return.
MIN_RETRY_AFTER_S = 0.1


class Waiting:
    """One request that waits; `charged` once its limit is charged.

    `until` is when it stops waiting, and `accepted` tells that the backlog
    let it wait.
    """

    __slots__ = (
        "accepted",
        "amount",
        "charged",
        "customer",
        "joined_at",
        "order",
        "rank",
        "until",
    )

    def __init__(
        self,
        *,
        customer: Customer,
        amount: float,
        rank: int,
        order: int,
        joined_at: float,
        until: float,
    ):
        self.customer = customer
        self.amount = amount
        self.rank = rank
        self.order = order
        self.joined_at = joined_at
        self.until = until
        self.accepted = False
        self.charged = False

    @property
    def place(self) -> tuple[int, int]:
        """What the requests of one customer are ordered by."""
        return self.rank, self.order


class _Deferred:
    """Amounts refused and told to return, by the time of their return."""

    __slots__ = ("_returns", "_total")

    def __init__(self):
        self._returns: list[tuple[float, float]] = []
        self._total = 0.0

    def add(self, amount: float, at: float) -> None:
        """Record that `amount` returns at `at`."""
        heappush(self._returns, (at, amount))
        self._total += amount

    def total(self, now: float) -> float:
        """Return what has not returned yet."""
        while self._returns and self._returns[0][0] <= now:
            self._total -= heappop(self._returns)[1]
        if not self._returns:
            self._total = 0.0
        return self._total


class _Demand:
    """What the requests of one customer ask for, by rank."""

    __slots__ = ("_rates",)

    def __init__(self):
        self._rates: defaultdict[int, DecayingRate] = defaultdict(
            lambda: DecayingRate(window_s=DEMAND_WINDOW_S)
        )

    def add(self, rank: int, amount: float, now: float) -> None:
        """Record a request."""
        self._rates[rank].add(now, amount)

    def share_up_to(self, rank: int, now: float) -> float:
        """Return the part, 0 to 1, of ranks that don't go after `rank`."""
        rates = {r: rate.value(now) for r, rate in self._rates.items()}
        total = sum(rates.values())
        if total <= 0:
            return 1.0
        return sum(v for r, v in rates.items() if r <= rank) / total


class LimitQueue:
    """Admits requests of limited customers in the order of their ranks.

    `now` is monotonic time.
    """

    __slots__ = (
        "_account",
        "_deferred",
        "_demand",
        "_orders",
        "_rng",
        "_waiting",
    )

    def __init__(self, *, account: LimitAccount, rng: Random):
        self._account = account
        self._rng = rng
        self._orders = count()
        self._waiting: defaultdict[str, list[Waiting]] = defaultdict(list)
        self._demand: defaultdict[str, _Demand] = defaultdict(_Demand)
        self._deferred: defaultdict[str, _Deferred] = defaultdict(_Deferred)

    def join(
        self,
        customer: Customer,
        amount: float,
        priority: int,
        max_wait_s: float,
        now: float,
    ) -> Waiting:
        """Add a request, which is charged at once if the limit allows."""
        waiting = Waiting(
            customer=customer,
            amount=amount,
            rank=self._rank(customer, amount, priority),
            order=next(self._orders),
            joined_at=now,
            until=now + max_wait_s,
        )
        if customer.rate_per_s <= 0:
            waiting.charged = True
            return waiting
        name = customer.name
        self._demand[name].add(waiting.rank, amount, now)
        insort(self._waiting[name], waiting, key=_place)
        self._account.add_waiting(name, amount)
        self.serve(name, now)
        return waiting

    def serve(self, name: str, now: float) -> None:
        """Charge the limit for the requests that go first."""
        for waiting in tuple(
            takewhile(
                lambda w: self._account.try_spend(w.customer, w.amount, now),
                self._waiting[name],
            )
        ):
            waiting.charged = True
            self.leave(waiting)

    def leave(self, waiting: Waiting) -> None:
        """Remove a request that no longer waits."""
        name = waiting.customer.name
        queue = self._waiting[name]
        index = bisect_left(queue, waiting.place, key=_place)
        if index < len(queue) and queue[index] is waiting:
            del queue[index]
            self._account.remove_waiting(name, waiting.amount)

    def configure(self, names: Container[str]) -> None:
        """Forget all customers but these."""
        forget_unnamed(self._waiting, names)
        forget_unnamed(self._demand, names)
        forget_unnamed(self._deferred, names)

    def available_in_s(self, waiting: Waiting, now: float) -> float:
        """Return the seconds until a request is granted, as predicted."""
        name = waiting.customer.name
        if self._account.uses_fallback(now):
            ahead = takewhile(lambda w: w is not waiting, self._waiting[name])
            return self._account.fallback_in_s(
                name, sum(w.amount for w in ahead), now
            )
        share = self._demand[name].share_up_to(waiting.rank, now)
        return share * self._account.backlog_s(name)

    def waits_in_vain(self, waiting: Waiting, now: float) -> bool:
        """Return whether a request can't be granted while it may wait.

        The backlog is looked at once: what joins later goes behind it.
        """
        if waiting.accepted:
            return now >= waiting.until
        share = JOIN_SHARE
        if waiting.rank > URGENT_RANK:
            share = LESS_URGENT_JOIN_SHARE
        wait_s = self.available_in_s(waiting, now)
        waiting.accepted = wait_s < share * (waiting.until - now)
        return not waiting.accepted

    def defer(self, waiting: Waiting, remaining_s: float, now: float) -> float:
        """Return the seconds after which a refused client may retry.

        That is when what waits and what was asked to return earlier will have
        been granted. It is capped at what a client with `remaining_s` left
        waits for.
        """
        customer = waiting.customer
        deferred = self._deferred[customer.name]
        share = self._account.expected_share(customer.name)
        ahead_s = self.available_in_s(waiting, now)
        ahead_s += deferred.total(now) / share
        cap_s = MAX_RETRY_SHARE * max(0.0, remaining_s)
        spread = 1 + RETRY_SPREAD * self._rng.random()
        retry_after_s = max(MIN_RETRY_AFTER_S, spread * ahead_s)
        if retry_after_s > cap_s:
            retry_after_s = cap_s / spread
        deferred.add(waiting.amount, now + retry_after_s)
        return retry_after_s

    def _rank(self, customer: Customer, amount: float, priority: int) -> int:
        if amount <= SMALL_RANK_MAX_S * customer.rate_per_s:
            return SMALL_RANK
        if self._rng.random() < FLOOR_SHARE:
            return URGENT_RANK
        return priority


def _place(waiting: Waiting) -> tuple[int, int]:
    return waiting.place
