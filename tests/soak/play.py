"""One seed of the soak: faults in series and overlapping, then a calm end."""

import random
from pathlib import Path

import anyio

from tests.soak.checks import broken
from tests.soak.faults import FAULTS
from tests.soak.history import History
from tests.soak.world import World

__all__ = ["Outcome", "play"]

# Far more than any recovery takes; ends a run that would hang.
RECOVERY_S = 60.0
# In a row at every gateway, once nothing is harmed any more.
CALM_REQUESTS = 5
# Endpoints may still begin what was sent before the end.
SETTLE_S = 1.0


class Outcome:
    """What one seed showed; `broken` has a line for each broken promise."""

    __slots__ = ("broken", "history")

    def __init__(self, *, broken: list[str], history: History):
        self.broken = broken
        self.history = history


def play(seed: int, seconds: float, folder: Path) -> Outcome:
    """Play one seed."""
    return anyio.run(_play, seed, seconds, folder)


async def _play(seed: int, seconds: float, folder: Path) -> Outcome:
    rng = random.Random(seed)
    async with anyio.create_task_group() as tg:
        world = World(rng=rng, folder=folder, tg=tg)
        try:
            with anyio.fail_after(RECOVERY_S):
                await world.start()
            await _disturb(world, seconds)
            lines = await _recover(world)
            await anyio.sleep(SETTLE_S)
        finally:
            world.fleet.end()
            for _, link in world.endpoints:
                link.close_connections()
            tg.cancel_scope.cancel()
    world.links.close()
    history = world.history
    lines += [f"{what}, {n} times" for what, n in history.failures.items()]
    return Outcome(broken=lines + broken(history), history=history)


async def _disturb(world: World, seconds: float) -> None:
    """Start faults at random moments; wait for the last to end."""
    async with anyio.create_task_group() as tg:
        with anyio.move_on_after(seconds):
            while True:
                await anyio.sleep(world.rng.uniform(0.1, 1.0))
                fault = world.rng.choice(FAULTS)
                world.history.faults[fault.__name__] += 1
                tg.start_soon(fault, world)
                _notice_ends(world)


def _notice_ends(world: World) -> None:
    for process in world.fleet.all:
        if not process.running and not process.busy:
            code = process.exit_code
            what = f"{process.name} ended by itself with {code}"
            world.history.failures[what] += 1
            process.start()


async def _recover(world: World) -> list[str]:
    """Check that all is served again and nothing acknowledged is lost."""
    world.calm = True
    lines = []
    with anyio.move_on_after(RECOVERY_S) as scope:
        for gateway in world.fleet.gateways:
            served = 0
            while served < CALM_REQUESTS:
                answer = await world.ask(gateway, "/write/", "POST")
                good = answer.status == 200 and answer.whole
                served = served + 1 if good else 0
                await anyio.sleep(0.0 if good else 0.1)
    if scope.cancelled_caught:
        lines.append("not served again after the faults")
    with anyio.move_on_after(RECOVERY_S) as scope:
        while await world.read_config() is None:
            await anyio.sleep(0.1)
    if scope.cancelled_caught:
        lines.append("the configuration can't be read after the faults")
    return lines
