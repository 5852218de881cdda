"""A gateway's part in rollouts: which versions a request may go to.

It responds to a version that fails or is slow while traffic moves to it. What
the log says of a service's rollout comes with the endpoints, so a gateway
that knows endpoints of a new version knows that they are on trial. Only with
fresh news of the leader does it send anything to them, and until the test has
accepted the version no more than the exposure share of the requests that it
has sent itself since it learned of the order. Each gateway, and each of its
incarnations, keeps to the share by itself; so does their sum, whatever news
or reports are lost.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from random import Random

from chervilshift.core.fleet.model import READY
from chervilshift.core.fleet.news import NEWS_EXPIRY_S
from chervilshift.core.fleet.placement import Choice, Endpoint, Work
from chervilshift.core.fleet.speeds import PREFILL_TOKENS_PER_S
from chervilshift.core.fleet.versions import (
    FINISH,
    RAMP,
    TEST,
    Rollout,
    RolloutPolicy,
    RouteTotals,
    VersionOutcomes,
    VersionShares,
    old_lease_end_s,
)

__all__ = [
    "SLOW_MULTIPLE",
    "Attempt",
    "VersionGate",
    "ratio_bucket",
    "ratio_of",
]

# Part of the exposure share that new requests use. The rest is for streams
# that have begun at the new version and have to go on there.
EXPOSURE_USE = 0.9
# A request is slow if it takes this multiple of its route's usual time.
SLOW_MULTIPLE = 2.0
# Predicted times below are taken as this, as in `Placement.observe`.
MIN_PREDICTED_S = 0.01
# Buckets of ratios per doubling, and their bounds.
BUCKETS_PER_DOUBLING = 4
MIN_BUCKET, MAX_BUCKET = -24, 48
# Routes and failing endpoints that are reported of one version.
MAX_ROUTES = 64
MAX_ENDPOINTS_NAMED = 16


def ratio_bucket(ratio: float) -> int:
    """Return the bucket of a ratio of actual to predicted time."""
    bucket = math.ceil(BUCKETS_PER_DOUBLING * math.log2(max(ratio, 1e-9)))
    return max(MIN_BUCKET, min(MAX_BUCKET, bucket))


def ratio_of(bucket: int) -> float:
    """Return the upper end of a bucket."""
    return 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


class _Totals:
    """Totals of one route at one version."""

    __slots__ = (
        "cached_ratios",
        "ended",
        "failed",
        "failed_at",
        "judged",
        "ratios",
        "slow",
        "slow_at",
    )

    def __init__(self):
        self.ended = self.failed = self.judged = self.slow = 0
        self.ratios: Counter[int] = Counter()
        self.cached_ratios: Counter[int] = Counter()
        self.failed_at: Counter[str] = Counter()
        self.slow_at: Counter[str] = Counter()

    def message(self) -> RouteTotals:
        """Return the totals as they are reported."""
        return RouteTotals(
            ended=self.ended,
            failed=self.failed,
            judged=self.judged,
            slow=self.slow,
            ratios=dict(self.ratios),
            cached_ratios=dict(self.cached_ratios),
            failed_at=dict(self.failed_at.most_common(MAX_ENDPOINTS_NAMED)),
            slow_at=dict(self.slow_at.most_common(MAX_ENDPOINTS_NAMED)),
        )


class _Version:
    """Totals of one version."""

    __slots__ = ("attempts", "requests", "routes")

    def __init__(self):
        self.requests = self.attempts = 0
        self.routes: dict[str, _Totals] = {}

    def route(self, name: str) -> _Totals:
        """Return the totals of a route; those beyond a limit share theirs."""
        if name not in self.routes and len(self.routes) >= MAX_ROUTES:
            name = ""
        return self.routes.setdefault(name, _Totals())


class _Trial:
    """A rollout of one service, with this gateway's counts since its order.

    `shares` are the leader's last decisions, None before the first.
    """

    __slots__ = ("requests", "rollout", "sent", "shares", "versions")

    def __init__(self, *, rollout: Rollout):
        self.rollout = rollout
        self.shares: VersionShares | None = None
        self.requests = self.sent = 0
        self.versions: defaultdict[str, _Version] = defaultdict(_Version)

    def has_room(self, limit_share: float) -> bool:
        """Whether a share leaves room for one more request.

        Each attempt at the new version counts, each request once.
        """
        extra = self.shares.extra if self.shares else 0.0
        return self.sent + 1 <= limit_share * self.requests + extra


class Attempt:
    """One attempt during a rollout, until its outcome is counted.

    `uncached_s` is its predicted time if nothing is cached but what this
    gateway knows to be, `cached_s`, for engines, that with all that may be.
    """

    __slots__ = (
        "_cached_s",
        "_ended",
        "_failed",
        "_started_at",
        "_uncached_s",
        "_usual",
        "endpoint_id",
        "totals",
    )

    def __init__(
        self,
        *,
        totals: _Totals,
        endpoint_id: str,
        usual: float | None,
        uncached_s: float,
        cached_s: float | None,
        now: float,
    ):
        self.totals = totals
        self.endpoint_id = endpoint_id
        self._usual = usual
        self._uncached_s = uncached_s
        self._cached_s = cached_s
        self._started_at = now
        self._ended = self._failed = False

    def record_reply(self, now: float, *, ok: bool = True) -> None:
        """Count a reply: its end, or the first event of a stream."""
        if self._ended:
            return
        took_s = now - self._started_at
        self._judge(took_s)
        if ok:
            self._count_ratios(took_s)
            self._end()
        else:
            self._fail()

    def record_failure(self, now: float, *, broken: bool) -> None:
        """Count a failure, also of a stream that has begun.

        An attempt that was given up by the gateway after a long time was
        slow. Under a high load that happens with any version, so it is
        compared with what the old one does at the same time.
        """
        took_s = now - self._started_at
        if not broken and not self._ended and self._is_slow(took_s):
            self._judge(took_s)
            self._end()
        else:
            self._fail()

    def record_timeout(self, now: float) -> None:
        """Count an attempt that had not replied by its deadline."""
        if not self._ended:
            self._judge(now - self._started_at)
            self._end()

    def _count_ratios(self, took_s: float) -> None:
        self.totals.ratios[ratio_bucket(took_s / self._uncached_s)] += 1
        if self._cached_s is not None:
            bucket = ratio_bucket(took_s / self._cached_s)
            self.totals.cached_ratios[bucket] += 1

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self.totals.ended += 1

    def _fail(self) -> None:
        self._end()
        if not self._failed:
            self._failed = True
            self.totals.failed += 1
            self.totals.failed_at[self.endpoint_id] += 1

    def _is_slow(self, took_s: float) -> bool:
        return self._usual is not None and (
            took_s > SLOW_MULTIPLE * self._usual * self._uncached_s
        )

    def _judge(self, took_s: float) -> None:
        if self._usual is None:
            return
        self.totals.judged += 1
        if self._is_slow(took_s):
            self.totals.slow += 1
            self.totals.slow_at[self.endpoint_id] += 1


class VersionGate:
    """Decides which versions get a service's requests, and counts outcomes.

    Without a `policy` in the settings a new version gets nothing while it is
    tested. News older than `news_expiry_s` are not followed.
    """

    __slots__ = (
        "_limit_share",
        "_rng",
        "_shares",
        "_trials",
        "news_expiry_s",
        "revision",
    )

    def __init__(self, *, rng: Random, policy: RolloutPolicy | None = None):
        self._rng = rng
        self._limit_share = policy.share if policy else 0.0
        # The other half is for the verdict to be reached.
        self.news_expiry_s = (
            min(NEWS_EXPIRY_S, policy.rollback_s / 2)
            if policy
            else NEWS_EXPIRY_S
        )
        self._trials: dict[str, _Trial] = {}
        self._shares: dict[str, VersionShares] = {}
        self.revision = 0

    def set_rollouts(self, rollouts: Iterable[Rollout], revision: int) -> None:
        """Take over what the log says, unless it is older."""
        if revision <= self.revision:
            return
        trials = {}
        for rollout in rollouts:
            if rollout.settled:
                continue
            held = self._trials.get(rollout.service)
            if held is None or held.rollout.order != rollout.order:
                held = _Trial(rollout=rollout)
            held.rollout = rollout
            trials[rollout.service] = held
        self._trials = trials
        self.revision = revision
        # News may come before the rollout that they are of.
        self._assign_shares()

    def apply(self, shares: dict[str, VersionShares], now: float) -> None:
        """Take over the leader's shares."""
        self._shares = shares
        self._assign_shares()

    def _assign_shares(self) -> None:
        for service, trial in self._trials.items():
            given = self._shares.get(service)
            if given is not None and given.order != trial.rollout.order:
                given = None
            trial.shares = given

    def has_rule(self, service: str) -> bool:
        """Whether a rollout has a say in where a service's requests go."""
        return service in self._trials

    def report(self, now: float) -> dict[str, dict[str, VersionOutcomes]]:
        """Return the totals of running rollouts, by service and version."""
        return {
            service: {
                version: VersionOutcomes(
                    order=trial.rollout.order,
                    requests=held.requests,
                    attempts=held.attempts,
                    routes={
                        name: totals.message()
                        for name, totals in held.routes.items()
                    },
                )
                for version, held in trial.versions.items()
            }
            for service, trial in self._trials.items()
            if trial.rollout.is_running and trial.versions
        }

    # Gauges, over all rollouts

    def requests(self) -> int:
        """Return the requests that were sent since the orders."""
        return sum(trial.requests for trial in self._trials.values())

    def attempts(self) -> int:
        """Return the attempts that new versions got since the orders."""
        return sum(trial.sent for trial in self._trials.values())

    # Requests

    def wants_new(self, service: str, route: str) -> bool:
        """Draw whether a new request should go to the new version."""
        trial = self._trials[service]
        shares = trial.shares
        if shares is None or shares.closed:
            return False
        return self._rng.random() < shares.routes.get(route, shares.share)

    def preferences(
        self,
        service: str,
        endpoints: Iterable[Endpoint],
        now: float,
        wall_s: float,
        *,
        wants_new: bool,
        is_fresh: bool,
        version: str | None = None,
    ) -> tuple[frozenset[str], ...]:
        """Return sets of endpoints to exclude; the first is preferred.

        The next one is for the case that the one before leaves no endpoint.
        Nothing may be used if there are none. `is_fresh` tells whether the
        news are recent enough to be followed, and `version` is the one at
        which a stream has to go on, None if that is open.
        """
        trial = self._trials[service]
        rollout = trial.rollout
        endpoints = tuple(endpoints)
        safe = frozenset(
            e.id for e in endpoints if rollout.excludes(e.record.version)
        )
        if not rollout.is_running or rollout.stage == FINISH:
            return (safe,)
        if not is_fresh:
            if wall_s < old_lease_end_s(rollout):
                return (safe,)
            if rollout.stage == TEST:
                return ()
            return (self._all_but_new(rollout, endpoints),)
        goes_on = version == rollout.to
        may_use_new = (
            trial.shares is not None
            and not trial.shares.closed
            and (
                rollout.stage == RAMP
                or trial.has_room(
                    self._limit_share * (1.0 if goes_on else EXPOSURE_USE)
                )
            )
        )
        if not may_use_new:
            return (safe,)
        new = self._all_but_new(rollout, endpoints)
        if version is not None:
            return (new,) if goes_on else (safe,)
        chosen = self._all_but_chosen(trial, endpoints, now)
        return (chosen, safe, new) if wants_new else (safe, new)

    def record_placed(self, service: str, version: str) -> None:
        """Count an attempt that is about to be sent to a version."""
        trial = self._trials.get(service)
        if trial is not None and trial.rollout.is_running:
            trial.versions[version].attempts += 1
            if version == trial.rollout.to:
                trial.sent += 1

    def begin(
        self,
        service: str,
        route: str,
        choice: Choice,
        work: Work,
        now: float,
        *,
        is_first: bool,
        is_engine: bool,
    ) -> Attempt | None:
        """Count an attempt that is sent, None if no rollout is running."""
        trial = self._trials.get(service)
        if trial is None or not trial.rollout.is_running:
            return None
        version = trial.versions[choice.endpoint.record.version]
        if is_first:
            version.requests += 1
            trial.requests += 1
        uncached_s = max(MIN_PREDICTED_S, choice.baseline_s)
        cached_s = None
        if is_engine:
            # Endpoints of a new version begin with cold caches, and are not
            # slow for that.
            cached_s = uncached_s
            uncached = choice.endpoint.uncached_tokens(work, likelihood=0.0)
            more = max(0, uncached - choice.uncached_tokens)
            uncached_s += more / PREFILL_TOKENS_PER_S
        return Attempt(
            totals=version.route(route),
            endpoint_id=choice.endpoint.id,
            usual=trial.shares.usual.get(route) if trial.shares else None,
            uncached_s=uncached_s,
            cached_s=cached_s,
            now=now,
        )

    def _all_but_new(
        self, rollout: Rollout, endpoints: Iterable[Endpoint]
    ) -> frozenset[str]:
        return frozenset(
            e.id for e in endpoints if e.record.version != rollout.to
        )

    def _all_but_chosen(
        self, trial: _Trial, endpoints: Iterable[Endpoint], now: float
    ) -> frozenset[str]:
        """Exclude all but the endpoints that the new version's share gets.

        All gateways choose the same ones, so that these are loaded as much as
        the old ones are. Full and unreachable ones are left out.
        """
        new = sorted(
            (
                e
                for e in endpoints
                if e.record.version == trial.rollout.to
                and e.record.state == READY
            ),
            key=lambda e: e.id,
        )
        chosen = new[: trial.shares.width or None]
        open_ids = {
            e.id
            for e in chosen
            if e.total_active() < e.record.slots
            and not e.health.is_excluded(now)
        }
        return frozenset(e.id for e in endpoints if e.id not in open_ids)
