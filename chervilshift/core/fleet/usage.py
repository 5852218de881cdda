"""Counts requests per usage window and customer.

A gateway counts since it started; control processes keep the counts of each
incarnation of a gateway, also after its end. Counts only grow, so the larger
one of two is the newer one, and they may arrive on any way, in any order and
more than once. Responds to gateways that are killed or cut off, control
processes that are cut off, and new leaders.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from chervilshift.core.message import Message

__all__ = ["UsageCounter", "UsageEntry", "UsageTable", "window_of"]

# Newest windows kept by a gateway, so that a new leader receives them too, and
# by control processes, enough to cover those not yet reported.
MAX_USAGE_WINDOWS = 6
MAX_KEPT_WINDOWS = 8
# All kept windows are reported in this interval, the newest ones always.
FULL_REPORT_INTERVAL_S = 0.5
NEWEST_WINDOWS = 2
# Incarnations whose counts are kept, and how long after their end: longer than
# windows in use with the time in which they are reported.
MAX_ENTRIES = 8192
ENTRY_EXPIRY_S = 600.0
# Entries in one message; the others follow with the next.
MAX_SENT_ENTRIES = 256


def window_of(wall_s: float, window_s: float) -> int:
    """Return the index of the window that contains a Unix time."""
    return int(wall_s // window_s)


class UsageCounter:
    """A gateway's counts since it started, for the newest windows."""

    __slots__ = (
        "_counts",
        "_is_known",
        "_is_replied",
        "_reported_at",
        "_window_s",
    )

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        self._counts: dict[int, Counter[str]] = {}
        self._reported_at = float("-inf")
        self._is_replied = False
        # Whether any control process replied, and the time can be trusted.
        self._is_known = False

    def count_request(self, customer: str, wall_s: float) -> None:
        """Count a request that an endpoint has started."""
        window = window_of(wall_s, self._window_s)
        self._counts.setdefault(window, Counter())[customer] += 1
        for expired in sorted(self._counts)[:-MAX_USAGE_WINDOWS]:
            del self._counts[expired]

    def counts(self) -> dict[int, dict[str, int]]:
        """Return the counts per customer by window."""
        return {window: dict(c) for window, c in self._counts.items()}

    def report(
        self, wall_s: float, now: float
    ) -> tuple[int, dict[int, dict[str, int]]]:
        """Return the present window, and the counts to report.

        Those are of all kept windows from time to time, and when it is not
        known that a control process has the last ones, else of the newest. The
        window is 0 before the first reply, as the host's clock may be wrong.
        """
        present = window_of(wall_s, self._window_s)
        counts = self.counts()
        is_due = now - self._reported_at >= FULL_REPORT_INTERVAL_S
        if is_due or not self._is_replied:
            self._reported_at = now
        else:
            oldest = present - NEWEST_WINDOWS + 1
            counts = {w: c for w, c in counts.items() if w >= oldest}
        self._is_replied = False
        return present if self._is_known else 0, counts

    def record_reply(self) -> None:
        """Record that a control process has the last report."""
        self._is_replied = self._is_known = True


class UsageEntry(Message, tag=False, array_like=True):
    """Counts of one incarnation of a gateway, by window and customer.

    `window` is the one that had not ended when they were reported: those
    before it don't change any more.
    """

    gateway: str
    incarnation: str
    window: int
    counts: dict[int, dict[str, int]] = {}


class _Entry:
    """What is known of one incarnation.

    `revisions` are those of the counts by window, and `revision` the newest of
    them and of `window`. `ended_revision` is 0 until it is known as ended.
    """

    __slots__ = (
        "counts",
        "ended_revision",
        "heard_at",
        "revision",
        "revisions",
        "window",
    )

    def __init__(self):
        self.window = 0
        self.counts: dict[int, dict[str, int]] = {}
        self.revisions: dict[int, int] = {}
        self.revision = 0
        self.ended_revision = 0
        self.heard_at = 0.0


