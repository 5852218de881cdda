"""Disks that are full in turn, never two at once."""

import sys

import anyio
import msgspec
import pytest

from tests.cluster import free_address
from tests.control.full_disk_simulation import run_seed
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
