"""Endpoints of a service, and the few of them considered for a request.

With many endpoints and news of their load that is some hundred milliseconds
old, all gateways would move to the endpoint that seemed least loaded, and one
decision would cost time in proportion to the endpoints. So few are considered:
a prompt's first homes, which are the same at all gateways of a region, and
some at random.

The homes of a key are ordered by rendezvous hashing over the endpoints that
control reports as serving. Health at one gateway does not change the order, so
keys return to an endpoint that was excluded for a short time.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from heapq import nlargest
from itertools import islice
from random import Random
from typing import Generic, Protocol, TypeVar

from chervilshift.core.fleet.hashing import hash64
from chervilshift.core.fleet.model import READY, SILENT, EndpointRecord

__all__ = ["HOMES", "MAX_ALL", "EndpointPool", "draw", "first_of"]

# With at most this many endpoints all of them are considered.
MAX_ALL = 8
# Homes considered per key. The load of an engine whose keys overflow is split
# over the next homes of these keys, which are different ones.
HOMES = 3
# Endpoints kept in the order of a key; the first of them may be excluded.
ORDER_LENGTH = 8
# Orders with fewer endpoints are made anew.
MIN_ORDER_LENGTH = 5
# With more endpoints that came or left at once, orders are made anew.
MAX_ORDER_CHANGES = 4
# Keys whose order is kept; one takes about 1 KB.
MAX_ORDERS = 4_096
MASK = (1 << 64) - 1
# Odd multipliers of the mixing function of splitmix64.
MIX_1, MIX_2 = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB


class Member(Protocol):
    """What a pool needs to know of an endpoint."""

    record: EndpointRecord
    remote: bool


E = TypeVar("E", bound=Member)


class _Order:
    """The first endpoints for a key, by score, the highest first."""

    __slots__ = ("key_hash", "ranked")

    def __init__(self, *, key_hash: int, ranked: list[tuple[int, str]]):
        self.key_hash = key_hash
        self.ranked = ranked


class EndpointPool(Generic[E]):
    """The endpoints of one service at one time.

    `members` are all of them, `local` and `remote` those that may serve, in
    this region and in others. Without local ones the remote ones are local.
    The orders of keys are taken over from `former`, the pool at an earlier
    time.
    """

    __slots__ = (
        "_hashes",
        "_local_by_id",
        "_orders",
        "local",
        "members",
        "remote",
    )

    def __init__(
        self, members: Iterable[E], former: "EndpointPool[E] | None" = None
    ):
        self.members = tuple(members)
        serving = [
            m for m in self.members if m.record.state in (READY, SILENT)
        ]
        local = tuple(m for m in serving if not m.remote)
        self.local = local or tuple(serving)
        self.remote = tuple(m for m in serving if m.remote) if local else ()
        self._local_by_id = {m.record.id: m for m in self.local}
        known = former._hashes if former else {}
        self._hashes = {
            member_id: known.get(member_id) or hash64(member_id)
            for member_id in self._local_by_id
        }
        self._orders: OrderedDict[str, _Order] = OrderedDict()
        if former is not None:
            self._take_orders(former)

    @property
    def size(self) -> int:
        """The number of endpoints that may serve."""
        return len(self.local) + len(self.remote)

    def order(self, key: str) -> list[E]:
        """Return the first endpoints for a key, the home first."""
        order = self._orders.get(key)
        if order is None:
            key_hash = hash64(key)
            ranked = _rank(self._hashes, key_hash, ORDER_LENGTH)
            order = _Order(key_hash=key_hash, ranked=ranked)
            self._orders[key] = order
            if len(self._orders) > MAX_ORDERS:
                self._orders.popitem(last=False)
        else:
            self._orders.move_to_end(key)
        return [self._local_by_id[member_id] for _, member_id in order.ranked]

    def homes(
        self, key: str, count: int, is_open: Callable[[E], bool]
    ) -> list[E]:
        """Return the first endpoints for a key that take requests."""
        return list(islice(filter(is_open, self.order(key)), count))

    def _take_orders(self, former: "EndpointPool[E]") -> None:
        """Change the orders of a former pool as its endpoints changed."""
        removed = former._hashes.keys() - self._hashes.keys()
        added = self._hashes.keys() - former._hashes.keys()
        if len(removed) + len(added) > MAX_ORDER_CHANGES:
            return
        self._orders = former._orders
        if not removed and not added:
            return
        for key, order in list(self._orders.items()):
            ranked = [r for r in order.ranked if r[1] not in removed]
            # What comes after the last one kept is not known.
            least = ranked[-1][0] if ranked else MASK
            for member_id in added:
                score = _score(order.key_hash, self._hashes[member_id])
                if score > least:
                    ranked.append((score, member_id))
            ranked.sort(reverse=True)
            order.ranked = ranked[:ORDER_LENGTH]
            if len(order.ranked) < MIN_ORDER_LENGTH:
                del self._orders[key]


def first_of(members: Iterable[E], key: str, count: int) -> list[E]:
    """Return the first endpoints for a key among some members of a pool."""
    by_id = {m.record.id: m for m in members}
    hashes = {member_id: hash64(member_id) for member_id in by_id}
    return [by_id[found] for _, found in _rank(hashes, hash64(key), count)]


def draw(members: Sequence[E], count: int, rng: Random) -> list[E]:
    """Return up to `count` different members in random order."""
    if len(members) <= count:
        return list(members)
    places = dict.fromkeys(
        int(rng.random() * len(members)) for _ in range(count)
    )
    return [members[place] for place in places]


def _rank(
    hashes: Mapping[str, int], key_hash: int, count: int
) -> list[tuple[int, str]]:
    """Return the scores and ids of the first endpoints for a key."""
    scores = [_score(key_hash, member_hash) for member_hash in hashes.values()]
    return nlargest(count, zip(scores, hashes, strict=True))


def _score(key_hash: int, member_hash: int) -> int:
    """Mix two hashes; much faster than to hash the two texts together."""
    mixed = key_hash ^ member_hash
    mixed = ((mixed ^ (mixed >> 30)) * MIX_1) & MASK
    return ((mixed ^ (mixed >> 27)) * MIX_2) & MASK
