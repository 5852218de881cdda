"""Disks, hosts and links lost in series, never more at once than tolerated."""

import pytest

from tests.core.loss_simulation import LossSimulation


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.parametrize(
    ("hosts", "tolerated_losses"), [(3, 1), (5, 1), (5, 2)]
)
def test_group_commits_after_losses_in_series(seed, hosts, tolerated_losses):
    simulation = LossSimulation(
        seed=seed, hosts=hosts, tolerated_losses=tolerated_losses
    )
    simulation.run()


def test_candidates_that_need_all_votes_do_not_split_them_again_and_again():
    LossSimulation(seed=4983, hosts=5, tolerated_losses=2).run()


def test_lost_voter_is_replaced_soon_after_a_slow_election():
    LossSimulation(seed=4748, hosts=5, tolerated_losses=2).run()
