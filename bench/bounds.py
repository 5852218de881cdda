"""Bounds on the measures, from the users' targets, and their verdicts."""

from bench.experiment import Outcome, percentile, run
from bench.policies import BASELINES
from bench.traces import User

__all__ = ["BOUND_GROUPS", "Results", "Verdict", "verdicts"]

FIRST_TOKEN_TARGET_S = 0.62
TOKEN_GAP_TARGET_S = 0.037
# Of first-token times of short requests beside long ones to those without.
MAX_BLOCKING_RATIO = 1.25
# Of first-token times and token gaps with slowed engines to those without.
MAX_SLOWED_RATIO = 1.5
PRODUCT = "chervilshift"
SLOWED_SCENARIOS = (
    "one slowed x3",
    "one slowed x10",
    "third slowed x3",
    "third slowed x10",
)
OVERLOAD_SCENARIOS = ("overload x1.5", "overload x3")


class Verdict:
    """A bound and the measured value, which may not be above it."""

    __slots__ = ("bound", "measured", "name", "user")

    def __init__(self, *, user: str, name: str, measured: float, bound: float):
        self.user = user
        self.name = name
        self.measured = measured
        self.bound = bound

    @property
    def holds(self) -> bool:
        """Whether the measured value is within the bound."""
        return self.measured <= self.bound


class Results:
    """Outcomes of runs; each run is made once, on first use."""

    def __init__(self):
        self._outcomes: dict[tuple[str, str, str], Outcome] = {}

    def get(self, user: User, policy: str, scenario: str) -> Outcome:
        """Return the outcome of a policy on a user's trace."""
        key = (user.name, policy, scenario)
        if key not in self._outcomes:
            self._outcomes[key] = run(user, policy, scenario)
        return self._outcomes[key]


def _planned_load(results: Results, user: User):
    product = results.get(user, PRODUCT, "planned")
    yield (
        "first token, 95th",
        percentile(product.first_token_s, 95),
        FIRST_TOKEN_TARGET_S,
    )
    yield (
        "token gap, 95th",
        percentile(product.token_gaps_s, 95),
        TOKEN_GAP_TARGET_S,
    )
    yield "short cut off", product.cut_off, 0


def _head_of_line_blocking(results: Results, user: User):
    """Bound the first-token time of short requests beside long ones."""
    with_long = results.get(user, PRODUCT, "planned")
    without_long = results.get(user, PRODUCT, "no long work")
    measured = percentile(with_long.short_first_token_s, 95)
    without_long_s = percentile(without_long.short_first_token_s, 95)
    yield (
        "short first token beside long, 95th",
        measured,
        (MAX_BLOCKING_RATIO * without_long_s),
    )
    for name in BASELINES:
        baseline = results.get(user, name, "planned")
        yield (
            f"the same, against {name}",
            measured,
            percentile(baseline.short_first_token_s, 95),
        )


def _slowed_endpoints(results: Results, user: User):
    unslowed = results.get(user, PRODUCT, "planned")
    for scenario in SLOWED_SCENARIOS:
        product = results.get(user, PRODUCT, scenario)
        for measure, values, unslowed_values in (
            ("first token", product.first_token_s, unslowed.first_token_s),
            ("token gap", product.token_gaps_s, unslowed.token_gaps_s),
        ):
            bound = MAX_SLOWED_RATIO * percentile(unslowed_values, 99)
            yield f"{measure}, 99th, {scenario}", percentile(values, 99), bound
        for name in BASELINES:
            baseline = results.get(user, name, scenario)
            yield (
                f"first token, 99th, {scenario}, against {name}",
                percentile(product.first_token_s, 99),
                percentile(baseline.first_token_s, 99),
            )


def _cost(results: Results, user: User):
    """Bound the engine time per good answer by that of each baseline."""
    for scenario in ("planned", *SLOWED_SCENARIOS, "domain reclaimed"):
        product = results.get(user, PRODUCT, scenario)
        for name in BASELINES:
            baseline = results.get(user, name, scenario)
            yield (
                f"cost, {scenario}, against {name}",
                product.cost,
                baseline.cost,
            )


def _reclaim(results: Results, user: User):
    for scenario in ("domain reclaimed", "reclaimed, refused"):
        product = results.get(user, PRODUCT, scenario)
        yield f"answers cut off, {scenario}", product.cut_off, 0
        yield (
            f"first token, 95th, {scenario}",
            percentile(product.first_token_s, 95),
            FIRST_TOKEN_TARGET_S,
        )


def _overload(results: Results, user: User):
    """Bound missed answers, unfairness, late refusals and recomputation.

    The product may miss no greater share of answers than each baseline.
    Unfairness is 1 minus Jain's index; the bound on refusals is in seconds
    after arrival, that on recomputation in tokens per request.
    """
    for scenario in OVERLOAD_SCENARIOS:
        product = results.get(user, PRODUCT, scenario)
        for name in BASELINES:
            baseline = results.get(user, name, scenario)
            yield (
                f"answers missed, {scenario}, against {name}",
                1.0 - product.goodput,
                1.0 - baseline.goodput,
            )
        yield f"unfairness, {scenario}", 1.0 - product.fairness, 0.1
        refused_after_s = percentile(product.refused_after_s or [0.0, 0.0], 95)
        yield f"refused after, 95th, {scenario}", refused_after_s, 1.0
        yield (
            f"work computed again, {scenario}",
            (product.recomputed_tokens / max(1, product.requests)),
            20.0,
        )


# Each yields the name, measured value and bound of its verdicts.
BOUND_GROUPS = {
    "planned load": _planned_load,
    "head-of-line blocking": _head_of_line_blocking,
    "slowed endpoints": _slowed_endpoints,
    "cost": _cost,
    "reclaim": _reclaim,
    "overload": _overload,
}


def verdicts(results: Results, group: str, user: User) -> list[Verdict]:
    """Return the verdicts of a group of bounds on a user's trace."""
    return [
        Verdict(user=user.name, name=name, measured=measured, bound=bound)
        for name, measured, bound in BOUND_GROUPS[group](results, user)
    ]
