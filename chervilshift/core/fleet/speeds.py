"""Measured prefill speed of each service's engines, pooled over gateways.

Responds to streams that find an engine idle or lightly loaded: their time to
the first event grows with the prompt tokens that are not cached, by the
engine's time per token. One pair of gateway and engine sees a stream every few
seconds, so the samples of all engines of a service are pooled, and the leader
pools the gateways' sums.

Nearly all disturbances make a sample slower than the engine is: queues that
other gateways' reports do not show yet, pauses, single slow engines, shared
parts that were evicted from the cache. Each gateway therefore fits a line to a
low quantile of its samples, and reports only the samples near that line.
"""

import math
from collections import deque
from collections.abc import Container, Iterable, Mapping

from chervilshift.core.fleet.tables import forget_unnamed
from chervilshift.core.message import Message

__all__ = [
    "PREFILL_TOKENS_PER_S",
    "ServiceSpeed",
    "SpeedBook",
    "SpeedPlanner",
    "SpeedReport",
    "measures_speed",
    "tokens_per_s",
]

# Prefill rate of an engine whose service has no measured one yet.
PREFILL_TOKENS_PER_S = 80_000.0
# Bounds of an estimate; engines in use are well inside.
MIN_TOKENS_PER_S, MAX_TOKENS_PER_S = 10_000.0, 1_000_000.0
# An engine with at most this many queued tokens per token of the prompt, and
# at most this share of its slots taken, counts as lightly loaded.
MAX_QUEUED_SHARE = 0.1
MAX_ACTIVE_SHARE = 0.5
# Samples kept per service, and the shortest time between two of them: a
# gateway with much traffic would otherwise keep those of a moment only.
MAX_SAMPLES = 200
SAMPLE_INTERVAL_S = 0.1
# Weight of a sample halves in this time, several times that of a burst.
SAMPLE_HALF_LIFE_S = 20.0
MAX_SAMPLE_AGE_S = 120.0
# Samples without an event for longer tell of a pause.
MAX_SAMPLE_S = 10.0
# A gateway's sums are made anew at most this often.
REPORT_INTERVAL_S = 1.0
# Fewer samples of one gateway show no line of their own.
MIN_LOCAL_SAMPLES = 12
# Quantile of the time that the line of a gateway runs through: up to seven
# tenths of the samples may be late.
TIME_QUANTILE = 0.3
FIT_STEPS = 15
# Smallest residual that weighs in a fit, about the resolution of a time.
MIN_RESIDUAL_S = 0.0005
# Samples are kept within this multiple of the mean distance of those below the
# line, and always within the smaller time.
BAND_FACTOR = 4.0
MIN_BAND_S = 0.002
# Coefficient of variation of the prompts' tokens below which the time per
# token can't be told from the base time.
MIN_TOKEN_SPREAD = 0.1
# Weighted samples of all gateways that an estimate needs, and its largest
# relative standard error.
MIN_SAMPLES = 40.0
MAX_RELATIVE_ERROR = 0.1
# A gateway with an own estimate further than this factor from the median of
# all is left out, for example one on an overloaded host.
MAX_GATEWAY_FACTOR = 2.0
# An estimate that changes by less is not published again, so that equal news
# are sent once.
PUBLISHED_CHANGE = 0.03
# An estimate that changes by more is logged.
LOGGED_CHANGE = 0.1


class SpeedReport(Message, tag=False, array_like=True):
    """Weighted samples of one gateway at a service, as moments.

    `samples` is their total weight; `mean_tokens` and `mean_s` are the means
    of uncached tokens and of the time to the first event, the others sums of
    squared and mixed distances from them. `remote` if the engines are in
    another region than the gateway.
    """

    samples: float = 0.0
    mean_tokens: float = 0.0
    mean_s: float = 0.0
    tokens_squares: float = 0.0
    tokens_times: float = 0.0
    time_squares: float = 0.0
    remote: bool = False

    @property
    def is_valid(self) -> bool:
        """Whether the moments can be those of samples."""
        values = (
            self.samples,
            self.mean_tokens,
            self.mean_s,
            self.tokens_squares,
            self.time_squares,
        )
        return (
            all(math.isfinite(v) and v >= 0.0 for v in values)
            and math.isfinite(self.tokens_times)
            and self.samples > 0.0
            and self.tokens_squares > 0.0
        )

    @property
    def slope(self) -> float:
        """The time per token of this gateway's samples alone."""
        return self.tokens_times / self.tokens_squares


class ServiceSpeed(Message):
    """The prefill speed of a service's engines.

    `base_s` is the time to the first event without any prefill, and `samples`
    the weighted number of samples behind the estimate.
    """

    tokens_per_s: float
    base_s: float = 0.0
    samples: int = 0


def tokens_per_s(speeds: Mapping[str, ServiceSpeed], service: str) -> float:
    """Return the prefill tokens per second of a service's engines."""
    speed = speeds.get(service)
    return PREFILL_TOKENS_PER_S if speed is None else speed.tokens_per_s


