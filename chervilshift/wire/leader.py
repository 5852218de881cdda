"""Finds the control leader and sends it messages."""

from itertools import chain

import anyio
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.clock import Clock
from chervilshift.core.message import Message
from chervilshift.errors import Failure, NotLeader, PeerUnreachable
from chervilshift.wire.rpc import Clients

__all__ = ["LeaderClient"]

RETRY_S = 0.1
CALL_TIMEOUT_S = 1.5


class LeaderClient:
    """Calls the leader among `addresses`, following hints."""

    __slots__ = ("_clients", "_clock", "_hint", "addresses")

    def __init__(
        self, *, addresses: tuple[str, ...], clients: Clients, clock: Clock
    ):
        self.addresses = addresses
        self._clients = clients
        self._clock = clock
        self._hint = ""

    async def call(
        self, body: Message, timeout_s: float
    ) -> Result[Message, Failure]:
        """Ask until the leader answers or `timeout_s` has passed.

        The message may reach more than one replica or the leader more than
        once, so it must be one that can be repeated.
        """
        until = self._clock.monotonic() + timeout_s
        last: Result = Bad(PeerUnreachable(address="control", reason="none"))
        while (left_s := until - self._clock.monotonic()) > 0:
            for address in self._order():
                last = await self._ask(address, body, min(left_s, 1e9))
                if not _elsewhere(last):
                    return last
                left_s = until - self._clock.monotonic()
                if left_s <= 0:
                    return last
            await anyio.sleep(RETRY_S)
        return last

    async def _ask(
        self, address: str, body: Message, left_s: float
    ) -> Result[Message, Failure]:
        timeout_s = min(CALL_TIMEOUT_S, left_s)
        reply = await self._clients.at(address).call(body, timeout_s)
        if not _elsewhere(reply):
            self._hint = address
        elif isinstance(reply.failure(), NotLeader):
            self._hint = reply.failure().fields.get("leader") or ""
        elif address == self._hint:
            self._hint = ""
        return reply

    def _order(self) -> tuple[str, ...]:
        """Return where to ask: the hinted leader first."""
        hint = (self._hint,) if self._hint else ()
        return tuple(dict.fromkeys(chain(hint, self.addresses)))


def _elsewhere(reply: Result) -> bool:
    """Tell whether another replica should be asked."""
    return isinstance(reply, Bad) and isinstance(
        reply.failure(), NotLeader | PeerUnreachable
    )
