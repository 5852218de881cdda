"""How much of a service's work leaves its failure domain or region.

The load is clients of one failure domain that ask for more than its endpoints
can do in time, as after the loss of endpoints or a shift of clients, and
links between regions that are at their limit.

Work stays in its zone while its expected wait there is not longer than
elsewhere, with the delay of the way. The zones of a service are failure
domains, or whole regions where shared parts of prompts are large: a copy of
each part in every failure domain would cost more than the way to another one.

The leader computes shares from the demand by source and the capacity by
destination. Neither changes with the shares, so gateways that all follow the
same old shares don't make them swing. Without recent shares a gateway uses
its own zone. In either case it leaves a zone whose endpoints keep it waiting.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from random import Random

from chervilshift.core.fleet.hashing import hash64
from chervilshift.core.fleet.model import (
    READY,
    EndpointRecord,
    ServiceSpec,
    ServingConfig,
)
from chervilshift.core.fleet.speeds import PREFILL_TOKENS_PER_S
from chervilshift.core.message import Message
from chervilshift.core.rates import DecayingRate
from chervilshift.labels import label_text

__all__ = [
    "BY_DOMAIN",
    "BY_REGION",
    "FlowReport",
    "SpillGate",
    "SpillPlanner",
    "SpillShares",
    "Zone",
    "ZoneFlow",
    "share_gauges",
]

BY_DOMAIN, BY_REGION = "domain", "region"
# Time constant of measured flows: a burst of 3 s shows while it lasts.
FLOW_WINDOW_S = 1.0
# Delay between regions with the transfer of a prompt, and between failure
# domains of a region, both ways.
REGION_DELAY_S, DOMAIN_DELAY_S = 0.1, 0.002
# Work leaves only for a gain of more than this in addition to the delay;
# measured waits differ by as much by chance.
MIN_GAIN_S = 0.02
# Part of prompts with a shared part that would read it again if each failure
# domain had copies of its own. Parts are used every few seconds and kept for
# about 8 s; with a third of the uses, one in ten more finds its part evicted.
EXTRA_READS = 0.1
# Part of the way from the present shares to the wanted ones in one step. With
# a step of 0.25 s, shares are within a tenth of the wanted ones after 1 s.
STEP = 0.5
# Smaller changes of shares are not sent to the gateways.
MIN_CHANGE = 0.02
# Part of a link between regions that spilled requests may take; answers,
# reports and the log need the rest.
LINK_SHARE = 0.5
# Services with fewer requests per second have no shares.
MIN_REQUESTS_PER_S = 1.0
# A failure domain that replies more slowly than the best, by over this ratio,
# counts with less capacity, but not with less than the part below.
SLOW_RATIO, MIN_SPEED = 1.5, 0.25
# Weight of the newest ratio.
SPEED_STEP = 0.2
# Reports are measurements of other processes; larger values are taken as this.
MAX_RATE = 1e9

CAPACITY, NO_ENDPOINTS, SLOW = "capacity", "no_endpoints", "slow"
HOME, PLANNED, WAIT = "home", "planned", "wait"


class ZoneFlow(Message, tag=False, array_like=True):
    """What one gateway sent to one failure domain, per second.

    `expected_s` and `actual_s` are the sums of the times until replies began,
    as predicted for an endpoint of usual speed under the same load, and as
    measured.
    """

    requests: float = 0.0
    expected_s: float = 0.0
    actual_s: float = 0.0


class FlowReport(Message):
    """What one gateway sent for a service, per second.

    `flows` are by failure domain of the endpoints, `tokens` those expected
    to be read, `shared_tokens` those of shared parts, and `size_bytes` the
    bodies of requests.
    """

    flows: dict[str, ZoneFlow] = {}
    tokens: float = 0.0
    shared_tokens: float = 0.0
    size_bytes: float = 0.0


class SpillShares(Message):
    """Shares of a service's work that leave, by source and destination.

    Sources that are absent keep all of their work. `by` tells whether they
    are failure domains or regions; `reasons` are by source.
    """

    by: str = BY_DOMAIN
    shares: dict[str, dict[str, float]] = {}
    reasons: dict[str, str] = {}


class Zone:
    """A failure domain or region, as a set of endpoints.

    `extra_cost_s` is that of an endpoint outside the zone.
    """

    __slots__ = ("by", "extra_cost_s", "name")

    def __init__(self, *, by: str, name: str, extra_cost_s: float):
        self.by = by
        self.name = name
        self.extra_cost_s = extra_cost_s

    def includes(self, failure_domain: str, region: str) -> bool:
        """Return whether an endpoint of this place is in the zone."""
        place = failure_domain if self.by == BY_DOMAIN else region
        return place == self.name


def is_pooled(reports: Iterable[FlowReport]) -> bool:
    """Return whether shared parts are too large for a copy in each domain."""
    shared_tokens = requests = 0.0
    for report in reports:
        shared_tokens += _sane(report.shared_tokens)
        requests += sum(_sane(f.requests) for f in report.flows.values())
    read_again_s = EXTRA_READS * shared_tokens / PREFILL_TOKENS_PER_S
    return read_again_s > DOMAIN_DELAY_S * requests


class _Zone:
    """Demand and capacity of one zone, in the same unit of work per second.

    `speed` is the part of its nominal capacity that its replies show.
    """

    __slots__ = ("capacity", "demand", "region", "speed")

    def __init__(self, *, region: str):
        self.region = region
        self.demand = 0.0
        self.capacity = 0.0
        self.speed = 1.0


class _Demand:
    """The zones of one service, and how its work may move between regions.

    `service_s` is the time that one request takes of an endpoint, and
    `bytes_per_work` the size of its request by unit of work.
    """

    __slots__ = ("by", "bytes_per_work", "moved", "service_s", "zones")

    def __init__(self, *, by: str):
        self.by = by
        self.zones: dict[str, _Zone] = {}
        self.service_s = 0.0
        self.bytes_per_work = 0.0
        # Work that leaves a region for another one.
        self.moved: dict[tuple[str, str], float] = {}

    def region_sums(self) -> dict[str, tuple[float, float]]:
        """Return demand and capacity by region."""
        sums = defaultdict(lambda: (0.0, 0.0))
        for zone in self.zones.values():
            demand, capacity = sums[zone.region]
            sums[zone.region] = (
                demand + zone.demand,
                capacity + zone.capacity,
            )
        return sums


class SpillPlanner:
    """The leader's part: shares by service.

    `link_bytes_per_s` is the capacity of the link between two regions in each
    direction. A new planner starts from the shares that reports show.
    """

    __slots__ = (
        "_link_bytes_per_s",
        "_regions",
        "_shares",
        "_sent",
        "_speeds",
    )

    def __init__(self, *, regions: Mapping[str, str], link_bytes_per_s: float):
        self._regions = regions
        self._link_bytes_per_s = link_bytes_per_s
        # Shares by service and source, before rounding.
        self._shares: dict[str, dict[str, dict[str, float]]] = {}
        self._sent: dict[str, SpillShares] = {}
        self._speeds: dict[tuple[str, str], float] = {}

    def plan(
        self,
        reports: Iterable[tuple[str, dict[str, FlowReport]]],
        endpoints: Iterable[EndpointRecord],
        cfg: ServingConfig,
        tokens_per_s: Mapping[str, float] | None = None,
    ) -> dict[str, SpillShares]:
        """Return the shares of services that have flows.

        `reports` have the failure domains of gateways, `tokens_per_s` the
        known speeds of engines by service.
        """
        flows = defaultdict(list)
        for domain, by_service in reports:
            for service, report in by_service.items():
                if service in cfg.services:
                    flows[service].append((domain, report))
        by_service = defaultdict(list)
        for record in endpoints:
            if record.state == READY:
                by_service[record.service].append(record)
        speeds = tokens_per_s or {}
        demands = {}
        for service, found in flows.items():
            demand = self._demand(
                cfg.services[service],
                found,
                by_service[service],
                speeds.get(service, PREFILL_TOKENS_PER_S),
            )
            if demand is not None:
                demands[service] = demand
        self._move_between_regions(demands.values())
        self._shares = {
            service: self._step(service, demand, flows[service])
            for service, demand in demands.items()
        }
        self._speeds = {
            place: speed
            for place, speed in self._speeds.items()
            if place[0] in demands
        }
        self._sent = {
            service: self._publish(service, demand)
            for service, demand in demands.items()
        }
        return dict(self._sent)

    def _region(self, domain: str) -> str:
        return self._regions.get(domain, "")

    def _zone_name(self, by: str, domain: str) -> str:
        return domain if by == BY_DOMAIN else self._region(domain)

    def _demand(
        self,
        spec: ServiceSpec,
        flows: list[tuple[str, FlowReport]],
        endpoints: list[EndpointRecord],
        tokens_per_s: float,
    ) -> _Demand | None:
        """Return demand and capacity by zone, None with too few requests."""
        reports = [report for _, report in flows]
        requests = sum(map(_requests, reports))
        if requests < MIN_REQUESTS_PER_S or not endpoints:
            return None
        demand = _Demand(by=BY_REGION if is_pooled(reports) else BY_DOMAIN)
        speeds, best_s = self._domain_speeds(spec.name, reports)
        if spec.engine is None:
            work = requests * best_s
        else:
            work = sum(_sane(r.tokens) for r in reports)
        if not work:
            return None
        slots = sum(e.slots for e in endpoints) / len(endpoints)
        per_endpoint = slots if spec.engine is None else tokens_per_s
        demand.service_s = work / requests / max(per_endpoint, 1e-9)
        demand.bytes_per_work = (
            sum(_sane(r.size_bytes) for r in reports) / work
        )
        for domain, report in flows:
            zone = self._zone(demand, domain)
            if spec.engine is None:
                zone.demand += _requests(report) * best_s
            else:
                zone.demand += _sane(report.tokens)
        for endpoint in endpoints:
            domain = endpoint.failure_domain
            nominal = endpoint.slots if spec.engine is None else tokens_per_s
            speed = speeds.get(domain, 1.0)
            zone = self._zone(demand, domain)
            zone.capacity += nominal * speed
            zone.speed = min(zone.speed, speed)
        return demand

    def _zone(self, demand: _Demand, domain: str) -> _Zone:
        name = self._zone_name(demand.by, domain)
        return demand.zones.setdefault(
            name, _Zone(region=self._region(domain))
        )

    def _domain_speeds(
        self, service: str, reports: list[FlowReport]
    ) -> tuple[dict[str, float], float]:
        """Return the speed of each failure domain, and the best reply time."""
        sums = defaultdict(lambda: [0.0, 0.0, 0.0])
        for report in reports:
            for domain, flow in report.flows.items():
                total = sums[domain]
                total[0] += _sane(flow.requests)
                total[1] += _sane(flow.expected_s)
                total[2] += _sane(flow.actual_s)
        ratios = {
            domain: actual_s / expected_s
            for domain, (requests, expected_s, actual_s) in sums.items()
            if requests >= MIN_REQUESTS_PER_S and expected_s and actual_s
        }
        best = min(ratios.values(), default=1.0)
        speeds = {}
        for domain, ratio in ratios.items():
            slower = ratio / best
            wanted = 1.0
            if slower > SLOW_RATIO:
                wanted = max(MIN_SPEED, 1.0 / slower)
            known = self._speeds.get((service, domain), 1.0)
            speed = known + SPEED_STEP * (wanted - known)
            speeds[domain] = self._speeds[service, domain] = speed
        times = (
            actual_s / requests
            for requests, _, actual_s in sums.values()
            if requests >= MIN_REQUESTS_PER_S and actual_s
        )
        return speeds, min(times, default=0.0)

    def _move_between_regions(self, demands: Iterable[_Demand]) -> None:
        """Decide what leaves each region, as far as links carry it."""
        wanted_bytes: defaultdict[tuple[str, str], float] = defaultdict(float)
        demands = list(demands)
        for demand in demands:
            sums = demand.region_sums()
            limit = _limit(
                sums.values(),
                _utilization(REGION_DELAY_S + MIN_GAIN_S, demand.service_s),
            )
            demand.moved = dict(_moves(sums, limit))
            for link, work in demand.moved.items():
                if sums[link[0]][1]:
                    wanted_bytes[link] += work * demand.bytes_per_work
        carried = self._link_bytes_per_s * LINK_SHARE
        for demand in demands:
            sums = demand.region_sums()
            for link in demand.moved:
                # Work of a region without endpoints has nowhere else to go.
                if sums[link[0]][1] and wanted_bytes[link] > carried:
                    demand.moved[link] *= carried / wanted_bytes[link]

    def _wanted(self, demand: _Demand) -> dict[str, dict[str, float]]:
        """Return the shares by source and destination, as they should be."""
        sums = demand.region_sums()
        shares: dict[str, dict[str, float]] = {}
        for (source, target), work in demand.moved.items():
            for name, zone in demand.zones.items():
                if zone.region != source or not zone.demand:
                    continue
                share = work / sums[source][0]
                parts = shares.setdefault(name, {})
                for other, place in demand.zones.items():
                    if place.region == target and place.capacity:
                        part = place.capacity / sums[target][1]
                        parts[other] = parts.get(other, 0.0) + share * part
        for region, (_, capacity) in sums.items():
            if capacity:
                self._level(demand, region, shares)
        return shares

    def _level(
        self,
        demand: _Demand,
        region: str,
        shares: dict[str, dict[str, float]],
    ) -> None:
        """Add the shares that leave a failure domain inside its region."""
        capacity = sum(
            z.capacity for z in demand.zones.values() if z.region == region
        )
        moved_in = sum(
            w for link, w in demand.moved.items() if link[1] == region
        )
        # Work from other regions is spread by capacity.
        used = moved_in / capacity
        sums = {
            name: (
                zone.demand * (1.0 - sum(shares.get(name, {}).values())),
                zone.capacity,
            )
            for name, zone in demand.zones.items()
            if zone.region == region
        }
        delay_s = DOMAIN_DELAY_S + MIN_GAIN_S
        least = _utilization(delay_s, demand.service_s) - used
        limit = _limit(sums.values(), max(0.0, least))
        for (source, target), work in _moves(sums, limit):
            parts = shares.setdefault(source, {})
            parts[target] = work / demand.zones[source].demand

    def _step(
        self,
        service: str,
        demand: _Demand,
        flows: list[tuple[str, FlowReport]],
    ) -> dict[str, dict[str, float]]:
        """Return the shares after one step towards the wanted ones."""
        wanted = self._wanted(demand)
        present = self._shares.get(service)
        if present is None:
            present = self._observed(demand.by, flows)
        shares = {}
        for source in demand.zones:
            aims, known = wanted.get(source, {}), present.get(source, {})
            stepped = {}
            for target in {*aims, *known}:
                place = demand.zones.get(target)
                if target == source or place is None or not place.capacity:
                    continue
                aim, share = aims.get(target, 0.0), known.get(target, 0.0)
                share += STEP * (aim - share)
                if demand.zones[source].capacity == 0.0:
                    share = aim
                if share >= MIN_CHANGE / 4:
                    stepped[target] = share
            if stepped:
                shares[source] = stepped
        return shares

    def _observed(
        self, by: str, flows: list[tuple[str, FlowReport]]
    ) -> dict[str, dict[str, float]]:
        """Return the shares that left, as a new leader finds them."""
        sums = defaultdict(lambda: defaultdict(float))
        for domain, report in flows:
            source = self._zone_name(by, domain)
            for target, flow in report.flows.items():
                requests = _sane(flow.requests)
                sums[source][self._zone_name(by, target)] += requests
        return {
            source: {
                target: requests / sum(targets.values())
                for target, requests in targets.items()
                if target != source and requests
            }
            for source, targets in sums.items()
        }

    def _publish(self, service: str, demand: _Demand) -> SpillShares:
        """Return the shares for the gateways, the former ones if similar."""
        shares = {
            source: {
                target: round(share, 3)
                for target, share in sorted(targets.items())
            }
            for source, targets in sorted(self._shares[service].items())
            if sum(targets.values()) >= MIN_CHANGE
        }
        former = self._sent.get(service)
        if (
            former is not None
            and former.by == demand.by
            and former.shares.keys() == shares.keys()
            and all(
                _difference(former.shares[s], shares[s]) < MIN_CHANGE
                for s in shares
            )
        ):
            return former
        return SpillShares(
            by=demand.by,
            shares=shares,
            reasons={s: self._reason(demand, s) for s in shares},
        )

    def _reason(self, demand: _Demand, source: str) -> str:
        zone = demand.zones[source]
        if not zone.capacity:
            return NO_ENDPOINTS
        return SLOW if zone.speed < 1.0 / SLOW_RATIO else CAPACITY


class _Flow:
    """Rates of what one gateway sends to one failure domain."""

    __slots__ = ("actual", "expected", "requests")

    def __init__(self):
        self.requests = DecayingRate(window_s=FLOW_WINDOW_S)
        self.expected = DecayingRate(window_s=FLOW_WINDOW_S)
        self.actual = DecayingRate(window_s=FLOW_WINDOW_S)


class _ServiceFlow:
    """Rates of what one gateway sends for one service."""

    __slots__ = ("by_domain", "reasons", "shared_tokens", "size", "tokens")

    def __init__(self):
        self.by_domain: defaultdict[str, _Flow] = defaultdict(_Flow)
        # Requests by failure domain and reason.
        self.reasons: defaultdict[tuple[str, str], DecayingRate] = defaultdict(
            lambda: DecayingRate(window_s=FLOW_WINDOW_S)
        )
        self.tokens = DecayingRate(window_s=FLOW_WINDOW_S)
        self.shared_tokens = DecayingRate(window_s=FLOW_WINDOW_S)
        self.size = DecayingRate(window_s=FLOW_WINDOW_S)

    def report(self, now: float) -> FlowReport:
        """Return the rates now."""
        return FlowReport(
            flows={
                domain: ZoneFlow(
                    requests=flow.requests.value(now),
                    expected_s=flow.expected.value(now),
                    actual_s=flow.actual.value(now),
                )
                for domain, flow in self.by_domain.items()
            },
            tokens=self.tokens.value(now),
            shared_tokens=self.shared_tokens.value(now),
            size_bytes=self.size.value(now),
        )


class SpillGate:
    """A gateway's part: its zone for each request, and what it sent.

    Without `enabled` no zone is preferred and nothing is reported.
    """

    __slots__ = (
        "_domain",
        "_enabled",
        "_flows",
        "_region",
        "_regions",
        "_rng",
        "_shares",
        "_zones",
    )

    def __init__(
        self,
        *,
        enabled: bool = False,
        domain: str = "",
        regions: Mapping[str, str] | None = None,
        rng: Random,
    ):
        self._enabled = enabled
        self._domain = domain
        self._regions = regions or {}
        self._region = self._regions.get(domain, "")
        self._rng = rng
        self._shares: dict[str, SpillShares] = {}
        self._flows: defaultdict[str, _ServiceFlow] = defaultdict(_ServiceFlow)
        self._zones: dict[tuple[str, str], Zone] = {}

    def apply(self, shares: dict[str, SpillShares], now: float) -> None:
        """Take over the leader's shares."""
        self._shares = shares

    def zone(
        self, service: str, key: str, now: float, *, follows_leader: bool
    ) -> Zone | None:
        """Return where a request should go, None for the whole region.

        Requests with the same `key`, that of their shared parts, go to the
        same zone as long as the shares are the same; changed shares move the
        fewest keys.
        """
        if not self._enabled:
            return None
        shares = self._shares.get(service) if follows_leader else None
        if shares is None:
            flow = self._flows.get(service)
            if flow is None or is_pooled((flow.report(now),)):
                return None
            return self._make_zone(BY_DOMAIN, self._domain)
        by_domain = shares.by == BY_DOMAIN
        own = self._domain if by_domain else self._region
        leaving = shares.shares.get(own, {})
        place = _fraction(key) if key else self._rng.random()
        # The own zone has the lowest places.
        place -= 1.0 - sum(leaving.values())
        for target, share in leaving.items():
            if 0.0 <= place < share:
                return self._make_zone(shares.by, target)
            place -= share
        return self._make_zone(shares.by, own) if by_domain else None

    def record_sent(
        self,
        service: str,
        failure_domain: str,
        zone: Zone | None,
        now: float,
        *,
        tokens: int = 0,
        shared_tokens: int = 0,
        size_bytes: int = 0,
    ) -> None:
        """Record that a request is sent to an endpoint."""
        if not self._enabled:
            return
        flow = self._flows[service]
        flow.by_domain[failure_domain].requests.add(now)
        flow.tokens.add(now, tokens)
        flow.shared_tokens.add(now, shared_tokens)
        flow.size.add(now, size_bytes)
        reason = HOME
        if failure_domain != self._domain:
            region = self._regions.get(failure_domain, "")
            in_zone = zone is not None and zone.includes(
                failure_domain, region
            )
            in_pool = zone is None and region == self._region
            reason = PLANNED if in_zone or in_pool else WAIT
        flow.reasons[failure_domain, reason].add(now)

    def observe(
        self,
        service: str,
        failure_domain: str,
        expected_s: float,
        actual_s: float,
        now: float,
    ) -> None:
        """Record the time until a reply began."""
        if self._enabled:
            flow = self._flows[service].by_domain[failure_domain]
            flow.expected.add(now, expected_s)
            flow.actual.add(now, actual_s)

    def report(self, now: float) -> dict[str, FlowReport]:
        """Return what this gateway sent, by service."""
        return {
            service: flow.report(now) for service, flow in self._flows.items()
        }

    def shares_sent(self, now: float) -> dict[str, float]:
        """Return the shares of requests that left, as labels and values."""
        values = {}
        for service, flow in self._flows.items():
            rates = {k: r.value(now) for k, r in flow.reasons.items()}
            total = sum(rates.values())
            for (domain, reason), rate in rates.items():
                if reason != HOME and rate:
                    labels = _labels(service, self._domain, domain, reason)
                    values[labels] = rate / total
        return values

    def forget_unnamed(self, names: Iterable[str]) -> None:
        """Forget services that the configuration no longer has."""
        names = frozenset(names)
        for service in [s for s in self._flows if s not in names]:
            del self._flows[service]

    def _make_zone(self, by: str, name: str) -> Zone:
        zone = self._zones.get((by, name))
        if zone is None:
            is_domain = by == BY_DOMAIN
            region = self._regions.get(name, "") if is_domain else name
            extra_s = MIN_GAIN_S + DOMAIN_DELAY_S
            if region != self._region:
                extra_s += REGION_DELAY_S
            zone = self._zones[by, name] = Zone(
                by=by, name=name, extra_cost_s=extra_s
            )
        return zone


