"""Prints the measures by user, scenario and policy, then all verdicts.

`python -m bench.table --plot docs/policies.svg` also draws a chart.
"""

import sys
from pathlib import Path

import fire

from bench.bounds import BOUND_GROUPS, Results, verdicts
from bench.experiment import SCENARIOS, Outcome, percentile
from bench.policies import POLICIES
from bench.traces import USERS

__all__ = ["main"]

COLUMN_HEADINGS = (
    "short50", "short95", "short99", "first95", "first99", "gap95", "gap99",
    "good", "cost", "fair", "refused", "again", "link MB",
)  # fmt: skip
PLOTTED_SCENARIOS = (
    "planned",
    "third slowed x3",
    "third slowed x10",
    "overload x3",
)


def _row(outcome: Outcome) -> tuple[float, ...]:
    """Return the measures in the order of COLUMN_HEADINGS.

    "good" is goodput, "again" the number of recomputed tokens.
    """
    return (
        *(percentile(outcome.short_first_token_s, p) for p in (50, 95, 99)),
        *(percentile(outcome.first_token_s, p) for p in (95, 99)),
        *(percentile(outcome.token_gaps_s, p) for p in (95, 99)),
        outcome.goodput,
        outcome.cost,
        outcome.fairness,
        outcome.refused,
        outcome.recomputed_tokens,
        outcome.link_bytes / 1e6,
    )


def _print_measures(results: Results) -> None:
    headings = "".join(f"{name:>9}" for name in COLUMN_HEADINGS)
    for user in USERS:
        for scenario in SCENARIOS:
            print(f"\n{user.name}, {scenario} (times in seconds)")
            print(f"{'':18}{headings}")
            for policy in POLICIES:
                row = _row(results.get(user, policy, scenario))
                cells = "".join(
                    f"{v:9.0f}" if v >= 1000 else f"{v:9.3f}" for v in row
                )
                print(f"{policy:18}{cells}")


def _print_verdicts(results: Results) -> int:
    missed = 0
    for group in BOUND_GROUPS:
        print(f"\n{group}")
        for user in USERS:
            for verdict in verdicts(results, group, user):
                missed += not verdict.holds
                status = "holds" if verdict.holds else "MISSED"
                print(
                    f"  {status:6} {verdict.user:10} {verdict.name}: "
                    f"{verdict.measured:.4f}, bound {verdict.bound:.4f}"
                )
    return missed


def _plot(results: Results, path: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    # A fixed salt here and no date below make the file reproducible.
    matplotlib.rcParams["svg.hashsalt"] = "chervilshift"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(USERS), len(PLOTTED_SCENARIOS), figsize=(15, 6), sharey="row"
    )
    names = list(POLICIES)
    for row, user in zip(axes, USERS, strict=True):
        for axis, scenario in zip(row, PLOTTED_SCENARIOS, strict=True):
            for percent, bar_color in ((99, "#b8cfe6"), (95, "#5b8db8")):
                heights = [
                    percentile(
                        results.get(user, name, scenario).first_token_s,
                        percent,
                    )
                    for name in names
                ]
                axis.bar(names, heights, color=bar_color, label=f"{percent}th")
            # The target of the first-token time.
            axis.axhline(0.62, color="#b03a2e", linewidth=1)
            axis.set_yscale("log")
            axis.set_title(f"{user.name}, {scenario}", fontsize=9)
            axis.tick_params(axis="x", rotation=60, labelsize=7)
        row[0].set_ylabel("first token, seconds")
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main(plot: str = "") -> None:
    """Print the table; also draw a chart if `plot` names a file.

    Exits with 1 if a bound is missed.
    """
    results = Results()
    _print_measures(results)
    missed = _print_verdicts(results)
    if plot:
        _plot(results, Path(plot))
    print(f"\n{missed} bounds missed")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    fire.Fire(main)
