"""Kinds of rollouts to play, and a table of how many series of each ended.

`python -m tests.core.fleet.rollout_trials 1000 [KIND...]` plays more seeds
than the tests do.
"""

import sys
from collections import Counter

from tests.core.fleet.rollout_series import Fault, Series

__all__ = ["BAD", "GOOD"]


def burst(series: Series) -> None:
    """Slow down both versions for five seconds."""
    from_s = series.ramp_s / 30 * (4 + series.seed % 20)
    series.load = 2.2 if from_s <= series.now < from_s + 5 else 1.0


def fail_under_load(series: Series) -> None:
    """Fail in a burst that comes before the second half of the ramp.

    By then the version may have got more than its share while it was good.
    """
    from_s = 4 + series.seed % 12
    series.load = 2.2 if from_s <= series.now < from_s + 5 else 1.0
    series.fault = Fault(failed=0.4 if series.load > 1 else 0.0)


GOOD = {
    "good": {},
    "good_in_burst": {"on_step": burst},
    "good_short": {"ramp_s": 10.0},
    "good_short_in_burst": {"ramp_s": 10.0, "on_step": burst},
    "good_rare": {"rate_per_s": 20.0},
    "good_many_gateways": {"gateways": 24},
    "failing_endpoint": {"weak_endpoint": Fault(failed=0.3)},
    "slow_endpoint": {"weak_endpoint": Fault(slowness=4.0)},
    "late_endpoints": {"new_at_s": 6.0},
    "failing_alike": {"usual_failed": 0.03},
}
BAD = {
    "failing_half": {"fault": Fault(failed=0.5)},
    "failing": {"fault": Fault(failed=1.0)},
    "failing_fifth": {"fault": Fault(failed=0.2)},
    "failing_tenth": {"fault": Fault(failed=0.1)},
    "failing_in_burst": {"fault": Fault(failed=0.2), "on_step": burst},
    "failing_later": {"fault": Fault(failed=0.3, from_s=8.0)},
    "failing_in_ramp": {"fault": Fault(failed=0.3, from_s=15.0)},
    "failing_under_load": {"on_step": fail_under_load},
    "failing_route": {"fault": Fault(failed=0.4, routes=("b",))},
    "failing_small_route": {
        "fault": Fault(failed=0.5, routes=("c",)),
        "routes": {"a": 0.6, "b": 0.34, "c": 0.06},
    },
    "failing_many_gateways": {"fault": Fault(failed=0.3), "gateways": 40},
    "failing_short": {"fault": Fault(failed=0.6), "ramp_s": 12.0},
    "failing_rare": {"fault": Fault(failed=0.4), "rate_per_s": 20.0},
    "slow": {"fault": Fault(slowness=4.0)},
    "slow_thrice": {"fault": Fault(slowness=3.0)},
    "slow_in_burst": {"fault": Fault(slowness=4.0), "on_step": burst},
    "slow_later": {"fault": Fault(slowness=4.0, from_s=8.0)},
}


def main(seeds: int, kinds: list[str]) -> None:
    """Print a line for each kind."""
    for kind, options in (GOOD | BAD).items():
        if kinds and kind not in kinds:
            continue
        states, reasons, ends = Counter(), Counter(), []
        late = over = old = 0
        for seed in range(seeds):
            series = Series(seed=seed, **options).run()
            states[series.state] += 1
            ends.append(series.ended_s or float("inf"))
            if series.state == "rolled_back":
                reasons[series.rollout.reason.split(",")[0]] += 1
            is_bad = kind in BAD and bool(series.bad_at)
            over += is_bad and series.excess > 0
            late += is_bad and series.sent_late > 0
            old += series.state == "completed" and (
                series.old_after_end > 0 or series.old_in_flight > 0
            )
        print(
            f"{kind}: {dict(states)}, ended at {sum(ends) / seeds:.1f} s, "
            f"the last at {max(ends):.1f}; over the share {over}, "
            f"later than allowed {late}, old version used after the end {old}"
            f"; {dict(reasons)}",
            flush=True,
        )


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2:])
