"""Replicas whose disks are full in turn, never two at once.

Real nodes, storages and fleet services in virtual time, on disks and links in
memory. Changes are put all the time, at any replica; after the last disk has
room, each has to be acknowledged. `python -m
tests.control.full_disk_simulation --seeds 1000` runs more seeds than the tests
do.
"""

import argparse
from functools import partial
from itertools import count
from multiprocessing import Pool
from pathlib import Path
from random import Random
from unittest.mock import patch

import anyio
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.control import node as node_module
from chervilshift.control.fleet import FleetService
from chervilshift.control.node import Node
from chervilshift.control.replica import INITIAL_INCARNATION, JOIN_INTERVAL_S
from chervilshift.control.server import ControlServer
from chervilshift.control.storage import Storage
from chervilshift.core.fleet.limits import LimitPolicy
from chervilshift.core.fleet.model import ServingConfig, ServingLimits
from chervilshift.core.fleet.sync import ControlInfo, GatewayInfo, GatewaySync
from chervilshift.core.raft.messages import Voter
from chervilshift.core.raft.state import Timing
from chervilshift.errors import Failure, PeerUnreachable
from chervilshift.events import EventLog, HybridClock
from chervilshift.wire.leader import LeaderClient
from chervilshift.wire.messages import Join
from tests.control.model_disk import ModelDisk
from tests.virtual_time import LoopClock, run_virtual

__all__ = ["FullDiskSimulation"]

FOLDER = Path("/data")
SEEDS = 3
DURATION_S = 90.0
# From the end of all faults until a change has to be in force.
RECOVERY_S = 8.0
PUT_INTERVAL_S = 0.25
PUT_TIMEOUT_S = 1.0
CHECKED_PUTS = 20
SYNC_INTERVAL_S = 0.25


class Link:
    """Client of one replica for calls to another."""

    __slots__ = ("_simulation", "_source", "_target")

    def __init__(self, simulation, source: str, target: str):
        self._simulation = simulation
        self._source = source
        self._target = target

    async def call(self, body, timeout_s: float) -> Result:
        """Deliver the body after a delay; lost calls time out."""
        simulation = self._simulation
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(simulation.delay_s(self._source, self._target))
            if not simulation.connected(self._source, self._target):
                await anyio.sleep(timeout_s)
            reply = await simulation.hosts[self._target].answer(body)
            await anyio.sleep(simulation.delay_s(self._target, self._source))
            return reply
        return Bad(PeerUnreachable(address=self._target, reason="timeout"))


class Links:
    """The `Clients` of one replica."""

    __slots__ = ("_name", "_simulation")

    def __init__(self, simulation, name: str):
        self._simulation = simulation
        self._name = name

    def at(self, address: str) -> Link:
        return Link(self._simulation, self._name, address)


class Host:
    """One replica with its disk."""

    def __init__(self, simulation, name: str, *, first: bool):
        self.simulation = simulation
        self.name = name
        self.full = False
        self.cut_off = False
        self.slow = False
        self.disk = ModelDisk(rng=simulation.rng, fails=self._is_full)
        self.first = first
        self.server: ControlServer | None = None
        self.scope: anyio.CancelScope | None = None

    def _is_full(self, operation: str) -> bool:
        rng = self.simulation.rng
        return self.full and (
            operation == "write"
            or (operation == "create" and rng.random() < 0.3)
            or (operation == "sync_folder" and rng.random() < 0.2)
        )

    async def answer(self, body) -> Result:
        """Serve a call as the RPC server does."""
        if self.server is None:
            return Bad(PeerUnreachable(address=self.name, reason="down"))
        try:
            return Success(await self.server.serve(body))
        except Failure as failure:
            return Bad(failure)

    async def run(self) -> None:
        """Run the replica until it is stopped."""
        with anyio.CancelScope() as self.scope:
            await self._run()
        self.server = None

    async def _run(self) -> None:
        simulation = self.simulation
        clock = LoopClock()
        events = EventLog(
            process=self.name,
            hlc=HybridClock(clock=clock),
            on_event=simulation.on_event,
        )
        clients = Links(simulation, self.name)
        storage = Storage(folder=FOLDER, disk=self.disk)
        identity = storage.identity() or storage.format(
            name=self.name,
            voters=simulation.first_voters if self.first else (),
        )
        voter = Voter(
            name=self.name,
            incarnation=identity.incarnation,
            address=self.name,
            failure_domain="",
        )
        self.node = Node(
            local_voter=voter,
            storage=storage,
            clients=clients,
            clock=clock,
            events=events,
            rng=simulation.rng,
            open_membership=True,
            tolerated_losses=simulation.tolerated_losses,
            timing=Timing(election_timeout_min_s=0.5),
        )
        self.fleet = FleetService(
            node=self.node,
            clients=clients,
            decode=decode,
            announce_interval_s=0.4,
            limit_policy=LimitPolicy(window_s=8.0, tolerance=0.1, slack=0.0),
            info=ControlInfo(address=self.name),
            clock=clock,
            events=events,
        )
        async with anyio.create_task_group() as tg:
            await tg.start(self.node.run)
            self.server = ControlServer(node=self.node, fleet=self.fleet)
            tg.start_soon(self.fleet.run)
            tg.start_soon(self._rejoin, clients, clock)

    async def _rejoin(self, clients: Links, clock: LoopClock) -> None:
        leader = LeaderClient(addresses=(), clients=clients, clock=clock)
        while True:
            if self.node.raft.should_rejoin(clock.monotonic()):
                leader.addresses = tuple(
                    dict.fromkeys(
                        (
                            *(v.name for v in self.simulation.first_voters),
                            *(v.address for v in self.node.raft.log.voters),
                        )
                    )
                )
                await leader.call(
                    Join(voter=self.node.local_voter), JOIN_INTERVAL_S
                )
            await anyio.sleep(JOIN_INTERVAL_S)


