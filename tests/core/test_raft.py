"""The consensus core under many interleavings."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chervilshift.core.raft.messages import first_snapshot
from chervilshift.core.raft.node import Raft
from chervilshift.core.raft.state import ELECTION_MAX_S
from tests.core.raft_world import World

steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["advance", "advance", "deliver", "deliver", "deliver", "again",
             "drop", "propose", "crash", "restart", "pause", "resume",
             "compact", "settle", "transfer"]
        ),
        st.integers(0, 1000),
    ),
    max_size=150,
)  # fmt: skip


def play(world: World, script) -> None:
    ids = sorted(world.replicas)
    for action, number in script:
        chosen = world.replicas[ids[number % len(ids)]]
        if action == "advance":
            world.advance(0.05 + (number % 40) * 0.05)
        elif action == "deliver":
            world.deliver(number)
        elif action == "again":
            world.deliver(number, again=True)
        elif action == "drop" and world.messages:
            del world.messages[number % len(world.messages)]
        elif action == "propose":
            world.propose()
        elif action == "crash":
            world.crash(chosen.local_voter.id)
        elif action == "restart":
            world.restart(chosen.local_voter.id)
        elif action == "pause":
            chosen.paused = True
        elif action == "resume":
            chosen.paused = False
        elif action == "compact" and chosen.up:
            chosen.compact(number % 3)
        elif action == "settle":
            world.run(1.0)
        elif action == "transfer" and chosen.up:
            chosen.raft.transfer(world.now)
            chosen.turn()


@settings(max_examples=300)
@given(steps)
def test_safety_under_interleavings(script):
    world = World()
    world.run(3.0)
    play(world, script)
    # Whatever happened, the cluster heals and keeps what was committed.
    for replica in world.replicas.values():
        replica.paused = False
        world.restart(replica.local_voter.id)
    world.run(3 * ELECTION_MAX_S)
    index = world.propose()
    world.run(1.0)
    assert index is not None
    assert index in world.committed
    for replica in world.replicas.values():
        assert dict(map(tuple, replica.applied)) == world.committed


def long_random_run(raft_type: type, seed: int) -> None:
    """Run through pauses, cuts and proposals, checking all the way."""
    rng = Random(seed)
    world = World(raft_type=raft_type)
    world.run(3.0)
    ids = sorted(world.replicas)
    for _ in range(150):
        lone = rng.choice(ids)
        action = rng.randrange(5)
        if action == 0:
            rest = tuple(name for name in ids if name != lone)
            world.partition((lone,), rest)
        elif action == 1:
            world.cut = {(lone, other) for other in ids if other != lone}
        elif action == 2:
            world.replicas[lone].paused = True
        elif action == 3:
            other = rng.choice(ids)
            world.cut = {(lone, other), (other, lone)}
        else:
            world.cut = set()
            for replica in world.replicas.values():
                replica.paused = False
        if rng.random() < 0.3:
            world.propose()
        world.run(rng.uniform(0.2, 2.5))


@pytest.mark.parametrize("seed", range(8))
def test_leases_exclude_each_other(seed):
    long_random_run(Raft, seed)


class WithoutLeaderContact(Raft):
    """Voters that follow any candidate at once."""

    def _ignores(self, message, now):
        return False


def test_check_catches_leases_without_leader_contact():
    with pytest.raises(AssertionError, match="lease"):
        for seed in range(8):
            long_random_run(WithoutLeaderContact, seed)


def test_check_catches_an_empty_disk_under_its_old_identity():
    world = World()
    world.run(3.0)
    leader = world.leader()
    lone, other = (
        n for n in sorted(world.replicas) if n != leader.local_voter.id
    )
    world.partition((lone,), (leader.local_voter.id, other))
    world.propose()
    world.run(1.0)
    forgetful = world.replicas[other]
    world.crash(leader.local_voter.id)
    world.crash(other)
    forgetful.hard_state = type(forgetful.hard_state)()
    forgetful.snapshot = first_snapshot(world.voters)
    forgetful.entries = ()
    world.cut = set()
    world.restart(other)
    with pytest.raises(AssertionError, match="two values committed"):
        world.run(10.0)


def test_replica_cut_off_for_long_does_not_depose_the_leader():
    world = World()
    world.run(3.0)
    leader = world.leader()
    ids = sorted(world.replicas)
    lone = next(name for name in ids if name != leader.local_voter.id)
    world.partition((lone,), tuple(n for n in ids if n != lone))
    world.run(60.0)
    term = leader.raft.term
    world.cut = set()
    world.run(5.0)
    assert world.leader() is leader
    assert leader.raft.term == term


def test_cut_off_leader_steps_down_and_serves_no_reads():
    world = World()
    world.run(3.0)
    old = world.leader()
    ids = sorted(world.replicas)
    world.partition(
        (old.local_voter.id,), tuple(n for n in ids if n != old.local_voter.id)
    )
    world.run(1.0)
    assert not old.raft.has_lease(world.now)
    world.run(2 * ELECTION_MAX_S)
    assert not old.raft.is_leader
    assert old.raft.staleness_s(world.now) > 2.0
    assert world.leader() is not old


def test_paused_leader_has_no_lease_when_it_goes_on():
    world = World()
    world.run(3.0)
    old = world.leader()
    old.paused = True
    world.run(10.0)
    assert not old.raft.has_lease(world.now)


def test_lost_disk_comes_back_as_a_new_voter_and_second_loss_is_survived():
    world = World()
    world.run(3.0)
    for _ in range(20):
        world.propose()
        world.run(0.2)
    first, second, _ = sorted(world.replicas)
    fresh = world.lose_disk(first, "second-life")
    for _ in range(30):
        world.join(fresh)
        world.run(0.5)
    ids = set(world.leader().raft.voter_ids)
    assert fresh.local_voter.id in ids
    assert first not in ids
    assert len(ids) == 3
    # Right after the repair another host is lost for good.
    world.crash(second)
    world.run(6.0)
    index = world.propose()
    world.run(1.0)
    assert index in world.committed
    assert dict(map(tuple, fresh.applied)) == world.committed


def test_lost_disk_does_not_vote_under_its_old_identity():
    world = World()
    world.run(3.0)
    first = sorted(world.replicas)[0]
    fresh = world.lose_disk(first, "second-life")
    world.run(10.0)
    assert fresh.raft.term == 0
    assert fresh.raft.vote == ""
    assert not fresh.raft.voter_ids


def test_old_incarnation_that_still_answers_is_not_replaced():
    world = World()
    world.run(3.0)
    leader = world.leader()
    other = next(v for v in world.voters if v.id != leader.local_voter.id)
    twin = type(other)(
        name=other.name,
        incarnation="twin",
        address=other.address,
        failure_domain=other.failure_domain,
    )
    assert not leader.raft.add_learner(twin, world.now)


def test_missed_hundreds_of_entries_catch_up_by_snapshot():
    world = World()
    world.run(3.0)
    leader = world.leader()
    lone = next(
        n for n in sorted(world.replicas) if n != leader.local_voter.id
    )
    world.crash(lone)
    for _ in range(300):
        world.propose()
        world.deliver_all()
    world.run(1.0)
    leader.compact(keep=10)
    assert leader.raft.log.first_index > 200
    world.restart(lone)
    world.run(5.0)
    assert dict(map(tuple, world.replicas[lone].applied)) == world.committed


def test_leader_hands_over_without_an_election_timeout():
    world = World()
    world.run(3.0)
    old = world.leader()
    assert old.raft.transfer(world.now)
    old.turn()
    world.run(0.5)
    assert world.leader() is not old


def test_follower_that_lacks_entries_is_not_fresh_though_it_hears_much():
    world = World()
    world.run(3.0)
    leader = world.leader()
    lone = next(
        n for n in sorted(world.replicas) if n != leader.local_voter.id
    )
    # What the follower says is lost, and one entry on its way to it.
    world.cut = {(lone, name) for name in world.replicas}
    world.propose()
    world.messages = [m for m in world.messages if m.dst != lone]
    world.run(4.0)
    follower = world.replicas[lone].raft
    assert world.leader() is leader
    assert follower.commit < leader.raft.commit
    assert follower.staleness_s(world.now) > 3.0
    world.cut = set()
    world.run(1.0)
    assert follower.staleness_s(world.now) < 1.0
