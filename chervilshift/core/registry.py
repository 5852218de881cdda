"""Membership registry: endpoints, entries and host termination notices.

Updates spread by pull gossip: an entry asks a peer for what changed since
its last pull. Each item is sent with its age, and the puller adds the round
trip, so that the stored age is an upper bound whatever the network delay.
The `leaving` flag of an incarnation is never cleared, so that older updates
that arrive out of order cannot revert it.
"""

from collections.abc import Iterator
from itertools import islice, takewhile

from chervilshift.core.message import Message

__all__ = [
    "Delta",
    "EndpointInfo",
    "EntryInfo",
    "HostNotice",
    "Item",
    "LoadReport",
    "Pull",
    "Registry",
]

# New work goes only to endpoints and entries refreshed within this time.
LEASE_S = 4.0
ITEM_EXPIRY_S = 60.0
# Kept longer, so that a late older update cannot make the item usable again.
LEAVING_ITEM_EXPIRY_S = 600.0
MAX_DELTA_ITEMS = 500
MAX_ITEMS = 50_000

# A value of `EndpointInfo.kind`.
ENGINE = "engine"


class LoadReport(Message):
    """An endpoint's own report of its load, possibly out of date.

    `running`, `waiting` and `running_long` count requests;
    `free_cache_tokens` is the free capacity of its token cache.
    """

    running: int = 0
    waiting: int = 0
    running_long: int = 0
    free_cache_tokens: int = 0


class EndpointInfo(Message):
    """An endpoint: a model engine or a plain service.

    `serves` names models or services, `adapters` the adapters that are
    loaded; `capacity` is the number of requests that it processes
    concurrently. With `checks_fencing` it rejects orders under an older
    fencing token than it has seen. `reclaimable` marks a host that the cloud
    may reclaim.
    """

    id: str
    address: str
    host: str
    failure_domain: str
    region: str
    kind: str
    serves: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    capacity: int = 8
    checks_fencing: bool = False
    reclaimable: bool = True
    load: LoadReport = LoadReport()


class EntryInfo(Message):
    """An entry process, with its addresses for callers and for peers.

    `streams` is the number of streams that it runs.
    """

    id: str
    address: str
    rpc_address: str
    host: str
    failure_domain: str
    region: str
    ready: bool = False
    streams: int = 0
    config_version: int = 0


class HostNotice(Message):
    """Notice that the cloud reclaims a host `notice_s` seconds later."""

    host: str
    notice_s: float


class Item(Message):
    """A versioned update; the newest has the highest incarnation, then seq.

    The origin of an item that is `leaving` terminates after `leave_in_s`.
    """

    key: str
    incarnation: int
    seq: int
    body: EndpointInfo | EntryInfo | HostNotice
    leaving: bool = False
    leave_in_s: float = 0.0


class Aged(Message):
    """An item with an upper bound on its age."""

    item: Item
    age_s: float


class Pull(Message):
    """Request the changes after `cursor` of the registry named `registry`.

    `sender` announces the puller, so that the peer pulls from it too.
    """

    registry: str = ""
    cursor: int = 0
    sender: Item | None = None


class Delta(Message):
    """Changed items, and the cursor for the next pull."""

    registry: str
    cursor: int
    items: tuple[Aged, ...] = ()


class HeldItem:
    """An item as stored in a registry.

    `seen_at` is a lower bound of the time at which its origin sent it;
    `leave_in_s` counts from `leaving_since`.
    """

    __slots__ = ("change_number", "item", "leaving_since", "seen_at")

    def __init__(self, *, item: Item, seen_at: float, change_number: int):
        self.item = item
        self.seen_at = seen_at
        self.change_number = change_number
        self.leaving_since: float | None = None


