"""Faults injected into processes and links, and operator actions.

The name of each function in FAULTS is printed with the results.
"""

import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio

from tests.crowd import Crowd, peak_bytes
from tests.soak.processes import STOP_TIMEOUT_S, Process
from tests.soak.world import World

__all__ = ["FAULTS"]

RESTART_DELAY_S = 0.3
POLL_INTERVAL_S = 0.05
CROWD_CLIENTS = 20
CROWD_REQUEST = (
    b"GET /nowhere HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\n\r\n"
)
# The memory of the smallest hosts of gateways.
MAX_GATEWAY_BYTES = 160_000_000


async def _kill(world: World, process: Process) -> None:
    process.unplanned_faults += 1
    process.kill()
    await anyio.sleep(RESTART_DELAY_S)
    process.start()


async def _stop(world: World, process: Process) -> None:
    """Stop as planned, and restart."""
    process.stopping = True
    # A process that does not serve yet may exit with any code.
    had_started = process.has_started()
    process.signal(signal.SIGTERM)
    with anyio.move_on_after(STOP_TIMEOUT_S):
        while process.running:
            await anyio.sleep(POLL_INTERVAL_S)
    if process.running:
        world.history.failures[f"{process.name} did not stop in time"] += 1
        process.unplanned_faults += 1
        process.kill()
    elif process.exit_code and had_started:
        code = process.exit_code
        world.history.failures[f"{process.name} stopped with {code}"] += 1
    process.start()
    process.stopping = False


async def _pause(world: World, process: Process) -> None:
    process.unplanned_faults += 1
    process.signal(signal.SIGSTOP)
    await anyio.sleep(world.rng.uniform(0.2, 3.0))
    # Requests sent during the pause were delayed by it, too.
    process.unplanned_faults += 1
    process.signal(signal.SIGCONT)


async def kill_gateway(world: World) -> None:
    """Kill a gateway and restart it."""
    await _on_random_process(world, _kill, world.fleet.gateways)


async def stop_gateway(world: World) -> None:
    """Stop a gateway as planned and restart it."""
    await _on_random_process(world, _stop, world.fleet.gateways)


async def pause_gateway(world: World) -> None:
    """Pause a gateway and resume it."""
    await _on_random_process(world, _pause, world.fleet.gateways)


async def kill_control(world: World) -> None:
    """Kill a control replica and restart it with its data."""
    await _on_random_process(world, _kill, world.fleet.controls)


async def stop_control(world: World) -> None:
    """Stop a control replica as planned and restart it."""
    await _on_random_process(world, _stop, world.fleet.controls)


async def pause_control(world: World) -> None:
    """Pause a control replica, leader or follower, and resume it."""
    await _on_random_process(world, _pause, world.fleet.controls)


async def kill_all_controls(world: World) -> None:
    """Kill all control replicas at once; restart them with their data."""
    async with anyio.create_task_group() as tg:
        for control in world.fleet.controls:
            tg.start_soon(_unless_fault_active, _kill, world, control)


async def lose_disk(world: World) -> None:
    """Kill a control replica and delete its data, once per run."""
    if world.disk_lost:
        return
    world.disk_lost = True
    control = world.rng.choice(world.fleet.controls)
    with anyio.move_on_after(STOP_TIMEOUT_S):
        while control.fault_active:
            await anyio.sleep(POLL_INTERVAL_S)
    if control.fault_active:
        return
    control.fault_active = True
    control.unplanned_faults += 1
    control.kill()
    control.delete_data_folder()
    control.start()
    control.fault_active = False


async def reload(world: World) -> None:
    """Let a process reload its settings on SIGHUP."""
    process = world.rng.choice(world.fleet.all)
    if process.running and process.catches_sighup():
        process.signal(signal.SIGHUP)


async def reset_links(world: World) -> None:
    """Close all open connections to an endpoint."""
    _, link = world.rng.choice(world.endpoints)
    link.close_connections()


async def silence_links(world: World) -> None:
    """Drop all data on open connections to an endpoint; new ones work."""
    _, link = world.rng.choice(world.endpoints)
    link.silence_connections()


async def cut_link(world: World) -> None:
    """Refuse connections to an endpoint, or delay or drop their data."""
    _, link = world.rng.choice(world.endpoints)
    kind = world.rng.choice(("cut", "hole_to", "hole_from", "delay"))
    if kind == "delay":
        link.delay_s = 0.2
    else:
        setattr(link, kind, True)
    await anyio.sleep(world.rng.uniform(0.3, 2.0))
    link.heal()


async def crowd_gateway(world: World) -> None:
    """Let clients send requests without end to a gateway and read nothing.

    Their route does not exist, so that endpoints see nothing of it.
    """
    gateway = world.rng.choice(world.fleet.gateways)
    duration_s = world.rng.uniform(0.5, 2.0)
    pid = gateway.pid
    if pid is None:
        return
    crowd = Crowd(
        address=gateway.settings["listen"],
        count=CROWD_CLIENTS,
        first=b"",
        then=CROWD_REQUEST * 200,
    )
    # The process may be ended by another fault meanwhile.
    with suppress(OSError), crowd:
        await anyio.to_thread.run_sync(
            crowd.play, pid, duration_s, MAX_GATEWAY_BYTES
        )
        if peak_bytes(pid) > MAX_GATEWAY_BYTES:
            failure = f"{gateway.name} exceeded the memory of its host"
            world.history.failures[failure] += 1


async def replace_endpoint(world: World) -> None:
    """Drain an endpoint after adding a new one of the same service."""
    await world.remove_endpoint()


async def change_config(world: World) -> None:
    """Apply a new version of the configuration."""
    await world.change_config()


async def race_configs(world: World) -> None:
    """Apply two new versions of the configuration at the same time."""
    async with anyio.create_task_group() as tg:
        tg.start_soon(world.change_config)
        tg.start_soon(world.change_config)


async def _on_random_process(
    world: World,
    action: Callable[[World, Process], Awaitable[None]],
    processes: list[Process],
) -> None:
    await _unless_fault_active(action, world, world.rng.choice(processes))


async def _unless_fault_active(
    action: Callable[[World, Process], Awaitable[None]],
    world: World,
    process: Process,
) -> None:
    """Run the action unless another fault is active on the process."""
    if process.fault_active:
        return
    process.fault_active = True
    try:
        await action(world, process)
    finally:
        process.fault_active = False


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
    crowd_gateway,
    replace_endpoint,
    change_config,
    race_configs,
)
