"""Rate limits of customers and endpoints over the sum of all gateways.

The leader holds one token bucket per customer and grants amounts from it; a
gateway spends its grants. A gateway that can't reach the leader falls back
to a fixed share of the rate. The leader reserves that share as soon as it may
be in use, so that the sum stays within the limit on both sides of a network
partition.

Amounts are in the unit of the limit, tokens or requests.
"""

from collections.abc import Iterable
from math import exp, floor

from chervilshift.core.fleet.intervals import (
    DIRECT_FALLBACK_AFTER_S,
    DIRECT_INTERVAL_S,
    fallback_after_s,
    is_relayed,
    reserve_after_s,
)
from chervilshift.core.fleet.model import Customer
from chervilshift.core.fleet.tables import forget_unnamed

__all__ = [
    "EndpointLimit",
    "Limit",
    "LimitAccount",
    "LimitAllocator",
    "LimitPolicy",
]

# Part of a gateway's equal share of the rate that it may spend without a
# leader. Below 1, so that shares reserved too late stay within the tolerance.
FALLBACK_SHARE = 0.9
# Parts of the tolerated overshoot. Prefetched grants: the whole of it, and in
# a large fleet the part that pools hold instead of gateways.
PREFETCH_SHARE = 0.25
POOLED_PREFETCH_SHARE = 0.6
# Part of a burst that the pools of a large fleet hold instead of the leader's
# bucket, so that few requests wait for the leader.
POOLED_BURST_SHARE = 0.5
# What the leader's bucket holds beyond the burst: customers send in clumps,
# and the operator's bound is on a window, not on a moment.
EXTRA_BURST_SHARE = 0.3
# Prefetch grants must leave the bucket at least this part of its burst.
PREFETCH_MIN_LEVEL_SHARE = 0.5
# A grant may overdraw a bucket by this part of the tolerated slack, so that
# large requests are granted as readily as small ones.
DEBT_SHARE = 0.15
# Capacity of a fallback bucket, in seconds of its rate.
FALLBACK_BURST_S = 1.0
# A request that costs at most this many seconds of the customer's rate counts
# as small.
SMALL_REQUEST_MAX_S = 0.002
# Part of the tolerated overshoot that small requests may use, so that many
# large requests don't starve them; small ones add little to the sum.
SMALL_REQUEST_SHARE = 0.2
# What an asker waits for counts for this long after its last request: longer
# than the interval of reports, with the time that a report may be late.
UNMET_EXPIRY_S = 0.3
# Time constant of the backlogs that replies state: each is of one moment, and
# gateways that all follow one moment's ask for nothing and then all at once.
BACKLOG_WINDOW_S = 0.5
NEGLIGIBLE_WAIT_S = 0.001
# How far requests to an endpoint may exceed the rate that it states.
ENDPOINT_WINDOW_S = 4.0
ENDPOINT_TOLERANCE = 0.5
ENDPOINT_SLACK_REQUESTS = 5.0


class EndpointLimit:
    """The rate that an endpoint takes from all gateways together.

    Its grants are whole requests, and none are made in advance.
    """

    __slots__ = ("burst", "name", "rate_per_s")

    def __init__(self, *, name: str, rate_per_s: float):
        self.name = name
        self.rate_per_s = rate_per_s
        self.burst = 0.0


Limit = Customer | EndpointLimit


