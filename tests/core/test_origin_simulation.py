"""Streams go on only at the version that began them, over many seeds.

The whole run is started by hand, see `tests.core.origin_simulation`.
"""

from collections import Counter

from tests.core.origin_simulation import TAKEN_UP_AT_LEAST, World

SEEDS = range(1, 61)


def test_no_stream_is_joined_from_two_versions_and_half_of_them_go_on():
    total: Counter[str] = Counter()
    for seed in SEEDS:
        world = World(seed)
        world.play()
        assert not world.joined, f"seed {seed}: {world.joined[0]}"
        counts = world.counts
        if counts["taken up"] >= TAKEN_UP_AT_LEAST:
            assert counts["gone on"] * 2 >= counts["taken up"], f"seed {seed}"
        total += counts
    assert total["taken up"] > 1000


def test_gateways_are_out_of_step_while_a_version_joins():
    """Streams are taken up at gateways that are cut off or stand still."""
    total: Counter[str] = Counter()
    for seed in SEEDS:
        world = World(seed, out_of_step=True)
        world.play()
        assert not world.joined, f"seed {seed}: {world.joined[0]}"
        total += world.counts
    assert total["taken up"] > 1000
    assert total["gone on"] * 2 >= total["taken up"]


def test_endpoint_that_starts_anew_as_another_version_under_its_id():
    """Requests name the id only, so they reach the new version too."""
    joined = []
    for seed in SEEDS:
        world = World(seed, same_ids=True)
        world.play()
        joined += world.joined
    assert not joined
