"""In-memory copy of the replicated log after its snapshot."""

from itertools import islice, takewhile

from chervilshift.core.raft.messages import (
    VOTERS,
    LogEntry,
    Snapshot,
    Voter,
    decode_voters,
)

__all__ = ["RaftLog"]

# Limits of one Append message. A single entry above the byte limit is sent
# alone.
MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 1 << 20


class RaftLog:
    """Entries after a snapshot, with the voter set in force at each index.

    `snapshot` marks the index before the first entry and has no data once
    the log has been compacted; `full_snapshot` has the data and is sent to
    replicas that lack entries which are no longer held.
    """

    __slots__ = ("_entries", "_voter_history", "full_snapshot", "snapshot")

    def __init__(
        self, *, snapshot: Snapshot, entries: tuple[LogEntry, ...] = ()
    ):
        self.snapshot = snapshot
        self._entries: list[LogEntry] = []
        self._voter_history: list[tuple[int, tuple[Voter, ...]]] = []
        self.reset(snapshot)
        self.append(entries)

    def reset(self, snapshot: Snapshot) -> None:
        """Drop all entries and continue after `snapshot`."""
        self.full_snapshot = snapshot
        self.snapshot = snapshot
        self._entries = []
        self._voter_history = [(snapshot.index, snapshot.voters)]

    @property
    def first_index(self) -> int:
        """Index of the first entry that is held."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term at `last_index`."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Newest voter set, committed or not: Raft uses it on append."""
        return self._voter_history[-1][1]

    @property
    def voters_index(self) -> int:
        """Index of the entry that set the newest voter set."""
        return self._voter_history[-1][0]

    def voters_at(self, index: int) -> tuple[Voter, ...]:
        """Return the voter set in force at `index`."""
        return next(
            voters
            for set_at, voters in reversed(self._voter_history)
            if set_at <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term at `index`, or None if it is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.first_index <= index <= self.last_index:
            return None
        return self._entries[index - self.first_index].term

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the held entries from `first` to `last`, inclusive."""
        start = first - self.first_index
        stop = last - self.first_index + 1
        return tuple(islice(self._entries, max(0, start), max(0, stop)))

    def batch(self, first: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` on that fit in one message."""
        size_bytes = 0

        def fits(entry: LogEntry) -> bool:
            nonlocal size_bytes
            size_bytes += len(entry.data)
            return size_bytes <= MAX_BATCH_BYTES or entry.index == first

        window = self.between(first, first + MAX_BATCH_ENTRIES - 1)
        return tuple(takewhile(fits, window))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries; the first must directly follow `last_index`."""
        for entry in entries:
            self._entries.append(entry)
            if entry.kind == VOTERS:
                self._voter_history.append(
                    (entry.index, decode_voters(entry.data))
                )

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on, with their voter sets."""
        del self._entries[index - self.first_index :]
        self._voter_history = [
            self._voter_history[0],
            *(item for item in self._voter_history[1:] if item[0] < index),
        ]

    def compact(self, snapshot: Snapshot, keep_entries: int) -> None:
        """Replace the entries that `snapshot` covers by the snapshot.

        The last `keep_entries` of them stay available, so that a replica
        that is slightly behind does not need the snapshot.
        """
        base_index = max(self.snapshot.index, snapshot.index - keep_entries)
        term = self.term_at(base_index)
        if term is not None and base_index > self.snapshot.index:
            voters = self.voters_at(base_index)
            kept = self.between(base_index + 1, self.last_index)
            self.reset(Snapshot(index=base_index, term=term, voters=voters))
            self.append(kept)
        self.full_snapshot = snapshot
