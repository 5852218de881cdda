"""What a replica does while saves fail or hang, and with odd commands."""

from pathlib import Path
from random import Random

import anyio
from returns.result import Success

from chervilshift.control.node import Node
from chervilshift.control.storage import Storage
from chervilshift.core.commands import (
    AdvanceTime,
    IssueFence,
)
from chervilshift.core.ledger import Ledger
from chervilshift.core.raft.messages import Voter
from chervilshift.errors import (
    BadRequest,
)
from chervilshift.events import EventLog, HybridClock
from tests.control.model_disk import ModelDisk
from tests.virtual_time import LoopClock, run_virtual

FOLDER = Path("/data")
# The target allows eight seconds until a change is in force.
ANSWER_S = 8.0
FENCE = IssueFence(holder="a")
MAX_HELD_BYTES = 32 << 20


def voter(name: str) -> Voter:
    return Voter(name=name, incarnation="i", address=name, failure_domain="")


class Unreachable:
    """Clients whose calls never return."""

    def at(self, address):
        return self

    async def call(self, body, timeout_s):
        await anyio.sleep_forever()


class Replica:
    """A node in virtual time with a disk that can be full or hang."""

    def __init__(self, names=("a",)):
        self.full = False
        self.save_s = 0.001
        self.names = names
        self.disk = ModelDisk(
            rng=Random(1), fails=lambda op: self.full and op == "write"
        )
        self.storage = Storage(folder=FOLDER, disk=self.disk)
        self.storage.format(name="a", voters=tuple(map(voter, names)))

    def run(self, play) -> None:
        """Run the node while `play` runs."""

        async def run() -> None:
            async with anyio.create_task_group() as tg:
                await self.start(tg)
                await play(self.node)
                tg.cancel_scope.cancel()

        run_virtual(run, lambda: self.save_s)

    async def start(self, tg) -> None:
        clock = LoopClock()
        self.node = Node(
            local_voter=voter("a"),
            storage=self.storage,
            clients=Unreachable(),
            clock=clock,
            events=EventLog(process="a", hlc=HybridClock(clock=clock)),
            rng=Random(1),
            open_membership=True,
        )
        await tg.start(self.node.run)
        if len(self.names) == 1:
            while not self.node.has_lease():
                await anyio.sleep(0.05)


async def submit_into(outcomes: list, node: Node, command) -> None:
    outcomes.append(await node.submit(command))


def run_limited(replica: Replica, play) -> None:
    async def limited(node):
        with anyio.fail_after(60.0):
            await play(node)

    replica.run(limited)


def test_command_that_cannot_be_encoded_is_refused():
    """It ended the process."""

    async def play(node):
        odd = AdvanceTime(elapsed_s=object())
        failure = (await node.submit(odd)).failure()
        assert isinstance(failure, BadRequest)
        assert isinstance(await node.submit(FENCE), Success)

    run_limited(Replica(), play)


def test_command_that_no_replica_could_decode_is_refused():
    """It ended the process, and then each replica at each start."""

    async def play(node):
        odd = AdvanceTime(elapsed_s="long")
        failure = (await node.submit(odd)).failure()
        assert isinstance(failure, BadRequest)
        assert isinstance(await node.submit(FENCE), Success)

    run_limited(Replica(), play)


def test_command_that_cannot_be_applied_changes_nothing_anywhere(monkeypatch):
    """It ended the process, and then each replica at each start."""
    expire = Ledger.expire

    def expire_or_raise(self, time_s):
        if 100.0 <= time_s < 200.0:
            raise ValueError("a fault in the ledger")
        return expire(self, time_s)

    monkeypatch.setattr(Ledger, "expire", expire_or_raise)
    replica = Replica()
    states = []

    async def play(node):
        await node.submit(AdvanceTime(elapsed_s=10.0))
        for _ in range(2):
            before = node.machine.state()
            failed = await node.submit(AdvanceTime(elapsed_s=100.0))
            assert isinstance(failed.failure(), BadRequest)
            assert node.machine.state() == before
        fenced = await node.submit(FENCE)
        assert fenced.unwrap().token == node.machine.fence
        states.append(node.machine.state())

    run_limited(replica, play)
    replica.disk.end_process()
    replica.storage = Storage(folder=FOLDER, disk=replica.disk)

    async def play_again(node):
        assert node.machine.state() == states[0]

    run_limited(replica, play_again)