class UsageTable:
    """A control process's counts of all incarnations of gateways.

    `revision` numbers the changes, so that other processes can be sent what
    they lack.
    """

    __slots__ = ("_ended", "_entries", "revision")

    def __init__(self):
        self._entries: dict[tuple[str, str], _Entry] = {}
        # Those with an `ended_revision`, few of all.
        self._ended: dict[tuple[str, str], _Entry] = {}
        self.revision = 0

    def record(self, received: UsageEntry, now: float) -> None:
        """Record counts; those known before are never lowered."""
        key = received.gateway, received.incarnation
        entry = self._entries.pop(key, None) or _Entry()
        # The one heard longest ago is first.
        self._entries[key] = entry
        while len(self._entries) > MAX_ENTRIES:
            self._drop(next(iter(self._entries)))
        entry.heard_at = now
        changed = {}
        for window, counts in received.counts.items():
            held = entry.counts.get(window, {})
            merged = held | {
                customer: max(count, held.get(customer, 0))
                for customer, count in counts.items()
            }
            if merged != held:
                changed[window] = merged
        if not changed and received.window <= entry.window:
            return
        self.revision += 1
        entry.revision = self.revision
        entry.window = max(entry.window, received.window)
        entry.counts |= changed
        entry.revisions |= dict.fromkeys(changed, self.revision)
        if entry.ended_revision:
            entry.ended_revision = self.revision
        for expired in sorted(entry.counts)[:-MAX_KEPT_WINDOWS]:
            del entry.counts[expired], entry.revisions[expired]

    def record_end(self, gateway: str, incarnation: str) -> None:
        """Record that an incarnation has ended or is silent."""
        entry = self._entries.get((gateway, incarnation))
        if entry is not None and not entry.ended_revision:
            self.revision += 1
            entry.ended_revision = self.revision
            self._ended[gateway, incarnation] = entry

    def record_alive(self, gateway: str, incarnation: str) -> None:
        """Record that an incarnation reports, which may have been silent."""
        entry = self._ended.pop((gateway, incarnation), None)
        if entry is not None:
            entry.ended_revision = 0

    def sweep(self, current: Callable[[str], str | None], now: float) -> None:
        """Forget incarnations that ended long ago.

        `current` returns the present incarnation of a gateway, None if it is
        not known.
        """
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if now - entry.heard_at <= ENTRY_EXPIRY_S:
                break
            self._drop(key)
            if current(key[0]) == key[1]:
                # It may not have had anything to report.
                entry.heard_at = now
                entry.ended_revision = 0
                self._entries[key] = entry

    def total(self, window: int) -> dict[str, int]:
        """Return the requests started in a window, by customer."""
        total: Counter[str] = Counter()
        for entry in self._entries.values():
            total.update(entry.counts.get(window, {}))
        return dict(total)

    def has_all(self, gateway: str, incarnation: str, window: int) -> bool:
        """Whether an incarnation has reported after the end of a window."""
        entry = self._entries.get((gateway, incarnation))
        return entry is not None and entry.window > window

    def changes_since(self, revision: int) -> tuple[tuple, int]:
        """Return entries that changed after a revision, and the new one.

        Of each, only the counts of the changed windows.
        """
        if revision == self.revision:
            return (), revision
        return self._since(
            revision, [(e.revision, k, e) for k, e in self._entries.items()]
        )

    def ended_since(self, revision: int) -> tuple[tuple, int]:
        """Return entries that ended, or changed since, after a revision.

        The counts of an entry that ended are all returned.
        """
        ended = [(e.ended_revision, k, e) for k, e in self._ended.items()]
        return self._since(revision, ended, whole=True)

    def _drop(self, key: tuple[str, str]) -> None:
        del self._entries[key]
        self._ended.pop(key, None)

    def _since(
        self,
        revision: int,
        numbered: Iterable[tuple[int, tuple[str, str], _Entry]],
        *,
        whole: bool = False,
    ) -> tuple[tuple[UsageEntry, ...], int]:
        newer = sorted(
            (item for item in numbered if item[0] > revision),
            key=lambda item: item[0],
        )
        sent = newer[:MAX_SENT_ENTRIES]
        entries = tuple(
            UsageEntry(
                gateway=key[0],
                incarnation=key[1],
                window=entry.window,
                counts={
                    window: counts
                    for window, counts in entry.counts.items()
                    if whole or entry.revisions[window] > revision
                },
            )
            for _, key, entry in sent
        )
        is_all = len(sent) == len(newer)
        return entries, self.revision if is_all else sent[-1][0]
