"""Labels of gauges that services name.

A name with a quote would end the label, and the metrics could not be read.
"""

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
