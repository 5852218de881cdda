"""Simulated Raft cluster with a virtual clock and controlled messages."""

from random import Random

import msgspec

from chervilshift.core.raft.log import RaftLog
from chervilshift.core.raft.messages import (
    COMMAND,
    Snapshot,
    Voter,
    initial_snapshot,
)
from chervilshift.core.raft.node import Raft
from chervilshift.core.raft.state import HardState

__all__ = ["World"]


def voter(name: str, incarnation: str = "initial") -> Voter:
    return Voter(
        name=name,
        incarnation=incarnation,
        address=name,
        failure_domain=name,
    )


class Replica:
    """A replica and the contents of its disk."""

    def __init__(self, world, local_voter: Voter, voters: tuple[Voter, ...]):
        self.world = world
        self.local_voter = local_voter
        self.hard_state = HardState()
        self.snapshot = initial_snapshot(voters)
        self.entries = ()
        self.applied: list[tuple[int, bytes]] = []
        self.up = False
        self.paused = False
        self.raft: Raft | None = None
        self.start()

    def start(self) -> None:
        self.raft = self.world.raft_type(
            local_voter=self.local_voter,
            log=RaftLog(snapshot=self.snapshot, entries=self.entries),
            hard_state=self.hard_state,
            rng=Random(seed_from(self.local_voter.id)),
            now=self.world.now,
        )
        self.applied = decode_applied(self.snapshot)
        self.applied_to = self.snapshot.index
        self.up = True

    def process_ready(self) -> None:
        """Save, send and apply the output of the replica, as `Node` does."""
        ready = self.raft.take_ready()
        if ready.hard_state:
            self.hard_state = ready.hard_state
        if ready.snapshot:
            self.snapshot = ready.snapshot
            self.entries = ()
            self.applied = decode_applied(ready.snapshot)
            self.applied_to = ready.snapshot.index
        if ready.entries:
            first = ready.entries[0].index
            kept = tuple(e for e in self.entries if e.index < first)
            self.entries = kept + ready.entries
        self.raft.mark_persisted(self.raft.log.last_index, self.world.now)
        self.world.messages += ready.messages
        self.apply()

    def apply(self) -> None:
        raft = self.raft
        for entry in raft.log.between(self.applied_to + 1, raft.commit):
            self.applied_to = entry.index
            self.world.check_applied(entry)
            if entry.kind == COMMAND:
                self.applied.append([entry.index, entry.data])
                self.world.committed[entry.index] = entry.data

    def compact(self, keep: int) -> None:
        raft = self.raft
        if self.applied_to <= raft.log.full_snapshot.index:
            return
        snapshot = Snapshot(
            index=self.applied_to,
            term=raft.log.term_at(self.applied_to),
            voters=raft.log.voters_at(self.applied_to),
            data=msgspec.msgpack.encode(self.applied),
        )
        raft.log.compact(snapshot, keep)
        self.snapshot = snapshot
        self.entries = raft.log.between(
            snapshot.index + 1, raft.log.last_index
        )


def decode_applied(snapshot: Snapshot) -> list:
    return msgspec.msgpack.decode(snapshot.data) if snapshot.data else []


def seed_from(text: str) -> int:
    return sum(ord(c) * (i + 1) for i, c in enumerate(text))


class World:
    """Replicas, messages in transit and one clock.

    After each step it checks that no term has two leaders, that no two
    replicas hold a lease, that a lease holder has all committed entries, and
    that all replicas apply the same entry at an index.
    """

    def __init__(self, names=("a", "b", "c"), raft_type=Raft):
        self.raft_type = raft_type
        self.now = 0.0
        self.messages: list = []
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, bytes] = {}
        self.log: dict[int, object] = {}
        self.voters = tuple(voter(name) for name in names)
        self.replicas: dict[str, Replica] = {}
        for local_voter in self.voters:
            self.replicas[local_voter.id] = Replica(
                self, local_voter, self.voters
            )
        self.proposed = 0
        self.cut_links: set[tuple[str, str]] = set()

    # Checks

    def check_applied(self, entry) -> None:
        expected = self.log.setdefault(entry.index, entry)
        assert expected == entry, (
            f"two values committed at index {entry.index}"
        )

    def check(self) -> None:
        for replica in self.running():
            raft = replica.raft
            if raft.is_leader:
                expected = self.leaders.setdefault(
                    raft.term, raft.local_voter.id
                )
                assert expected == raft.local_voter.id, (
                    f"two leaders in term {raft.term}"
                )
        lease_holders = [
            r
            for r in self.replicas.values()
            if r.up and r.raft.has_lease(self.now)
        ]
        assert len(lease_holders) <= 1, "two replicas hold a lease at once"
        for replica in lease_holders:
            newest = max(self.committed, default=0)
            assert replica.raft.commit >= newest, (
                "a replica with a lease lacks committed entries"
            )

    # Steps

    def running(self) -> list[Replica]:
        return [r for r in self.replicas.values() if r.up and not r.paused]

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for replica in self.running():
            replica.raft.tick(self.now)
            replica.process_ready()
        self.check()

    def deliver(self, position: int, *, duplicate: bool = False) -> None:
        if not self.messages:
            return
        position %= len(self.messages)
        message = self.messages[position]
        if not duplicate:
            del self.messages[position]
        replica = self.replicas.get(message.dst)
        if not self.sender_knows_address(message):
            return
        if (message.src, message.dst) in self.cut_links or replica is None:
            return
        if replica.up and not replica.paused:
            replica.raft.step(message, self.now)
            replica.process_ready()
        self.check()

    def sender_knows_address(self, message) -> bool:
        """Return whether the sender has the address of the receiver."""
        sender = self.replicas.get(message.src)
        return sender is None or sender.raft.peer(message.dst) is not None

    def deliver_all(self) -> None:
        for _ in range(len(self.messages)):
            self.deliver(0)

    def run(self, seconds: float, step: float = 0.1) -> None:
        until = self.now + seconds
        while self.now < until:
            self.advance(step)
            self.deliver_all()

    def propose(self) -> int | None:
        leader = self.leader()
        if leader is None:
            return None
        self.proposed += 1
        index = leader.raft.propose(b"%d" % self.proposed, self.now)
        leader.process_ready()
        return index

    def leader(self) -> Replica | None:
        leading = [r for r in self.running() if r.raft.is_leader]
        return max(leading, key=lambda r: r.raft.term, default=None)

    def crash(self, replica_id: str) -> None:
        self.replicas[replica_id].up = False

    def restart(self, replica_id: str) -> None:
        replica = self.replicas[replica_id]
        if not replica.up:
            replica.start()

    def lose_disk(self, replica_id: str, incarnation: str) -> Replica:
        """Replace a replica by one of the same name with an empty disk."""
        lost = self.replicas.pop(replica_id)
        successor = voter(lost.local_voter.name, incarnation)
        self.replicas[successor.id] = Replica(self, successor, ())
        return self.replicas[successor.id]

    def join(self, replica: Replica) -> None:
        leader = self.leader()
        if leader is not None:
            leader.raft.add_learner(replica.local_voter, self.now)
            leader.process_ready()

    def partition(self, *groups: tuple[str, ...]) -> None:
        """Cut the links between replicas of different groups."""
        group_of = {
            name: index for index, group in enumerate(groups) for name in group
        }
        self.cut_links = {
            (src, dst)
            for src in group_of
            for dst in group_of
            if group_of[src] != group_of[dst]
        }
