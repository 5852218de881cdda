"""Sequential test of a new version against the old one.

It responds to versions that fail a part of their requests or are several
times as slow, at once, later, under load, or on one route only. Outcomes of
both versions are compared by route over windows that end now: the hypothesis
that the new version is like the old one at the same time against some that it
is much worse, by their likelihood ratio. Windows of several lengths find a
fault that begins late; that ends of windows are looked at again and again is
paid for by the threshold, as in Page's test: outcomes of a good version reach
the ratio `exp(h)` about once in `exp(h)` outcomes.

An endpoint of any version may fail or be slow by itself, so the new version's
worst endpoint is left out where there are several.
"""

import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator

from chervilshift.core.fleet.versiongate import ratio_of
from chervilshift.core.fleet.versions import RouteTotals, VersionOutcomes

__all__ = ["Evidence", "Finding"]

# Log likelihood ratio at which a version is bad. A good one takes some 9
# million outcomes to reach it, 1,000 times more than a test has.
BAD_LOG_RATIO = 16.0
# Log likelihood ratios at which a version is not bad on a route.
GOOD_LOG_RATIO = 7.0
# At the end of the test's time a version this likely to be bad is taken for
# bad.
SUSPECT_LOG_RATIO = 5.0
# Lengths of the windows in seconds; the last one is the whole time.
WINDOWS_S = (2, 4, 8, 16, 32, math.inf)
# Shares of failures of a bad version that are tested for, and of slow
# requests. A bad version is worse than the old one by the factor at least.
FAILED_SHARES = (0.02, 0.05, 0.15, 0.4)
SLOW_SHARES = (0.2, 0.4, 0.8)
MIN_FAILED_FACTOR, MIN_SLOW_FACTOR = 4.0, 2.0
# Shares that a version has to be better than to be accepted: evidence against
# the smallest ones above takes longer than most rollouts.
ACCEPT_FAILED_SHARE, ACCEPT_SLOW_SHARE = 0.05, 0.3
# Shares that any version may have.
FAILED_FLOOR, SLOW_FLOOR = 0.004, 0.08
# What the old version's share may be exceeded by: versions share neither
# their endpoints nor their caches.
ALLOWANCE = 1.5
# Requests of the old version from which its usual times are known, and half
# of their weight is lost after this time.
MIN_USUAL_SAMPLES = 20
USUAL_HALF_LIFE_S = 10.0
# A route with a smaller part of the service's requests needs no evidence.
MINOR_ROUTE_PART = 0.02


class Finding:
    """How likely it is that a version is bad, and on what account."""

    __slots__ = ("kind", "log_ratio", "route")

    def __init__(self, *, log_ratio: float, route: str = "", kind: str = ""):
        self.log_ratio = log_ratio
        self.route = route
        self.kind = kind

    @property
    def is_bad(self) -> bool:
        """Whether the version is bad."""
        return self.log_ratio >= BAD_LOG_RATIO

    @property
    def is_suspect(self) -> bool:
        """Whether the version is likely to be bad."""
        return self.log_ratio >= SUSPECT_LOG_RATIO


class _Count:
    """Outcomes of one version in some time, by kind."""

    __slots__ = ("bad", "bad_at", "total")

    def __init__(self):
        self.total = self.bad = 0
        self.bad_at: Counter[str] = Counter()

    def add(self, total: int, bad: int, bad_at: dict[str, int]) -> None:
        """Add outcomes."""
        self.total += total
        self.bad += bad
        self.bad_at.update(bad_at)

    def merge(self, other: "_Count") -> None:
        """Add those of another time."""
        self.add(other.total, other.bad, other.bad_at)

    def without_worst(self, endpoints: int) -> tuple[float, float]:
        """Return the total and the bad ones without the worst endpoint."""
        if endpoints < 2:
            return self.total, self.bad
        worst = max(self.bad_at.values(), default=0)
        total = self.total * (1 - 1 / endpoints)
        bad = max(0, self.bad - worst)
        return max(total, bad), bad


class _Kind:
    """How outcomes of one kind are tested.

    A bad version has one of `shares` or more of bad ones, and `factor` times
    the usual share; an accepted one has less than `accept_share`. Any version
    may have the share `floor`.
    """

    __slots__ = ("accept_share", "factor", "floor", "shares")

    def __init__(
        self,
        *,
        shares: tuple[float, ...],
        accept_share: float,
        factor: float,
        floor: float,
    ):
        self.shares = shares
        self.accept_share = accept_share
        self.factor = factor
        self.floor = floor


