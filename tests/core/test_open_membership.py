"""Open membership: strangers join, silent voters leave and come back."""

from functools import partial
from random import Random

import pytest

from chervilshift.core.raft.log import RaftLog
from chervilshift.core.raft.node import Raft
from chervilshift.core.raft.state import VOTER_REMOVE_TIMEOUT_S, HardState
from tests.core.raft_world import Replica, World, voter


def open_world(names=("a", "b", "c")) -> World:
    world = World(names, raft_type=partial(Raft, open_membership=True))
    world.run(3.0)
    return world


def add(world: World, name: str, incarnation: str = "later") -> Replica:
    fresh = voter(name, incarnation)
    world.replicas[fresh.id] = Replica(world, fresh, ())
    return world.replicas[fresh.id]


def settle(world: World, *joining: Replica, seconds: float = 10.0) -> None:
    until = world.now + seconds
    while world.now < until:
        for replica in joining:
            if replica.up and replica.raft.should_rejoin(world.now):
                world.join(replica)
        world.run(0.5)


def names(world: World) -> set[str]:
    return {v.name for v in world.leader().raft.log.voters}


def test_strangers_become_voters():
    world = open_world()
    settle(world, add(world, "d"), add(world, "e"))
    assert names(world) == set("abcde")


def test_strangers_stay_out_where_membership_is_closed():
    world = World()
    world.run(3.0)
    settle(world, add(world, "d"))
    assert names(world) == set("abc")


def test_replaced_voter_leaves_and_two_more_losses_are_survived():
    world = open_world("abcde")
    world.crash("a~initial")
    settle(world, add(world, "f"), seconds=VOTER_REMOVE_TIMEOUT_S + 8)
    assert names(world) == set("bcdef")
    world.crash("b~initial")
    world.crash("c~initial")
    world.run(6.0)
    index = world.propose()
    world.run(1.0)
    assert index in world.committed


def test_voter_that_was_cut_off_for_long_comes_back():
    world = open_world("abcde")
    others = tuple(f"{n}~initial" for n in "bcde")
    world.partition(("a~initial",), others)
    settle(world, seconds=VOTER_REMOVE_TIMEOUT_S + 8)
    assert names(world) == set("bcde")
    world.cut = set()
    settle(world, world.replicas["a~initial"])
    assert names(world) == set("abcde")


def test_half_of_the_voters_is_never_removed():
    world = open_world("abcd")
    world.crash("a~initial")
    world.crash("b~initial")
    world.run(VOTER_REMOVE_TIMEOUT_S * 2)
    held = {v.name for r in world.running() for v in r.raft.log.voters}
    assert held == set("abcd")


@pytest.mark.parametrize("seed", range(30))
def test_nothing_committed_is_lost_under_random_faults(seed):
    """Crashes, cuts, one lost disk at a time and joins, in any order."""
    rng = Random(seed)
    world = open_world("abc")
    joining = [add(world, "d"), add(world, "e")]
    settle(world, *joining, seconds=6.0)
    wiped_at = float("-inf")
    for _ in range(60):
        act = rng.randrange(7)
        ids = sorted(world.replicas)
        chosen = rng.choice(ids)
        down = [i for i in ids if not world.replicas[i].up]
        if act == 0 and not down:
            world.crash(chosen)
        elif act == 1:
            for replica_id in down:
                world.restart(replica_id)
        elif act == 2:
            half = set(rng.sample(ids, len(ids) // 2))
            world.partition(tuple(half), tuple(set(ids) - half))
        elif act == 3:
            world.cut = set()
        elif act == 4 and not down and world.now - wiped_at > 12:
            caught_up = all(
                r.raft.commit >= max(world.committed, default=0)
                for r in world.replicas.values()
            )
            if caught_up and not world.cut:
                wiped_at = world.now
                joining.append(world.lose_disk(chosen, f"life{world.now}"))
        else:
            world.propose()
        for replica in world.running():
            if replica.raft.should_rejoin(world.now):
                world.join(replica)
        world.run(rng.uniform(0.1, 1.5))
    world.cut = set()
    for replica_id in sorted(world.replicas):
        world.restart(replica_id)
    settle(world, *[r for r in joining if r.local_voter.id in world.replicas])
    index = world.propose()
    world.run(2.0)
    assert index in world.committed
    newest = world.leader()
    assert dict(map(tuple, newest.applied)) == world.committed


def test_restarted_replica_serves_what_it_knew_to_be_committed():
    world = open_world()
    for _ in range(5):
        world.propose()
        world.run(0.3)
    one = world.replicas["a~initial"]
    commit = one.raft.commit
    state = HardState(term=one.raft.term, vote="", commit=commit)
    again = Raft(
        local_voter=one.local_voter,
        log=RaftLog(snapshot=one.snapshot, entries=one.entries),
        hard_state=state,
        rng=Random(1),
        now=world.now,
    )
    assert again.commit == commit
    torn = Raft(
        local_voter=one.local_voter,
        log=RaftLog(snapshot=one.snapshot, entries=one.entries[:-1]),
        hard_state=HardState(term=state.term, commit=commit + 9),
        rng=Random(1),
        now=world.now,
    )
    assert torn.commit == torn.log.last_index