class FullDiskSimulation:
    """A group of hosts with disks that are full in turn, drawn from `seed`."""

    def __init__(
        self,
        *,
        seed: int,
        hosts: int = 5,
        gateways: int = 0,
        duration_s: float = DURATION_S,
        tolerated_losses: int = 1,
    ):
        self.rng = Random(seed)
        self.tolerated_losses = tolerated_losses
        self._duration_s = duration_s
        self.trace: list[str] = []
        self.first_voters = tuple(
            Voter(
                name=f"c{number}",
                incarnation=INITIAL_INCARNATION,
                address=f"c{number}",
                failure_domain="",
            )
            for number in range(SEEDS)
        )
        self.hosts = {
            f"c{number}": Host(self, f"c{number}", first=number < SEEDS)
            for number in range(hosts)
        }
        self._gateways = gateways
        self._version = 0
        self._acked = 0
        self._open_calls: dict[int, str] = {}
        self.refused: list[str] = []

    # The network

    def connected(self, source: str, target: str) -> bool:
        return not (self.hosts[source].cut_off or self.hosts[target].cut_off)

    def delay_s(self, source: str, target: str) -> float:
        slow = self.hosts[source].slow or self.hosts[target].slow
        return self.rng.uniform(0.0005, 0.15 if slow else 0.003)

    def on_event(self, line: str) -> None:
        self.trace.append(line)

    # The run

    def run(self) -> None:
        """Run all faults; raise AssertionError if changes stay refused."""
        identities = (f"i{number}" for number in count())
        with patch(
            "chervilshift.control.storage.token_hex",
            lambda _: next(identities),
        ):
            run_virtual(self._run, lambda: self.rng.uniform(0.0005, 0.01))

    async def _run(self) -> None:
        async with anyio.create_task_group() as tg:
            self._tg = tg
            for host in self.hosts.values():
                tg.start_soon(host.run)
                await anyio.sleep(0.1)
            await anyio.sleep(10.0)
            with anyio.CancelScope() as faults:
                tg.start_soon(self._put_loop, faults)
                for number in range(self._gateways):
                    tg.start_soon(self._sync_loop, number)
                await self._fill_disks()
                faults.cancel()
            await anyio.sleep(RECOVERY_S)
            await self._check()
            tg.cancel_scope.cancel()

    async def _fill_disks(self) -> None:
        until = LoopClock().monotonic() + self._duration_s
        while LoopClock().monotonic() < until:
            host = self._draw_next()
            host.full = True
            if self.rng.random() < 0.3:
                self._tg.start_soon(self._disturb)
            await anyio.sleep(self.rng.choice((0.5, 2.0, 4.0, 7.0, 13.0)))
            host.full = False
            if self.rng.random() < 0.1:
                self._restart(host)
            await anyio.sleep(self.rng.choice((0.0, 0.0, 0.5, 3.0)))

    def _draw_next(self) -> Host:
        """Draw a host, often the leader."""
        leaders = [
            h for h in self.hosts.values() if h.server and h.node.has_lease()
        ]
        if leaders and self.rng.random() < 0.5:
            return leaders[0]
        return self.rng.choice(list(self.hosts.values()))

    async def _disturb(self) -> None:
        """Cut off or slow a host for some seconds."""
        host = self.rng.choice(list(self.hosts.values()))
        if any(h.cut_off for h in self.hosts.values()):
            return
        what = self.rng.choice(("slow", "slow", "cut_off"))
        if what == "cut_off" and (len(self.hosts) < 5 or host.full):
            return
        setattr(host, what, True)
        await anyio.sleep(self.rng.choice((1.0, 6.0, 12.0)))
        setattr(host, what, False)

    def _restart(self, host: Host) -> None:
        if host.scope is not None:
            host.scope.cancel()
            host.disk.end_process()
            self._tg.start_soon(self._start_again, host)

    async def _start_again(self, host: Host) -> None:
        await anyio.sleep(0.5)
        await host.run()

    # Callers

    async def _put_loop(self, faults: anyio.CancelScope) -> None:
        while not faults.cancel_called:
            name = self.rng.choice(list(self.hosts))
            self._tg.start_soon(self._put, name)
            await anyio.sleep(PUT_INTERVAL_S)

    async def _put(self, name: str) -> Result | None:
        """Put the next version at a replica; None is no answer."""
        self._version += 1
        version = self._version
        host = self.hosts[name]
        if host.server is None:
            return None
        self._open_calls[version] = name
        result = await host.fleet.put_document(b"%d" % version)
        del self._open_calls[version]
        if not isinstance(result, Bad):
            self._acked = max(self._acked, version)
        return result

    async def _sync_loop(self, number: int) -> None:
        """Report as a gateway does, to any replica."""
        info = GatewayInfo(
            id=f"g{number}",
            incarnation="1",
            address=f"g{number}",
            failure_domain="",
            region="",
            ready=True,
        )
        seq = 0
        await anyio.sleep(self.rng.uniform(0.0, SYNC_INTERVAL_S))
        while True:
            seq += 1
            host = self.rng.choice(list(self.hosts.values()))
            body = GatewaySync(
                gateway=info, version=0, revision=0, seq=seq, interval_s=2.0
            )
            with anyio.move_on_after(1.0):
                await host.answer(body)
            await anyio.sleep(2.0)

    # Checks

    async def _check(self) -> None:
        names = sorted(self.hosts)
        for number in range(CHECKED_PUTS):
            name = names[number % len(names)]
            assert self.hosts[name].server, f"{name} has ended"
            result = None
            with anyio.move_on_after(PUT_TIMEOUT_S):
                result = await self._put(name)
            assert result is not None, f"no answer at {name}"
            assert not isinstance(result, Bad), (
                f"refused at {name}: {result.failure()}"
            )
            await anyio.sleep(0.1)
        await anyio.sleep(1.0)
        assert not self._open_calls, f"unanswered: {self._open_calls}"
        for host in self.hosts.values():
            version = host.node.machine.fleet.version
            assert version >= self._acked, f"{host.name} has not {self._acked}"
            assert not host.node._pending, f"pending at {host.name}"


