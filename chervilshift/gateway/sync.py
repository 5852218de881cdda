"""Keeps a gateway in sync with the control processes."""

import anyio
from absl import logging
from anyio.abc import TaskGroup
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.clock import Clock
from chervilshift.core.fleet.controls import ControlChooser
from chervilshift.core.fleet.sync import SyncReply
from chervilshift.core.message import Message
from chervilshift.errors import Failure
from chervilshift.events import EventLog
from chervilshift.gateway.state import MAX_LEADER_AGE_S, GatewayState
from chervilshift.wire.rpc import Clients

__all__ = ["ControlSync"]

RETRY_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 0.8
# A control process that has not replied after this time is not waited for;
# the next one is asked besides it.
SLOW_REPLY_S = 0.3
# Two syncs are at least this far apart, also those that waiting requests ask
# for.
MIN_INTERVAL_S = 0.03
# Interval of syncs while no control process has heard of a leader. Requests
# that wait for grants don't shorten it: there is nobody to give them.
NO_LEADER_INTERVAL_S = 0.1
# A control process whose replicated state is older is replaced by another one:
# it hands out an old configuration and old endpoints.
MAX_STATE_AGE_S = 1.5


class ControlSync:
    """Syncs periodically with one control process at a time.

    `chooser` chooses it. Another is chosen when it does not reply, has lost
    the leader, or has an old state.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        chooser: ControlChooser,
        clients: Clients,
        clock: Clock,
        events: EventLog,
    ):
        self._state = state
        self._chooser = chooser
        self._clients = clients
        self._clock = clock
        self._events = events
        # The control process in use, empty while none knows a leader.
        self._address = ""
        self._failures = 0
        self._refresh_wanted = anyio.Event()
        self._replied = anyio.Event()

    async def run(self) -> None:
        """Sync until cancelled."""
        async with anyio.create_task_group() as tg:
            while True:
                replied = await self._sync_once(tg)
                await anyio.sleep(MIN_INTERVAL_S)
                if not replied:
                    await anyio.sleep(RETRY_INTERVAL_S)
                    continue
                interval_s = self._state.report_interval_s - MIN_INTERVAL_S
                with anyio.move_on_after(interval_s):
                    await self._refresh_wanted.wait()
                self._refresh_wanted = anyio.Event()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds, which are known without any reply."""
        self._chooser.set_seeds(seeds)

    def request(self) -> None:
        """Sync soon."""
        self._refresh_wanted.set()

    async def refresh(self) -> None:
        """Sync soon; return when a control process has replied."""
        self.request()
        await self.wait_reply()

    async def wait_reply(self) -> None:
        """Return when a control process has replied."""
        await self._replied.wait()

    @property
    def address(self) -> str:
        """The address of the control process that is called next."""
        return self._address or self._chooser.choose(self._clock.monotonic())

    async def call(
        self, message: Message, timeout_s: float
    ) -> Result[Message, Failure]:
        """Call the control process in use; fails as `Client.call` does."""
        return await self._clients.at(self.address).call(message, timeout_s)

    async def announce(self, timeout_s: float) -> None:
        """Send the gateway's current state to all control processes."""
        request = self._state.sync_request()

        async def send(address: str) -> None:
            await self._clients.at(address).call(request, timeout_s)

        async with anyio.create_task_group() as tg:
            for address in self._chooser.addresses():
                tg.start_soon(send, address)

    async def _sync_once(self, tg: TaskGroup) -> bool:
        """Sync with the chosen control process; return whether it replied.

        A call that takes too long goes on besides the next one, and its reply
        is applied when it comes.
        """
        address = self._chooser.choose(self._clock.monotonic())
        ended = anyio.Event()
        results: list[bool] = []

        async def call() -> None:
            results.append(await self._call(address))
            ended.set()

        tg.start_soon(call)
        with anyio.move_on_after(SLOW_REPLY_S):
            await ended.wait()
        if not results:
            self._chooser.set_aside(address, self._clock.monotonic())
        return any(results)

    async def _call(self, address: str) -> bool:
        result = await self._clients.at(address).call(
            self._state.sync_request(), CALL_TIMEOUT_S
        )
        now = self._clock.monotonic()
        if isinstance(result, Bad):
            logging.debug(
                "sync with control process %s failed: %s",
                address,
                result.failure(),
            )
            self._chooser.set_aside(address, now)
            self._failures += 1
            return False
        reply: SyncReply = result.unwrap()
        self._state.apply_reply(reply)
        self._chooser.update(reply.controls, reply.leader, reply.gateways)
        self._log_choice(address, reply)
        if not _is_current(reply):
            self._chooser.set_aside(address, now)
            await anyio.sleep(NO_LEADER_INTERVAL_S)
        self._replied.set()
        self._replied = anyio.Event()
        return True

    def _log_choice(self, address: str, reply: SyncReply) -> None:
        """Log a change of the control process, and the loss of all."""
        chosen = address if _is_current(reply) else ""
        if chosen == self._address:
            return
        self._events.emit(
            "control_chosen" if chosen else "control_lost",
            address=address,
            previous=self._address,
            failed_syncs=self._failures,
            leader=reply.leader,
            leader_age_s=round(reply.leader_age_s, 3),
            stale_s=round(reply.stale_s, 3),
            gateways=reply.gateways,
            interval_s=round(reply.interval_s, 3),
        )
        self._address, self._failures = chosen, 0


def _is_current(reply: SyncReply) -> bool:
    """Whether the sender follows the leader, and its log does too.

    Both go over connections of their own, so one may be cut off alone.
    """
    return (
        reply.leader_age_s <= MAX_LEADER_AGE_S
        and reply.stale_s <= MAX_STATE_AGE_S
    )
