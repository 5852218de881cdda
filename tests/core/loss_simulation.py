"""Simulated replicas that lose their disks, hosts and links in series.

Never more than the tolerated number of hosts is lost at once; a host counts as
lost until `CATCH_UP_S` after its return. `python -m tests.core.loss_simulation
--seeds 5000` runs more seeds than the tests do.
"""

import argparse
from functools import partial
from multiprocessing import Pool
from random import Random

from chervilshift.core.raft.node import Raft
from chervilshift.core.raft.state import Timing
from tests.core.raft_world import Replica, World, voter

__all__ = ["LossSimulation"]

CATCH_UP_S = 4.0
DURATION_S = 60.0
STEP_S = 0.05
JOIN_INTERVAL_S = 0.3
# Longest time from the end of all faults until the group commits again.
RECOVERY_S = 10.0
TIMING = Timing(election_timeout_min_s=0.5)


class Host:
    """A host of one replica: when it returns and until when it is lost."""

    __slots__ = ("lost_until", "name", "replica_id", "returns_at", "wiped")

    def __init__(self, *, name: str, replica_id: str):
        self.name = name
        self.replica_id = replica_id
        self.returns_at: float | None = None
        self.lost_until = 0.0
        self.wiped = False


class LossSimulation:
    """A group of hosts under faults drawn from `seed`."""

    def __init__(self, *, seed: int, hosts: int, tolerated_losses: int):
        self.rng = Random(seed)
        self._added_hosts = hosts - 3
        self._tolerated_losses = tolerated_losses
        self.world = World(
            ("a", "b", "c"),
            raft_type=partial(
                Raft,
                open_membership=True,
                tolerated_losses=tolerated_losses,
                timing=TIMING,
            ),
        )
        self.hosts = [
            Host(name=v.name, replica_id=v.id) for v in self.world.voters
        ]
        self.trace: list[str] = []
        self._identities = 0
        self._names = 0
        self._links_heal_at: float | None = None
        self._minority: list[Host] = []
        self._join_due: dict[str, float] = {}

    # Checks

    def run(self) -> None:
        """Run all faults, then check that the group commits again.

        Raises AssertionError.
        """
        self._advance(3.0)
        for _ in range(self._added_hosts):
            self._add_host()
        self._advance(CATCH_UP_S)
        while self.world.now < DURATION_S:
            self._draw_fault()()
            self._advance(self.rng.choice((0.1, 0.5, 1.0, 2.0, 4.0, 7.0)))
        self._lose_power()
        self._heal_links()
        self._advance(RECOVERY_S)
        assert all(host.returns_at is None for host in self.hosts)
        index = self.world.propose()
        self._advance(1.0)
        assert index in self.world.committed, "the group does not commit"
        leader = self.world.leader()
        assert dict(map(tuple, leader.applied)) == self.world.committed

    # Time

    def _advance(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.advance(STEP_S)
            self.world.deliver_all()
            self._return_hosts()
            self._rejoin()
            if self.rng.random() < STEP_S:
                self.world.propose()

    def _return_hosts(self) -> None:
        now = self.world.now
        if self._links_heal_at is not None and now >= self._links_heal_at:
            self._heal_links()
        for host in self.hosts:
            if host.returns_at is not None and now >= host.returns_at:
                host.returns_at = None
                self._start(host)

    def _start(self, host: Host) -> None:
        if not host.wiped:
            self.world.restart(host.replica_id)
            return
        host.wiped = False
        self._identities += 1
        self.world.replicas.pop(host.replica_id, None)
        identity = voter(host.name, f"i{self._identities}")
        host.replica_id = identity.id
        self.world.replicas[identity.id] = Replica(self.world, identity, ())
        self._cut_links()

    def _rejoin(self) -> None:
        for host in self.hosts:
            replica = self.world.replicas.get(host.replica_id)
            now = self.world.now
            if replica is None or not replica.up:
                continue
            if now < self._join_due.get(host.name, 0.0):
                continue
            if replica.raft.should_rejoin(now):
                self._join_due[host.name] = now + JOIN_INTERVAL_S
                self._join(replica)

    def _join(self, replica: Replica) -> None:
        leader = self.world.leader()
        if leader is None:
            return
        link = (replica.local_voter.id, leader.local_voter.id)
        if link not in self.world.cut_links:
            self.world.join(replica)

    # Faults

    def _draw_fault(self):
        return self.rng.choice(
            (
                self._wipe,
                self._wipe,
                self._wipe_leader,
                self._replace,
                self._replace,
                self._restart,
                self._cut,
                self._lose_power,
                self._return_behind,
            )
        )

    def _spare_losses(self) -> int:
        lost = sum(host.lost_until > self.world.now for host in self.hosts)
        return self._tolerated_losses - lost

    def _intact(self) -> list[Host]:
        return [h for h in self.hosts if h.lost_until <= self.world.now]

    def _stop(self, host: Host, down_s: float, *, wipe: bool) -> None:
        self.world.crash(host.replica_id)
        host.wiped |= wipe
        host.returns_at = self.world.now + down_s
        host.lost_until = max(host.lost_until, host.returns_at + CATCH_UP_S)
        verb = "wiped" if wipe else "stopped"
        self._log(f"{verb} {host.replica_id} for {down_s:.1f} s")

    def _wipe(self) -> None:
        if self._spare_losses() > 0:
            host = self.rng.choice(self._intact())
            self._stop(host, self.rng.uniform(0.3, 2.5), wipe=True)

    def _wipe_leader(self) -> None:
        leader = self.world.leader()
        intact = [
            host
            for host in self._intact()
            if leader and host.replica_id == leader.local_voter.id
        ]
        if intact and self._spare_losses() > 0:
            self._stop(intact[0], self.rng.uniform(0.3, 2.5), wipe=True)

    def _restart(self) -> None:
        if self._spare_losses() > 0:
            host = self.rng.choice(self._intact())
            self._stop(host, self.rng.uniform(0.3, 2.5), wipe=False)

    def _replace(self) -> None:
        """Remove a host for good; one of another name comes instead."""
        if self._spare_losses() <= 0:
            return
        host = self.rng.choice(self._intact())
        self.world.crash(host.replica_id)
        self.world.replicas.pop(host.replica_id)
        self.hosts.remove(host)
        self._log(f"removed {host.replica_id}")
        self._add_host()

    def _add_host(self) -> None:
        self._names += 1
        host = Host(name=f"n{self._names}", replica_id="")
        host.wiped = True
        host.returns_at = self.world.now + 1.0
        host.lost_until = host.returns_at + CATCH_UP_S
        self.hosts.append(host)

    def _cut(self) -> None:
        """Cut a minority off for a time longer or shorter than elections."""
        spare = self._spare_losses()
        if self._links_heal_at is None and spare > 0:
            minority = self.rng.sample(
                self._intact(), self.rng.randint(1, spare)
            )
            self._cut_off(minority, self.rng.choice((1.0, 4.0, 12.0)))

    def _cut_off(self, minority: list[Host], seconds: float) -> None:
        self._links_heal_at = self.world.now + seconds
        self._minority = minority
        self._cut_links()
        for host in minority:
            host.lost_until = max(
                host.lost_until, self._links_heal_at + CATCH_UP_S
            )
        names = [host.name for host in minority]
        self._log(f"cut off {names} for {seconds:.1f} s")

    def _cut_links(self) -> None:
        minority = {host.replica_id for host in self._minority}
        others = {host.replica_id for host in self.hosts} - minority
        self.world.partition(tuple(minority), tuple(others))

    def _heal_links(self) -> None:
        for host in self._minority:
            reachable_at = host.returns_at or self.world.now
            host.lost_until = reachable_at + CATCH_UP_S
        self._links_heal_at = None
        self._minority = []
        self.world.cut_links = set()

    def _lose_power(self) -> None:
        """Stop all hosts; as many as may be lost return without a disk."""
        down_s = self.rng.uniform(0.5, 2.0)
        spare = self._spare_losses()
        intact = self._intact()
        wiped = self.rng.sample(intact, max(0, min(spare, len(intact))))
        for host in self.hosts:
            if host.returns_at is None:
                self._stop(host, down_s, wipe=host in wiped)

    def _return_behind(self) -> None:
        """Let a minority miss changes, wipe one of the others, heal."""
        if self._links_heal_at is not None:
            return
        if len(self._intact()) < len(self.hosts):
            return
        minority = self.rng.sample(self.hosts, (len(self.hosts) - 1) // 2)
        self._cut_off(minority, 30.0)
        self._advance(self.rng.uniform(0.5, 5.0))
        others = [h for h in self.hosts if h not in minority]
        down_s = self.rng.uniform(0.5, 3.0)
        wiped = self.rng.choice(others)
        for host in others:
            self._stop(host, down_s, wipe=host is wiped)
        self._heal_links()

    def _log(self, text: str) -> None:
        leader = self.world.leader()
        voters = leader.raft.voter_ids if leader else ()
        self.trace.append(f"{self.world.now:.2f} {text}; voters {voters}")


def run_seed(seed: int, *, hosts: int, tolerated_losses: int) -> str | None:
    """Run one seed; return what failed, or None."""
    simulation = LossSimulation(
        seed=seed, hosts=hosts, tolerated_losses=tolerated_losses
    )
    try:
        simulation.run()
    except AssertionError as error:
        return f"seed {seed}: {error}"
    return None


def main() -> None:
    """Run the seeds on the command line and print those that fail."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--tolerated-losses", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.seeds)
    run = partial(
        run_seed, hosts=args.hosts, tolerated_losses=args.tolerated_losses
    )
    with Pool(args.jobs) as pool:
        failures = [f for f in pool.imap(run, seeds, 8) if f]
    print(*failures, sep="\n")
    print(f"{len(failures)} of {len(seeds)} seeds failed")


if __name__ == "__main__":
    main()
