"""Customers' limits as one sum over all gateways.

The leader holds one bucket per customer and grants from it; a gateway spends
what it was granted. A gateway that can't reach the leader falls back to a
share of the rate, and the leader sets that share aside as soon as it may be
in use, so that the sum stays within the limit on both sides of a cut.
"""

from collections.abc import Iterable

from chervilshift.core.fleet.model import Customer

__all__ = ["LimitAccount", "LimitAllocator", "LimitPolicy"]

# A gateway without a leader's reply for this long spends its fallback share.
FALLBACK_AFTER_S = 0.8
# The leader sets a silent gateway's share aside earlier than it can be used.
RESERVE_AFTER_S = 0.55
# Below 1, so that shares set aside late stay inside the tolerance.
FALLBACK_SHARE = 0.9
# Prefetched tokens may use up this part of the tolerated overshoot.
PREFETCH_SHARE = 0.4
# Prefetching stops when the bucket is below this part of its burst.
PREFETCH_LEVEL = 0.5
# A grant may put a bucket into debt by this part of the tolerated slack, so
# that large requests are granted as readily as small ones.
DEBT_SHARE = 0.25
# A fallback bucket holds at most this many seconds of its rate.
FALLBACK_BURST_S = 1.0
# A request that costs less than this part of a second's rate is small.
SMALL_S = 0.002
# Small requests may use up this part of the tolerated overshoot: a flood of
# large ones must not starve them, and they add little to the sum.
SMALL_SHARE = 0.2


class LimitPolicy:
    """How far the sum may exceed a limit, as the operator tolerates it.

    In a window of `window_s`, `tolerance` is a share of the limit and
    `slack` an absolute amount on top.
    """

    __slots__ = ("slack", "tolerance", "window_s")

    def __init__(self, *, window_s: float, tolerance: float, slack: float):
        self.window_s = window_s
        self.tolerance = tolerance
        self.slack = slack

    def prefetch_cap(self, customer: Customer, gateways: int) -> float:
        """Return what one gateway may hold ahead of its requests."""
        return PREFETCH_SHARE * self._spare(customer) / max(1, gateways)

    def small_cap(self, customer: Customer, gateways: int) -> float:
        """Return what small requests may take at one gateway in a window."""
        return SMALL_SHARE * self._spare(customer) / max(1, gateways)

    def _spare(self, customer: Customer) -> float:
        owed = customer.rate_per_s * self.window_s + customer.burst
        return owed * self.tolerance + self.slack


class _Bucket:
    __slots__ = ("at", "level")

    def __init__(self, *, level: float, at: float):
        self.level = level
        self.at = at

    def refill(self, rate: float, burst: float, now: float) -> None:
        elapsed_s = max(0.0, now - self.at)
        self.level = min(burst, self.level + rate * elapsed_s)
        self.at = now


class LimitAllocator:
    """The leader's side: grants from one bucket per customer.

    `needed` sums all requests that wait at a gateway, so what one grant may
    overdraw is bounded.
    """

    __slots__ = ("_buckets", "_debt", "_led_since")

    def __init__(self, *, policy: LimitPolicy):
        self._debt = DEBT_SHARE * policy.slack
        self._buckets: dict[str, _Bucket] = {}
        self._led_since: float | None = None

    def step_down(self) -> None:
        """Forget the buckets: another leader may grant from now on."""
        self._buckets = {}
        self._led_since = None

    def is_granting(self, now: float) -> bool:
        """Whether this leader grants yet.

        At first, gateways that lost the last leader spend their fallback
        shares, and some may not have heard of this one.
        """
        if self._led_since is None:
            self._led_since = now
        return now - self._led_since > FALLBACK_AFTER_S

    def grant(
        self,
        customers: Iterable[Customer],
        needed: dict[str, float],
        prefetch: dict[str, float],
        silent_share: float,
        now: float,
    ) -> dict[str, float]:
        """Return tokens granted per customer.

        `silent_share` is the part of the known gateways, 0 to 1, that may
        be spending their fallback shares.
        """
        if not self.is_granting(now):
            return {}
        limited = (c for c in customers if c.rate_per_s > 0)
        grants = {
            customer.name: self._take(
                customer,
                needed.get(customer.name, 0.0),
                prefetch.get(customer.name, 0.0),
                silent_share,
                now,
            )
            for customer in limited
        }
        return {name: amount for name, amount in grants.items() if amount}

    def waits(self, customers: Iterable[Customer]) -> dict[str, float]:
        """Return the seconds until each spent limit has room again."""
        spent = (
            (customer, self._buckets[customer.name].level)
            for customer in customers
            if customer.rate_per_s > 0 and customer.name in self._buckets
        )
        return {
            customer.name: -level / customer.rate_per_s
            for customer, level in spent
            if level <= 0
        }

    def _take(
        self,
        customer: Customer,
        needed: float,
        prefetch: float,
        silent_share: float,
        now: float,
    ) -> float:
        # The last leader may have left the bucket in debt.
        bucket = self._buckets.setdefault(
            customer.name, _Bucket(level=-self._debt, at=now)
        )
        reserved = silent_share * FALLBACK_SHARE
        rate = customer.rate_per_s * max(0.0, 1.0 - reserved)
        bucket.refill(rate, customer.burst, now)
        granted = 0.0
        if bucket.level > 0:
            granted = min(needed, bucket.level + self._debt)
        bucket.level -= granted
        left = bucket.level - prefetch
        if left >= PREFETCH_LEVEL * customer.burst:
            bucket.level = left
            granted += prefetch
        return granted


