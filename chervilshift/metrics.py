"""Counters, gauges and latency histograms of one process."""

import time
from collections import Counter
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

from chervilshift.labels import label_text

__all__ = ["Metrics"]

# One hour; longer durations are recorded as this.
MAX_DURATION_US = 3_600_000_000
# Decimal digits of precision of recorded durations.
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)
# Part of the time that may go into rendering, however often it is asked for:
# the percentiles of histograms take milliseconds.
MAX_RENDER_SHARE = 0.05


class Metrics:
    """Counters, gauges and histograms by name; an ASGI application."""

    __slots__ = (
        "_counters",
        "_families",
        "_gauges",
        "_histograms",
        "_read_counters",
        "_rendered",
        "_render_at",
    )

    def __init__(self):
        self._read_counters: dict[str, Callable[[], int]] = {}
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._families: dict[str, Callable[[], Mapping[str, float]]] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        # The last response, and when the next one is rendered.
        self._rendered = b""
        self._render_at = float("-inf")

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self._counters[name] += amount

    def value(self, name: str) -> int:
        """Return the value of the counter `name`."""
        return self._counters[name]

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register the gauge `name`; `read` returns its current value."""
        self._gauges[name] = read

    def gauge_by(
        self, name: str, label: str, read: Callable[[], dict[str, float]]
    ) -> None:
        """Register a gauge with values by one label, which `read` returns."""
        self.gauge_family(
            name,
            lambda: {
                label_text(**{label: key}): value
                for key, value in read().items()
            },
        )

    def gauge_family(
        self, name: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Register gauges of one name; `read` returns values by labels."""
        self._families[name] = read

    def counter(self, name: str, read: Callable[[], int]) -> None:
        """Register the counter `name`, kept elsewhere; `read` returns it."""
        self._read_counters[name] = read

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in seconds in the histogram `name`."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(
            max(1, min(MAX_DURATION_US, int(seconds * 1e6)))
        )

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        lines = [
            f"chervilshift_{name}_total {value}"
            for name, value in sorted(
                [
                    *self._counters.items(),
                    *((name, r()) for name, r in self._read_counters.items()),
                ]
            )
        ]
        lines += [
            f"chervilshift_{name} {read():g}"
            for name, read in sorted(self._gauges.items())
        ]
        lines += [
            f"chervilshift_{name}{{{labels}}} {value:g}"
            for name, read in sorted(self._families.items())
            for labels, value in sorted(read().items())
        ]
        for name, histogram in sorted(self._histograms.items()):
            lines += [
                f'chervilshift_{name}_seconds{{quantile="{pct / 100:g}"}} '
                f"{histogram.get_value_at_percentile(pct) / 1e6:.6f}"
                for pct in PERCENTILES
            ]
            total = histogram.get_total_count()
            lines.append(f"chervilshift_{name}_seconds_count {total}")
        return "\n".join(lines) + "\n"

    async def __call__(
        self, scope: dict, receive: Callable, send: Callable
    ) -> None:
        """Serve the metrics as an ASGI application."""
        body = self._response()
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-type", b"text/plain; version=0.0.4")],
            }
        )
        await send({"type": "http.response.body", "body": body})

    def _response(self) -> bytes:
        """Return metrics that are as old as `MAX_RENDER_SHARE` requires."""
        began_at = time.perf_counter()
        if began_at >= self._render_at:
            self._rendered = self.render().encode()
            ended_at = time.perf_counter()
            took_s = ended_at - began_at
            self._render_at = ended_at + took_s / MAX_RENDER_SHARE
        return self._rendered