class LimitPolicy:
    """How far the sum over all gateways may exceed a limit.

    In any window of `window_s` seconds the overshoot may be `tolerance`, a
    share of the limit, plus `slack`, an absolute amount.
    """

    __slots__ = ("slack", "tolerance", "window_s")

    def __init__(self, *, window_s: float, tolerance: float, slack: float):
        self.window_s = window_s
        self.tolerance = tolerance
        self.slack = slack

    def prefetch_cap(self, customer: Customer, gateways: int) -> float:
        """Return the amount that one gateway may hold in advance."""
        share = PREFETCH_SHARE
        if is_relayed(gateways):
            share *= 1 - POOLED_PREFETCH_SHARE
        return share * self._tolerated_overshoot(customer) / max(1, gateways)

    def pool_cap(
        self, customer: Customer, gateways: int, replicas: int
    ) -> float:
        """Return the amount that one control process may hold in advance."""
        if not is_relayed(gateways):
            return 0.0
        share = PREFETCH_SHARE * POOLED_PREFETCH_SHARE
        pooled = share * self._tolerated_overshoot(customer)
        pooled += POOLED_BURST_SHARE * customer.burst
        return pooled / max(1, replicas)

    def bucket_size(self, limit: Limit, gateways: int = 1) -> float:
        """Return the capacity of the leader's bucket."""
        share = 1 - POOLED_BURST_SHARE if is_relayed(gateways) else 1.0
        extra = EXTRA_BURST_SHARE * self._tolerated_overshoot(limit)
        return share * limit.burst + extra

    def small_request_cap(self, customer: Customer, gateways: int) -> float:
        """Return what one gateway may spend on small requests in a window."""
        return (
            SMALL_REQUEST_SHARE
            * self._tolerated_overshoot(customer)
            / max(1, gateways)
        )

    def _tolerated_overshoot(self, limit: Limit) -> float:
        allowed = limit.rate_per_s * self.window_s + limit.burst
        return allowed * self.tolerance + self.slack

    @property
    def max_debt(self) -> float:
        """The amount by which a grant may overdraw a bucket."""
        return DEBT_SHARE * self.slack


ENDPOINT_POLICY = LimitPolicy(
    window_s=ENDPOINT_WINDOW_S,
    tolerance=ENDPOINT_TOLERANCE,
    slack=ENDPOINT_SLACK_REQUESTS,
)


def policy_of(limit: Limit, customer_policy: LimitPolicy) -> LimitPolicy:
    """Return the policy for a limit."""
    is_endpoint = isinstance(limit, EndpointLimit)
    return ENDPOINT_POLICY if is_endpoint else customer_policy


class _Bucket:
    __slots__ = ("level", "refilled_at")

    def __init__(self, *, level: float, refilled_at: float):
        self.level = level
        self.refilled_at = refilled_at

    def refill(self, rate: float, burst: float, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at)
        self.level = min(burst, self.level + rate * elapsed_s)
        self.refilled_at = now


