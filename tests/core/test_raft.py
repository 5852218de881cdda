"""Raft safety and recovery under interleavings, partitions and lost disks."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chervilshift.core.raft.messages import initial_snapshot
from chervilshift.core.raft.node import Raft
from chervilshift.core.raft.state import ELECTION_TIMEOUT_MAX_S
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


def run_script(world: World, script) -> None:
    ids = sorted(world.replicas)
    for action, number in script:
        target = world.replicas[ids[number % len(ids)]]
        if action == "advance":
            world.advance(0.05 + (number % 40) * 0.05)
        elif action == "deliver":
            world.deliver(number)
        elif action == "again":
            world.deliver(number, duplicate=True)
        elif action == "drop" and world.messages:
            del world.messages[number % len(world.messages)]
        elif action == "propose":
            world.propose()
        elif action == "crash":
            world.crash(target.local_voter.id)
        elif action == "restart":
            world.restart(target.local_voter.id)
        elif action == "pause":
            target.paused = True
        elif action == "resume":
            target.paused = False
        elif action == "compact" and target.up:
            target.compact(number % 3)
        elif action == "settle":
            world.run(1.0)
        elif action == "transfer" and target.up:
            target.raft.transfer(world.now)
            target.process_ready()


@settings(max_examples=300)
@given(steps)
def test_safety_under_interleavings(script):
    world = World()
    world.run(3.0)
    run_script(world, script)
    # With all replicas running again, the cluster elects a leader, commits
    # new entries and still has all earlier committed ones.
    for replica in world.replicas.values():
        replica.paused = False
        world.restart(replica.local_voter.id)
    world.run(3 * ELECTION_TIMEOUT_MAX_S)
    index = world.propose()
    world.run(1.0)
    assert index is not None
    assert index in world.committed
    for replica in world.replicas.values():
        assert dict(map(tuple, replica.applied)) == world.committed


def random_fault_run(raft_type: type, seed: int) -> None:
    """Run pauses, cut links and proposals; `World` checks each step."""
    rng = Random(seed)
    world = World(raft_type=raft_type)
    world.run(3.0)
    ids = sorted(world.replicas)
    for _ in range(150):
        isolated_id = rng.choice(ids)
        action = rng.randrange(5)
        if action == 0:
            rest = tuple(name for name in ids if name != isolated_id)
            world.partition((isolated_id,), rest)
        elif action == 1:
            world.cut_links = {
                (isolated_id, other) for other in ids if other != isolated_id
            }
        elif action == 2:
            world.replicas[isolated_id].paused = True
        elif action == 3:
            other = rng.choice(ids)
            world.cut_links = {(isolated_id, other), (other, isolated_id)}
        else:
            world.cut_links = set()
            for replica in world.replicas.values():
                replica.paused = False
        if rng.random() < 0.3:
            world.propose()
        world.run(rng.uniform(0.2, 2.5))


@pytest.mark.parametrize("seed", range(8))
def test_leases_exclude_each_other(seed):
    random_fault_run(Raft, seed)


class AcceptsAnyCandidate(Raft):
    """Raft whose voters follow candidates while a leader is alive."""

    def _should_ignore(self, message, now):
        return False


def test_check_catches_leases_without_leader_contact():
    """The simulation finds a second lease if voters follow any candidate."""
    with pytest.raises(AssertionError, match="lease"):
        for seed in range(8):
            random_fault_run(AcceptsAnyCandidate, seed)


def test_check_catches_an_empty_disk_under_its_old_identity():
    """A voter that lost its disk must not return under its old identity.

    It has forgotten its vote and entries that it acknowledged. Together with
    a replica that lacks them it forms a quorum, which commits other entries
    in their place.
    """
    world = World()
    world.run(3.0)
    leader = world.leader()
    isolated_id, other = (
        n for n in sorted(world.replicas) if n != leader.local_voter.id
    )
    world.partition((isolated_id,), (leader.local_voter.id, other))
    world.propose()
    world.run(1.0)
    wiped = world.replicas[other]
    world.crash(leader.local_voter.id)
    world.crash(other)
    wiped.hard_state = type(wiped.hard_state)()
    wiped.snapshot = initial_snapshot(world.voters)
    wiped.entries = ()
    world.cut_links = set()
    world.restart(other)
    with pytest.raises(AssertionError, match="two values committed"):
        world.run(10.0)


def test_replica_cut_off_for_long_does_not_depose_the_leader():
    """Pre-votes keep the term of an isolated replica from increasing."""
    world = World()
    world.run(3.0)
    leader = world.leader()
    ids = sorted(world.replicas)
    isolated_id = next(name for name in ids if name != leader.local_voter.id)
    world.partition((isolated_id,), tuple(n for n in ids if n != isolated_id))
    world.run(60.0)
    term = leader.raft.term
    world.cut_links = set()
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
    world.run(2 * ELECTION_TIMEOUT_MAX_S)
    assert not old.raft.is_leader
    assert old.raft.staleness_s(world.now) > 2.0
    assert world.leader() is not old


def test_paused_leader_has_no_lease_when_it_goes_on():
    """Its lease has expired by the clock before it processes any message."""
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
    successor = world.lose_disk(first, "second-life")
    for _ in range(30):
        world.join(successor)
        world.run(0.5)
    ids = set(world.leader().raft.voter_ids)
    assert successor.local_voter.id in ids
    assert first not in ids
    assert len(ids) == 3
    # A second replica is lost for good right after the first was replaced.
    world.crash(second)
    world.run(6.0)
    index = world.propose()
    world.run(1.0)
    assert index in world.committed
    assert dict(map(tuple, successor.applied)) == world.committed


def test_lost_disk_does_not_vote_under_its_old_identity():
    """A replica with a new identity takes no part until the leader adds it."""
    world = World()
    world.run(3.0)
    first = sorted(world.replicas)[0]
    successor = world.lose_disk(first, "second-life")
    world.run(10.0)
    assert successor.raft.term == 0
    assert successor.raft.vote == ""
    assert not successor.raft.voter_ids


def test_old_incarnation_that_still_answers_is_not_replaced():
    """Two running replicas of one name must not replace each other."""
    world = World()
    world.run(3.0)
    leader = world.leader()
    other = next(v for v in world.voters if v.id != leader.local_voter.id)
    new_incarnation = type(other)(
        name=other.name,
        incarnation="twin",
        address=other.address,
        failure_domain=other.failure_domain,
    )
    assert not leader.raft.add_learner(new_incarnation, world.now)


def test_missed_hundreds_of_entries_catch_up_by_snapshot():
    world = World()
    world.run(3.0)
    leader = world.leader()
    isolated_id = next(
        n for n in sorted(world.replicas) if n != leader.local_voter.id
    )
    world.crash(isolated_id)
    for _ in range(300):
        world.propose()
        world.deliver_all()
    world.run(1.0)
    leader.compact(keep=10)
    assert leader.raft.log.first_index > 200
    world.restart(isolated_id)
    world.run(5.0)
    assert (
        dict(map(tuple, world.replicas[isolated_id].applied))
        == world.committed
    )


def test_leader_hands_over_without_an_election_timeout():
    world = World()
    world.run(3.0)
    old = world.leader()
    assert old.raft.transfer(world.now)
    old.process_ready()
    world.run(0.5)
    assert world.leader() is not old


def test_follower_that_lacks_entries_is_not_fresh_though_it_hears_much():
    """Heartbeats alone must not make a follower's state count as recent."""
    world = World()
    world.run(3.0)
    leader = world.leader()
    isolated_id = next(
        n for n in sorted(world.replicas) if n != leader.local_voter.id
    )
    # All messages from the follower are lost, and so is one entry sent to it.
    world.cut_links = {(isolated_id, name) for name in world.replicas}
    world.propose()
    world.messages = [m for m in world.messages if m.dst != isolated_id]
    world.run(4.0)
    follower = world.replicas[isolated_id].raft
    assert world.leader() is leader
    assert follower.commit < leader.raft.commit
    assert follower.staleness_s(world.now) > 3.0
    world.cut_links = set()
    world.run(1.0)
    assert follower.staleness_s(world.now) < 1.0