class Registry:
    """The items known to one entry.

    `name` is unique to its process: peers whose cursor is of an earlier
    process get everything again. `now` arguments are monotonic seconds.
    """

    __slots__ = ("_items", "_last_change", "name")

    def __init__(self, *, name: str):
        self.name = name
        self._last_change = 0
        self._items: dict[str, HeldItem] = {}

    def __len__(self) -> int:
        return len(self._items)

    def merge(self, item: Item, age_s: float, now: float) -> bool:
        """Apply an update of the given age; return whether it is a change.

        A change is a newer sequence, a newer incarnation or the first update
        that sets `leaving`. A new key is ignored in a full registry.
        """
        held = self._items.get(item.key)
        seen_at = now - age_s
        if held is None or item.incarnation > held.item.incarnation:
            if held is None and len(self._items) >= MAX_ITEMS:
                return False
            fresh = HeldItem(item=item, seen_at=seen_at, change_number=0)
            self._store(fresh, now)
            return True
        if item.incarnation < held.item.incarnation:
            return False
        return self._merge_same_incarnation(held, item, seen_at, now)

    def delta(self, pull: Pull, now: float) -> Delta:
        """Return the reply to a peer's pull, oldest change first."""
        cursor = pull.cursor if pull.registry == self.name else 0
        changed = takewhile(
            lambda held: held.change_number > cursor,
            reversed(self._items.values()),
        )
        batch = tuple(islice(reversed(tuple(changed)), MAX_DELTA_ITEMS))
        return Delta(
            registry=self.name,
            cursor=batch[-1].change_number if batch else self._last_change,
            items=tuple(
                Aged(item=held.item, age_s=max(0.0, now - held.seen_at))
                for held in batch
            ),
        )

    def merge_delta(
        self, delta: Delta, round_trip_s: float, now: float
    ) -> int:
        """Merge a peer's delta; return how many items changed."""
        return sum(
            self.merge(aged.item, aged.age_s + round_trip_s, now)
            for aged in delta.items
        )

    def expire(self, now: float) -> None:
        """Remove items that were not refreshed within their expiry time."""
        expired = [
            key
            for key, held in self._items.items()
            if now - held.seen_at
            > (LEAVING_ITEM_EXPIRY_S if held.item.leaving else ITEM_EXPIRY_S)
        ]
        for key in expired:
            del self._items[key]

    def usable(self, key: str, now: float) -> bool:
        """Return whether new work may go to the endpoint `key`.

        It must have been refreshed within the lease, not be leaving, and its
        host must not have a termination notice. Checked at each dispatch.
        """
        held = self._items.get(key)
        return held is not None and self._usable(held, now)

    def endpoints(self, now: float) -> Iterator[HeldItem]:
        """Yield the endpoints that may get new work."""
        return (
            held
            for held in self._items.values()
            if isinstance(held.item.body, EndpointInfo)
            and self._usable(held, now)
        )

    def entries(self, now: float) -> Iterator[HeldItem]:
        """Yield the entries that are fresh, not leaving and without notice."""
        return (
            held
            for held in self._items.values()
            if isinstance(held.item.body, EntryInfo)
            and self._usable(held, now)
        )

    def leaves_in_s(self, key: str, now: float) -> float | None:
        """Return seconds until the item's origin terminates, None if unknown.

        The earlier of its own leaving and its host's termination counts.
        """
        held = self._items.get(key)
        if held is None:
            return None
        deadlines = [self._host_deadline(held.item.body.host)]
        if held.item.leaving and held.leaving_since is not None:
            deadlines.append(held.leaving_since + held.item.leave_in_s)
        known_deadlines = [at for at in deadlines if at is not None]
        return min(known_deadlines) - now if known_deadlines else None

    def host_leaves_in_s(self, host: str, now: float) -> float | None:
        """Return seconds until a host terminates, None without a notice."""
        deadline = self._host_deadline(host)
        return None if deadline is None else deadline - now

    def get(self, key: str) -> HeldItem | None:
        """Return the item stored under `key`."""
        return self._items.get(key)

    def _merge_same_incarnation(
        self, held: HeldItem, item: Item, seen_at: float, now: float
    ) -> bool:
        newer = item.seq > held.item.seq
        starts_leaving = item.leaving and not held.item.leaving
        if not newer and not starts_leaving:
            if item.seq == held.item.seq:
                held.seen_at = max(held.seen_at, seen_at)
            return False
        latest = item if newer else held.item
        leaving_source = held.item if held.item.leaving else item
        held.item = Item(
            key=latest.key,
            incarnation=latest.incarnation,
            seq=latest.seq,
            body=latest.body,
            leaving=leaving_source.leaving,
            leave_in_s=leaving_source.leave_in_s
            if leaving_source.leaving
            else 0.0,
        )
        if newer:
            held.seen_at = max(held.seen_at, seen_at)
        self._store(held, now)
        return True

    def _store(self, held: HeldItem, now: float) -> None:
        if held.item.leaving and held.leaving_since is None:
            held.leaving_since = min(now, held.seen_at)
        self._last_change += 1
        held.change_number = self._last_change
        self._items.pop(held.item.key, None)
        self._items[held.item.key] = held

    def _usable(self, held: HeldItem, now: float) -> bool:
        fresh = now - held.seen_at <= LEASE_S
        if held.item.leaving or not fresh:
            return False
        return self._host_deadline(held.item.body.host) is None

    def _host_deadline(self, host: str) -> float | None:
        notice = self._items.get(host_key(host))
        if notice is None:
            return None
        return notice.seen_at + notice.item.body.notice_s


def endpoint_key(name: str) -> str:
    """Return the registry key of an endpoint."""
    return f"endpoint/{name}"


def entry_key(name: str) -> str:
    """Return the registry key of an entry."""
    return f"entry/{name}"


def host_key(host: str) -> str:
    """Return the registry key of a host's notice."""
    return f"host/{host}"