_KINDS = {
    "failed": _Kind(
        shares=FAILED_SHARES,
        accept_share=ACCEPT_FAILED_SHARE,
        factor=MIN_FAILED_FACTOR,
        floor=FAILED_FLOOR,
    ),
    "slow": _Kind(
        shares=SLOW_SHARES,
        accept_share=ACCEPT_SLOW_SHARE,
        factor=MIN_SLOW_FACTOR,
        floor=SLOW_FLOOR,
    ),
}

# By route and kind, counts of the old and the new version.
_Cells = dict[tuple[str, str], tuple[_Count, _Count]]


class Evidence:
    """Outcomes of one rollout, from the totals that gateways report."""

    __slots__ = (
        "_buckets",
        "_ratios",
        "_ratios_at",
        "_seen",
        "_to",
        "attempts",
        "requests",
    )

    def __init__(self, *, to: str):
        self._to = to
        self._seen: dict[tuple[str, str], dict[str, VersionOutcomes]] = {}
        self._buckets: deque[tuple[float, _Cells]] = deque()
        # The old version's requests by route and bucket, decaying.
        self._ratios: defaultdict[str, defaultdict[int, float]] = defaultdict(
            lambda: defaultdict(float)
        )
        self._ratios_at = float("-inf")
        self.attempts = 0
        self.requests = 0

    def add(
        self,
        gateway: tuple[str, str],
        outcomes: dict[str, VersionOutcomes],
        now: float,
    ) -> None:
        """Add what is new in a report of a gateway's incarnation."""
        before = self._seen.get(gateway, {})
        if before == outcomes:
            return
        self._seen[gateway] = outcomes
        cells = self._cells(now)
        self._decay(now)
        for version, totals in outcomes.items():
            known = before.get(version) or VersionOutcomes()
            is_new = version == self._to
            self.requests += totals.requests - known.requests
            if is_new:
                self.attempts += totals.attempts - known.attempts
            for route, current in totals.routes.items():
                last = known.routes.get(route) or RouteTotals()
                self._add_route(cells, route, last, current, is_new=is_new)

    def usual(self) -> dict[str, float]:
        """Return the old version's median ratio by route, where known."""
        found = {}
        for route, ratios in self._ratios.items():
            total = sum(ratios.values())
            if total < MIN_USUAL_SAMPLES:
                continue
            below = 0.0
            for bucket in sorted(ratios):
                below += ratios[bucket]
                if below >= total / 2:
                    found[route] = ratio_of(bucket)
                    break
        return found

    def finding(self, endpoints: int, now: float) -> Finding:
        """Return the strongest evidence that the version is bad.

        `endpoints` is the number of the new version's that get requests.
        """
        worst = Finding(log_ratio=0.0)
        for cells in self._windows(now):
            for (route, kind), (old, new) in cells.items():
                log_ratio = _bad_log_ratio(_KINDS[kind], old, new, endpoints)
                if log_ratio > worst.log_ratio:
                    worst = Finding(
                        log_ratio=log_ratio, route=route, kind=kind
                    )
        return worst

    def unproven_routes(self, endpoints: int, now: float) -> frozenset[str]:
        """Return the routes on which the new version may still be bad."""
        cells = self._merged(self._buckets)
        sizes = Counter()
        for (route, kind), (old, new) in cells.items():
            if kind == "failed":
                sizes[route] = old.total + new.total
        least = MINOR_ROUTE_PART * sum(sizes.values())
        return frozenset(
            route
            for (route, kind), (old, new) in cells.items()
            if sizes[route] > least
            and _good_log_ratio(_KINDS[kind], old, new, endpoints)
            < GOOD_LOG_RATIO
        )

    def routes(self) -> frozenset[str]:
        """Return the routes with outcomes of either version."""
        return frozenset(
            route for _, cells in self._buckets for route, _ in cells
        )

    def ended(self) -> int:
        """Return the new version's outcomes."""
        return sum(
            new.total
            for _, cells in self._buckets
            for (_, kind), (_, new) in cells.items()
            if kind == "failed"
        )

    def counts(self) -> dict[str, list[int]]:
        """Return by route, for logs, what the new version ended with.

        These are the numbers of outcomes, of failures, and of those judged
        by their time and found slow.
        """
        found: dict[str, list[int]] = {}
        for (route, kind), (_, new) in self._merged(self._buckets).items():
            counts = found.setdefault(route, [0, 0, 0, 0])
            place = 0 if kind == "failed" else 2
            counts[place : place + 2] = [new.total, new.bad]
        return found

    def _add_route(
        self,
        cells: _Cells,
        route: str,
        last: RouteTotals,
        current: RouteTotals,
        *,
        is_new: bool,
    ) -> None:
        failed = cells[route, "failed"][is_new]
        failed.add(
            current.ended - last.ended,
            current.failed - last.failed,
            _difference(current.failed_at, last.failed_at),
        )
        slow = cells[route, "slow"][is_new]
        slow.add(
            current.judged - last.judged,
            current.slow - last.slow,
            _difference(current.slow_at, last.slow_at),
        )
        if not is_new:
            ratios = self._ratios[route]
            for bucket, count in current.ratios.items():
                ratios[bucket] += count - last.ratios.get(bucket, 0)

    def _cells(self, now: float) -> _Cells:
        """Return the counts of the current second."""
        second = math.floor(now)
        if not self._buckets or self._buckets[-1][0] != second:
            cells = defaultdict(lambda: (_Count(), _Count()))
            self._buckets.append((second, cells))
            if len(self._buckets) > 2 * max(
                w for w in WINDOWS_S if math.isfinite(w)
            ):
                # Only the whole time needs the oldest ones.
                _, oldest = self._buckets.popleft()
                self._merge_into(self._buckets[0][1], oldest)
        return self._buckets[-1][1]

    def _windows(self, now: float) -> Iterator[_Cells]:
        last_size = 0
        for length_s in WINDOWS_S:
            inside = [b for b in self._buckets if b[0] > now - length_s - 1]
            if len(inside) > last_size:
                last_size = len(inside)
                yield self._merged(inside)

    def _merged(self, buckets: Iterable[tuple[float, _Cells]]) -> _Cells:
        merged: _Cells = defaultdict(lambda: (_Count(), _Count()))
        for _, cells in buckets:
            self._merge_into(merged, cells)
        return merged

    def _merge_into(self, merged: _Cells, cells: _Cells) -> None:
        for place, (old, new) in cells.items():
            merged[place][0].merge(old)
            merged[place][1].merge(new)

    def _decay(self, now: float) -> None:
        if now - self._ratios_at < 1.0:
            return
        factor = 0.5 ** ((now - self._ratios_at) / USUAL_HALF_LIFE_S)
        self._ratios_at = now
        for ratios in self._ratios.values():
            for bucket in ratios:
                ratios[bucket] *= factor


