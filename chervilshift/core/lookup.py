"""Which entries a caller should use."""

import hashlib
from collections.abc import Iterable
from itertools import islice

from chervilshift.core.registry import EntryInfo

__all__ = ["pick_entries"]

MAX_ENTRIES = 3
# An entry that carries more than this multiple of the mean is passed over.
OVERLOAD_RATIO = 1.25
OVERLOAD_STREAMS = 8


def pick_entries(
    caller: str, region: str, entries: Iterable[EntryInfo]
) -> list[EntryInfo]:
    """Return entries for `caller`, the first choice first.

    Ready entries of the caller's region come first and the choice is steady
    for a caller while the load is even. The second choice lies in another
    failure domain than the first where there is one.
    """
    ready = [info for info in entries if info.ready]
    if not ready:
        return []
    mean = sum(info.streams for info in ready) / len(ready)
    bound = mean * OVERLOAD_RATIO + OVERLOAD_STREAMS

    def rank(info: EntryInfo) -> tuple:
        return (
            info.streams > bound,
            info.region != region,
            _weight(caller, info.id),
        )

    ranked = sorted(ready, key=rank)
    first = ranked[0]
    elsewhere = [
        info
        for info in ranked[1:]
        if info.failure_domain != first.failure_domain
    ]
    near = [info for info in ranked[1:] if info not in elsewhere[:1]]
    return list(islice((first, *elsewhere[:1], *near), MAX_ENTRIES))


def _weight(caller: str, entry: str) -> bytes:
    return hashlib.sha256(f"{caller}/{entry}".encode()).digest()
