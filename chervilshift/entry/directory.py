"""Keeps the registry of this entry synchronized with those of its peers."""

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

STALL_CHECK_INTERVAL_S = 0.1
# A longer time between two checks means that the process was suspended or
# stalled.
MIN_STALL_S = 0.5
# For this long after a stall, pushed items are taken to be as old as the stall
# was long.
RECENT_STALL_S = 1.0
PULL_INTERVAL_S = 0.4
PULL_TIMEOUT_S = 1.0
SELF_ANNOUNCE_INTERVAL_S = 1.0
EXPIRE_INTERVAL_S = 5.0
# Bounds the peers that are pulled from; seeds are taken first.
MAX_PULLED_PEERS = 16
RUN_ID_BYTES = 4


class Directory:
    """Owns the registry: announces this entry, pulls from peers, expires.

    `info` describes this entry to others; `changed` is set, and replaced,
    whenever the registry changes. Times are in monotonic seconds.

    Items that are pushed to this entry come without an age. They may have
    waited in a socket while this process was suspended or stalled, so after
    a stall they are taken to be as old as the stall was long.
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
        # Each run has its own key, so items of different runs need no order.
        self._key = entry_key(f"{info.id}@{token_hex(RUN_ID_BYTES)}")
        self.registry = Registry(name=self._key)
        self._seq = 0
        self._seeds = seeds
        self._clients = clients
        self.clock = clock
        self._events = events
        # Per peer address, how far its registry has been pulled.
        self._cursors: dict[str, Delta] = {}
        self._stall_checked_at = clock.monotonic()
        self._last_stall_s = 0.0
        self._last_stall_at = float("-inf")
        self.changed = anyio.Event()

    # Called by other tasks

    def now(self) -> float:
        """Return the monotonic time in seconds that the registry uses."""
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
        """Merge an endpoint's own announcement into the registry.

        `incarnation` and `seq` order announcements of one endpoint. A
        leaving endpoint stops after `leave_in_s`.
        """
        item = Item(
            key=endpoint_key(info.id),
            incarnation=incarnation,
            seq=seq,
            body=info,
            leaving=leaving,
            leave_in_s=leave_in_s,
        )
        self._merge(item)

    def record_host_notice(self, host: str, notice_s: float) -> None:
        """Record that the cloud reclaims a host in `notice_s`."""
        known = self.registry.get(host_key(host))
        item = Item(
            key=host_key(host),
            incarnation=known.item.incarnation + 1 if known else 1,
            seq=1,
            body=HostNotice(host=host, notice_s=notice_s),
        )
        self._events.emit("host_notice", host=host, notice_s=notice_s)
        self._merge(item)

    def answer_pull(self, pull: Pull) -> Delta:
        """Return the items that a peer's pull asks for."""
        if pull.sender is not None:
            self._merge(pull.sender)
        return self.registry.delta(pull, self.now())

    def update_info(self, **fields: object) -> None:
        """Change fields of `info`.

        Readiness and configuration version are announced at once, other
        fields with the next periodic announcement.
        """
        old_info = self.info
        old_fields = {
            name: getattr(old_info, name)
            for name in EntryInfo.__struct_fields__
        }
        self.info = EntryInfo(**{**old_fields, **fields})
        if (old_info.ready, old_info.config_version) != (
            self.info.ready,
            self.info.config_version,
        ):
            self._announce_self()

    def announce_leaving(self, leave_in_s: float) -> None:
        """Announce that this entry stops in `leave_in_s`."""
        self.leaving = True
        self.leave_in_s = leave_in_s
        self._announce_self()

    def entries(self) -> list[EntryInfo]:
        """Return the entries that new work may go to.

        These have a valid lease, are not leaving, and their host has no
        reclaim notice. This entry is included under the same conditions.
        """
        return [held.item.body for held in self.registry.entries(self.now())]

    def endpoints(self) -> list[EndpointInfo]:
        """Return the endpoints that may get new work."""
        now = self.now()
        return [held.item.body for held in self.registry.endpoints(now)]

    def load_reports(self) -> list[tuple[str, LoadReport, float]]:
        """Return each usable endpoint's id, load and time of the report."""
        return [
            (held.item.body.id, held.item.body.load, held.seen_at)
            for held in self.registry.endpoints(self.now())
        ]

    def usable_endpoint(self, name: str) -> EndpointInfo | None:
        """Return an endpoint, or None if it may not get new work now."""
        key = endpoint_key(name)
        if not self.registry.usable(key, self.now()):
            return None
        return self.registry.get(key).item.body

    def leaves_in_s(self, name: str) -> float | None:
        """Return the seconds until an endpoint leaves, None if it stays."""
        return self.registry.leaves_in_s(endpoint_key(name), self.now())

    def own_host_leaves_in_s(self) -> float | None:
        """Return the seconds until this host is reclaimed, None if unknown."""
        return self.registry.host_leaves_in_s(self.info.host, self.now())

    # The task

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Announce, pull, expire and detect stalls until cancelled."""
        self._announce_self()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._detect_stalls)
            tg.start_soon(self._pull_from_peers)
            tg.start_soon(self._announce_periodically)
            tg.start_soon(self._expire_periodically)
            task_status.started()

    async def _detect_stalls(self) -> None:
        while True:
            await anyio.sleep(STALL_CHECK_INTERVAL_S)
            now = self.now()
            if now - self._stall_checked_at > MIN_STALL_S:
                self._last_stall_s = now - self._stall_checked_at
                self._last_stall_at = now
                self._events.emit("stalled", seconds=self._last_stall_s)
            self._stall_checked_at = now

    def _pushed_item_age_s(self) -> float:
        """Return an upper bound on the age of an item pushed just now."""
        now = self.now()
        since_check_s = now - self._stall_checked_at
        if since_check_s > MIN_STALL_S:
            return since_check_s
        is_recent = now - self._last_stall_at < RECENT_STALL_S
        return self._last_stall_s if is_recent else 0.0

    def _merge(self, item: Item) -> None:
        if self.registry.merge(item, self._pushed_item_age_s(), self.now()):
            self._notify_change()

    def _notify_change(self) -> None:
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
            self._notify_change()

    async def _announce_periodically(self) -> None:
        while True:
            await anyio.sleep(SELF_ANNOUNCE_INTERVAL_S)
            self._announce_self()

    async def _expire_periodically(self) -> None:
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            self.registry.expire(self.now())

    def _peer_addresses(self) -> list[str]:
        """Return the RPC addresses of seeds and known entries, not our own."""
        entry_addresses = (info.rpc_address for info in self.entries())
        addresses = dict.fromkeys(chain(self._seeds, entry_addresses))
        own_address = self.info.rpc_address
        return [address for address in addresses if address != own_address]

    async def _pull_from_peers(self) -> None:
        async with anyio.create_task_group() as tg:
            pulling: set[str] = set()
            for _ in cycle((None,)):
                for address in self._peer_addresses()[:MAX_PULLED_PEERS]:
                    if address not in pulling:
                        pulling.add(address)
                        tg.start_soon(self._pull_once, address, pulling)
                await anyio.sleep(PULL_INTERVAL_S)

    async def _pull_once(self, address: str, pulling: set[str]) -> None:
        try:
            last_delta = self._cursors.get(
                address, Delta(registry="", cursor=0)
            )
            pull = Pull(
                registry=last_delta.registry,
                cursor=last_delta.cursor,
                sender=self._own_item(),
            )
            sent_at = self.now()
            reply = await self._clients.at(address).call(pull, PULL_TIMEOUT_S)
            now = self.now()
            if isinstance(reply, Bad):
                logging.debug("registry pull failed: %s", reply.failure())
                return
            delta = reply.unwrap()
            self._cursors[address] = Delta(
                registry=delta.registry, cursor=delta.cursor
            )
            if self.registry.merge_delta(delta, now - sent_at, now):
                self._notify_change()
        finally:
            pulling.discard(address)