def _difference(current: dict[str, int], last: dict[str, int]) -> Counter:
    return Counter(current) - Counter(last)


def _usual_share(kind: _Kind, old: _Count) -> float:
    """Return the largest share of bad outcomes that is as good as the old."""
    share = (old.bad + 0.1) / (old.total + 1)
    error = math.sqrt(share * (1 - share) / (old.total + 1))
    return max(kind.floor, ALLOWANCE * share + 2 * error)


def _log_ratio(total: float, bad: float, usual: float, share: float) -> float:
    """Return the log likelihood ratio of two shares of bad outcomes."""
    return bad * math.log(share / usual) + (total - bad) * math.log(
        (1 - share) / (1 - usual)
    )


def _bad_log_ratio(
    kind: _Kind, old: _Count, new: _Count, endpoints: int
) -> float:
    """Return the evidence for the most likely of the faults tested for."""
    total, bad = new.without_worst(endpoints)
    usual = _usual_share(kind, old)
    least = usual * kind.factor
    if not bad or least >= 1:
        return 0.0
    return max(
        _log_ratio(total, bad, usual, max(share, least))
        for share in kind.shares
    )


def _good_log_ratio(
    kind: _Kind, old: _Count, new: _Count, endpoints: int
) -> float:
    """Return the evidence against a fault that must not be accepted."""
    total, bad = new.without_worst(endpoints)
    usual = _usual_share(kind, old)
    share = max(kind.accept_share, usual * kind.factor)
    return -_log_ratio(total, bad, usual, share) if share < 1 else 0.0