def measures_speed(
    *,
    tokens: int,
    shared_tokens: int,
    uncached_tokens: int,
    queued_tokens: int,
    active: int,
    slots: int,
) -> bool:
    """Return whether the time to a stream's first event tells the speed.

    `tokens` and `shared_tokens` are those of the prompt and of its shared
    parts; `queued_tokens` and `active` are known at the engine before it gets
    the prompt. Shared parts that this gateway takes as not cached often are,
    because other gateways sent them, so such prompts tell nothing.
    """
    return (
        0 < uncached_tokens == tokens - shared_tokens
        and queued_tokens <= MAX_QUEUED_SHARE * uncached_tokens
        and active <= MAX_ACTIVE_SHARE * slots
    )


class SpeedPlanner:
    """The leader's part: estimates by service."""

    __slots__ = ("_changes", "_logged", "speeds")

    def __init__(self):
        self.speeds: dict[str, ServiceSpeed] = {}
        self._logged: dict[str, float] = {}
        self._changes: list[tuple[str, float, ServiceSpeed]] = []

    def plan(
        self,
        reports: Iterable[dict[str, SpeedReport]],
        services: Container[str],
    ) -> dict[str, ServiceSpeed]:
        """Return the estimates of services that have or had enough samples.

        `services` are those of the configuration.
        """
        by_service: dict[str, list[SpeedReport]] = {}
        for speeds in reports:
            for service, report in speeds.items():
                if service in services and report.is_valid:
                    by_service.setdefault(service, []).append(report)
        speeds = {
            service: speed
            for service, speed in self.speeds.items()
            if service in services
        }
        for service, pooled in by_service.items():
            speed = _pool(pooled)
            held = speeds.get(service)
            if speed is None or (
                held is not None
                and _change(held.tokens_per_s, speed.tokens_per_s)
                < PUBLISHED_CHANGE
            ):
                continue
            speeds[service] = speed
            self._note_change(service, speed)
        self.speeds = speeds
        return speeds

    def take_changes(self) -> list[tuple[str, float, ServiceSpeed]]:
        """Return changes by more than a tenth since the last call.

        Each has the service, the speed logged before, 0 without one, and the
        present estimate.
        """
        changes, self._changes = self._changes, []
        return changes

    def _note_change(self, service: str, speed: ServiceSpeed) -> None:
        logged = self._logged.get(service, 0.0)
        if not logged or _change(logged, speed.tokens_per_s) > LOGGED_CHANGE:
            self._logged[service] = speed.tokens_per_s
            self._changes.append((service, logged, speed))


class _Samples:
    """A gateway's newest samples at one service, and their report."""

    __slots__ = ("_is_new", "_kept", "_made_at", "_report")

    def __init__(self):
        # Time of the sample, uncached tokens, time to the first event, and
        # whether the engine is in another region.
        self._kept: deque[tuple[float, int, float, bool]] = deque(
            maxlen=MAX_SAMPLES
        )
        self._made_at = float("-inf")
        self._report: SpeedReport | None = None
        self._is_new = False

    def add(self, tokens: int, time_s: float, now: float, *, remote: bool):
        """Add a sample, unless one was added just before."""
        if self._kept and now - self._kept[-1][0] < SAMPLE_INTERVAL_S:
            return
        self._kept.append((now, tokens, time_s, remote))
        self._is_new = True

    def report(
        self, fleet: ServiceSpeed | None, now: float
    ) -> SpeedReport | None:
        """Return the report, at most `REPORT_INTERVAL_S` old if it changes."""
        if now - self._made_at < REPORT_INTERVAL_S:
            return self._report
        while self._kept and now - self._kept[0][0] > MAX_SAMPLE_AGE_S:
            self._kept.popleft()
            self._is_new = True
        if self._is_new:
            self._made_at, self._is_new = now, False
            self._report = self._make(fleet, now)
        return self._report

    def _make(
        self, fleet: ServiceSpeed | None, now: float
    ) -> SpeedReport | None:
        near = [s for s in self._kept if not s[3]]
        remote = not near
        points = [
            (0.5 ** ((now - at) / SAMPLE_HALF_LIFE_S), tokens, time_s)
            for at, tokens, time_s, _ in (near or self._kept)
        ]
        line = _low_line(points)
        if line is None and fleet is not None and not remote:
            line = fleet.base_s, 1.0 / fleet.tokens_per_s
        if line is None:
            return None
        base_s, slope = line
        residuals = [t - base_s - slope * x for _, x, t in points]
        below = [-r for r in residuals if r < 0.0]
        band_s = max(MIN_BAND_S, BAND_FACTOR * sum(below) / max(1, len(below)))
        inside = [
            point
            for point, residual in zip(points, residuals, strict=True)
            if abs(residual) <= band_s
        ]
        return _moments(inside, remote=remote)


