"""What one entry knows of endpoints, entries and hosts about to go.

News spreads by pulling: an entry asks a peer for what changed since its
last pull. Every item is handed on with its age, and the puller adds its own
round trip, so the age it keeps is an upper bound whatever the network did.
"Leaving" sticks to an incarnation: no reordered older news takes it back.
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

LEASE_S = 4.0
ITEM_EXPIRY_S = 60.0
LEAVING_ITEM_EXPIRY_S = 600.0
DELTA_ITEMS = 500
MAX_ITEMS = 50_000

ENGINE = "engine"


class LoadReport(Message):
    """An endpoint's own report of its load, possibly out of date.

    Token counts are of the prompts and answers in its batch.
    """

    running: int = 0
    waiting: int = 0
    running_long: int = 0
    free_cache_tokens: int = 0


class EndpointInfo(Message):
    """An endpoint: a model engine or a plain service.

    `serves` names models or services; `capacity` is how many requests it
    works on at once.
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
    """An entry process and where callers and peers reach it."""

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
    """The cloud takes a host back `notice_s` after the notice."""

    host: str
    notice_s: float


class Item(Message):
    """One piece of news: newest by incarnation, then by sequence."""

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
    """Ask for what changed after `cursor` of the registry `registry`.

    `sender` introduces the puller, so that the other end pulls from it too.
    """

    registry: str = ""
    cursor: int = 0
    sender: Item | None = None


class Delta(Message):
    """Changed items, and the cursor to pull from next time."""

    registry: str
    cursor: int
    items: tuple[Aged, ...] = ()


class HeldItem:
    """An item as held here; `seen_at` is the latest it can be fresh from."""

    __slots__ = ("change", "item", "leaving_at", "seen_at")

    def __init__(self, *, item: Item, seen_at: float, change: int):
        self.item = item
        self.seen_at = seen_at
        self.change = change
        self.leaving_at: float | None = None


class Registry:
    """The items known to one entry; `name` is unique to its process."""

    __slots__ = ("_change", "_held", "name")

    def __init__(self, *, name: str):
        self.name = name
        self._change = 0
        self._held: dict[str, HeldItem] = {}

    def __len__(self) -> int:
        return len(self._held)

    def merge(self, item: Item, age_s: float, now: float) -> bool:
        """Take in news of the given age; tell whether it changed anything.

        A change is a newer sequence, a newer incarnation or a first notice
        of leaving.
        """
        held = self._held.get(item.key)
        seen_at = now - age_s
        if held is None or item.incarnation > held.item.incarnation:
            if held is None and len(self._held) >= MAX_ITEMS:
                return False
            fresh = HeldItem(item=item, seen_at=seen_at, change=0)
            self._put(fresh, now)
            return True
        if item.incarnation < held.item.incarnation:
            return False
        return self._merge_same(held, item, seen_at, now)

    def delta(self, pull: Pull, now: float) -> Delta:
        """Answer a peer's pull, oldest change first."""
        cursor = pull.cursor if pull.registry == self.name else 0
        changed = takewhile(
            lambda held: held.change > cursor, reversed(self._held.values())
        )
        batch = tuple(islice(reversed(tuple(changed)), DELTA_ITEMS))
        return Delta(
            registry=self.name,
            cursor=batch[-1].change if batch else self._change,
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
        """Forget items without news for long; leaving ones later."""
        gone = [
            key
            for key, held in self._held.items()
            if now - held.seen_at
            > (LEAVING_ITEM_EXPIRY_S if held.item.leaving else ITEM_EXPIRY_S)
        ]
        for key in gone:
            del self._held[key]

    def usable(self, key: str, now: float) -> bool:
        """Tell whether new work may go to the endpoint `key`.

        To be asked at dispatch: fresh news within the lease, not leaving,
        and no notice for its host.
        """
        held = self._held.get(key)
        return held is not None and self._usable(held, now)

    def endpoints(self, now: float) -> Iterator[HeldItem]:
        """Yield the endpoints that may get new work."""
        return (
            held
            for held in self._held.values()
            if isinstance(held.item.body, EndpointInfo)
            and self._usable(held, now)
        )

    def entries(self, now: float) -> Iterator[HeldItem]:
        """Yield the entries that are fresh and not leaving."""
        return (
            held
            for held in self._held.values()
            if isinstance(held.item.body, EntryInfo)
            and self._usable(held, now)
        )

    def leaves_in_s(self, key: str, now: float) -> float | None:
        """Return seconds until the item leaves, None if it does not."""
        held = self._held.get(key)
        if held is None:
            return None
        times = [self._host_deadline(held.item.body.host)]
        if held.item.leaving and held.leaving_at is not None:
            times.append(held.leaving_at + held.item.leave_in_s)
        known = [at for at in times if at is not None]
        return min(known) - now if known else None

    def host_leaves_in_s(self, host: str, now: float) -> float | None:
        """Return seconds until a host goes, None without a notice."""
        deadline = self._host_deadline(host)
        return None if deadline is None else deadline - now

    def get(self, key: str) -> HeldItem | None:
        """Return the item held under `key`."""
        return self._held.get(key)

    def _merge_same(
        self, held: HeldItem, item: Item, seen_at: float, now: float
    ) -> bool:
        newer = item.seq > held.item.seq
        leaves = item.leaving and not held.item.leaving
        if not newer and not leaves:
            if item.seq == held.item.seq:
                held.seen_at = max(held.seen_at, seen_at)
            return False
        latest = item if newer else held.item
        leaver = held.item if held.item.leaving else item
        held.item = Item(
            key=latest.key,
            incarnation=latest.incarnation,
            seq=latest.seq,
            body=latest.body,
            leaving=leaver.leaving,
            leave_in_s=leaver.leave_in_s if leaver.leaving else 0.0,
        )
        if newer:
            held.seen_at = max(held.seen_at, seen_at)
        self._put(held, now)
        return True

    def _put(self, held: HeldItem, now: float) -> None:
        if held.item.leaving and held.leaving_at is None:
            held.leaving_at = min(now, held.seen_at)
        self._change += 1
        held.change = self._change
        self._held.pop(held.item.key, None)
        self._held[held.item.key] = held

    def _usable(self, held: HeldItem, now: float) -> bool:
        fresh = now - held.seen_at <= LEASE_S
        if held.item.leaving or not fresh:
            return False
        return self._host_deadline(held.item.body.host) is None

    def _host_deadline(self, host: str) -> float | None:
        notice = self._held.get(host_key(host))
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
