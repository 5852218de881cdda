"""Task of a follower that relays its gateways' reports to the leader."""

from collections.abc import Callable

import anyio
from absl import logging
from returns.result import Failure as Bad

from chervilshift.clock import Clock
from chervilshift.core.fleet.intervals import RELAY_INTERVAL_S
from chervilshift.core.fleet.sync import Relay, RelayReply
from chervilshift.wire.rpc import Clients

__all__ = ["LeaderRelay"]

# Two relays are at least this far apart, also those that gateways wait for.
MIN_RELAY_INTERVAL_S = 0.03
RELAY_TIMEOUT_S = 0.8
RETRY_INTERVAL_S = 0.1


class LeaderRelay:
    """Sends relays while this process is a follower.

    `leader` returns the address to send to, empty if there is none, `make`
    the next relay, and `apply` takes the reply and when the relay was sent.
    """

    def __init__(
        self,
        *,
        leader: Callable[[], str],
        make: Callable[[], Relay],
        apply: Callable[[Relay, RelayReply, float], None],
        clients: Clients,
        clock: Clock,
    ):
        self._leader = leader
        self._make = make
        self._apply = apply
        self._clients = clients
        self._clock = clock
        self._wanted = anyio.Event()
        self._started = 0
        self._finished = 0
        self._round_ended = anyio.Event()

    async def flush(self, timeout_s: float) -> None:
        """Relay soon; return after a relay that began after this call."""
        awaited = self._started + 1
        self._wanted.set()
        with anyio.move_on_after(timeout_s):
            while self._finished < awaited:
                await self._round_ended.wait()

    async def run(self) -> None:
        """Relay periodically until cancelled."""
        while True:
            await anyio.sleep(MIN_RELAY_INTERVAL_S)
            with anyio.move_on_after(RELAY_INTERVAL_S - MIN_RELAY_INTERVAL_S):
                await self._wanted.wait()
            self._wanted = anyio.Event()
            leader = self._leader()
            if leader and not await self._relay_to(leader):
                await anyio.sleep(RETRY_INTERVAL_S)

    async def _relay_to(self, leader: str) -> bool:
        self._started += 1
        relay = self._make()
        sent_at = self._clock.monotonic()
        reply = await self._clients.at(leader).call(relay, RELAY_TIMEOUT_S)
        failed = isinstance(reply, Bad)
        if failed:
            logging.info(
                "relay of %d reports to the leader failed: %s",
                len(relay.reports),
                reply.failure(),
            )
        else:
            self._apply(relay, reply.unwrap(), sent_at)
        self._finished = self._started
        self._round_ended.set()
        self._round_ended = anyio.Event()
        return not failed
