"""Selects the endpoint for an attempt by its predicted cost in seconds.

The endpoint with the lowest cost among some candidates is chosen. With many
endpoints these are the first homes of the prompt, which all gateways of a
region agree on, the endpoint that this gateway sent its parts to last, and few
at random. In a burst, prompts that a home has no time for go to the next one,
and not to whichever endpoint seemed idle in news that all gateways have.

The load of an endpoint is the gateway's own, which is current, plus that of
other gateways, as control last reported it.

For model engines the cost is the predicted time to first token (distance,
queued prefill, concurrent requests) plus interference: prefill delays the
tokens of streams on the same engine, so long prompts avoid engines with many
streams, and long streams avoid engines with much prefill. Each prompt has a
home, the engine where its shared parts are cached, chosen by rendezvous
hashing; see `candidates`. For plain services the cost is the predicted reply
time.

An endpoint that this gateway has not tried lately is expected to fail as often
as those of its service that it has. Some requests go to such an endpoint
although others seem faster: without them one that was slow once would get
nothing until the others are crowded. Among equals one is chosen at random, so
that the gateways of a fleet don't all ask the same.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Container, Iterable
from itertools import chain
from random import Random

from chervilshift.core.fleet.candidates import (
    HOMES,
    MAX_ALL,
    EndpointPool,
    draw,
    first_of,
)
from chervilshift.core.fleet.health import FailureTally, Health
from chervilshift.core.fleet.model import (
    GONE,
    READY,
    SILENT,
    EndpointRecord,
    ServiceSpec,
)
from chervilshift.core.fleet.speeds import PREFILL_TOKENS_PER_S
from chervilshift.core.fleet.sync import EndpointLoad
from chervilshift.core.fleet.tables import forget_unnamed
from chervilshift.core.fleet.zones import Zone

__all__ = ["Choice", "Endpoint", "Placed", "Placement", "Work"]

# Time that each running request adds to another's time to first token.
CROWDING_PER_REQUEST_S = 0.0005
# Reply time of a plain service before its latency ratio is learned.
PLAIN_CALL_S = 0.06
# Prefill tokens between two events of a stream that don't make it late:
# engines run prefill in chunks, and a few chunks fit into one allowed pause.
HARMLESS_PREFILL_TOKENS = 8_000
# Cost of delaying one running stream by a second of prefill beyond that, in
# seconds of the prompt's own wait.
STREAM_DELAY_WEIGHT = 0.5
# Cost of one second of streaming at an engine that is always in prefill, in
# seconds of wait.
PREFILL_EXPOSURE_WEIGHT = 0.25
# Time of an engine per output token at a usual batch size.
OUTPUT_TOKEN_S = 0.006
# An engine with at least this many seconds of queued prefill counts as always
# in prefill.
FULL_PREFILL_BACKLOG_S = 0.1
# Weight of the newest sample in an engine's share of time in prefill.
PREFILL_SAMPLE_WEIGHT = 0.15
# Round trip between regions, with the transfer of a prompt.
REMOTE_DELAY_S = 0.1
# An engine other than the prompt's home must be cheaper by this much.
NON_HOME_COST_S = 0.03
# Prompt parts assumed cached per endpoint, about what its memory holds.
MAX_CACHED_PARTS = 400
# Seconds for which an engine keeps parts after their last use. Measured: a
# second read within 7.6 to 9.1 s after the last use was avoidable.
CACHED_S = 8.0
# Keys whose last use by this gateway is kept.
MAX_LAST_USES = 4_096
# Weight of the newest report in the mean of the prefill queued by others; a
# mean over some seconds, in which gateways that act on the same reports don't
# see the effect of one decision as a new state.
QUEUE_SAMPLE_WEIGHT = 0.1
# Age of the load of other gateways when it is used: 0.25 to 1 s.
LOAD_NEWS_AGE_S = 0.5
# Prompts of a home's keys have also been read at their next home if the home
# was in prefill for more than this share of the time lately; the likelihood
# grows with the excess by this weight.
NEXT_HOME_FROM, NEXT_HOME_WEIGHT = 0.5, 1.0
# Cost of a second of reading shared parts again, in seconds of wait. It delays
# what is queued behind it, which then leaves its own homes: with a weight of 0
# or 1, bursts that the engines could read once were read several times (see
# tests/core/fleet/test_shared_parts.py).
READ_AGAIN_WEIGHT = 4.0
# Candidates outside of the zone that is preferred.
OUTSIDE = 2
# With at most this many endpoints that may be open, all are looked at to find
# out whether few are open.
MAX_SCANNED = 2 * MAX_ALL
# Endpoints drawn at random in this region beside the homes; each one more is
# where some prompts go as its load seems low, and read their parts again.
DRAWS = 1
# Endpoints of plain services, which have no homes, drawn in this region.
PLAIN_DRAWS = 8
# With fewer open ones among those, all endpoints are looked at.
MIN_DRAWN = 4
# Endpoints drawn at random in other regions.
REMOTE_DRAWS = 1
# A failed call costs the caller about one more call.
FAILURE_COST_S = 0.3
# Failure rates that sum up to less make no difference to placement.
NEGLIGIBLE_FAILURE_RATE = 0.01
NEGLIGIBLE_COST_S = FAILURE_COST_S * NEGLIGIBLE_FAILURE_RATE
# Part of a service's requests that may go to endpoints not tried lately.
TRIAL_FRACTION = 0.05
# Weight of the newest reply in a service's latency ratio; small, since every
# reply of its endpoints is a sample.
LATENCY_RATIO_WEIGHT = 0.05
# Bounds of a service's mean ratio of actual to baseline time.
LATENCY_RATIO_MIN, LATENCY_RATIO_MAX = 0.25, 4.0


class Work:
    """Size of one request.

    `parts` are the (id, tokens) of the prompt's parts in order, of which the
    last is usually specific to the request. `tokens` is the size of the
    whole prompt and `output_tokens` the maximum output. Plain calls have
    none of these.
    """

    __slots__ = ("output_tokens", "parts", "tokens")

    def __init__(
        self,
        *,
        tokens: int = 0,
        output_tokens: int = 0,
        parts: tuple[tuple[str, int], ...] = (),
    ):
        self.tokens = tokens
        self.output_tokens = output_tokens
        self.parts = parts

    @property
    def affinity_key(self) -> str:
        """The id of the last shared part, by which the home is chosen."""
        shared = self.parts[:-1] or self.parts
        return shared[-1][0] if shared else ""

    @property
    def shared_tokens(self) -> int:
        """The tokens of the prompt's shared parts."""
        return sum(tokens for _, tokens in self.parts[:-1])

    @property
    def own_tokens(self) -> int:
        """The tokens of the whole prompt beyond its shared parts."""
        return self.tokens - self.shared_tokens


