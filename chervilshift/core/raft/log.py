"""The in-memory view of the replicated log behind its snapshot."""

from itertools import islice, takewhile

from chervilshift.core.raft.messages import (
    VOTERS,
    LogEntry,
    Snapshot,
    Voter,
    decode_voters,
)

__all__ = ["RaftLog"]

BATCH_ENTRIES = 256
BATCH_BYTES = 1 << 20


class RaftLog:
    """Entries after a snapshot, with the voter set each position implies.

    `snapshot` marks where the entries start and carries no data once the
    log was compacted; `full_snapshot` is what a lagging replica is sent.
    """

    __slots__ = ("_entries", "_voters", "full_snapshot", "snapshot")

    def __init__(
        self, *, snapshot: Snapshot, entries: tuple[LogEntry, ...] = ()
    ):
        self.snapshot = snapshot
        self._entries: list[LogEntry] = []
        self._voters: list[tuple[int, tuple[Voter, ...]]] = []
        self.reset(snapshot)
        self.append(entries)

    def reset(self, snapshot: Snapshot) -> None:
        """Drop everything and start behind `snapshot`."""
        self.full_snapshot = snapshot
        self.snapshot = snapshot
        self._entries = []
        self._voters = [(snapshot.index, snapshot.voters)]

    @property
    def first_index(self) -> int:
        """The index of the first entry still held."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term at `last_index`."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def voters(self) -> tuple[Voter, ...]:
        """The newest voter set, committed or not."""
        return self._voters[-1][1]

    @property
    def voters_index(self) -> int:
        """The position that introduced the newest voter set."""
        return self._voters[-1][0]

    def voters_at(self, index: int) -> tuple[Voter, ...]:
        """Return the voter set in force at `index`."""
        return next(
            voters for at, voters in reversed(self._voters) if at <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term at `index`, or None where it is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.first_index <= index <= self.last_index:
            return None
        return self._entries[index - self.first_index].term

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        start = first - self.first_index
        stop = last - self.first_index + 1
        return tuple(islice(self._entries, max(0, start), max(0, stop)))

    def batch(self, first: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` that fit one message."""
        size_bytes = 0

        def fits(entry: LogEntry) -> bool:
            nonlocal size_bytes
            size_bytes += len(entry.data)
            return size_bytes <= BATCH_BYTES or entry.index == first

        window = self.between(first, first + BATCH_ENTRIES - 1)
        return tuple(takewhile(fits, window))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries that follow the last one."""
        for entry in entries:
            self._entries.append(entry)
            if entry.kind == VOTERS:
                self._voters.append((entry.index, decode_voters(entry.data)))

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on, and the voter sets they set."""
        del self._entries[index - self.first_index :]
        self._voters = [
            self._voters[0],
            *(item for item in self._voters[1:] if item[0] < index),
        ]

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Put `snapshot` in place of what it covers.

        Up to `keep` entries before the snapshot's end stay available, so
        that a replica that is slightly behind needs no snapshot.
        """
        base = max(self.snapshot.index, snapshot.index - keep)
        term = self.term_at(base)
        if term is not None and base > self.snapshot.index:
            voters = self.voters_at(base)
            kept = self.between(base + 1, self.last_index)
            self.reset(Snapshot(index=base, term=term, voters=voters))
            self.append(kept)
        self.full_snapshot = snapshot
