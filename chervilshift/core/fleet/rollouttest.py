"""Sequential test of a new version against the old one.

It responds to versions that fail a part of their requests or are several
times as slow, at once, later, under load, or on one route only. The hypothesis
that the new version is like the old one on the same route at the same time is
compared with some that it is much worse, by their likelihood ratio. Its
logarithm is added up step by step, each with what the old version did just
then: bursts slow down both. Sums over windows of several lengths find a fault
that begins late; that they are looked at again and again is paid for by the
threshold.

An endpoint of any version may fail or be slow by itself, so the outcomes of
one count little more than those of its version's others.
"""

import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator
from itertools import chain

from chervilshift.core.fleet.versiongate import ratio_of
from chervilshift.core.fleet.versions import RouteTotals, VersionOutcomes

__all__ = ["Evidence", "Finding"]

# Log likelihood ratio at which a version is bad, after one outcome; it grows
# by the logarithm of their number. A good version that is looked at after
# each of `n` outcomes reaches `h` with a probability of at most `n * exp(-h)`
# for each of some ten hypotheses, so this is less than one in a thousand.
BAD_LOG_RATIO = 10.0
# Log likelihood ratio at which a version is not bad on a route.
GOOD_LOG_RATIO = 7.0
# At the end of the test's time a version this likely to be bad is taken for
# bad, and one that may be is tested for longer.
SUSPECT_LOG_RATIO, DOUBT_LOG_RATIO = 7.0, 3.0
# Lengths of the windows in seconds, besides the whole time, and the interval
# at which they may begin.
WINDOWS_S = (2.0, 4.0, 8.0, 16.0, 32.0)
MARK_INTERVAL_S = 0.5
# Shares of failures of a bad version that are tested for, and of slow
# requests. A bad version is worse than the old one by the factor at least.
FAILED_SHARES = (0.02, 0.05, 0.15, 0.4)
SLOW_SHARES = (0.2, 0.3, 0.5, 0.8)
MIN_FAILED_FACTOR, MIN_SLOW_FACTOR = 3.0, 2.0
# Shares that a version has to be better than to be accepted: evidence against
# the smallest ones above takes longer than most rollouts.
ACCEPT_FAILED_SHARE, ACCEPT_SLOW_SHARE = 0.05, 0.3
# Shares that any version may have.
FAILED_FLOOR, SLOW_FLOOR = 0.004, 0.08
# What the old version's share may be exceeded by: versions share neither
# their endpoints nor their caches.
ALLOWANCE = 1.5
# The old version's outcomes in these times are compared with, so many at
# least: a burst shows in the first one at once. Failures that both versions
# have just now are of something else.
OLD_WINDOWS_S = (1.0, 3.0, 8.0)
MIN_OLD_OUTCOMES, MIN_OLD_FAILURES = 10, 2
# In a burst at the end of a ramp nearly all of the old version's outcomes may
# be from before it. Slowness is not judged at a step in which the old version
# has a smaller number of outcomes for each of the new one.
MIN_OLD_PER_NEW = 0.3
# Requests of the old version from which its usual times are known. A route's
# usual time is one that this part of them takes at most, or, with caches, the
# other. Half of their weight is lost after the half life.
MIN_USUAL_SAMPLES = 20
USUAL_QUANTILE, CACHED_QUANTILE = 0.75, 0.25
USUAL_HALF_LIFE_S = 10.0
# Bad outcomes of an endpoint count up to `OUTLIER_EXTRA`, and as often as this
# for each of the median of its version's endpoints after the first.
OUTLIER_FACTOR, OUTLIER_EXTRA = 2.0, 1.5
# A route with a smaller part of the service's requests needs no evidence.
MINOR_ROUTE_PART = 0.02