class Endpoint:
    """Load, health and assumed cache of one endpoint at this gateway.

    `active` and `prefill_tokens` are this gateway's own load, `other_load`
    that of all others. `prefill_fraction` is the mean share of time in
    prefill, 0 to 1. `remote` marks an endpoint in another region.
    """

    __slots__ = (
        "_cached_parts",
        "active",
        "health",
        "mean_other_tokens",
        "other_load",
        "prefill_fraction",
        "prefill_tokens",
        "record",
        "remote",
    )

    def __init__(
        self,
        *,
        record: EndpointRecord,
        remote: bool,
        tally: FailureTally | None = None,
    ):
        self.record = record
        self.remote = remote
        self.active = 0
        self.prefill_tokens = 0
        self.other_load = EndpointLoad()
        self.mean_other_tokens = 0.0
        self.prefill_fraction = 0.0
        self.health = Health(tally=tally)
        # When a prompt with the part was last read here, the latest last.
        self._cached_parts: OrderedDict[str, float] = OrderedDict()

    @property
    def id(self) -> str:
        """The endpoint's id."""
        return self.record.id

    def load(self) -> EndpointLoad:
        """Return this gateway's own load at the endpoint."""
        return EndpointLoad(
            active=self.active, prefill_tokens=self.prefill_tokens
        )

    @property
    def queued_tokens(self) -> int:
        """Prompt tokens of all gateways that are not known to be read."""
        return self.prefill_tokens + self.other_load.prefill_tokens

    def total_active(self) -> int:
        """Return the number of requests from all gateways, as last known."""
        return self.active + self.other_load.active

    def set_other_load(
        self, load: EndpointLoad, prefill_speed: float = PREFILL_TOKENS_PER_S
    ) -> None:
        """Set the load from other gateways, and sample the prefill share."""
        self.other_load = load
        self.mean_other_tokens += QUEUE_SAMPLE_WEIGHT * (
            load.prefill_tokens - self.mean_other_tokens
        )
        utilization = min(
            1.0, self.queued_tokens / prefill_speed / FULL_PREFILL_BACKLOG_S
        )
        self.prefill_fraction += PREFILL_SAMPLE_WEIGHT * (
            utilization - self.prefill_fraction
        )

    def usable(self, now: float) -> bool:
        """Whether the endpoint may get new requests."""
        if self.record.state == SILENT:
            return self.health.replied_recently(now)
        return self.record.state == READY

    def expected_other_tokens(
        self, prefill_speed: float = PREFILL_TOKENS_PER_S
    ) -> float:
        """Return the prefill that others have queued, as far as news tell.

        A queue that may have been worked off since it was reported says
        little about the queue now; then the mean of the last reports counts.
        """
        latest = self.other_load.prefill_tokens
        done_since = prefill_speed * LOAD_NEWS_AGE_S
        trust = min(1.0, latest / done_since)
        mean = self.mean_other_tokens
        return mean + trust * (latest - mean)

    def uncached_tokens(
        self, work: Work, *, likelihood: float, since: float = float("-inf")
    ) -> int:
        """Return the prompt tokens expected to need prefill at the endpoint.

        Parts that this gateway's prompts had there after `since` are cached;
        `likelihood` is that of the other shared parts. The last part is the
        request's own.
        """
        cached_tokens = 0.0
        shared = len(work.parts) - 1
        share = 1.0
        for index, (part_id, tokens) in enumerate(work.parts):
            if self._cached_parts.get(part_id, float("-inf")) < since or (
                part_id not in self._cached_parts
            ):
                share = min(share, likelihood if index < shared else 0.0)
            if not share:
                break
            cached_tokens += share * tokens
        return max(0, work.tokens - round(cached_tokens))

    def add_cached(self, work: Work, now: float = 0.0) -> None:
        """Record that a prompt's parts are now cached at the endpoint."""
        for part_id, _ in work.parts:
            self._cached_parts[part_id] = now
            self._cached_parts.move_to_end(part_id)
        while len(self._cached_parts) > MAX_CACHED_PARTS:
            self._cached_parts.popitem(last=False)


