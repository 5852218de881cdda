"""Open membership: new replicas join, silent voters are removed and rejoin."""

from functools import partial
from random import Random

import pytest

from chervilshift.core.raft.log import RaftLog
from chervilshift.core.raft.messages import TimeoutNow
from chervilshift.core.raft.node import Raft
from chervilshift.core.raft.state import VOTER_REMOVE_TIMEOUT_S, HardState
from tests.core.raft_world import Replica, World, voter


def open_cluster(names=("a", "b", "c")) -> World:
    world = World(names, raft_type=partial(Raft, open_membership=True))
    world.run(3.0)
    return world


def add_replica(
    world: World, name: str, incarnation: str = "later"
) -> Replica:
    new_voter = voter(name, incarnation)
    world.replicas[new_voter.id] = Replica(world, new_voter, ())
    return world.replicas[new_voter.id]


def settle(world: World, *joining: Replica, seconds: float = 10.0) -> None:
    until = world.now + seconds
    while world.now < until:
        for replica in joining:
            if replica.up and replica.raft.should_rejoin(world.now):
                world.join(replica)
        world.run(0.5)


def make_leader(world: World, replica_id: str) -> None:
    target = world.replicas[replica_id].raft
    request = TimeoutNow(
        src=world.leader().local_voter.id, dst=replica_id, term=target.term
    )
    target.step(request, world.now)
    world.replicas[replica_id].process_ready()
    world.run(1.0)
    assert world.leader().local_voter.id == replica_id


def voter_names(world: World) -> set[str]:
    return {v.name for v in world.leader().raft.log.voters}


def test_strangers_become_voters():
    world = open_cluster()
    settle(world, add_replica(world, "d"), add_replica(world, "e"))
    assert voter_names(world) == set("abcde")


def test_strangers_stay_out_where_membership_is_closed():
    world = World()
    world.run(3.0)
    settle(world, add_replica(world, "d"))
    assert voter_names(world) == set("abc")


def test_replaced_voter_leaves_and_two_more_losses_are_survived():
    world = open_cluster("abcde")
    world.crash("a~initial")
    settle(world, add_replica(world, "f"), seconds=VOTER_REMOVE_TIMEOUT_S + 8)
    assert voter_names(world) == set("bcdef")
    world.crash("b~initial")
    world.crash("c~initial")
    world.run(6.0)
    index = world.propose()
    world.run(1.0)
    assert index in world.committed


def test_lost_voters_do_not_accumulate_in_the_voter_set():
    world = open_cluster("abcde")
    world.crash("a~initial")
    world.crash("b~initial")
    joining = [add_replica(world, "f"), add_replica(world, "g")]
    settle(world, *joining, seconds=12.0)
    assert voter_names(world) == set("cdefg")


def test_lost_voter_stays_until_its_successor_votes():
    raft_type = partial(Raft, open_membership=True, tolerated_losses=2)
    world = World("abcde", raft_type=raft_type)
    world.run(3.0)
    world.crash("a~initial")
    world.run(VOTER_REMOVE_TIMEOUT_S * 2)
    assert voter_names(world) == set("abcde")


def test_voter_that_was_cut_off_for_long_comes_back():
    world = open_cluster("abcde")
    others = tuple(f"{n}~initial" for n in "bcde")
    world.partition(("a~initial",), others)
    settle(world, seconds=VOTER_REMOVE_TIMEOUT_S + 8)
    assert voter_names(world) == set("bcde")
    world.cut_links = set()
    settle(world, world.replicas["a~initial"])
    assert voter_names(world) == set("abcde")


def test_learner_catches_up_under_a_leader_outside_its_snapshot():
    world = open_cluster()
    settle(world, add_replica(world, "d"))
    make_leader(world, "d~later")
    learner = add_replica(world, "e")
    settle(world, learner, seconds=4.0)
    assert learner.raft.log.last_index == world.leader().raft.log.last_index
    assert "e" in voter_names(world)


def test_replica_outside_the_voter_set_knows_the_leader():
    world = open_cluster()
    settle(world, add_replica(world, "d"))
    make_leader(world, "d~later")
    learner = add_replica(world, "e")
    world.join(learner)
    world.run(0.3)
    assert learner.raft.leader_voter() == voter("d", "later")


def test_half_of_the_voters_is_never_removed():
    """Removing silent voters needs a quorum, which one half is not."""
    world = open_cluster("abcd")
    world.crash("a~initial")
    world.crash("b~initial")
    world.run(VOTER_REMOVE_TIMEOUT_S * 2)
    names_held = {v.name for r in world.running() for v in r.raft.log.voters}
    assert names_held == set("abcd")


@pytest.mark.parametrize("seed", range(30))
def test_nothing_committed_is_lost_under_random_faults(seed):
    """Crashes, partitions, joins and one lost disk at a time, at random."""
    rng = Random(seed)
    world = open_cluster("abc")
    joining = [add_replica(world, "d"), add_replica(world, "e")]
    settle(world, *joining, seconds=6.0)
    disk_lost_at = float("-inf")
    for _ in range(60):
        action = rng.randrange(7)
        ids = sorted(world.replicas)
        target_id = rng.choice(ids)
        down = [i for i in ids if not world.replicas[i].up]
        if action == 0 and not down:
            world.crash(target_id)
        elif action == 1:
            for replica_id in down:
                world.restart(replica_id)
        elif action == 2:
            half = set(rng.sample(ids, len(ids) // 2))
            world.partition(tuple(half), tuple(set(ids) - half))
        elif action == 3:
            world.cut_links = set()
        elif action == 4 and not down and world.now - disk_lost_at > 12:
            caught_up = all(
                r.raft.commit >= max(world.committed, default=0)
                for r in world.replicas.values()
            )
            if caught_up and not world.cut_links:
                disk_lost_at = world.now
                joining.append(world.lose_disk(target_id, f"life{world.now}"))
        else:
            world.propose()
        for replica in world.running():
            if replica.raft.should_rejoin(world.now):
                world.join(replica)
        world.run(rng.uniform(0.1, 1.5))
    world.cut_links = set()
    for replica_id in sorted(world.replicas):
        world.restart(replica_id)
    settle(world, *[r for r in joining if r.local_voter.id in world.replicas])
    index = world.propose()
    world.run(2.0)
    assert index in world.committed
    leader = world.leader()
    assert dict(map(tuple, leader.applied)) == world.committed


def test_restarted_replica_serves_what_it_knew_to_be_committed():
    """The saved commit index applies after a restart, up to the log's end."""
    world = open_cluster()
    for _ in range(5):
        world.propose()
        world.run(0.3)
    replica = world.replicas["a~initial"]
    commit = replica.raft.commit
    hard_state = HardState(term=replica.raft.term, vote="", commit=commit)
    restarted = Raft(
        local_voter=replica.local_voter,
        log=RaftLog(snapshot=replica.snapshot, entries=replica.entries),
        hard_state=hard_state,
        rng=Random(1),
        now=world.now,
    )
    assert restarted.commit == commit
    truncated = Raft(
        local_voter=replica.local_voter,
        log=RaftLog(snapshot=replica.snapshot, entries=replica.entries[:-1]),
        hard_state=HardState(term=hard_state.term, commit=commit + 9),
        rng=Random(1),
        now=world.now,
    )
    assert truncated.commit == truncated.log.last_index