class LimitAllocator:
    """The leader's part: grants from one bucket per limit.

    A gateway asks for the sum of all its waiting requests, which may be
    large, so the debt that one grant may cause is bounded.
    """

    __slots__ = (
        "_buckets",
        "_gateways",
        "_granted_at",
        "_lapsed",
        "_leader_since",
        "_policy",
        "_unmet",
    )

    def __init__(self, *, policy: LimitPolicy):
        self._policy = policy
        self._gateways = 1
        self._buckets: dict[str, _Bucket] = {}
        self._leader_since: float | None = None
        self._granted_at = 0.0
        self._lapsed = False
        # What an asker still waits for, by limit, and when it asked.
        self._unmet: dict[str, tuple[float, dict[str, float]]] = {}

    def set_gateway_count(self, count: int) -> None:
        """Set the number of gateways that share the limits."""
        self._gateways = max(1, count)

    def step_down(self) -> None:
        """Drop the buckets, since another leader may grant from now on."""
        self._buckets = {}
        self._unmet = {}
        self._leader_since = None
        self._lapsed = False

    def record_lapse(self) -> None:
        """Record that the leader may not grant now.

        Gateways fall back as if it were lost, although their reports arrive.
        """
        self._lapsed = True

    def is_granting(self, now: float) -> bool:
        """Whether this leader has led long enough to grant.

        The time counts from the first call. At first, gateways that lost
        the previous leader spend their fallback shares, and some have not
        yet contacted this one.
        """
        if self._leader_since is None:
            self._leader_since = now
        return now - self._leader_since > DIRECT_FALLBACK_AFTER_S

    def grant(
        self,
        limits: Iterable[Limit],
        needed: dict[str, float],
        prefetch: dict[str, float],
        silent_share: float,
        now: float,
        asker: str = "",
    ) -> dict[str, float]:
        """Return the amounts granted to one gateway or pool, by limit.

        `needed` is what waiting requests lack and `prefetch` what it may
        hold in advance, both by limit. `silent_share` is the part of the
        known gateways, 0 to 1, that may be spending their fallback shares.
        `asker` names the gateway or pool, whose last request counts in
        `waits`.
        """
        if not self.is_granting(now):
            return {}
        if self._lapsed:
            self._reserve_lapse(now)
        self._granted_at, self._lapsed = now, False
        grants = {
            limit.name: self._grant(
                limit,
                needed.get(limit.name, 0.0),
                prefetch.get(limit.name, 0.0),
                silent_share,
                now,
            )
            for limit in limits
            if limit.rate_per_s > 0
            and (limit.name in needed or isinstance(limit, Customer))
        }
        self._note_unmet(asker, needed, grants, now)
        return {name: amount for name, amount in grants.items() if amount}

    def waits(self, limits: Iterable[Limit]) -> dict[str, float]:
        """Return the seconds until each exhausted limit has room.

        What gateways and pools still wait for goes first.
        """
        backlog: dict[str, float] = {}
        for asked_at, unmet in self._unmet.values():
            if self._granted_at - asked_at > UNMET_EXPIRY_S:
                continue
            for name, amount in unmet.items():
                backlog[name] = backlog.get(name, 0.0) + amount
        lacking = (
            (limit, backlog.get(limit.name, 0.0) - bucket.level)
            for limit in limits
            if limit.rate_per_s > 0
            and (bucket := self._buckets.get(limit.name)) is not None
        )
        return {
            limit.name: amount / limit.rate_per_s
            for limit, amount in lacking
            if amount >= 0
        }

    def retain(self, limits: Iterable[Limit]) -> None:
        """Drop the buckets of all limits but these."""
        names = {limit.name for limit in limits}
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if name in names
        }

    def _note_unmet(
        self,
        asker: str,
        needed: dict[str, float],
        grants: dict[str, float],
        now: float,
    ) -> None:
        unmet = {
            name: lacking
            for name, amount in needed.items()
            if (lacking := amount - grants.get(name, 0.0)) > 0
        }
        self._unmet.pop(asker, None)
        if unmet:
            self._unmet[asker] = (now, unmet)
        for other, (asked_at, _) in tuple(self._unmet.items()):
            if now - asked_at <= UNMET_EXPIRY_S:
                break
            del self._unmet[other]

    def _reserve_lapse(self, now: float) -> None:
        """Reserve the fallback shares of the time since the last grant."""
        reserved_from = self._granted_at + reserve_after_s(
            DIRECT_INTERVAL_S, relayed=is_relayed(self._gateways)
        )
        reserved_s = FALLBACK_SHARE * max(0.0, now - reserved_from)
        for bucket in self._buckets.values():
            bucket.refilled_at += reserved_s

    def _grant(
        self,
        limit: Limit,
        needed: float,
        prefetch: float,
        silent_share: float,
        now: float,
    ) -> float:
        policy = policy_of(limit, self._policy)
        # The previous leader may have left the bucket in debt.
        bucket = self._buckets.setdefault(
            limit.name, _Bucket(level=-policy.max_debt, refilled_at=now)
        )
        reserved_share = silent_share * FALLBACK_SHARE
        rate = limit.rate_per_s * max(0.0, 1.0 - reserved_share)
        size = policy.bucket_size(limit, self._gateways)
        bucket.refill(rate, size, now)
        granted = 0.0
        if bucket.level > 0:
            granted = min(needed, bucket.level + policy.max_debt)
        if isinstance(limit, EndpointLimit):
            granted = floor(granted)
        bucket.level -= granted
        remaining = bucket.level - prefetch
        if remaining >= PREFETCH_MIN_LEVEL_SHARE * size:
            bucket.level = remaining
            granted += prefetch
        return granted