class Finding:
    """How likely it is that a version is bad, and on what account.

    `outcomes` is the number of outcomes that the test has looked at.
    """

    __slots__ = ("kind", "log_ratio", "outcomes", "route")

    def __init__(
        self,
        *,
        log_ratio: float = 0.0,
        outcomes: int = 0,
        route: str = "",
        kind: str = "",
    ):
        self.log_ratio = log_ratio
        self.outcomes = outcomes
        self.route = route
        self.kind = kind

    @property
    def is_bad(self) -> bool:
        """Whether the version is bad."""
        threshold = BAD_LOG_RATIO + math.log(max(1, self.outcomes))
        return self.log_ratio >= threshold

    @property
    def is_suspect(self) -> bool:
        """Whether the version is likely to be bad."""
        return self.log_ratio >= SUSPECT_LOG_RATIO

    @property
    def is_doubtful(self) -> bool:
        """Whether the version may be bad."""
        return self.log_ratio >= DOUBT_LOG_RATIO

    def __str__(self) -> str:
        return (
            f"{self.kind} on {self.route or 'all routes'}, "
            f"log likelihood ratio {self.log_ratio:.1f}"
        )


class _Kind:
    """How outcomes of one kind are tested.

    A bad version has one of `shares` or more of bad ones, and `factor` times
    the usual share; an accepted one has less than `accept_share`, one of
    these. Any version may have the share `floor`. With `depends_on_load` only
    what the old version does at the same time counts.
    """

    __slots__ = (
        "accept_place",
        "depends_on_load",
        "factor",
        "floor",
        "shares",
    )

    def __init__(
        self,
        *,
        shares: tuple[float, ...],
        accept_share: float,
        factor: float,
        floor: float,
        depends_on_load: bool,
    ):
        self.shares = shares
        self.accept_place = shares.index(accept_share)
        self.factor = factor
        self.floor = floor
        self.depends_on_load = depends_on_load

    def usual_share(
        self,
        whole: "_Count",
        recent: Iterable["_Count"],
        counted: dict[str, float],
    ) -> float | None:
        """Return the largest share of bad ones that is as good as the old.

        `whole` are all outcomes of the old version, `recent` those in
        windows, and `counted` the part that counts of outliers. Returns None
        if there is too little to compare with.
        """
        shares = []
        if not self.depends_on_load:
            shares.append(self._bound(whole, counted))
        for old in recent:
            if old.total < MIN_OLD_OUTCOMES:
                continue
            if self.depends_on_load or old.bad >= MIN_OLD_FAILURES:
                shares.append(self._bound(old, counted))
        return max(shares, default=None)

    def _bound(self, count: "_Count", counted: dict[str, float]) -> float:
        total, bad = count.total, count.moderated(counted)
        share = min(1.0, (bad + 0.1) / (total + 1))
        error = math.sqrt(share * (1 - share) / (total + 1))
        return max(self.floor, ALLOWANCE * share + 2 * error)


FAILED, SLOW = "failed", "slow"
_KINDS = {
    FAILED: _Kind(
        shares=FAILED_SHARES,
        accept_share=ACCEPT_FAILED_SHARE,
        factor=MIN_FAILED_FACTOR,
        floor=FAILED_FLOOR,
        depends_on_load=False,
    ),
    SLOW: _Kind(
        shares=SLOW_SHARES,
        accept_share=ACCEPT_SLOW_SHARE,
        factor=MIN_SLOW_FACTOR,
        floor=SLOW_FLOOR,
        depends_on_load=True,
    ),
}


class _Count:
    """Outcomes of one version; `bad_at` are by endpoint."""

    __slots__ = ("bad", "bad_at", "total")

    def __init__(
        self,
        *,
        total: int = 0,
        bad: int = 0,
        bad_at: Counter[str] | None = None,
    ):
        self.total = total
        self.bad = bad
        self.bad_at: Counter[str] = Counter() if bad_at is None else bad_at

    def add(self, total: int, bad: int, bad_at: Counter[str]) -> None:
        """Add outcomes."""
        self.total += total
        self.bad += bad
        if bad_at:
            self.bad_at.update(bad_at)

    def copy(self) -> "_Count":
        """Return a copy that later outcomes don't change."""
        return _Count(
            total=self.total, bad=self.bad, bad_at=Counter(self.bad_at)
        )

    def since(self, earlier: "_Count") -> "_Count":
        """Return the outcomes since an earlier copy."""
        return _Count(
            total=self.total - earlier.total,
            bad=self.bad - earlier.bad,
            bad_at=self.bad_at - earlier.bad_at,
        )

    def moderated(self, counted: dict[str, float]) -> float:
        """Return the bad outcomes without those of outliers.

        `counted` is the part that counts of the outcomes of outliers.
        """
        left_out = sum(
            (1 - part) * self.bad_at[endpoint_id]
            for endpoint_id, part in counted.items()
        )
        return max(0.0, self.bad - left_out)


