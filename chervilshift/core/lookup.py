"""Selection of the entries that a caller should use."""

import hashlib
from collections.abc import Iterable
from itertools import islice

from chervilshift.core.registry import EntryInfo

__all__ = ["pick_entries"]

MAX_ENTRIES = 3
# An entry is overloaded above this multiple of the mean number of streams plus
# the margin.
OVERLOAD_RATIO = 1.25
OVERLOAD_MARGIN_STREAMS = 8


def pick_entries(
    caller: str, region: str, entries: Iterable[EntryInfo]
) -> list[EntryInfo]:
    """Return at most `MAX_ENTRIES` ready entries, in order of preference.

    Entries that are not overloaded come first, then those in the caller's
    region. Among equals a rendezvous hash gives each caller a stable order.
    The second entry is of another failure domain than the first if possible.
    """
    ready = [info for info in entries if info.ready]
    if not ready:
        return []
    mean_streams = sum(info.streams for info in ready) / len(ready)
    overload_bound = mean_streams * OVERLOAD_RATIO + OVERLOAD_MARGIN_STREAMS

    def rank(info: EntryInfo) -> tuple:
        return (
            info.streams > overload_bound,
            info.region != region,
            _rendezvous_hash(caller, info.id),
        )

    ranked = sorted(ready, key=rank)
    first = ranked[0]
    other_domain = [
        info
        for info in ranked[1:]
        if info.failure_domain != first.failure_domain
    ]
    remaining = [info for info in ranked[1:] if info not in other_domain[:1]]
    return list(islice((first, *other_domain[:1], *remaining), MAX_ENTRIES))


def _rendezvous_hash(caller: str, entry: str) -> bytes:
    return hashlib.sha256(f"{caller}/{entry}".encode()).digest()