class _Account:
    __slots__ = ("balance", "fallback", "small", "waiting")

    def __init__(self):
        self.balance = 0.0
        self.fallback = _Bucket(level=0.0, at=0.0)
        self.small = _Bucket(level=0.0, at=0.0)
        self.waiting = 0.0


class LimitAccount:
    """A gateway's side: spends what was granted, or its fallback share."""

    __slots__ = (
        "_accounts",
        "_customers",
        "_gateways",
        "_led_at",
        "_room_at",
        "_policy",
    )

    def __init__(self, *, policy: LimitPolicy):
        self._policy = policy
        self._room_at: dict[str, float] = {}
        self._accounts: dict[str, _Account] = {}
        self._customers: dict[str, Customer] = {}
        self._gateways = 1
        # A restarted gateway was silent long enough to have its share set
        # aside.
        self._led_at = float("-inf")

    def configure(self, customers: Iterable[Customer]) -> None:
        """Take the customers of a new configuration."""
        self._customers = {c.name: c for c in customers}
        for name, account in self._accounts.items():
            customer = self._customers.get(name)
            cap = self._cap(customer) if customer else 0.0
            account.balance = min(account.balance, cap)

    def apply_grants(
        self,
        grants: dict[str, float],
        waits: dict[str, float],
        now: float,
    ) -> None:
        """Take a leader's reply."""
        self._led_at = now
        self._room_at = {name: now + wait for name, wait in waits.items()}
        for name, amount in grants.items():
            self._account(name).balance += amount

    def try_spend(self, customer: Customer, amount: float, now: float) -> bool:
        """Spend `amount` if the limit allows it here and now."""
        if customer.rate_per_s <= 0:
            return True
        account = self._account(customer.name)
        if account.balance >= amount:
            account.balance -= amount
            return True
        if self._take_fallback(account, customer, amount, now):
            return True
        return self._take_small(account, customer, amount, now)

    def available_in_s(self, name: str, now: float) -> float:
        """Return when a spent limit has room again, as the leader said."""
        return max(0.0, self._room_at.get(name, now) - now)

    def refund(self, customer: Customer, amount: float) -> None:
        """Return what a request did not use: it never ran."""
        if customer.rate_per_s > 0:
            self._account(customer.name).balance += amount

    def add_waiting(self, name: str, amount: float) -> None:
        """Note that a request waits for `amount`."""
        self._account(name).waiting += amount

    def remove_waiting(self, name: str, amount: float) -> None:
        """Note that a request no longer waits."""
        account = self._account(name)
        account.waiting = max(0.0, account.waiting - amount)

    def needed(self) -> dict[str, float]:
        """Return what waiting requests lack, per customer."""
        lacks = (
            (name, account.waiting - account.balance)
            for name, account in self._accounts.items()
            if account.waiting
        )
        return {name: amount for name, amount in lacks if amount > 0}

    def prefetch(self) -> dict[str, float]:
        """Return what would fill the balances up to what may be held."""
        gaps = (
            (name, self._cap(customer) - self._balance(name))
            for name, customer in self._customers.items()
            if customer.rate_per_s > 0
        )
        return {name: gap for name, gap in gaps if gap > 0}

    def uses_fallback(self, now: float) -> bool:
        """Whether the fallback share is spent, for want of a leader."""
        return now - self._led_at > FALLBACK_AFTER_S

    def set_gateway_count(self, count: int) -> None:
        """Take how many gateways share the limits."""
        self._gateways = max(1, count)

    def _take_fallback(
        self, account: _Account, customer: Customer, amount: float, now: float
    ) -> bool:
        if not self.uses_fallback(now):
            account.fallback.at = now
            account.fallback.level = 0.0
            return False
        share = FALLBACK_SHARE * customer.rate_per_s / self._gateways
        account.fallback.refill(share, share * FALLBACK_BURST_S, now)
        if account.fallback.level <= 0:
            return False
        account.fallback.level -= amount
        return True

    def _take_small(
        self, account: _Account, customer: Customer, amount: float, now: float
    ) -> bool:
        """Spend the reserve, half of it held and half regained a window."""
        if amount > SMALL_S * customer.rate_per_s:
            return False
        half = self._policy.small_cap(customer, self._gateways) / 2
        account.small.refill(half / self._policy.window_s, half, now)
        if account.small.level < amount:
            return False
        account.small.level -= amount
        return True

    def _cap(self, customer: Customer) -> float:
        return self._policy.prefetch_cap(customer, self._gateways)

    def _balance(self, name: str) -> float:
        account = self._accounts.get(name)
        return account.balance if account else 0.0

    def _account(self, name: str) -> _Account:
        return self._accounts.setdefault(name, _Account())
