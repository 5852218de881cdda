"""The routing policy meets its bounds, and runs are deterministic."""

import pytest

from bench.bounds import BOUND_GROUPS, Results, verdicts
from bench.experiment import run
from bench.traces import USERS, load_trace, make_trace


@pytest.fixture(scope="module")
def results() -> Results:
    return Results()


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
@pytest.mark.parametrize("group", list(BOUND_GROUPS))
def test_bounds(results, group, user):
    missed = [
        f"{verdict.name}: {verdict.measured:.4f} > {verdict.bound:.4f}"
        for verdict in verdicts(results, group, user)
        if not verdict.holds
    ]
    assert not missed


def test_same_figures_on_every_run():
    first = run(USERS[0], "chervilshift", "third slowed x3")
    second = run(USERS[0], "chervilshift", "third slowed x3")
    assert first.first_token_s == second.first_token_s
    assert first.token_gaps_s == second.token_gaps_s
    assert first.busy_s == second.busy_s


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
def test_traces_are_what_their_seeds_draw(user):
    drawn = make_trace(user)
    recorded = load_trace(user)
    assert [line["at"] for line in drawn] == [a.arrived_at for a in recorded]
    assert [line["output"] for line in drawn] == [
        a.output_tokens for a in recorded
    ]