class TrialBudget:
    """Limits the trials of a service's endpoints to a part of its attempts."""

    __slots__ = ("_credits",)

    def __init__(self):
        # A trial takes 1.
        self._credits = 1.0

    def allows(self) -> bool:
        """Whether the next attempt may be a trial."""
        return self._credits >= 1.0

    def record(self, *, is_trial: bool) -> None:
        """Record that an attempt starts."""
        credits = 0.0 if is_trial else self._credits + TRIAL_FRACTION
        self._credits = min(1.0, credits)


class LastUses:
    """Where this gateway's last prompts with each key went, and when."""

    __slots__ = ("_uses",)

    def __init__(self):
        self._uses: OrderedDict[str, tuple[float, str]] = OrderedDict()

    def find(self, key: str, now: float) -> str:
        """Return the endpoint's id, "" if its engine may have evicted."""
        used_at, endpoint_id = self._uses.get(key, (float("-inf"), ""))
        return endpoint_id if now - used_at <= CACHED_S else ""

    def record(self, key: str, endpoint_id: str, now: float) -> None:
        """Record that a prompt with a key goes to an endpoint."""
        self._uses[key] = (now, endpoint_id)
        self._uses.move_to_end(key)
        if len(self._uses) > MAX_LAST_USES:
            self._uses.popitem(last=False)