def share_gauges(sent: Mapping[str, SpillShares]) -> dict[str, float]:
    """Return the shares that leave, as labels and values."""
    return {
        _labels(service, source, target, shares.reasons.get(source, "")): part
        for service, shares in sent.items()
        for source, targets in shares.shares.items()
        for target, part in targets.items()
    }


def _labels(service: str, source: str, target: str, reason: str) -> str:
    return label_text(
        service=service, source=source, destination=target, reason=reason
    )


def _requests(report: FlowReport) -> float:
    return sum(_sane(flow.requests) for flow in report.flows.values())


def _sane(value: float) -> float:
    return min(MAX_RATE, max(0.0, value)) if math.isfinite(value) else 0.0


def _utilization(wait_s: float, service_s: float) -> float:
    """Return the utilization at which requests wait this long on average.

    For one queue with requests of equal size (M/D/1).
    """
    return 2.0 * wait_s / (service_s + 2.0 * wait_s)


def _limit(sums: Iterable[tuple[float, float]], least: float) -> float:
    """Return the utilization above which work leaves a zone.

    It is that of all zones together if that is more than `least`.
    """
    demands, capacities = zip(*sums, strict=True)
    capacity = sum(capacities)
    return max(least, sum(demands) / capacity) if capacity else least


def _moves(
    sums: Mapping[str, tuple[float, float]], limit: float
) -> Iterator[tuple[tuple[str, str], float]]:
    """Yield the work above a utilization that moves, by source and target."""
    room = {
        name: max(0.0, limit * capacity - demand)
        for name, (demand, capacity) in sums.items()
    }
    total_room = sum(room.values())
    if not total_room:
        return
    for source, (demand, capacity) in sums.items():
        excess = demand - limit * capacity
        if excess <= 1e-9 * demand:
            continue
        for target, free in room.items():
            if free:
                yield (source, target), excess * free / total_room


def _difference(one: Mapping[str, float], other: Mapping[str, float]) -> float:
    return max(
        abs(one.get(target, 0.0) - other.get(target, 0.0))
        for target in {*one, *other}
    )


def _fraction(key: str) -> float:
    """Map a key to a number from 0 to 1."""
    return hash64(key) / 2**64
