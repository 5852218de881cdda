"""The task that follows the configuration and puts it in force here."""

from itertools import cycle

import anyio
from absl import logging
from returns.result import Failure as Bad

from chervilshift.clock import Clock
from chervilshift.config import Config, compile_site
from chervilshift.core.commands import ConfigDocument
from chervilshift.events import EventLog
from chervilshift.wire.leader import LeaderClient
from chervilshift.wire.messages import ReadVersion, WatchConfig, WatchReply
from chervilshift.wire.rpc import Clients

__all__ = ["ConfigWatch"]

LONG_POLL_S = 2.0
WATCH_TIMEOUT_S = 3.5
# A control process that knows nothing newer than this is left for another.
MAX_STALE_S = 2.0
CONFIRM_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.2


class ConfigWatch:
    """Holds the configuration in force at this entry.

    The version never goes down. The entry is confirmed once the leader has
    named a version under its lease and at least that one is in force here.
    """

    def __init__(
        self,
        *,
        site: str,
        leader: LeaderClient,
        clients: Clients,
        clock: Clock,
        events: EventLog,
    ):
        self.config = Config()
        self.version = 0
        self.document: ConfigDocument | None = None
        self.confirmed = False
        self.changed = anyio.Event()
        self.known_current_at = float("-inf")
        self._site = site
        self._leader = leader
        self._clients = clients
        self._clock = clock
        self._events = events

    def stale_s(self) -> float:
        """Return how long ago this configuration was last known current."""
        return self._clock.monotonic() - self.known_current_at

    async def run(self) -> None:
        """Follow the control processes in turn until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._confirm)
            for address in cycle(self._leader.addresses):
                await self._follow(address)
                await anyio.sleep(RETRY_INTERVAL_S)

    async def _follow(self, address: str) -> None:
        """Watch one control process for as long as it is fresh."""
        while True:
            watch_request = WatchConfig(
                version=self.version, wait_s=LONG_POLL_S
            )
            client = self._clients.at(address)
            reply = await client.call(watch_request, WATCH_TIMEOUT_S)
            if isinstance(reply, Bad):
                logging.debug("watch: %s", reply.failure())
                return
            self._apply_reply(reply.unwrap())
            if reply.unwrap().stale_s > MAX_STALE_S:
                self._events.emit("watch_stale", control=address)
                return

    def _apply_reply(self, reply: WatchReply) -> None:
        now = self._clock.monotonic()
        self.known_current_at = max(self.known_current_at, now - reply.stale_s)
        if reply.version <= self.version or reply.document is None:
            return
        compiled = compile_site(reply.document, self._site)
        if isinstance(compiled, Bad):
            logging.error("accepted config: %s", compiled.failure())
            return
        self.config = compiled.unwrap()
        self.document = reply.document
        self.version = reply.version
        self._events.emit("config_in_force", version=self.version)
        self.changed.set()
        self.changed = anyio.Event()

    async def _confirm(self) -> None:
        """Wait until this entry has what the leader says is in force."""
        while True:
            reply = await self._leader.call(ReadVersion(), CONFIRM_TIMEOUT_S)
            if not isinstance(reply, Bad):
                break
            await anyio.sleep(RETRY_INTERVAL_S)
        required_version = reply.unwrap().version
        while self.version < required_version:
            await self.changed.wait()
        self.confirmed = True
        self._events.emit("config_confirmed", version=self.version)
