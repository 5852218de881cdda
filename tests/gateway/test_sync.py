"""A sync with control uses seeds that were replaced before it first ran."""

import anyio

from chervilshift.clock import ManualClock
from chervilshift.gateway.sync import ControlSync


class RecordingClients:
    """Records which addresses are asked; none replies."""

    def __init__(self):
        self.asked: list[str] = []

    def at(self, address: str) -> "RecordingClients":
        self.asked.append(address)
        return self

    async def call(self, message, timeout_s):
        await anyio.sleep_forever()


class StubState:
    """The part of a gateway's state that the sync uses."""

    def sync_request(self) -> None:
        return None


def test_seeds_that_change_before_the_first_turn_are_asked():
    clients = RecordingClients()
    sync = ControlSync(
        state=StubState(), seeds=("a:1",), clients=clients, clock=ManualClock()
    )
    sync.set_seeds(("b:1",))

    async def run() -> None:
        async with anyio.create_task_group() as tg:
            tg.start_soon(sync.run)
            await anyio.wait_all_tasks_blocked()
            tg.cancel_scope.cancel()

    anyio.run(run)
    assert clients.asked == ["b:1"]
