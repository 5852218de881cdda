"""Stated outcomes, from the users' targets, and whether a run meets them."""

from bench.experiment import Outcome, percentile, run
from bench.policies import BASELINES
from bench.traces import User

__all__ = ["BOUNDS", "Results", "Verdict", "verdicts"]

FIRST_TARGET_S = 0.62
GAP_TARGET_S = 0.037
BLOCKING_RATIO = 1.25
SLOWED_RATIO = 1.5
OWN = "chervilshift"
SLOWED = (
    "one slowed x3",
    "one slowed x10",
    "third slowed x3",
    "third slowed x10",
)
OVERLOADS = ("overload x1.5", "overload x3")


class Verdict:
    """One bound, what was measured, and whether it holds."""

    __slots__ = ("bound", "measured", "name", "user")

    def __init__(self, *, user: str, name: str, measured: float, bound: float):
        self.user = user
        self.name = name
        self.measured = measured
        self.bound = bound

    @property
    def holds(self) -> bool:
        """Whether the measured figure is within the bound."""
        return self.measured <= self.bound


class Results:
    """Runs on demand, each once."""

    def __init__(self):
        self._outcomes: dict[tuple[str, str, str], Outcome] = {}

    def get(self, user: User, policy: str, scenario: str) -> Outcome:
        """Return the outcome of a run."""
        key = (user.name, policy, scenario)
        if key not in self._outcomes:
            self._outcomes[key] = run(user, policy, scenario)
        return self._outcomes[key]


def _planned(results: Results, user: User):
    own = results.get(user, OWN, "planned")
    yield "first token, 95th", percentile(own.first_s, 95), FIRST_TARGET_S
    yield "token gap, 95th", percentile(own.gaps_s, 95), GAP_TARGET_S
    yield "short cut off", own.cut_off, 0


def _blocking(results: Results, user: User):
    """Short work with long work, against the same without."""
    with_long = results.get(user, OWN, "planned")
    without = results.get(user, OWN, "no long work")
    measured = percentile(with_long.short_first_s, 95)
    alone = percentile(without.short_first_s, 95)
    yield (
        "short first token beside long, 95th",
        measured,
        (BLOCKING_RATIO * alone),
    )
    for name in BASELINES:
        other = results.get(user, name, "planned")
        yield (
            f"the same, against {name}",
            measured,
            percentile(other.short_first_s, 95),
        )


def _slowed(results: Results, user: User):
    unslowed = results.get(user, OWN, "planned")
    for scenario in SLOWED:
        own = results.get(user, OWN, scenario)
        for what, values, base in (
            ("first token", own.first_s, unslowed.first_s),
            ("token gap", own.gaps_s, unslowed.gaps_s),
        ):
            bound = SLOWED_RATIO * percentile(base, 99)
            yield f"{what}, 99th, {scenario}", percentile(values, 99), bound
        for name in BASELINES:
            other = results.get(user, name, scenario)
            yield (
                f"first token, 99th, {scenario}, against {name}",
                percentile(own.first_s, 99),
                percentile(other.first_s, 99),
            )


def _cost(results: Results, user: User):
    """Engine seconds per answer within the targets: no higher."""
    for scenario in ("planned", *SLOWED, "domain reclaimed"):
        own = results.get(user, OWN, scenario)
        for name in BASELINES:
            other = results.get(user, name, scenario)
            yield f"cost, {scenario}, against {name}", own.cost, other.cost


def _reclaim(results: Results, user: User):
    for scenario in ("domain reclaimed", "reclaimed, refused"):
        own = results.get(user, OWN, scenario)
        yield f"answers cut off, {scenario}", own.cut_off, 0
        yield (
            f"first token, 95th, {scenario}",
            percentile(own.first_s, 95),
            FIRST_TARGET_S,
        )


def _overload(results: Results, user: User):
    """More good answers than any baseline, fairly, and early refusals."""
    for scenario in OVERLOADS:
        own = results.get(user, OWN, scenario)
        for name in BASELINES:
            other = results.get(user, name, scenario)
            yield (
                f"answers missed, {scenario}, against {name}",
                1.0 - own.goodput,
                1.0 - other.goodput,
            )
        yield f"unfairness, {scenario}", 1.0 - own.fairness, 0.1
        late = percentile(own.refused_after_s or [0.0, 0.0], 95)
        yield f"refused after, 95th, {scenario}", late, 1.0
        yield (
            f"work computed again, {scenario}",
            (own.recomputed_tokens / max(1, own.asked)),
            20.0,
        )


BOUNDS = {
    "planned load": _planned,
    "head-of-line blocking": _blocking,
    "slowed endpoints": _slowed,
    "cost": _cost,
    "reclaim": _reclaim,
    "overload": _overload,
}


def verdicts(results: Results, group: str, user: User) -> list[Verdict]:
    """Return all verdicts of a group of bounds for a user."""
    return [
        Verdict(user=user.name, name=name, measured=measured, bound=bound)
        for name, measured, bound in BOUNDS[group](results, user)
    ]
