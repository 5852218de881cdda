"""Client that finds the leader of the control replicas and calls it."""

from collections import deque
from collections.abc import Awaitable, Callable

import anyio
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.clock import Clock
from chervilshift.core.commands import Command, CommandReply
from chervilshift.core.message import Message
from chervilshift.errors import Failure, NotLeader, PeerUnreachable
from chervilshift.wire.rpc import Clients

__all__ = ["AskLeader", "LeaderClient", "SubmitCommand"]

# Commits a command through the leader, and asks it a question.
SubmitCommand = Callable[[Command], Awaitable[Result[CommandReply, Failure]]]
AskLeader = Callable[[Message], Awaitable[Result[Message, Failure]]]

RETRY_INTERVAL_S = 0.1
REPLICA_CALL_TIMEOUT_S = 1.5
MAX_SILENT_ADDRESSES = 64


class LeaderClient:
    """Calls the leader among the replicas at `addresses`.

    A replica that is not the leader names the one that it takes for it;
    that one is called next. Replicas that did not answer are called last.
    """

    __slots__ = ("_clients", "_clock", "_leader", "_silent", "addresses")

    def __init__(
        self, *, addresses: tuple[str, ...], clients: Clients, clock: Clock
    ):
        self.addresses = addresses
        self._clients = clients
        self._clock = clock
        # The address that answered last, empty if it no longer does.
        self._leader = ""
        # Addresses without an answer, the one called last at the end.
        self._silent: dict[str, None] = {}

    async def call(
        self, body: Message, timeout_s: float
    ) -> Result[Message, Failure]:
        """Call replicas until the leader replies or `timeout_s` has passed.

        Returns the reply, or the last failure. The message may reach several
        replicas, or the leader several times, so it must be idempotent.
        """
        deadline_at = self._clock.monotonic() + timeout_s
        last_reply: Result = Bad(
            PeerUnreachable(address="control", reason="none")
        )
        while (remaining_s := deadline_at - self._clock.monotonic()) > 0:
            waiting = deque(self._candidate_addresses())
            called = set()
            while waiting:
                address = waiting.popleft()
                if address in called:
                    continue
                called.add(address)
                last_reply = await self._call_replica(
                    address, body, min(remaining_s, 1e9)
                )
                if not _needs_other_replica(last_reply):
                    return last_reply
                remaining_s = deadline_at - self._clock.monotonic()
                if remaining_s <= 0:
                    return last_reply
                named = last_reply.failure().fields.get("leader")
                if named in self._silent:
                    waiting.append(named)
                elif named:
                    waiting.appendleft(named)
            await anyio.sleep(RETRY_INTERVAL_S)
        return last_reply

    async def _call_replica(
        self, address: str, body: Message, remaining_s: float
    ) -> Result[Message, Failure]:
        timeout_s = min(REPLICA_CALL_TIMEOUT_S, remaining_s)
        reply = await self._clients.at(address).call(body, timeout_s)
        self._silent.pop(address, None)
        if not _needs_other_replica(reply):
            self._leader = address
            return reply
        if address == self._leader:
            self._leader = ""
        if isinstance(reply.failure(), PeerUnreachable):
            self._silent[address] = None
            while len(self._silent) > MAX_SILENT_ADDRESSES:
                del self._silent[next(iter(self._silent))]
        return reply

    def _candidate_addresses(self) -> tuple[str, ...]:
        """Return the addresses to call, with the last leader first."""
        known = (self._leader,) if self._leader else ()
        answering = (a for a in self.addresses if a not in self._silent)
        silent = (a for a in self._silent if a in self.addresses)
        return tuple(dict.fromkeys((*known, *answering, *silent)))


def _needs_other_replica(reply: Result) -> bool:
    """Tell whether another replica has to be called."""
    return isinstance(reply, Bad) and isinstance(
        reply.failure(), NotLeader | PeerUnreachable
    )
