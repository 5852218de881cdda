"""Task of a follower that relays its gateways' reports to the leader."""

from collections.abc import Callable

import anyio
from absl import logging
from anyio.abc import TaskGroup
from returns.result import Failure as Bad

from chervilshift.clock import Clock
from chervilshift.core.fleet.intervals import RELAY_INTERVAL_S
from chervilshift.core.fleet.sync import Relay, RelayReply
from chervilshift.wire.rpc import Clients

__all__ = ["LeaderRelay"]

# A request for grants waits this long for others to go with it.
COALESCE_S = 0.015
# Requests for grants that may be under way at once. A leader that is slow to
# reply gets no more of them than one that replies at once.
MAX_GRANT_RELAYS = 2
RELAY_TIMEOUT_S = 0.8
RETRY_INTERVAL_S = 0.1


class LeaderRelay:
    """Sends relays while this process is a follower.

    `leader` returns the address to send to, empty if there is none, `make`
    the next relay, which only asks for grants if its argument is true, and
    `apply` takes the reply, None without one, and when the relay was sent.
    """

    def __init__(
        self,
        *,
        leader: Callable[[], str],
        make: Callable[[bool], Relay],
        apply: Callable[[Relay, RelayReply | None, float], None],
        clients: Clients,
        clock: Clock,
    ):
        self._leader = leader
        self._make = make
        self._apply = apply
        self._clients = clients
        self._clock = clock
        self._tg: TaskGroup | None = None
        # Set when the request for grants that has not been sent yet is done.
        self._next_granted: anyio.Event | None = None
        self._grant_slots = anyio.Semaphore(MAX_GRANT_RELAYS)

    async def request_grants(self, timeout_s: float) -> None:
        """Ask for grants soon; return when the leader has replied."""
        if self._tg is None or not self._leader():
            return
        if self._next_granted is None:
            self._next_granted = anyio.Event()
            self._tg.start_soon(self._relay_for_grants, self._next_granted)
        granted = self._next_granted
        with anyio.move_on_after(timeout_s):
            await granted.wait()

    async def run(self) -> None:
        """Relay reports periodically until cancelled."""
        try:
            async with anyio.create_task_group() as tg:
                self._tg = tg
                while True:
                    await anyio.sleep(RELAY_INTERVAL_S)
                    if not await self._relay(grants_only=False):
                        await anyio.sleep(RETRY_INTERVAL_S)
        finally:
            self._tg = self._next_granted = None

    async def _relay_for_grants(self, granted: anyio.Event) -> None:
        await anyio.sleep(COALESCE_S)
        async with self._grant_slots:
            self._next_granted = None
            replied = await self._relay(grants_only=True)
            granted.set()
            if not replied:
                await anyio.sleep(RETRY_INTERVAL_S)

    async def _relay(self, *, grants_only: bool) -> bool:
        leader = self._leader()
        if not leader:
            return False
        relay = self._make(grants_only)
        sent_at = self._clock.monotonic()
        try:
            result = await self._clients.at(leader).call(
                relay, RELAY_TIMEOUT_S
            )
        except BaseException:
            # What it asked for may be asked for again.
            self._apply(relay, None, sent_at)
            raise
        if isinstance(result, Bad):
            logging.info(
                "relay of %d reports to the leader failed: %s",
                len(relay.reports),
                result.failure(),
            )
            self._apply(relay, None, sent_at)
            return False
        self._apply(relay, result.unwrap(), sent_at)
        return True
