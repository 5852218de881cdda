"""Disks that are full in turn, never two at once."""

import sys

import anyio
import msgspec
import pytest

from tests.cluster import free_address
from tests.control.full_disk_simulation import (
    FullDiskSimulation,
    run_seed,
)
from tests.platform.standin import call, config
from tests.soak.processes import Fleet

FULL_S = 2.0
# The target allows eight seconds until a change is in force.
RECOVERY_S = 8.0
CALL_TIMEOUT_S = 2.0


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("hosts", [3, 5])
def test_changes_are_acknowledged_after_disks_were_full_in_turn(hosts, seed):
    assert run_seed(seed, hosts=hosts, duration_s=40.0) is None


class Operator:
    """Puts versions of the configuration, one after another."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._version = 0
        self.acked = 0

    async def put(self, number: int) -> int | None:
        """Put the next version; return the status, None without an answer."""
        self._version += 1
        body = msgspec.json.encode(config(self._version))
        address = self._fleet.controls[number].settings["api_listen"]
        status = None
        with anyio.move_on_after(CALL_TIMEOUT_S):
            status, _ = await call("PUT", address, "/api/config", body)
        self.acked += status == 200
        return status

    async def run(self) -> None:
        while True:
            for number in range(len(self._fleet.controls)):
                await self.put(number)
                await anyio.sleep(0.05)


def test_processes_acknowledge_changes_after_disks_were_full(tmp_path):
    fleet = Fleet(folder=tmp_path, cloud=free_address())
    flags = [tmp_path / f"full-{c.name}" for c in fleet.controls]
    for control, flag in zip(fleet.controls, flags, strict=True):
        control.command = [
            sys.executable,
            "-m",
            "tests.control.full_disk_process",
            "routed",
            "control",
        ]
        control.environment = {"FULL_DISK_FLAG": str(flag)}
        control.start()

    async def play() -> None:
        operator = Operator(fleet)
        with anyio.fail_after(20.0):
            while not operator.acked:
                await operator.put(0)
                await anyio.sleep(0.1)
        async with anyio.create_task_group() as tg:
            tg.start_soon(operator.run)
            for flag in flags * 2:
                flag.touch()
                await anyio.sleep(FULL_S)
                flag.unlink()
            tg.cancel_scope.cancel()
        await anyio.sleep(RECOVERY_S)
        for _ in range(5):
            for number in range(len(fleet.controls)):
                assert await operator.put(number) == 200
        assert all(control.running for control in fleet.controls)

    try:
        anyio.run(play)
    finally:
        fleet.end()
    failures = [
        c.log.read_text().count("storage_failed") for c in fleet.controls
    ]
    assert all(failures)


class LeaderThatJoinedLater(FullDiskSimulation):
    """A voter is removed, then one that it does not know of leads."""

    async def _fill_disks(self):
        c3, c4 = self.hosts["c3"], self.hosts["c4"]
        c3.full = True
        await self._wait(lambda: self._votes("c3") is False)
        c3.full, c4.full = False, True
        await self._wait(
            lambda: self._votes("c3") and self._votes("c4") is False
        )
        with anyio.fail_after(120.0):
            while (leader := self._leader()) is not c3:
                if leader is not None:
                    self._restart(leader)
                await anyio.sleep(3.0)
        c4.full = False

    async def _check(self):
        await super()._check()
        assert self._votes("c4"), "c4 was not admitted again"

    async def _wait(self, check) -> None:
        with anyio.fail_after(40.0):
            while not check():
                await anyio.sleep(0.05)

    def _leader(self):
        hosts = self.hosts.values()
        return next((h for h in hosts if h.node.has_lease()), None)

    def _votes(self, name: str) -> bool | None:
        """Return whether a host votes, None if there is no leader."""
        leader = self._leader()
        if leader is None:
            return None
        return name in {v.name for v in leader.node.raft.log.voters}


@pytest.mark.parametrize("seed", range(1, 4))
def test_voter_removed_while_its_disk_was_full_joins_a_leader_it_never_knew(
    seed,
):
    """It asked the replicas it knew, and itself last, which knew none."""
    LeaderThatJoinedLater(seed=seed).run()
