"""A table whose readers fetch only what changed since their last read."""

from collections import OrderedDict
from collections.abc import Hashable
from itertools import takewhile
from typing import Generic, TypeVar

__all__ = ["ChangeTable", "Changes"]

# Removed keys are remembered, so that readers learn of them; once there are
# this many, the oldest are forgotten and readers older than them read all.
MAX_REMOVED_KEYS = 256

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


class Changes(Generic[K, V]):
    """What one read returned.

    `values` holds the changed values, None for removed keys. With `full` it
    holds all values, and keys that it lacks are removed. `cursor` is passed
    to the next read.
    """

    __slots__ = ("cursor", "full", "values")

    def __init__(self, *, cursor: int, full: bool, values: dict[K, V | None]):
        self.cursor = cursor
        self.full = full
        self.values = values


class ChangeTable(Generic[K, V]):
    """Values by key in the order of their last change.

    A read costs as much as has changed since the cursor, not as much as the
    table holds. Cursors are valid for one table only.
    """

    __slots__ = ("_entries", "_forgotten", "_removed", "cursor")

    def __init__(self):
        self._entries: OrderedDict[K, tuple[int, V | None]] = OrderedDict()
        self._removed = 0
        # The newest change of a forgotten key.
        self._forgotten = 0
        self.cursor = 0

    def get(self, key: K) -> V | None:
        """Return a value, or None."""
        return self._entries.get(key, (0, None))[1]

    def items(self) -> dict[K, V]:
        """Return all values by key."""
        return {
            key: value
            for key, (_, value) in self._entries.items()
            if value is not None
        }

    def set(self, key: K, value: V | None) -> None:
        """Set a value, or remove the key if it is None."""
        held = self._entries.get(key)
        if held is None and value is None:
            return
        if held is not None:
            if held[1] == value:
                return
            self._removed -= held[1] is None
        self.cursor += 1
        self._entries[key] = (self.cursor, value)
        self._entries.move_to_end(key)
        self._removed += value is None
        if self._removed > MAX_REMOVED_KEYS:
            self._forget_removed()

    def apply(self, changes: Changes[K, V]) -> None:
        """Take over what was read from another table."""
        if changes.full:
            for key in [k for k in self._entries if k not in changes.values]:
                self.set(key, None)
        for key, value in changes.values.items():
            self.set(key, value)

    def since(self, cursor: int) -> Changes[K, V]:
        """Return what changed after `cursor`, 0 for everything."""
        if cursor <= 0 or not self._forgotten <= cursor <= self.cursor:
            return Changes(cursor=self.cursor, full=True, values=self.items())
        newest_first = reversed(self._entries.items())
        changed = takewhile(lambda item: item[1][0] > cursor, newest_first)
        return Changes(
            cursor=self.cursor,
            full=False,
            values={key: value for key, (_, value) in changed},
        )

    def _forget_removed(self) -> None:
        removed = [
            (key, changed_at)
            for key, (changed_at, value) in self._entries.items()
            if value is None
        ]
        for key, changed_at in removed[: len(removed) // 2]:
            del self._entries[key]
            self._forgotten = changed_at
        self._removed -= len(removed) // 2