def decode(document: bytes) -> Result:
    return Success(
        ServingConfig(
            version=int(document),
            routes=(),
            services={},
            limits=ServingLimits(),
        )
    )


def run_seed(seed: int, **options) -> str | None:
    """Run one seed; return what failed, or None."""
    # Compaction and snapshots within a short run.
    node_module.COMPACT_AFTER_ENTRIES = 60
    node_module.KEPT_ENTRIES = 10
    simulation = FullDiskSimulation(seed=seed, **options)
    try:
        simulation.run()
    except BaseExceptionGroup as group:
        causes = [repr(exc) for exc in flatten(group)]
        return f"seed {seed}: {'; '.join(causes)}"
    return None


def flatten(group: BaseExceptionGroup):
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from flatten(exc)
        else:
            yield exc


def main() -> None:
    """Run the seeds on the command line and print those that fail."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--gateways", type=int, default=0)
    parser.add_argument("--tolerated-losses", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.seeds)
    run = partial(
        run_seed,
        hosts=args.hosts,
        gateways=args.gateways,
        tolerated_losses=args.tolerated_losses,
        duration_s=args.duration_s,
    )
    failed = 0
    with Pool(args.jobs) as pool:
        for done, failure in enumerate(pool.imap_unordered(run, seeds), 1):
            failed += failure is not None
            if failure is not None:
                print(failure, flush=True)
            if done % 10 == 0 or done == len(seeds):
                print(f"{failed} of {done} seeds failed", flush=True)


if __name__ == "__main__":
    main()
