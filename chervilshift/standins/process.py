"""Runs a stand-in and announces it to the entries."""

import itertools
import time

import anyio
import httpcore
import msgspec
import uvicorn
from absl import logging

from chervilshift.endpoints.connection import HTTP_ERRORS
from chervilshift.entry.process import HttpServer
from chervilshift.standins.engine import EngineStandin
from chervilshift.standins.service import ServiceStandin

__all__ = ["StandinProcess", "StandinSettings"]

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 1.0
# Announced time from the start of a shutdown until the stand-in stops.
LEAVE_IN_S = 30.0


class StandinSettings(msgspec.Struct, kw_only=True):
    """Addresses of a stand-in and the fields that it announces.

    It listens on `listen`, or on `address` if that is empty. It announces
    itself to `entries` with `key`, an endpoint's key; `serves` names the
    models or services that it serves.
    """

    id: str
    listen: str = ""
    address: str
    host: str
    failure_domain: str
    region: str
    kind: str
    serves: tuple[str, ...]
    entries: tuple[str, ...]
    key: str
    capacity: int = 16


class StandinProcess:
    """Serves one stand-in and shuts it down gracefully."""

    def __init__(
        self,
        *,
        settings: StandinSettings,
        standin: EngineStandin | ServiceStandin,
    ):
        self.settings = settings
        self.standin = standin
        self.leaving = False
        self.leave_in_s = LEAVE_IN_S
        self._incarnation = int(time.time() * 1000)
        self._seq = itertools.count(1)
        self._entries = list(settings.entries)

    async def run(
        self, stop: anyio.Event, *, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve and announce until `stop`, then finish running requests."""
        listen = self.settings.listen or self.settings.address
        host, _, port = listen.rpartition(":")
        server = HttpServer(
            uvicorn.Config(
                self.standin.app(),
                host=host,
                port=int(port),
                log_config=None,
                access_log=False,
                lifespan="off",
                timeout_graceful_shutdown=1,
            )
        )
        async with anyio.create_task_group() as tg:
            if isinstance(self.standin, EngineStandin):
                self.standin.attach(tg)
            tg.start_soon(server.serve)
            tg.start_soon(self._announce_regularly)
            task_status.started()
            await stop.wait()
            self.leaving = True
            await self._announce()
            while self.standin.running:
                await anyio.sleep(ANNOUNCE_INTERVAL_S / 5)
            self.standin.leaving = True
            server.should_exit = True
            while any(s.is_serving() for s in server.servers):
                await anyio.sleep(ANNOUNCE_INTERVAL_S / 5)
            tg.cancel_scope.cancel()

    async def _announce_regularly(self) -> None:
        while True:
            await self._announce()
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self) -> None:
        """Announce the stand-in to the first entry that answers.

        Entries that don't answer move to the end of the list.
        """
        body = {
            **msgspec.to_builtins(self.settings),
            **self.standin.load(),
            "incarnation": self._incarnation,
            "seq": next(self._seq),
            "leaving": self.leaving,
            "leave_in_s": self.leave_in_s,
        }
        key = body.pop("key")
        body.pop("entries")
        content = msgspec.json.encode(body)
        for entry in tuple(self._entries):
            if await self._post(entry, key, content):
                return
            self._entries.remove(entry)
            self._entries.append(entry)

    async def _post(self, entry: str, key: str, content: bytes) -> bool:
        timeouts = dict.fromkeys(("connect", "read"), ANNOUNCE_TIMEOUT_S)
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    "POST",
                    f"http://{entry}/v1/endpoints/announce",
                    headers={"authorization": f"Bearer {key}"},
                    content=content,
                    extensions={"timeout": timeouts},
                )
        except HTTP_ERRORS as exc:
            logging.debug("announcement to entry %s failed: %s", entry, exc)
            return False
        return response.status == 200