class SpeedBook:
    """A gateway's part: samples, and the fleet's estimates.

    The estimates stay in force without a leader: a speed doesn't change with
    the load.
    """

    __slots__ = ("_samples", "speeds")

    def __init__(self):
        self.speeds: dict[str, ServiceSpeed] = {}
        self._samples: dict[str, _Samples] = {}

    def observe(
        self,
        service: str,
        uncached_tokens: int,
        time_s: float,
        now: float,
        *,
        remote: bool,
    ) -> None:
        """Record the time to the first event at an engine that was idle."""
        if 0.0 < time_s <= MAX_SAMPLE_S:
            samples = self._samples.setdefault(service, _Samples())
            samples.add(uncached_tokens, time_s, now, remote=remote)

    def apply(self, speeds: dict[str, ServiceSpeed], now: float) -> None:
        """Take over the fleet's estimates.

        A new leader has none until it has the gateways' reports.
        """
        self.speeds = self.speeds | speeds

    def set_services(self, names: Container[str]) -> None:
        """Set the services that the configuration names."""
        forget_unnamed(self._samples, names)
        forget_unnamed(self.speeds, names)

    def tokens_per_s(self) -> dict[str, float]:
        """Return the prefill speeds by service."""
        return {
            service: speed.tokens_per_s
            for service, speed in self.speeds.items()
        }

    def report(self, now: float) -> dict[str, SpeedReport]:
        """Return what this gateway measured, by service."""
        reports = {
            service: samples.report(self.speeds.get(service), now)
            for service, samples in self._samples.items()
        }
        return {s: r for s, r in reports.items() if r is not None}


def _change(old: float, new: float) -> float:
    """Return the relative change of a speed, the same in both directions."""
    return max(old, new) / min(old, new) - 1.0


def _moments(
    points: list[tuple[float, int, float]], *, remote: bool
) -> SpeedReport | None:
    total = sum(w for w, _, _ in points)
    if not total:
        return None
    mean_tokens = sum(w * x for w, x, _ in points) / total
    mean_s = sum(w * t for w, _, t in points) / total
    report = SpeedReport(
        samples=total,
        mean_tokens=mean_tokens,
        mean_s=mean_s,
        tokens_squares=sum(w * (x - mean_tokens) ** 2 for w, x, _ in points),
        tokens_times=sum(
            w * (x - mean_tokens) * (t - mean_s) for w, x, t in points
        ),
        time_squares=sum(w * (t - mean_s) ** 2 for w, _, t in points),
        remote=remote,
    )
    return report if report.is_valid else None


def _low_line(
    points: list[tuple[float, int, float]],
) -> tuple[float, float] | None:
    """Return base time and time per token of a low quantile of the times.

    The quantile is found by least squares with repeated weighting.
    """
    if len(points) < MIN_LOCAL_SAMPLES:
        return None
    weights = [w for w, _, _ in points]
    base_s = slope = 0.0
    for _ in range(FIT_STEPS):
        weighted = [
            (v, x, t) for v, (_, x, t) in zip(weights, points, strict=True)
        ]
        fit = _moments(weighted, remote=False)
        if fit is None or (
            fit.tokens_squares
            < fit.samples * (MIN_TOKEN_SPREAD * fit.mean_tokens) ** 2
        ):
            return None
        slope = fit.slope
        base_s = fit.mean_s - slope * fit.mean_tokens
        weights = [
            w
            * (TIME_QUANTILE if r >= 0.0 else 1.0 - TIME_QUANTILE)
            / max(MIN_RESIDUAL_S, abs(r))
            for w, r in ((w, t - base_s - slope * x) for w, x, t in points)
        ]
    return (base_s, slope) if slope > 0.0 else None


def _pool(reports: list[SpeedReport]) -> ServiceSpeed | None:
    """Return the estimate from all gateways' reports, None if too uncertain.

    Each gateway has its own base time, so that their distances from the
    engines don't matter.
    """
    reports = _without_outliers(reports)
    samples = sum(r.samples for r in reports)
    squares = sum(r.tokens_squares for r in reports)
    mixed = sum(r.tokens_times for r in reports)
    freedom = samples - len(reports) - 1
    if samples < MIN_SAMPLES or mixed <= 0.0 or freedom <= 0:
        return None
    slope = mixed / squares
    unexplained = sum(r.time_squares for r in reports) - slope * mixed
    error = math.sqrt(max(0.0, unexplained) / freedom / squares)
    if error > MAX_RELATIVE_ERROR * slope:
        return None
    near = [r for r in reports if not r.remote] or reports
    base_s = sum(
        r.samples * (r.mean_s - slope * r.mean_tokens) for r in near
    ) / sum(r.samples for r in near)
    tokens_per_s = min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, 1.0 / slope))
    return ServiceSpeed(
        tokens_per_s=round(tokens_per_s),
        base_s=round(max(0.0, base_s), 5),
        samples=int(samples),
    )


def _without_outliers(reports: list[SpeedReport]) -> list[SpeedReport]:
    """Leave out gateways whose many samples contradict the others'."""
    ordered = sorted(reports, key=lambda r: r.slope)
    half = sum(r.tokens_squares for r in ordered) / 2
    median = ordered[-1].slope
    for report in ordered:
        half -= report.tokens_squares
        if half <= 0:
            median = report.slope
            break
    if median <= 0.0:
        return reports
    return [
        r
        for r in reports
        if r.samples < MIN_LOCAL_SAMPLES
        or median / MAX_GATEWAY_FACTOR
        <= r.slope
        <= median * MAX_GATEWAY_FACTOR
    ]
