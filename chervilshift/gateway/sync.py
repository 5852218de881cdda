"""Keeps a gateway in sync with the control processes."""

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

# The leader is asked often: it grants limits and shares the other gateways'
# load.
LEADER_INTERVAL_S = 0.25
# Followers are asked too: they keep the gateway listed for clients, and one
# that becomes leader knows the gateway already.
FOLLOWER_INTERVAL_S = 0.7
RETRY_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.8
# Two syncs with the leader are at least this far apart, also those that
# waiting requests ask for.
MIN_LEADER_INTERVAL_S = 0.03
# A control process that no reply has listed for longer is not asked again.
CONTROL_EXPIRY_S = 20.0


class ControlSync:
    """Runs one task per control process that syncs with it periodically."""

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
        self._listed_at: dict[str, float] = {}
        self._tg: TaskGroup | None = None
        self._refresh_wanted = anyio.Event()
        self._leader_replied = anyio.Event()

    async def run(self) -> None:
        """Sync with all known control processes until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tg = tg
            self._add_addresses(self._seeds)
            await anyio.sleep_forever()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds, the addresses that are always asked.

        The control processes that replies list are asked besides them.
        """
        self._seeds = frozenset(seeds)
        self._add_addresses(self._seeds)

    async def refresh(self) -> None:
        """Sync with the leader soon; return when it has replied."""
        replied = self._leader_replied
        self._refresh_wanted.set()
        await replied.wait()

    async def announce(self, timeout_s: float) -> None:
        """Send the gateway's current state to all control processes."""

        async def send(address: str) -> None:
            client = self._clients.at(address)
            await client.call(self._state.sync_request(), timeout_s)

        async with anyio.create_task_group() as tg:
            for address in tuple(self._listed_at):
                tg.start_soon(send, address)

    def _add_addresses(self, addresses: Iterable[str]) -> None:
        if self._tg is None:
            # `run` has not started; it begins with the current seeds.
            return
        now = self._clock.monotonic()
        for address in addresses:
            if address not in self._listed_at:
                self._tg.start_soon(self._sync_with, address)
            self._listed_at[address] = now

    def _is_listed(self, address: str) -> bool:
        if address in self._seeds:
            return True
        age_s = self._clock.monotonic() - self._listed_at[address]
        return age_s < CONTROL_EXPIRY_S

    async def _sync_with(self, address: str) -> None:
        client = self._clients.at(address)
        while self._is_listed(address):
            result = await client.call(
                self._state.sync_request(), CALL_TIMEOUT_S
            )
            if isinstance(result, Bad):
                logging.debug(
                    "sync with control process %s failed: %s",
                    address,
                    result.failure(),
                )
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            reply: SyncReply = result.unwrap()
            self._state.apply_reply(address, reply)
            self._add_addresses(reply.controls)
            if reply.led:
                await self._wait_leader_interval()
            else:
                await anyio.sleep(FOLLOWER_INTERVAL_S)
        del self._listed_at[address]

    async def _wait_leader_interval(self) -> None:
        """Wait until the next sync with the leader is due or wanted."""
        self._leader_replied.set()
        self._leader_replied = anyio.Event()
        await anyio.sleep(MIN_LEADER_INTERVAL_S)
        with anyio.move_on_after(LEADER_INTERVAL_S - MIN_LEADER_INTERVAL_S):
            await self._refresh_wanted.wait()
        self._refresh_wanted = anyio.Event()
