"""Keeps a gateway in step with the control processes it knows."""

from collections.abc import Iterable

import anyio
from absl import logging
from anyio.abc import TaskGroup
from returns.result import Failure as Bad

from chervilshift.clock import Clock
from chervilshift.core.fleet.sync import SyncReply
from chervilshift.gateway.state import GatewayState
from chervilshift.wire.rpc import Clients

__all__ = ["ControlSync"]

# The leader is asked often: it grants limits and shares load.
LEADER_INTERVAL_S = 0.25
# The others keep the gateway listed and know it when they come to lead.
FOLLOWER_INTERVAL_S = 0.7
RETRY_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.8
# Two urgent syncs are at least this far apart.
URGENT_GAP_S = 0.03
# A control process that no reply has named for longer is not asked again.
FORGET_AFTER_S = 20.0


class ControlSync:
    """Runs one task per control process; each asks in turn."""

    def __init__(
        self,
        *,
        state: GatewayState,
        seeds: tuple[str, ...],
        clients: Clients,
        clock: Clock,
    ):
        self._state = state
        self._seeds = frozenset(seeds)
        self._clients = clients
        self._clock = clock
        self._named_at: dict[str, float] = {}
        self._tg: TaskGroup | None = None
        self._urgent = anyio.Event()
        self._answered = anyio.Event()

    async def run(self) -> None:
        """Ask all known control processes until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tg = tg
            self._name(self._seeds)
            await anyio.sleep_forever()

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Ask these control processes besides those that replies name."""
        self._seeds = frozenset(seeds)
        self._name(self._seeds)

    async def refresh(self) -> None:
        """Ask at once and return when the leader has answered."""
        answered = self._answered
        self._urgent.set()
        await answered.wait()

    async def announce(self, timeout_s: float) -> None:
        """Tell all control processes the gateway's state now."""

        async def tell(address: str) -> None:
            client = self._clients.at(address)
            await client.call(self._state.request(), timeout_s)

        async with anyio.create_task_group() as tg:
            for address in tuple(self._named_at):
                tg.start_soon(tell, address)

    def _name(self, addresses: Iterable[str]) -> None:
        if self._tg is None:
            # Not running yet: `run` begins with the seeds as they are then.
            return
        now = self._clock.monotonic()
        for address in addresses:
            if address not in self._named_at:
                self._tg.start_soon(self._follow, address)
            self._named_at[address] = now

    def _is_named(self, address: str) -> bool:
        if address in self._seeds:
            return True
        age_s = self._clock.monotonic() - self._named_at[address]
        return age_s < FORGET_AFTER_S

    async def _follow(self, address: str) -> None:
        client = self._clients.at(address)
        while self._is_named(address):
            reply = await client.call(self._state.request(), CALL_TIMEOUT_S)
            if isinstance(reply, Bad):
                logging.debug("sync with %s: %s", address, reply.failure())
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            news: SyncReply = reply.unwrap()
            self._state.absorb(address, news)
            self._name(news.controls)
            if news.led:
                await self._rest_leader()
            else:
                await anyio.sleep(FOLLOWER_INTERVAL_S)
        del self._named_at[address]

    async def _rest_leader(self) -> None:
        self._answered.set()
        self._answered = anyio.Event()
        await anyio.sleep(URGENT_GAP_S)
        with anyio.move_on_after(LEADER_INTERVAL_S - URGENT_GAP_S):
            await self._urgent.wait()
        self._urgent = anyio.Event()
