"""Labels of gauges that services name.

A name with a quote would end the label, and the metrics could not be read.
"""

import time

import anyio

from chervilshift.metrics import Metrics


def test_gauge_by_label_has_a_line_for_each_value():
    metrics = Metrics()
    metrics.gauge_by("speed", "service", lambda: {"b": 2.5, "a": 80_000})
    assert metrics.render().splitlines() == [
        'chervilshift_speed{service="a"} 80000',
        'chervilshift_speed{service="b"} 2.5',
    ]


def test_odd_names_are_escaped():
    metrics = Metrics()
    metrics.gauge_by("speed", "service", lambda: {'a"\\\n': 1})
    assert metrics.render() == (
        'chervilshift_speed{service="a\\"\\\\\\n"} 1\n'
    )


def test_requests_without_pause_render_few_times():
    """Rendering took a gateway's time while clients asked without pause."""
    metrics, rendered = Metrics(), []

    def slow() -> int:
        rendered.append(1)
        time.sleep(0.01)
        return len(rendered)

    metrics.counter("asked", slow)

    async def ask() -> None:
        async def send(message: dict) -> None:
            pass

        for _ in range(50):
            await metrics({}, None, send)

    anyio.run(ask)
    assert len(rendered) == 1