class _Cell:
    """Outcomes of one kind on one route, and what they prove.

    For each share that is tested for, the log likelihood ratio is the part
    `bad_ratios`, which is due to bad outcomes, and `base_ratios`.
    """

    __slots__ = ("bad_ratios", "base_ratios", "new", "old", "tested")

    def __init__(self, shares: int):
        self.old, self.new = _Count(), _Count()
        # The old version's total, and the new version's total and bad ones,
        # that are in the ratios.
        self.tested = (0, 0, 0)
        self.bad_ratios = [0.0] * shares
        self.base_ratios = [0.0] * shares

    def copy(self) -> "_Cell":
        """Return a copy that later outcomes don't change."""
        copied = _Cell(0)
        copied.old, copied.new = self.old.copy(), self.new.copy()
        copied.tested = self.tested
        copied.bad_ratios = self.bad_ratios.copy()
        copied.base_ratios = self.base_ratios.copy()
        return copied

    def since(self, earlier: "_Cell | None") -> tuple[_Count, _Count]:
        """Return the old and new version's outcomes since an earlier copy."""
        if earlier is None:
            return self.old, self.new
        return self.old.since(earlier.old), self.new.since(earlier.new)

    def test(self, kind: _Kind, usual: float | None) -> None:
        """Add the evidence of what is new, with the usual share.

        Without one it is left out.
        """
        old_total, new_total, new_bad = self.tested
        old = self.old.total - old_total
        total = self.new.total - new_total
        bad = self.new.bad - new_bad
        self.tested = (self.old.total, self.new.total, self.new.bad)
        least = 1.0 if usual is None else usual * kind.factor
        if least >= 1 or not total:
            return
        if kind.depends_on_load and old < MIN_OLD_PER_NEW * total:
            return
        for place, tested_share in enumerate(kind.shares):
            share = max(tested_share, least)
            good_ratio = math.log((1 - share) / (1 - usual))
            bad_ratio = math.log(share / usual)
            self.bad_ratios[place] += bad * (bad_ratio - good_ratio)
            self.base_ratios[place] += total * good_ratio


# By route and kind.
_Cells = dict[tuple[str, str], _Cell]


