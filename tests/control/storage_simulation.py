"""Saves on a failing disk, with ends of the process and losses of power.

What was acknowledged has to be recovered, and nothing that was never written.
`python -m tests.control.storage_simulation --seeds 5000` runs more seeds than
the tests do.
"""

import argparse
from multiprocessing import Pool
from pathlib import Path
from random import Random

from returns.result import Failure as Bad

from chervilshift.control.storage import Identity, Storage
from chervilshift.core.raft.messages import LogEntry, Snapshot
from chervilshift.core.raft.state import HardState
from tests.control.model_disk import ModelDisk

__all__ = ["OPERATIONS", "StorageSimulation"]

FOLDER = Path("/data")
SAVES = 40
OPERATIONS = (
    "make_folder",
    "create",
    "open",
    "read",
    "write",
    "sync",
    "rename",
    "sync_folder",
)


class State:
    """What a save leaves on the disk."""

    __slots__ = ("entries", "hard_state", "snapshot")

    def __init__(
        self,
        *,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[LogEntry, ...],
    ):
        self.snapshot = snapshot
        self.hard_state = hard_state
        self.entries = entries

    def __eq__(self, other: object) -> bool:
        return (self.snapshot, self.hard_state, self.entries) == (
            other.snapshot,
            other.hard_state,
            other.entries,
        )

    def __repr__(self) -> str:
        entries = [(e.index, e.term) for e in self.entries]
        snapshot = (self.snapshot.index, self.snapshot.term)
        return f"{snapshot} {self.hard_state} {entries}"

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        if index == self.snapshot.index:
            return self.snapshot.term
        return next((e.term for e in self.entries if e.index == index), None)

    def under(self, snapshot: Snapshot) -> "State":
        """Return this state's log behind a newer snapshot."""
        agrees = self.term_at(snapshot.index) == snapshot.term
        return State(
            snapshot=snapshot,
            hard_state=self.hard_state,
            entries=tuple(
                e for e in self.entries if agrees and e.index > snapshot.index
            ),
        )


