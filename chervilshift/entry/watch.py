"""The task that follows the configuration and applies it at this entry."""

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

# A control process without a newer version replies after this time.
LONG_POLL_S = 2.0
WATCH_TIMEOUT_S = 3.5
# If the configuration at a control process was last known to be current
# longer ago, the next process is followed.
MAX_STALE_S = 2.0
CONFIRM_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.2


class ConfigWatch:
    """Holds the configuration in force at this entry.

    The version never decreases. `confirmed` becomes true once the leader
    has, under its lease, reported a version and that version or a later one
    is in force here. `known_current_at` is the last monotonic time at which
    this configuration was known to be current. `changed` is set, and
    replaced, at each new version.
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
        """Return the seconds since the configuration was known as current.

        The result is infinite before the first reply.
        """
        return self._clock.monotonic() - self.known_current_at

    async def run(self) -> None:
        """Follow the control processes in turn until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._confirm)
            for address in cycle(self._leader.addresses):
                await self._follow(address)
                await anyio.sleep(RETRY_INTERVAL_S)

    async def _follow(self, address: str) -> None:
        """Watch one control process until it fails or its data is stale."""
        while True:
            watch_request = WatchConfig(
                version=self.version, wait_s=LONG_POLL_S
            )
            client = self._clients.at(address)
            reply = await client.call(watch_request, WATCH_TIMEOUT_S)
            if isinstance(reply, Bad):
                logging.debug(
                    "configuration watch failed: %s", reply.failure()
                )
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
            logging.error(
                "accepted configuration is invalid for this site, "
                "the previous version stays in force: %s",
                compiled.failure(),
            )
            return
        self.config = compiled.unwrap()
        self.document = reply.document
        self.version = reply.version
        self._events.emit("config_in_force", version=self.version)
        self.changed.set()
        self.changed = anyio.Event()

    async def _confirm(self) -> None:
        """Wait until the version that the leader reports is in force here."""
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