class Evidence:
    """Outcomes of one rollout, from the totals that gateways report.

    `attempts` are those at the new version, `requests` all requests.
    """

    __slots__ = (
        "_cached_ratios",
        "_cells",
        "_marks",
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
        self._cells: _Cells = {}
        # Copies of the cells, with their times.
        self._marks: deque[tuple[float, _Cells]] = deque()
        # The old version's requests by route and bucket, decaying.
        self._ratios: dict[str, Counter[int]] = defaultdict(Counter)
        self._cached_ratios: dict[str, Counter[int]] = defaultdict(Counter)
        # When they decayed last.
        self._ratios_at: float | None = None
        self.attempts = 0
        self.requests = 0

    def add(
        self,
        gateway: tuple[str, str],
        outcomes: dict[str, VersionOutcomes],
    ) -> None:
        """Add what is new in a report of a gateway's incarnation."""
        before = self._seen.get(gateway, {})
        if before == outcomes:
            return
        self._seen[gateway] = outcomes
        for version, totals in outcomes.items():
            known = before.get(version) or VersionOutcomes()
            is_new = version == self._to
            self.requests += totals.requests - known.requests
            if is_new:
                self.attempts += totals.attempts - known.attempts
            for route, current in totals.routes.items():
                last = known.routes.get(route) or RouteTotals()
                if current != last:
                    self._add_route(route, last, current, is_new=is_new)

    def test(self, old_endpoints: int, now: float) -> None:
        """Compare what was added since the last call.

        `old_endpoints` is how many endpoints of the old version there are.
        """
        outliers = _outliers_by_kind(
            {place: cell.old for place, cell in self._cells.items()},
            old_endpoints,
        )
        earlier = [self._mark_before(now - w) for w in OLD_WINDOWS_S]
        for place, cell in self._cells.items():
            kind = _KINDS[place[1]]
            recent = [cell.since(cells.get(place))[0] for cells in earlier]
            usual = kind.usual_share(cell.old, recent, outliers[place[1]])
            cell.test(kind, usual)
        self._mark(now)

    def finding(self, new_endpoints: int, now: float) -> Finding:
        """Return the strongest evidence that the version is bad.

        `new_endpoints` is how many of them get requests.
        """
        worst = Finding()
        ended = self.ended()
        for earlier in self._windows(now):
            for kind, route, log_ratio in self._log_ratios(
                earlier, new_endpoints
            ):
                if log_ratio > worst.log_ratio:
                    worst = Finding(
                        log_ratio=log_ratio,
                        outcomes=ended,
                        route=route,
                        kind=kind,
                    )
        return worst

    def unproven_routes(self, new_endpoints: int) -> frozenset[str]:
        """Return the routes on which the new version may still be bad."""
        parts = self.parts()
        outliers = _outliers_by_kind(
            {place: cell.new for place, cell in self._cells.items()},
            new_endpoints,
        )
        return frozenset(
            route
            for (route, kind), cell in self._cells.items()
            if parts[route] >= MINOR_ROUTE_PART
            and -_cell_ratios(cell, None, outliers[kind])[
                _KINDS[kind].accept_place
            ]
            < GOOD_LOG_RATIO
        )

    def usual(self) -> dict[str, float]:
        """Return the old version's usual ratio by route, where known.

        That is one which most of its requests don't exceed. The old version
        may have all in its caches: a ratio that is met with caches then tells
        how fast it is.
        """
        found = {}
        for route, ratios in self._ratios.items():
            if sum(ratios.values()) < MIN_USUAL_SAMPLES:
                continue
            found[route] = _quantile(ratios, USUAL_QUANTILE)
            cached = self._cached_ratios.get(route)
            if cached:
                least = _quantile(cached, CACHED_QUANTILE)
                found[route] = max(found[route], least)
        return found

    def parts(self) -> dict[str, float]:
        """Return which part of the service's requests each route has."""
        sizes = {
            route: cell.old.total + cell.new.total
            for (route, kind), cell in self._cells.items()
            if kind == FAILED
        }
        total = max(1, sum(sizes.values()))
        return {route: size / total for route, size in sizes.items()}

    def ended(self) -> int:
        """Return the number of the new version's outcomes."""
        return sum(
            cell.new.total
            for (_, kind), cell in self._cells.items()
            if kind == FAILED
        )

    def counts(self) -> dict[str, list[int]]:
        """Return by route, for logs, what attempts at the new version gave.

        These are the numbers of outcomes, of failures, of those judged by
        their time, and of those found slow.
        """
        found: dict[str, list[int]] = {}
        for (route, kind), cell in self._cells.items():
            counts = found.setdefault(route, [0, 0, 0, 0])
            place = 0 if kind == FAILED else 2
            counts[place : place + 2] = [cell.new.total, cell.new.bad]
        return found

    def _add_route(
        self,
        route: str,
        last: RouteTotals,
        current: RouteTotals,
        *,
        is_new: bool,
    ) -> None:
        failed = self._count(route, FAILED, is_new=is_new)
        failed.add(
            current.ended - last.ended,
            current.failed - last.failed,
            Counter(current.failed_at) - Counter(last.failed_at),
        )
        slow = self._count(route, SLOW, is_new=is_new)
        slow.add(
            current.judged - last.judged,
            current.slow - last.slow,
            Counter(current.slow_at) - Counter(last.slow_at),
        )
        if not is_new:
            self._ratios[route].update(
                Counter(current.ratios) - Counter(last.ratios)
            )
            if current.cached_ratios:
                self._cached_ratios[route].update(
                    Counter(current.cached_ratios)
                    - Counter(last.cached_ratios)
                )

    def _count(self, route: str, kind: str, *, is_new: bool) -> _Count:
        place = (route, kind)
        if place not in self._cells:
            self._cells[place] = _Cell(len(_KINDS[kind].shares))
        cell = self._cells[place]
        return cell.new if is_new else cell.old

    def _mark(self, now: float) -> None:
        """Copy the cells, and let old ratios decay, once in a while."""
        if self._marks and now - self._marks[-1][0] < MARK_INTERVAL_S:
            return
        copied = {place: cell.copy() for place, cell in self._cells.items()}
        self._marks.append((now, copied))
        oldest = now - WINDOWS_S[-1] - 2 * MARK_INTERVAL_S
        while self._marks[0][0] < oldest:
            self._marks.popleft()
        past_s = 0.0 if self._ratios_at is None else now - self._ratios_at
        factor = 0.5 ** (past_s / USUAL_HALF_LIFE_S)
        self._ratios_at = now
        tables = (self._ratios, self._cached_ratios)
        for ratios in chain.from_iterable(t.values() for t in tables):
            for bucket in ratios:
                ratios[bucket] *= factor

    def _mark_before(self, at: float) -> _Cells:
        """Return the newest copy that is as old, empty without one."""
        marks = (cells for time, cells in reversed(self._marks) if time <= at)
        return next(marks, {})

    def _windows(self, now: float) -> Iterator[_Cells]:
        """Yield the cells at the beginnings of windows that end now."""
        yield {}
        for length_s in WINDOWS_S:
            cells = self._mark_before(now - length_s)
            if not cells:
                return
            yield cells

    def _log_ratios(
        self, earlier: _Cells, new_endpoints: int
    ) -> Iterator[tuple[str, str, float]]:
        """Yield the evidence by kind and route, with route "" for all.

        Routes differ in their shares, so these are not added up, but the
        evidence is.
        """
        counts = {
            place: cell.since(earlier.get(place))[1]
            for place, cell in self._cells.items()
        }
        outliers = _outliers_by_kind(counts, new_endpoints)
        sums = {kind: [0.0] * len(_KINDS[kind].shares) for kind in _KINDS}
        for place, cell in self._cells.items():
            route, kind = place
            log_ratios = _cell_ratios(
                cell, earlier.get(place), outliers[kind], counts[place]
            )
            yield kind, route, max(log_ratios)
            for index, log_ratio in enumerate(log_ratios):
                sums[kind][index] += log_ratio
        for kind, log_ratios in sums.items():
            yield kind, "", max(log_ratios)


def _cell_ratios(
    cell: _Cell,
    earlier: _Cell | None,
    counted: dict[str, float],
    count: _Count | None = None,
) -> list[float]:
    """Return the log likelihood ratios since an earlier copy of a cell.

    `count` are the new version's outcomes since then, and `counted` the part
    of them that counts at outliers.
    """
    count = count or cell.new
    part = count.moderated(counted) / count.bad if count.bad else 1.0
    ratios = [
        part * bad + base
        for bad, base in zip(cell.bad_ratios, cell.base_ratios, strict=True)
    ]
    if earlier is None:
        return ratios
    return [
        ratio - part * bad - base
        for ratio, bad, base in zip(
            ratios, earlier.bad_ratios, earlier.base_ratios, strict=True
        )
    ]


def _outliers_by_kind(
    counts: dict[tuple[str, str], _Count], endpoints: int
) -> dict[str, dict[str, float]]:
    """Return the outliers of one version over all routes, by kind."""
    sums: dict[str, Counter[str]] = {kind: Counter() for kind in _KINDS}
    for (_, kind), count in counts.items():
        sums[kind].update(count.bad_at)
    return {kind: _outliers(at, endpoints) for kind, at in sums.items()}


def _outliers(bad_at: Counter[str], endpoints: int) -> dict[str, float]:
    """Return which part of their outcomes counts at outlying endpoints.

    `bad_at` are bad outcomes by endpoint. Those of an endpoint count up to a
    bit more than the median of all.
    """
    if endpoints < 2 or not bad_at:
        return {}
    counts = sorted(bad_at.values(), reverse=True)
    # The others have none.
    place = endpoints // 2
    median = counts[place] if place < len(counts) else 0
    allowed = OUTLIER_EXTRA + OUTLIER_FACTOR * max(0, median - 1)
    return {
        endpoint_id: allowed / bad
        for endpoint_id, bad in bad_at.items()
        if bad > allowed
    }


def _quantile(ratios: Counter[int], part: float) -> float:
    """Return the ratio that a part of the requests don't exceed."""
    left = part * sum(ratios.values())
    for bucket in sorted(ratios):
        left -= ratios[bucket]
        if left <= 0:
            return ratio_of(bucket)
    return ratio_of(max(ratios))