class StorageSimulation:
    """A storage under faults drawn from `seed`.

    With `operations`, only these fail. `fault_rate` is the probability of a
    failure per operation.
    """

    def __init__(
        self,
        *,
        seed: int,
        operations: tuple[str, ...] = OPERATIONS,
        fault_rate: float = 0.1,
    ):
        self.rng = Random(seed)
        self._operations = operations
        self._fault_rate = fault_rate
        self.disk = ModelDisk(rng=self.rng, fails=self._draw_failure)
        self.storage = Storage(folder=FOLDER, disk=self.disk)
        self.acked = State(
            snapshot=Snapshot(), hard_state=HardState(), entries=()
        )
        self._identity: Identity | None = None
        # States that a crash may leave besides the acknowledged one.
        self.tried: tuple[State, ...] = ()

    def run(self) -> None:
        """Run all saves; raise AssertionError if a state is lost."""
        self._recover()
        for _ in range(SAVES):
            self._save()
            if self.rng.random() < 0.15:
                self._crash()
        self._crash()

    def _draw_failure(self, operation: str) -> bool:
        return (
            operation in self._operations
            and self.rng.random() < self._fault_rate
        )

    def _load_identity(self) -> Identity:
        """Return the identity as a process does at its start."""
        while True:
            try:
                identity = self.storage.identity()
                if identity is None:
                    identity = self.storage.format(name="a", voters=())
                return identity
            except OSError:
                self._end()

    def _end(self) -> None:
        """End the process, sometimes with a loss of power."""
        if self.rng.random() < 0.5:
            self.disk.lose_power()
        else:
            self.disk.end_process()
        self.storage = Storage(folder=FOLDER, disk=self.disk)

    def _crash(self) -> None:
        self._end()
        self._recover()

    def _recover(self) -> None:
        while True:
            identity = self._load_identity()
            assert self._identity in (None, identity), "identity lost"
            recovered = self.storage.recover()
            if isinstance(recovered, Bad):
                failure = recovered.failure()
                assert "injected" in str(failure), f"not loaded: {failure}"
                self._end_sometimes()
                continue
            self._check(recovered.unwrap())
            for _ in range(self.rng.randint(1, 4)):
                if not isinstance(self.storage.reopen(), Bad):
                    self.acked = self._state(recovered.unwrap())
                    self.tried = ()
                    self._identity = identity
                    return
            self._end()

    def _end_sometimes(self) -> None:
        if self.rng.random() < 0.3:
            self._end()

    def _check(self, recovered) -> None:
        found = self._state(recovered)
        allowed = (self.acked, *self.tried)
        assert found in allowed, f"found {found}, not one of {allowed}"

    def _state(self, recovered) -> State:
        return State(
            snapshot=recovered.snapshot,
            hard_state=recovered.hard_state,
            entries=recovered.entries,
        )

    def _save(self) -> None:
        """Save until it succeeds or the process ends."""
        write, state, between = self.rng.choice(
            (self._append, self._append, self._compact, self._install)
        )()
        self.tried = (state, *between)
        while isinstance(write(), Bad):
            if self.rng.random() < 0.2:
                self._crash()
                return
            while isinstance(self.storage.reopen(), Bad):
                if self.rng.random() < 0.1:
                    self._crash()
                    return
        self.acked, self.tried = state, ()

    def _draw_hard_state(self, commit: int) -> HardState:
        previous = self.acked.hard_state
        term = previous.term + self.rng.choice((0, 0, 1, 100))
        vote = previous.vote if term == previous.term else ""
        return HardState(
            term=term,
            vote=vote or self.rng.choice(("", "b", "candidate")),
            commit=max(previous.commit, commit),
        )

    def _draw_entries(self, after: int, term: int) -> tuple[LogEntry, ...]:
        count = self.rng.choice((0, 1, 1, 5))
        return tuple(
            LogEntry(
                index=index,
                term=term,
                data=self.rng.randbytes(self.rng.choice((0, 10, 300))),
            )
            for index in range(after + 1, after + 1 + count)
        )

    def _append(self):
        """Append entries, sometimes in the place of others."""
        old = self.acked
        hard_state = self._draw_hard_state(old.snapshot.index)
        after = self.rng.choice(
            (
                old.last_index,
                self.rng.randint(old.snapshot.index, old.last_index),
            )
        )
        entries = self._draw_entries(after, hard_state.term)
        kept = tuple(e for e in old.entries if not entries or e.index <= after)
        state = State(
            snapshot=old.snapshot,
            hard_state=hard_state,
            entries=kept + entries,
        )
        return lambda: self.storage.save(hard_state, entries), state, ()

    def _compact(self):
        """Replace a part of the log by a snapshot."""
        old = self.acked
        index = self.rng.randint(old.snapshot.index, old.last_index)
        snapshot = Snapshot(
            index=index,
            term=old.term_at(index),
            data=self.rng.randbytes(self.rng.choice((0, 1000))),
        )
        kept = tuple(e for e in old.entries if e.index > index)
        return self._replace(snapshot, kept)

    def _install(self):
        """Replace the log by the snapshot of a leader."""
        old = self.acked
        snapshot = Snapshot(
            index=old.snapshot.index + self.rng.randint(1, 20),
            term=old.hard_state.term,
            data=self.rng.randbytes(self.rng.choice((0, 1000))),
        )
        entries = self._draw_entries(snapshot.index, old.hard_state.term)
        return self._replace(snapshot, entries)

    def _replace(self, snapshot: Snapshot, entries: tuple[LogEntry, ...]):
        hard_state = self._draw_hard_state(snapshot.index)
        state = State(
            snapshot=snapshot, hard_state=hard_state, entries=entries
        )

        def write():
            return self.storage.save_snapshot(snapshot, hard_state, entries)

        return write, state, (self.acked.under(snapshot),)


def run_seed(seed: int) -> str | None:
    """Run one seed; return what failed, or None."""
    try:
        StorageSimulation(seed=seed).run()
    except AssertionError as error:
        return f"seed {seed}: {error}"
    return None


def main() -> None:
    """Run the seeds on the command line and print those that fail."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.seeds)
    with Pool(args.jobs) as pool:
        failures = [f for f in pool.imap(run_seed, seeds, 8) if f]
    print(*failures[:5], sep="\n")
    print(f"{len(failures)} of {len(seeds)} seeds failed")


if __name__ == "__main__":
    main()