class Choice:
    """A candidate endpoint for an attempt, with predicted wait and cost.

    `baseline_s` is the predicted time until the reply begins at a healthy
    endpoint under the same load, before correction by the service's latency
    ratio. `wait_s` is the prediction for this endpoint. `cost_s` adds the
    delay of other requests, the risk of failure and the preference for the
    prompt's home. `uncached_tokens` is the part of the prompt expected to
    need prefill. A trial counts in `trial_budget`, and the use of the `key` of
    its shared parts in `last_uses`. `zone` is where the request should go.
    """

    __slots__ = (
        "baseline_s",
        "cost_s",
        "endpoint",
        "is_trial",
        "key",
        "last_uses",
        "trial_budget",
        "uncached_tokens",
        "wait_s",
        "zone",
    )

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        baseline_s: float,
        wait_s: float,
        cost_s: float,
        uncached_tokens: int,
    ):
        self.endpoint = endpoint
        self.is_trial = False
        self.trial_budget: TrialBudget | None = None
        self.key = ""
        self.zone: Zone | None = None
        self.last_uses: LastUses | None = None
        self.baseline_s = baseline_s
        self.wait_s = wait_s
        self.cost_s = cost_s
        self.uncached_tokens = uncached_tokens


class Placed:
    """Context manager that counts an attempt in its endpoint's load."""

    __slots__ = ("_started_at", "_uncached_tokens", "choice")

    def __init__(self, *, choice: Choice, now: float):
        self.choice = choice
        self._started_at = now
        self._uncached_tokens = 0

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint that gets the attempt."""
        return self.choice.endpoint

    def __enter__(self) -> "Placed":
        self._uncached_tokens = self.choice.uncached_tokens
        self.endpoint.active += 1
        self.endpoint.prefill_tokens += self._uncached_tokens
        self.endpoint.health.record_start(self._started_at)
        if self.choice.trial_budget is not None:
            self.choice.trial_budget.record(is_trial=self.choice.is_trial)
        if self.choice.last_uses is not None:
            self.choice.last_uses.record(
                self.choice.key, self.endpoint.id, self._started_at
            )
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.prefill_done()
        self.endpoint.active -= 1
        self.endpoint.health.record_end()

    def prefill_done(self) -> None:
        """Record that the prefill of the prompt is done."""
        self.endpoint.prefill_tokens -= self._uncached_tokens
        self._uncached_tokens = 0


class Placement:
    """Endpoints known to a gateway, and selection among them.

    `regions` maps failure domains to regions; `region` is the gateway's. The
    latency ratio of a service is the mean ratio of actual to baseline time
    over the replies of all its endpoints.
    """

    __slots__ = (
        "_endpoints",
        "_last_uses",
        "_latency_ratios",
        "_now",
        "_pools",
        "_prefill_speeds",
        "_region",
        "_regions",
        "_rng",
        "_tallies",
        "_trial_budgets",
        "_zone_pools",
    )

    def __init__(self, *, region: str, regions: dict[str, str], rng: Random):
        self._rng = rng
        self._region = region
        self._regions = regions
        self._endpoints: dict[str, Endpoint] = {}
        self._pools: dict[str, EndpointPool[Endpoint]] = {}
        # Made when first used.
        self._zone_pools: dict[tuple[str, Zone], EndpointPool[Endpoint]] = {}
        self._tallies: defaultdict[str, FailureTally] = defaultdict(
            FailureTally
        )
        self._last_uses = LastUses()
        self._now = 0.0
        self._latency_ratios: defaultdict[str, float] = defaultdict(
            lambda: 1.0
        )
        self._trial_budgets: defaultdict[str, TrialBudget] = defaultdict(
            TrialBudget
        )
        self._prefill_speeds: dict[str, float] = {}

    def update_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Replace the endpoints by those that control reports.

        State is kept for endpoints of the same incarnation.
        """
        endpoints = {}
        for record in records:
            endpoint = self._endpoints.get(record.id)
            if endpoint is None or endpoint.record.born_ms != record.born_ms:
                endpoint = Endpoint(
                    record=record,
                    remote=self._is_remote(record),
                    tally=self._tallies[record.service],
                )
            endpoint.record = record
            endpoints[record.id] = endpoint
        for endpoint_id, endpoint in self._endpoints.items():
            if endpoints.get(endpoint_id) is not endpoint:
                endpoint.health.leave_tally(self._now)
        self._endpoints = endpoints
        members = defaultdict(list)
        for endpoint in endpoints.values():
            members[endpoint.record.service].append(endpoint)
        self._pools = {
            service: EndpointPool(found, self._pools.get(service))
            for service, found in members.items()
        }
        self._zone_pools = {
            (service, zone): self._make_zone_pool(service, zone, pool)
            for (service, zone), pool in self._zone_pools.items()
            if service in self._pools
        }

    def change_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Take over changed records, and remove endpoints that have ended."""
        changed = {record.id: record for record in records}
        kept = (
            endpoint.record
            for endpoint in self._endpoints.values()
            if endpoint.id not in changed
        )
        ready = (r for r in changed.values() if r.state != GONE)
        self.update_endpoints(chain(kept, ready))

    def set_services(self, names: Container[str]) -> None:
        """Set the services that the configuration names."""
        forget_unnamed(self._latency_ratios, names)
        forget_unnamed(self._trial_budgets, names)
        forget_unnamed(self._tallies, names)

    def set_prefill_speeds(self, speeds: dict[str, float]) -> None:
        """Set the prefill tokens per second of engines, by service.

        The latency ratio had corrected the former speed, so it is divided by
        what the speed now corrects.
        """
        for service, speed in speeds.items():
            former = self.prefill_speed(service)
            if service in self._latency_ratios and speed != former:
                self._set_latency_ratio(
                    service, self._latency_ratios[service] * speed / former
                )
        self._prefill_speeds = dict(speeds)

    def prefill_speed(self, service: str) -> float:
        """Return the prefill tokens per second of a service's engines."""
        return self._prefill_speeds.get(service, PREFILL_TOKENS_PER_S)

    def latency_ratio(self, service: str) -> float:
        """Return the mean ratio of actual to baseline time of a service."""
        return self._latency_ratios.get(service, 1.0)

    def set_other_loads(self, loads: dict[str, EndpointLoad]) -> None:
        """Set the load from other gateways, by endpoint id."""
        idle = EndpointLoad()
        for endpoint in self._endpoints.values():
            endpoint.set_other_load(
                loads.get(endpoint.id, idle),
                self.prefill_speed(endpoint.record.service),
            )

    def loads(self) -> dict[str, EndpointLoad]:
        """Return this gateway's own load by endpoint id."""
        return {
            endpoint.id: endpoint.load()
            for endpoint in self._endpoints.values()
            if endpoint.active
        }

    def endpoints_of(self, service: str) -> tuple[Endpoint, ...]:
        """Return all endpoints of a service."""
        pool = self._pools.get(service)
        return pool.members if pool else ()

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return all endpoints."""
        return tuple(self._endpoints.values())

    def choose(
        self,
        spec: ServiceSpec,
        work: Work,
        now: float,
        excluding: frozenset[str] = frozenset(),
        *,
        zone: Zone | None = None,
    ) -> Choice | None:
        """Return the candidate with the lowest cost, or one to try, or None.

        `excluding` are the ids of endpoints not to be used. Endpoints
        excluded by their health are used only if there is no other. Those
        outside of `zone` cost more, and few of them are candidates.
        """
        self._now = now
        pool = self._pools.get(spec.name)
        if pool is None:
            return None
        candidates = self._candidates(spec, pool, work, now, excluding)
        if zone is not None:
            self._prefer_zone(candidates, zone, spec, work, now, excluding)
        if not candidates.endpoints:
            return None
        latency_ratio = self._latency_ratios[spec.name]
        failure_rate = self._usual_failure_rate(spec.name, now)
        if spec.engine is None:
            choices = [
                _plain_choice(e, latency_ratio, failure_rate, now)
                for e in candidates.endpoints
            ]
        else:
            prefill_speed = self.prefill_speed(spec.name)
            choices = [
                _engine_choice(
                    e,
                    spec.engine.slots,
                    work,
                    prefill_speed,
                    latency_ratio,
                    failure_rate,
                    now,
                    candidates=candidates,
                )
                for e in candidates.endpoints
            ]
        if zone is not None:
            for choice in choices:
                choice.zone = zone
                if not self._is_in(zone, choice.endpoint):
                    choice.cost_s += zone.extra_cost_s
        least_s = min(choice.cost_s for choice in choices)
        best = [c for c in choices if c.cost_s == least_s]
        budget = self._trial_budgets[spec.name]
        trials = []
        if budget.allows():
            trials = _trials(choices, best[0], latency_ratio, now)
        choice = self._rng.choice(trials or best)
        choice.is_trial = bool(trials)
        choice.trial_budget = budget
        if candidates.is_part and len(work.parts) > 1:
            choice.key = work.affinity_key
            choice.last_uses = self._last_uses
        return choice

    def has_responsive(
        self, service: str, now: float, excluding: frozenset[str]
    ) -> bool:
        """Return whether an endpoint may be used that is not silent."""
        return any(
            endpoint.usable(now)
            and not endpoint.health.is_excluded(now)
            and not endpoint.health.stalled_s(now)
            for endpoint in self.endpoints_of(service)
            if endpoint.id not in excluding
        )

    def observe(self, choice: Choice, actual_s: float, now: float) -> None:
        """Learn from the time until a reply began.

        Deviation common to a service's endpoints goes into its latency ratio,
        further deviation of one endpoint into that endpoint's slowness.
        """
        record, health = choice.endpoint.record, choice.endpoint.health
        latency_ratio = self._latency_ratios[record.service]
        expected_s = choice.baseline_s * latency_ratio
        if not health.observe(expected_s, actual_s, now):
            return
        ratio = actual_s / max(choice.baseline_s, 0.01)
        latency_ratio += LATENCY_RATIO_WEIGHT * (ratio - latency_ratio)
        self._set_latency_ratio(record.service, latency_ratio)

    def _set_latency_ratio(self, service: str, ratio: float) -> None:
        self._latency_ratios[service] = min(
            LATENCY_RATIO_MAX, max(LATENCY_RATIO_MIN, ratio)
        )

    def _is_in(self, zone: Zone, endpoint: Endpoint) -> bool:
        domain = endpoint.record.failure_domain
        return zone.includes(domain, self._regions.get(domain, self._region))

    def _make_zone_pool(
        self,
        service: str,
        zone: Zone,
        former: EndpointPool[Endpoint] | None = None,
    ) -> EndpointPool[Endpoint]:
        members = self._pools[service].members
        return EndpointPool(
            [e for e in members if self._is_in(zone, e)], former
        )

    def _prefer_zone(
        self,
        candidates: "_Candidates",
        zone: Zone,
        spec: ServiceSpec,
        work: Work,
        now: float,
        excluding: frozenset[str],
    ) -> None:
        """Take most candidates from a zone, if it has open ones."""
        place = (spec.name, zone)
        pool = self._zone_pools.get(place)
        if pool is None:
            pool = self._make_zone_pool(spec.name, zone)
            self._zone_pools[place] = pool
        inside = self._candidates(spec, pool, work, now, excluding)
        open_ones = [
            e for e in inside.endpoints if not e.health.is_excluded(now)
        ]
        if not open_ones:
            return
        outside = [e for e in candidates.endpoints if not self._is_in(zone, e)]
        if candidates.is_part:
            outside = outside[-OUTSIDE:]
        candidates.endpoints = open_ones + outside
        candidates.homes = inside.homes
        candidates.is_part = candidates.is_part or inside.is_part

    def _candidates(
        self,
        spec: ServiceSpec,
        pool: EndpointPool[Endpoint],
        work: Work,
        now: float,
        excluding: frozenset[str],
    ) -> "_Candidates":
        """Return the endpoints to choose from.

        If most endpoints of a large pool are closed, all are looked at.
        """
        key = work.affinity_key

        def is_open(endpoint: Endpoint) -> bool:
            return (
                endpoint.id not in excluding
                and endpoint.usable(now)
                and not endpoint.health.is_excluded(now)
            )

        if pool.size - len(excluding) > MAX_SCANNED:
            if spec.engine is None:
                found = self._draw(pool, PLAIN_DRAWS, is_open)
                if len(found) >= MIN_DRAWN:
                    return _Candidates(endpoints=found, is_part=True)
            elif len(work.parts) > 1:
                homes = pool.homes(key, HOMES, is_open)
                if len(homes) == min(HOMES, len(pool.local)):
                    return self._around(homes, pool, key, now, is_open)
            else:
                # Without shared parts any endpoint may be the home.
                homes = self._draw(pool, HOMES, is_open)
                if homes:
                    return self._around(homes, pool, key, now, is_open)
        usable = [
            endpoint
            for endpoint in chain(pool.local, pool.remote)
            if endpoint.id not in excluding and endpoint.usable(now)
        ]
        found = [e for e in usable if not e.health.is_excluded(now)] or usable
        is_part = len(found) > MAX_ALL
        if spec.engine is None:
            if is_part:
                found = draw(found, MAX_ALL, self._rng)
            return _Candidates(endpoints=found, is_part=is_part)
        local = [e for e in found if not e.remote] or found
        homes = first_of(local, key, HOMES if is_part else 1)
        if is_part:
            return self._around(homes, EndpointPool(found), key, now, is_open)
        return _Candidates(endpoints=found, homes=homes)

    def _around(
        self,
        homes: list[Endpoint],
        pool: EndpointPool[Endpoint],
        key: str,
        now: float,
        is_open: Callable[[Endpoint], bool],
    ) -> "_Candidates":
        """Return homes with some other endpoints of a pool."""
        found = homes + self._draw(pool, DRAWS, is_open)
        last_used = self._endpoints.get(self._last_uses.find(key, now))
        if last_used is not None and is_open(last_used):
            found.append(last_used)
        return _Candidates(
            endpoints=list(dict.fromkeys(found)), homes=homes, is_part=True
        )

    def _draw(
        self,
        pool: EndpointPool[Endpoint],
        count: int,
        is_open: Callable[[Endpoint], bool],
    ) -> list[Endpoint]:
        """Return some open endpoints of this region, few of others."""
        remote_count = max(REMOTE_DRAWS, count - len(pool.local))
        drawn = chain(
            draw(pool.local, count, self._rng),
            draw(pool.remote, remote_count, self._rng),
        )
        return [endpoint for endpoint in drawn if is_open(endpoint)]

    def _usual_failure_rate(self, service: str, now: float) -> float:
        """Return the mean failure rate of the endpoints tried recently."""
        tally = self._tallies[service]
        if tally.failures(now) < NEGLIGIBLE_FAILURE_RATE:
            return 0.0
        return tally.mean_rate(now)

    def _is_remote(self, record: EndpointRecord) -> bool:
        region = self._regions.get(record.failure_domain, self._region)
        return region != self._region


class _Candidates:
    """Endpoints considered for an attempt, and the first homes in order.

    `is_part` is false if they are all that may be used; then there is one
    home.
    """

    __slots__ = ("endpoints", "homes", "is_part")

    def __init__(
        self,
        *,
        endpoints: list[Endpoint],
        homes: Iterable[Endpoint] = (),
        is_part: bool = False,
    ):
        self.endpoints = endpoints
        self.homes = tuple(homes)
        self.is_part = is_part

    def likelihood(self, endpoint: Endpoint) -> float:
        """Return the likelihood that shared parts are cached at an endpoint.

        The first home has them. A next one has them as far as those before
        it have been in prefill lately: other gateways, whose news were the
        same, then went on to it.
        """
        likelihood = 1.0
        for home in self.homes:
            if home is endpoint:
                return likelihood
            excess = max(0.0, home.prefill_fraction - NEXT_HOME_FROM)
            likelihood *= NEXT_HOME_WEIGHT * excess
        return 0.0


def _engine_choice(
    endpoint: Endpoint,
    slots: int,
    work: Work,
    prefill_speed: float,
    latency_ratio: float,
    usual_failure_rate: float,
    now: float,
    *,
    candidates: _Candidates,
) -> Choice:
    home = endpoint is candidates.homes[0]
    if candidates.is_part:
        uncached_tokens = endpoint.uncached_tokens(
            work,
            likelihood=candidates.likelihood(endpoint),
            since=now - CACHED_S,
        )
        other_tokens = endpoint.expected_other_tokens(prefill_speed)
    else:
        uncached_tokens = endpoint.uncached_tokens(
            work, likelihood=1.0 if home else 0.0
        )
        other_tokens = endpoint.other_load.prefill_tokens
    queued_tokens = endpoint.prefill_tokens + other_tokens
    active = endpoint.total_active()
    baseline_s = (
        uncached_tokens + queued_tokens
    ) / prefill_speed + active * CROWDING_PER_REQUEST_S
    if active >= slots:
        # The wait for a slot, if all slots become free about once a second.
        baseline_s += (active - slots + 1) / slots
    wait_s = _predict(endpoint, baseline_s * latency_ratio, now)
    excess_tokens = max(
        0,
        min(
            uncached_tokens,
            uncached_tokens + queued_tokens - HARMLESS_PREFILL_TOKENS,
        ),
    )
    stream_delay_cost_s = (
        STREAM_DELAY_WEIGHT * active * excess_tokens / prefill_speed
    )
    prefill_exposure_s = (
        work.output_tokens * OUTPUT_TOKEN_S * endpoint.prefill_fraction
    )
    cost_s = (
        wait_s
        + stream_delay_cost_s
        + PREFILL_EXPOSURE_WEIGHT * prefill_exposure_s
    )
    cost_s += _failure_cost_s(endpoint, usual_failure_rate, now)
    cost_s += 0.0 if home else NON_HOME_COST_S
    if candidates.is_part:
        read_again = max(0, uncached_tokens - work.own_tokens)
        read_again_s = read_again / prefill_speed * latency_ratio
        cost_s += READ_AGAIN_WEIGHT * read_again_s
    return Choice(
        endpoint=endpoint,
        baseline_s=baseline_s,
        wait_s=wait_s,
        cost_s=cost_s,
        uncached_tokens=uncached_tokens,
    )


def _plain_choice(
    endpoint: Endpoint,
    latency_ratio: float,
    usual_failure_rate: float,
    now: float,
) -> Choice:
    utilization = endpoint.total_active() / endpoint.record.slots
    baseline_s = PLAIN_CALL_S * (1 + max(0.0, utilization - 0.5) * 2)
    wait_s = _predict(endpoint, baseline_s * latency_ratio, now)
    cost_s = wait_s + _failure_cost_s(endpoint, usual_failure_rate, now)
    return Choice(
        endpoint=endpoint,
        baseline_s=baseline_s,
        wait_s=wait_s,
        cost_s=cost_s,
        uncached_tokens=0,
    )


def _failure_cost_s(
    endpoint: Endpoint, usual_failure_rate: float, now: float
) -> float:
    health = endpoint.health
    rate = health.expected_failure_rate(usual_failure_rate, now)
    return FAILURE_COST_S * rate


def _trials(
    choices: list[Choice], best: Choice, latency_ratio: float, now: float
) -> list[Choice]:
    """Return the choices that cost more than `best` for their slowness only.

    Their endpoints have not been tried lately.
    """
    slowness = best.endpoint.health.slowness(now)
    return [
        choice
        for choice in choices
        if choice.cost_s > best.cost_s
        and choice.endpoint.health.may_be_tried(now)
        and _cost_at_slowness_s(choice, slowness, latency_ratio, now)
        <= best.cost_s + NEGLIGIBLE_COST_S
    ]


def _cost_at_slowness_s(
    choice: Choice, slowness: float, latency_ratio: float, now: float
) -> float:
    """Return the cost of a choice, were its endpoint of this slowness."""
    excess = choice.endpoint.health.slowness(now) - slowness
    return choice.cost_s - excess * choice.baseline_s * latency_ratio


def _predict(endpoint: Endpoint, baseline_s: float, now: float) -> float:
    """Return the predicted wait, corrected by health and distance."""
    health = endpoint.health
    wait_s = baseline_s * health.slowness(now) + health.stalled_s(now)
    return wait_s + (REMOTE_DELAY_S if endpoint.remote else 0.0)
