"""Rate limits that endpoints state in their replies, for the whole fleet.

The endpoint names the requests per second that it takes from all gateways
together. What one gateway learns is committed and sent to all of them; each
request to a limited endpoint then costs one credit. The leader grants credits
from one bucket per endpoint, as it does for customers. A gateway without a
granting leader accumulates credits at its equal share of the rate.

A credit expires soon, so that in any window no more requests reach an endpoint
than the rate allows for the window and the lifetime of a credit.
"""

from collections.abc import Iterable
from itertools import chain
from math import ceil
from random import Random

from chervilshift.core.fleet.limits import (
    FALLBACK_SHARE,
    EndpointLimit,
)
from chervilshift.core.fleet.model import EndpointRecord
from chervilshift.core.message import Message

__all__ = [
    "EndpointLimits",
    "StatedLimit",
    "allocated_limits",
    "newest_statements",
    "without_endpoints",
]

CREDIT_LIFETIME_S = 1.0
# Changes of a stated rate by less than this part are not distributed.
MIN_CHANGE_SHARE = 0.1
# The least rate that is enforced: an endpoint that states less is still asked
# now and then, or a later statement would never be read.
MIN_RATE_PER_S = 0.25
# A gateway asks at most for the credits of this time in one report.
MAX_WANTED_S = 0.5
NAME_PREFIX = "endpoint:"


class StatedLimit(Message, tag=False, array_like=True):
    """What an endpoint stated last: requests per second, None for no limit.

    `at_s` is the Unix time of the reply, `born_ms` the endpoint's incarnation.
    """

    per_s: float | None
    at_s: float
    born_ms: int

    def differs(self, other: "StatedLimit | None") -> bool:
        """Return whether this statement replaces `other` for all gateways."""
        if other is None or other.born_ms != self.born_ms:
            return self.per_s is not None
        if other.per_s is None or self.per_s is None:
            return other.per_s != self.per_s
        change_per_s = abs(self.per_s - other.per_s)
        return change_per_s > MIN_CHANGE_SHARE * other.per_s


def newest_statements(
    reported: Iterable[dict[str, StatedLimit]],
    held: dict[str, StatedLimit],
    now_s: float,
) -> dict[str, StatedLimit]:
    """Return the newest reported statements that replace those held.

    Times in the future of `now_s`, Unix time, count as `now_s`.
    """
    newest: dict[str, StatedLimit] = {}
    for endpoint_id, stated in chain.from_iterable(
        statements.items() for statements in reported
    ):
        known = newest.get(endpoint_id) or held.get(endpoint_id)
        at_s = min(stated.at_s, now_s)
        if known is not None and _is_newer(known, at_s, stated.born_ms):
            continue
        newest[endpoint_id] = StatedLimit(
            per_s=stated.per_s, at_s=at_s, born_ms=stated.born_ms
        )
    return {
        endpoint_id: stated
        for endpoint_id, stated in newest.items()
        if stated.differs(held.get(endpoint_id))
    }


def allocated_limits(
    stated: dict[str, StatedLimit],
) -> tuple[EndpointLimit, ...]:
    """Return the limits that the leader grants credits from."""
    return tuple(
        EndpointLimit(
            name=NAME_PREFIX + endpoint_id,
            rate_per_s=max(MIN_RATE_PER_S, limit.per_s),
        )
        for endpoint_id, limit in stated.items()
        if limit.per_s is not None
    )


def without_endpoints(amounts: dict[str, float]) -> dict[str, float]:
    """Return the amounts of customers' limits, by name."""
    return {
        name: amount
        for name, amount in amounts.items()
        if not name.startswith(NAME_PREFIX)
    }


def _is_newer(known: StatedLimit, at_s: float, born_ms: int) -> bool:
    return (known.born_ms, known.at_s) >= (born_ms, at_s)


class _Credits:
    """Credits of one gateway for one endpoint."""

    __slots__ = ("accrued", "accrued_at", "full_at", "granted", "wanted")

    def __init__(self, *, accrued: float, now: float):
        # The times at which granted credits expire, oldest first.
        self.granted: list[float] = []
        self.accrued = accrued
        self.accrued_at = now
        self.full_at: float | None = None
        self.wanted = 0

    def accrue(self, rate: float, now: float) -> None:
        """Accumulate at most one credit, which expires when it is unused."""
        elapsed_s = max(0.0, now - self.accrued_at)
        self.accrued_at = now
        if self.full_at is not None and now - self.full_at > CREDIT_LIFETIME_S:
            self.accrued, self.full_at = 0.0, None
        self.accrued = min(1.0, self.accrued + rate * elapsed_s)
        if self.accrued >= 1.0 and self.full_at is None:
            self.full_at = now

    def expire(self, now: float) -> None:
        """Drop granted credits that were not used in time."""
        self.granted = [until for until in self.granted if until > now]


