"""One soak run: overlapping faults, then checks without faults."""

import random
from pathlib import Path

import anyio

from tests.soak.checks import find_broken_promises
from tests.soak.faults import FAULTS
from tests.soak.history import History
from tests.soak.world import World

__all__ = ["Outcome", "play"]

# Far longer than any recovery; ends a run that hangs.
RECOVERY_TIMEOUT_S = 60.0
# Consecutive successes required of each gateway after the faults.
RECOVERY_REQUESTS = 5
# Endpoints may still start requests that were sent before; the history
# must include them.
SETTLE_TIME_S = 1.0


class Outcome:
    """The result of a run; `broken` has a line for each broken promise."""

    __slots__ = ("broken", "history")

    def __init__(self, *, broken: list[str], history: History):
        self.broken = broken
        self.history = history


def play(seed: int, seconds: float, folder: Path) -> Outcome:
    """Run a seed with `seconds` of faults; keep logs in `folder`."""
    return anyio.run(_play, seed, seconds, folder)


async def _play(seed: int, seconds: float, folder: Path) -> Outcome:
    rng = random.Random(seed)
    async with anyio.create_task_group() as tg:
        world = World(rng=rng, folder=folder, tg=tg)
        try:
            with anyio.fail_after(RECOVERY_TIMEOUT_S):
                await world.start()
            await _inject_faults(world, seconds)
            lines = await _check_recovery(world)
            await anyio.sleep(SETTLE_TIME_S)
        finally:
            world.fleet.end()
            for _, link in world.endpoints:
                link.close_connections()
            tg.cancel_scope.cancel()
    world.links.close()
    history = world.history
    lines += [
        f"{failure}, {count} times"
        for failure, count in history.failures.items()
    ]
    return Outcome(
        broken=lines + find_broken_promises(history), history=history
    )


async def _inject_faults(world: World, seconds: float) -> None:
    """Start faults at random times; return when the last has ended."""
    async with anyio.create_task_group() as tg:
        with anyio.move_on_after(seconds):
            while True:
                await anyio.sleep(world.rng.uniform(0.1, 1.0))
                fault = world.rng.choice(FAULTS)
                world.history.faults[fault.__name__] += 1
                tg.start_soon(fault, world)
                _restart_exited(world)


def _restart_exited(world: World) -> None:
    """Record and restart processes that exited with no fault active."""
    for process in world.fleet.all:
        if not process.running and not process.fault_active:
            code = process.exit_code
            failure = f"{process.name} ended by itself with {code}"
            world.history.failures[failure] += 1
            process.start()


async def _check_recovery(world: World) -> list[str]:
    """Check that gateways serve and the configuration is readable again.

    Later checks compare the version read with the acknowledged one.
    """
    world.faults_over = True
    lines = []
    with anyio.move_on_after(RECOVERY_TIMEOUT_S) as scope:
        for gateway in world.fleet.gateways:
            succeeded_in_row = 0
            while succeeded_in_row < RECOVERY_REQUESTS:
                answer = await world.send_request(gateway, "/write/", "POST")
                succeeded = answer.status == 200 and answer.complete
                succeeded_in_row = succeeded_in_row + 1 if succeeded else 0
                await anyio.sleep(0.0 if succeeded else 0.1)
    if scope.cancelled_caught:
        lines.append("not served again after the faults")
    with anyio.move_on_after(RECOVERY_TIMEOUT_S) as scope:
        while await world.read_config() is None:
            await anyio.sleep(0.1)
    if scope.cancelled_caught:
        lines.append("the configuration can't be read after the faults")
    return lines