class _Account:
    """What a gateway may spend of one limit.

    A request may cost more than the fallback share has accumulated. This debt
    is the balance's once the leader grants again, so that its bucket covers
    it, and the fallback share's while no leader does.
    """

    __slots__ = ("balance", "fallback", "small_requests", "waiting")

    def __init__(self):
        self.balance = 0.0
        self.fallback = _Bucket(level=0.0, refilled_at=0.0)
        self.small_requests = _Bucket(level=0.0, refilled_at=0.0)
        self.waiting = 0.0

    def charge_debt_to_fallback(self) -> None:
        """Move the debt of the balance to the fallback share."""
        self.fallback.level += min(0.0, self.balance)
        self.balance = max(0.0, self.balance)

    def charge_debt_to_balance(self, share: float, now: float) -> None:
        """Move the debt of the fallback share to the balance."""
        if self.fallback.level < 0:
            self.fallback.refill(share, 0.0, now)
            self.balance += self.fallback.level
        self.fallback.level = 0.0


class LimitAccount:
    """A gateway's part: spends grants or, without a leader, its fallback."""

    __slots__ = (
        "_accounts",
        "_backlogs_at",
        "_backlogs_s",
        "_customers",
        "_fallback_after_s",
        "_gateways",
        "_leader_reply_at",
        "_policy",
    )

    def __init__(self, *, policy: LimitPolicy):
        self._policy = policy
        self._backlogs_s: dict[str, float] = {}
        self._backlogs_at = float("-inf")
        self._accounts: dict[str, _Account] = {}
        self._customers: dict[str, Customer] = {}
        self._gateways = 1
        self._fallback_after_s = DIRECT_FALLBACK_AFTER_S
        # A gateway starts on its fallback share: during the restart it was
        # silent long enough for the leader to have reserved the share.
        self._leader_reply_at = float("-inf")

    def configure(self, customers: Iterable[Customer]) -> None:
        """Apply the customers of a new configuration."""
        self._customers = {c.name: c for c in customers}
        for name, account in self._accounts.items():
            customer = self._customers.get(name)
            cap = self._prefetch_cap(customer) if customer else 0.0
            account.balance = min(account.balance, cap)
        forget_unnamed(self._accounts, self._customers)

    def apply_grants(
        self,
        grants: dict[str, float],
        waits: dict[str, float],
        now: float,
        leader_age_s: float = 0.0,
    ) -> None:
        """Add the grants of a reply.

        `waits` is the seconds until an exhausted limit has room, by customer,
        and `leader_age_s` the time since the leader was heard of.
        """
        self._leader_reply_at = max(self._leader_reply_at, now - leader_age_s)
        if not self.uses_fallback(now):
            for name, account in self._accounts.items():
                share = self._fallback_share(name)
                account.charge_debt_to_balance(share, now)
        self._smooth_backlogs(waits, now)
        for name, amount in grants.items():
            self._account(name).balance += amount

    def try_spend(self, customer: Customer, amount: float, now: float) -> bool:
        """Spend `amount` if this gateway may; False if it may not now."""
        if customer.rate_per_s <= 0:
            return True
        account = self._account(customer.name)
        if account.balance >= amount:
            account.balance -= amount
            return True
        if self._spend_fallback(account, customer, amount, now):
            return True
        return self._spend_small_request(account, customer, amount, now)

    def backlog_s(self, name: str) -> float:
        """Return how long a limit has no room, by the leader's last replies.

        Others join what waits as it is granted, so it does not shrink with
        the age of the replies.
        """
        return self._backlogs_s.get(name, 0.0)

    def fallback_in_s(self, name: str, ahead: float, now: float) -> float:
        """Return the seconds until the fallback share has room.

        `ahead` is what is spent before.
        """
        account, share = self._account(name), self._fallback_share(name)
        if share <= 0:
            return 0.0
        self._refill_fallback(account, name, now)
        debt = min(0.0, account.balance)
        return max(0.0, ahead - account.fallback.level - debt) / share

    def expected_share(self, name: str) -> float:
        """Return an equal share of a limit's rate."""
        customer = self._customers.get(name)
        rate = customer.rate_per_s if customer else 0.0
        return max(1.0, rate) / self._gateways

    def refund(self, customer: Customer, amount: float) -> None:
        """Return the amount charged for a request that never ran."""
        if customer.rate_per_s > 0:
            self._account(customer.name).balance += amount

    def add_waiting(self, name: str, amount: float) -> None:
        """Record that a request waits for `amount`."""
        self._account(name).waiting += amount

    def remove_waiting(self, name: str, amount: float) -> None:
        """Record that a request no longer waits."""
        account = self._account(name)
        account.waiting = max(0.0, account.waiting - amount)

    def needed(self) -> dict[str, float]:
        """Return what waiting requests lack beyond the balance."""
        shortfalls = (
            (name, account.waiting - account.balance)
            for name, account in self._accounts.items()
            if account.waiting
        )
        return {name: amount for name, amount in shortfalls if amount > 0}

    def prefetch(self) -> dict[str, float]:
        """Return what the balances lack up to their prefetch caps."""
        gaps = (
            (name, self._prefetch_cap(customer) - self._balance(name))
            for name, customer in self._customers.items()
            if customer.rate_per_s > 0
        )
        return {name: gap for name, gap in gaps if gap > 0}

    def uses_fallback(self, now: float) -> bool:
        """Whether no granting leader was heard of for too long."""
        return now - self._leader_reply_at > self._fallback_after_s

    def set_gateway_count(
        self, count: int, interval_s: float = DIRECT_INTERVAL_S
    ) -> None:
        """Set the number of gateways, and the interval of their reports."""
        self._gateways = max(1, count)
        self._fallback_after_s = fallback_after_s(
            interval_s, relayed=is_relayed(count)
        )

    def _smooth_backlogs(self, waits: dict[str, float], now: float) -> None:
        age_s = max(0.0, now - self._backlogs_at)
        weight = 1 - exp(-age_s / BACKLOG_WINDOW_S)
        smoothed = {
            name: old_s + weight * (waits.get(name, 0.0) - old_s)
            for name in {**self._backlogs_s, **waits}
            for old_s in (self._backlogs_s.get(name, 0.0),)
        }
        self._backlogs_at = now
        self._backlogs_s = {
            name: wait_s
            for name, wait_s in smoothed.items()
            if wait_s > NEGLIGIBLE_WAIT_S
        }

    def _spend_fallback(
        self, account: _Account, customer: Customer, amount: float, now: float
    ) -> bool:
        if not self.uses_fallback(now):
            return False
        self._refill_fallback(account, customer.name, now)
        account.charge_debt_to_fallback()
        if account.fallback.level <= 0:
            return False
        account.fallback.level -= amount
        return True

    def _refill_fallback(
        self, account: _Account, name: str, now: float
    ) -> None:
        account.fallback.refilled_at = max(
            account.fallback.refilled_at,
            self._leader_reply_at + self._fallback_after_s,
        )
        share = self._fallback_share(name)
        account.fallback.refill(share, share * FALLBACK_BURST_S, now)

    def _spend_small_request(
        self, account: _Account, customer: Customer, amount: float, now: float
    ) -> bool:
        """Spend from the reserve for small requests.

        The bucket holds half of the cap and regains the other half within
        one window, so that no window exceeds the cap.
        """
        if amount > SMALL_REQUEST_MAX_S * customer.rate_per_s:
            return False
        half = self._policy.small_request_cap(customer, self._gateways) / 2
        account.small_requests.refill(half / self._policy.window_s, half, now)
        if account.small_requests.level < amount:
            return False
        account.small_requests.level -= amount
        return True

    def _fallback_share(self, name: str) -> float:
        customer = self._customers.get(name)
        rate = customer.rate_per_s if customer else 0.0
        return FALLBACK_SHARE * rate / self._gateways

    def _prefetch_cap(self, customer: Customer) -> float:
        return self._policy.prefetch_cap(customer, self._gateways)

    def _balance(self, name: str) -> float:
        account = self._accounts.get(name)
        return account.balance if account else 0.0

    def _account(self, name: str) -> _Account:
        return self._accounts.setdefault(name, _Account())
