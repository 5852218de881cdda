"""What is done to the processes and their links from outside."""

import signal
from collections.abc import Awaitable, Callable

import anyio

from tests.soak.processes import GRACE_S, Process
from tests.soak.world import World

__all__ = ["FAULTS"]

RESTART_S = 0.3
POLL_S = 0.05


async def _kill(world: World, process: Process) -> None:
    process.harms += 1
    process.kill()
    await anyio.sleep(RESTART_S)
    process.start()


async def _stop(world: World, process: Process) -> None:
    """Stop as planned, and start again."""
    process.stopping = True
    # One that does not serve yet may just end.
    started = process.has_started()
    process.signal(signal.SIGTERM)
    with anyio.move_on_after(GRACE_S):
        while process.running:
            await anyio.sleep(POLL_S)
    if process.running:
        world.history.failures[f"{process.name} did not stop in time"] += 1
        process.harms += 1
        process.kill()
    elif process.exit_code and started:
        code = process.exit_code
        world.history.failures[f"{process.name} stopped with {code}"] += 1
    process.start()
    process.stopping = False


async def _pause(world: World, process: Process) -> None:
    process.harms += 1
    process.signal(signal.SIGSTOP)
    await anyio.sleep(world.rng.uniform(0.2, 3.0))
    # What was sent meanwhile has waited for as long.
    process.harms += 1
    process.signal(signal.SIGCONT)


async def kill_gateway(world: World) -> None:
    """Kill a gateway and start it again."""
    await _exclusively(world, _kill, world.fleet.gateways)


async def stop_gateway(world: World) -> None:
    """Stop a gateway as planned and start it again."""
    await _exclusively(world, _stop, world.fleet.gateways)


async def pause_gateway(world: World) -> None:
    """Let a gateway stand still."""
    await _exclusively(world, _pause, world.fleet.gateways)


async def kill_control(world: World) -> None:
    """Kill a replica and start it on its disk."""
    await _exclusively(world, _kill, world.fleet.controls)


async def stop_control(world: World) -> None:
    """Stop a replica as planned and start it again."""
    await _exclusively(world, _stop, world.fleet.controls)


async def pause_control(world: World) -> None:
    """Let a replica stand still, be it the leader or not."""
    await _exclusively(world, _pause, world.fleet.controls)


async def kill_all_controls(world: World) -> None:
    """Kill all replicas at once; their disks stay."""
    async with anyio.create_task_group() as tg:
        for control in world.fleet.controls:
            tg.start_soon(_if_free, _kill, world, control)


async def lose_disk(world: World) -> None:
    """Kill a replica and empty its disk, once in a run."""
    if world.disk_lost:
        return
    world.disk_lost = True
    control = world.rng.choice(world.fleet.controls)
    with anyio.move_on_after(GRACE_S):
        while control.busy:
            await anyio.sleep(POLL_S)
    if control.busy:
        return
    control.busy = True
    control.harms += 1
    control.kill()
    control.lose_disk()
    control.start()
    control.busy = False


async def reload(world: World) -> None:
    """Let a process read its settings again."""
    process = world.rng.choice(world.fleet.all)
    if process.running and process.catches_sighup():
        process.signal(signal.SIGHUP)


async def reset_links(world: World) -> None:
    """Close all open connections to an endpoint."""
    _, link = world.rng.choice(world.endpoints)
    link.close_connections()


async def silence_links(world: World) -> None:
    """Let open connections to an endpoint go silent; new ones work."""
    _, link = world.rng.choice(world.endpoints)
    link.silence_connections()


async def cut_link(world: World) -> None:
    """Cut an endpoint off: refused, swallowed, or one way."""
    _, link = world.rng.choice(world.endpoints)
    kind = world.rng.choice(("cut", "hole_to", "hole_from", "delay"))
    if kind == "delay":
        link.delay_s = 0.2
    else:
        setattr(link, kind, True)
    await anyio.sleep(world.rng.uniform(0.3, 2.0))
    link.heal()


async def replace_endpoint(world: World) -> None:
    """Let an endpoint leave in good order, with a successor."""
    await world.remove_endpoint()


async def change_config(world: World) -> None:
    """Put a new version of the configuration."""
    await world.change_config()


async def race_configs(world: World) -> None:
    """Let two operators put versions at the same time."""
    async with anyio.create_task_group() as tg:
        tg.start_soon(world.change_config)
        tg.start_soon(world.change_config)


async def _exclusively(
    world: World,
    act: Callable[[World, Process], Awaitable[None]],
    processes: list[Process],
) -> None:
    await _if_free(act, world, world.rng.choice(processes))


async def _if_free(
    act: Callable[[World, Process], Awaitable[None]],
    world: World,
    process: Process,
) -> None:
    """Act on a process that nothing else is being done to."""
    if process.busy:
        return
    process.busy = True
    try:
        await act(world, process)
    finally:
        process.busy = False


FAULTS = (
    kill_gateway,
    stop_gateway,
    pause_gateway,
    kill_control,
    stop_control,
    pause_control,
    kill_all_controls,
    lose_disk,
    reload,
    reset_links,
    silence_links,
    cut_link,
    replace_endpoint,
    change_config,
    race_configs,
)
