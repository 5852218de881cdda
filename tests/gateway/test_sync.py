"""Keeping in step with control: seeds that change at any moment."""

import anyio

from chervilshift.clock import ManualClock
from chervilshift.gateway.sync import ControlSync


class Clients:
    """Notes who is asked; nobody answers."""

    def __init__(self):
        self.asked: list[str] = []

    def at(self, address: str) -> "Clients":
        self.asked.append(address)
        return self

    async def call(self, message, timeout_s):
        await anyio.sleep_forever()


class State:
    """What the sync asks a gateway's state for."""

    def request(self) -> None:
        return None


def test_seeds_that_change_before_the_first_turn_are_asked():
    clients = Clients()
    sync = ControlSync(
        state=State(), seeds=("a:1",), clients=clients, clock=ManualClock()
    )
    sync.use_seeds(("b:1",))

    async def run() -> None:
        async with anyio.create_task_group() as tg:
            tg.start_soon(sync.run)
            await anyio.wait_all_tasks_blocked()
            tg.cancel_scope.cancel()

    anyio.run(run)
    assert clients.asked == ["b:1"]
