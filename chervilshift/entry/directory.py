"""The task that keeps this entry's registry in step with its peers."""

from itertools import chain, cycle
from secrets import token_hex

import anyio
from absl import logging
from returns.result import Failure as Bad

from chervilshift.clock import Clock
from chervilshift.core.registry import (
    Delta,
    EndpointInfo,
    EntryInfo,
    HostNotice,
    Item,
    LoadReport,
    Pull,
    Registry,
    endpoint_key,
    entry_key,
    host_key,
)
from chervilshift.events import EventLog
from chervilshift.wire.rpc import Clients

__all__ = ["Directory"]

BEAT_S = 0.1
STALL_S = 0.5
STALL_MEMORY_S = 1.0
PULL_INTERVAL_S = 0.4
PULL_TIMEOUT_S = 1.0
ANNOUNCE_INTERVAL_S = 1.0
EXPIRE_INTERVAL_S = 5.0
MAX_PEERS = 16
RUN_ID_BYTES = 4


class Directory:
    """Owns the registry: announces this entry, pulls from peers, expires.

    News that arrives by push has no known age. While this process was
    stopped such news may have waited in a socket, so after a stall it
    counts as old as the stall was long.
    """

    def __init__(
        self,
        *,
        info: EntryInfo,
        seeds: tuple[str, ...],
        clients: Clients,
        clock: Clock,
        events: EventLog,
    ):
        self.info = info
        self.leaving = False
        self.leave_in_s = 0.0
        # A key of its own for each run: no order between runs is needed.
        self._key = entry_key(f"{info.id}@{token_hex(RUN_ID_BYTES)}")
        self.registry = Registry(name=self._key)
        self._seq = 0
        self._seeds = seeds
        self._clients = clients
        self.clock = clock
        self._events = events
        self._cursors: dict[str, Delta] = {}
        self._beat_at = clock.monotonic()
        self._stall_s = 0.0
        self._stall_at = float("-inf")
        self.changed = anyio.Event()

    # For other tasks

    def now(self) -> float:
        """Return the registry's time."""
        return self.clock.monotonic()

    def announce_endpoint(
        self,
        info: EndpointInfo,
        *,
        incarnation: int,
        seq: int,
        leaving: bool,
        leave_in_s: float,
    ) -> None:
        """Take in an endpoint's own announcement."""
        item = Item(
            key=endpoint_key(info.id),
            incarnation=incarnation,
            seq=seq,
            body=info,
            leaving=leaving,
            leave_in_s=leave_in_s,
        )
        self._merge(item)

    def notice_host(self, host: str, notice_s: float) -> None:
        """Take in the notice that a host will be reclaimed."""
        known = self.registry.get(host_key(host))
        item = Item(
            key=host_key(host),
            incarnation=known.item.incarnation + 1 if known else 1,
            seq=1,
            body=HostNotice(host=host, notice_s=notice_s),
        )
        self._events.emit("host_notice", host=host, notice_s=notice_s)
        self._merge(item)

    def answer(self, pull: Pull) -> Delta:
        """Answer a peer's pull."""
        if pull.sender is not None:
            self._merge(pull.sender)
        return self.registry.delta(pull, self.now())

    def update(self, **fields: object) -> None:
        """Change what this entry says of itself."""
        before = self.info
        known = {
            name: getattr(before, name) for name in EntryInfo.__struct_fields__
        }
        self.info = EntryInfo(**{**known, **fields})
        if (before.ready, before.config_version) != (
            self.info.ready,
            self.info.config_version,
        ):
            self._announce_self()

    def leave(self, leave_in_s: float) -> None:
        """Tell everyone that this entry is going to stop."""
        self.leaving = True
        self.leave_in_s = leave_in_s
        self._announce_self()

    def entries(self) -> list[EntryInfo]:
        """Return the entries that are fresh and stay, this one included."""
        return [held.item.body for held in self.registry.entries(self.now())]

    def endpoints(self) -> list[EndpointInfo]:
        """Return the endpoints that may get new work."""
        now = self.now()
        return [held.item.body for held in self.registry.endpoints(now)]

    def loads(self) -> list[tuple[str, LoadReport, float]]:
        """Return each endpoint's load and the time it is from."""
        return [
            (held.item.body.id, held.item.body.load, held.seen_at)
            for held in self.registry.endpoints(self.now())
        ]

    def endpoint(self, name: str) -> EndpointInfo | None:
        """Return an endpoint if it may get new work now."""
        key = endpoint_key(name)
        if not self.registry.usable(key, self.now()):
            return None
        return self.registry.get(key).item.body

    def leaves_in_s(self, name: str) -> float | None:
        """Return the seconds until an endpoint leaves, None if it stays."""
        return self.registry.leaves_in_s(endpoint_key(name), self.now())

    def own_notice(self) -> float | None:
        """Return the seconds until this entry's own host goes."""
        return self.registry.host_leaves_in_s(self.info.host, self.now())

    # The task

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Keep the registry up to date until cancelled."""
        self._announce_self()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._beat)
            tg.start_soon(self._pull_from_peers)
            tg.start_soon(self._announce_regularly)
            tg.start_soon(self._expire_regularly)
            task_status.started()

    async def _beat(self) -> None:
        while True:
            await anyio.sleep(BEAT_S)
            now = self.now()
            if now - self._beat_at > STALL_S:
                self._stall_s = now - self._beat_at
                self._stall_at = now
                self._events.emit("stalled", seconds=self._stall_s)
            self._beat_at = now

    def _pushed_age(self) -> float:
        """Return how old news must be assumed that was pushed just now."""
        now = self.now()
        since_beat = now - self._beat_at
        if since_beat > STALL_S:
            return since_beat
        recent = now - self._stall_at < STALL_MEMORY_S
        return self._stall_s if recent else 0.0

    def _merge(self, item: Item) -> None:
        if self.registry.merge(item, self._pushed_age(), self.now()):
            self._signal()

    def _signal(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _own_item(self) -> Item:
        return Item(
            key=self._key,
            incarnation=1,
            seq=self._seq,
            body=self.info,
            leaving=self.leaving,
            leave_in_s=self.leave_in_s,
        )

    def _announce_self(self) -> None:
        self._seq += 1
        if self.registry.merge(self._own_item(), 0.0, self.now()):
            self._signal()

    async def _announce_regularly(self) -> None:
        while True:
            await anyio.sleep(ANNOUNCE_INTERVAL_S)
            self._announce_self()

    async def _expire_regularly(self) -> None:
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            self.registry.expire(self.now())

    def _peers(self) -> list[str]:
        """Return where to pull from: seeds and known entries."""
        known = (info.rpc_address for info in self.entries())
        addresses = dict.fromkeys(chain(self._seeds, known))
        own = self.info.rpc_address
        return [address for address in addresses if address != own]

    async def _pull_from_peers(self) -> None:
        async with anyio.create_task_group() as tg:
            pulling: set[str] = set()
            for _ in cycle((None,)):
                for address in self._peers()[:MAX_PEERS]:
                    if address not in pulling:
                        pulling.add(address)
                        tg.start_soon(self._pull_once, address, pulling)
                await anyio.sleep(PULL_INTERVAL_S)

    async def _pull_once(self, address: str, pulling: set[str]) -> None:
        try:
            seen = self._cursors.get(address, Delta(registry="", cursor=0))
            pull = Pull(
                registry=seen.registry,
                cursor=seen.cursor,
                sender=self._own_item(),
            )
            sent_at = self.now()
            reply = await self._clients.at(address).call(pull, PULL_TIMEOUT_S)
            now = self.now()
            if isinstance(reply, Bad):
                logging.debug("pull: %s", reply.failure())
                return
            delta = reply.unwrap()
            self._cursors[address] = Delta(
                registry=delta.registry, cursor=delta.cursor
            )
            if self.registry.merge_delta(delta, now - sent_at, now):
                self._signal()
        finally:
            pulling.discard(address)