class EndpointLimits:
    """A gateway's part: knows the limits and spends credits.

    `now` is monotonic time. `rng` spreads the moments at which gateways
    without a leader have accumulated a credit.
    """

    __slots__ = (
        "_available_at",
        "_credits",
        "_fleet",
        "_gateways",
        "_own",
        "_rng",
        "revision",
    )

    def __init__(self, *, rng: Random):
        self._rng = rng
        self._fleet: dict[str, StatedLimit] = {}
        self._own: dict[str, StatedLimit] = {}
        self._credits: dict[str, _Credits] = {}
        self._available_at: dict[str, float] = {}
        self._gateways = 1
        self.revision = 0

    # What endpoints state

    def record(
        self, endpoint: EndpointRecord, per_s: float | None, wall_s: float
    ) -> bool:
        """Record the statement of a reply; return whether it is news.

        `per_s` is None if the reply states no limit.
        """
        stated = StatedLimit(
            per_s=per_s, at_s=wall_s, born_ms=endpoint.born_ms
        )
        known = self._stated(endpoint.id)
        if known is None and per_s is None:
            return False
        if known is not None and known.born_ms > endpoint.born_ms:
            return False
        self._own[endpoint.id] = stated
        return stated.differs(known)

    def apply(self, stated: dict[str, StatedLimit], revision: int) -> None:
        """Apply the limits that all gateways know, unless they are older."""
        if revision <= self.revision:
            return
        self._fleet = stated
        self.revision = revision
        self._own = {
            endpoint_id: own
            for endpoint_id, own in self._own.items()
            if endpoint_id not in stated
            or not _is_newer(stated[endpoint_id], own.at_s, own.born_ms)
        }

    def retain(self, born_ms: dict[str, int]) -> None:
        """Forget endpoints but the incarnations of these, by endpoint id."""
        self._own = {
            endpoint_id: own
            for endpoint_id, own in self._own.items()
            if born_ms.get(endpoint_id) == own.born_ms
        }
        self._credits = {
            endpoint_id: credit
            for endpoint_id, credit in self._credits.items()
            if endpoint_id in born_ms
        }

    def news(self) -> dict[str, StatedLimit]:
        """Return the statements that the fleet does not have yet."""
        return {
            endpoint_id: own
            for endpoint_id, own in self._own.items()
            if own.differs(self._fleet.get(endpoint_id))
        }

    def limited_ids(self) -> tuple[str, ...]:
        """Return the endpoints that state a limit."""
        return tuple(
            endpoint_id
            for endpoint_id in {**self._fleet, **self._own}
            if self._rate(endpoint_id) is not None
        )

    # Credits

    def set_gateway_count(self, count: int) -> None:
        """Set the number of gateways that share the limits."""
        self._gateways = max(1, count)

    def apply_grants(
        self, grants: dict[str, float], waits: dict[str, float], now: float
    ) -> None:
        """Add the credits of a reply; `waits` are seconds, both by name."""
        self._available_at = {
            name.removeprefix(NAME_PREFIX): now + wait_s
            for name, wait_s in waits.items()
            if name.startswith(NAME_PREFIX)
        }
        for name, amount in grants.items():
            if name.startswith(NAME_PREFIX):
                credit = self._credit(name.removeprefix(NAME_PREFIX), now)
                until = now + CREDIT_LIFETIME_S
                credit.granted += [until] * int(amount)

    def exhausted_ids(self, now: float, *, alone: bool) -> frozenset[str]:
        """Return the limited endpoints that no request may be sent to now.

        `alone` tells that no leader grants credits to this gateway.
        """
        return frozenset(
            endpoint_id
            for endpoint_id in self.limited_ids()
            if not self._has_credit(endpoint_id, now, alone=alone)
        )

    def want(self, endpoint_id: str, now: float) -> None:
        """Record that a request would be sent to a limited endpoint."""
        rate = self._rate(endpoint_id)
        if rate is None:
            return
        credit = self._credit(endpoint_id, now)
        most = ceil(MAX_WANTED_S * rate)
        credit.wanted = min(most, credit.wanted + 1)

    def spend(self, endpoint_id: str, now: float) -> None:
        """Spend a credit for a request that is sent to an endpoint."""
        if self._rate(endpoint_id) is None:
            return
        credit = self._credit(endpoint_id, now)
        if credit.granted:
            credit.granted.pop(0)
        else:
            credit.accrued, credit.full_at = 0.0, None

    def take_needed(self) -> dict[str, float]:
        """Return the credits that requests wanted since the last call."""
        needed = {
            NAME_PREFIX + endpoint_id: float(
                credit.wanted - len(credit.granted)
            )
            for endpoint_id, credit in self._credits.items()
            if credit.wanted > len(credit.granted)
            and endpoint_id in self._fleet
        }
        for credit in self._credits.values():
            credit.wanted = 0
        return needed

    def available_in_s(self, endpoint_ids: Iterable[str], now: float) -> float:
        """Return the seconds until one of the limits has room, if known."""
        waits = (
            self._available_at.get(endpoint_id, now) - now
            for endpoint_id in endpoint_ids
        )
        return max(0.0, min(waits, default=0.0))

    def _has_credit(
        self, endpoint_id: str, now: float, *, alone: bool
    ) -> bool:
        credit = self._credit(endpoint_id, now)
        credit.expire(now)
        if credit.granted:
            return True
        if not alone and endpoint_id in self._fleet:
            credit.accrued_at = now
            return False
        share = FALLBACK_SHARE * self._rate(endpoint_id) / self._gateways
        credit.accrue(share, now)
        return credit.accrued >= 1.0

    def _credit(self, endpoint_id: str, now: float) -> _Credits:
        if endpoint_id not in self._credits:
            self._credits[endpoint_id] = _Credits(
                accrued=self._rng.random(), now=now
            )
        return self._credits[endpoint_id]

    def _stated(self, endpoint_id: str) -> StatedLimit | None:
        own = self._own.get(endpoint_id)
        fleet = self._fleet.get(endpoint_id)
        if own is None or fleet is None:
            return own or fleet
        return fleet if _is_newer(fleet, own.at_s, own.born_ms) else own

    def _rate(self, endpoint_id: str) -> float | None:
        stated = self._stated(endpoint_id)
        if stated is None or stated.per_s is None:
            return None
        return max(MIN_RATE_PER_S, stated.per_s)
