"""Durable state after crashes at any byte, disk failures and corruption."""

import errno
import itertools

import pytest
from returns.result import Failure as Bad

from chervilshift.control.storage import Disk, Storage
from chervilshift.core.raft.messages import LogEntry, Snapshot
from chervilshift.core.raft.state import HardState
from chervilshift.errors import CorruptLog, StorageFailed


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index=index, term=term, data=b"data %d" % index)


def formatted_storage(folder, disk=None) -> Storage:
    storage = Storage(folder=folder, disk=disk)
    storage.format(name="c1", voters=())
    storage.load().unwrap()
    return storage


def load_again(folder):
    return Storage(folder=folder).load()


def test_every_acknowledged_record_survives_a_cut_at_any_byte(tmp_path):
    storage = formatted_storage(tmp_path)
    sizes = []
    path = tmp_path / "log"
    for index in range(1, 6):
        saved = storage.save(HardState(term=index), (entry(index),))
        assert not isinstance(saved, Bad)
        sizes.append(path.stat().st_size)
    data = path.read_bytes()
    for length in range(len(data) + 1):
        path.write_bytes(data[:length])
        acknowledged = sum(size <= length for size in sizes)
        recovered = load_again(tmp_path).unwrap()
        assert len(recovered.entries) == acknowledged
        assert recovered.hard_state.term == acknowledged
        # Loading truncates the torn tail, so that later frames directly follow
        # the last valid one.
        kept = sizes[acknowledged - 1] if acknowledged else 0
        assert path.stat().st_size == kept
        path.write_bytes(data)


def test_writing_goes_on_behind_a_cut_tail(tmp_path):
    storage = formatted_storage(tmp_path)
    storage.save(HardState(term=1), (entry(1),))
    storage.save(HardState(term=1), (entry(2),))
    path = tmp_path / "log"
    path.write_bytes(path.read_bytes()[:-3])
    reopened = Storage(folder=tmp_path)
    assert [e.index for e in reopened.load().unwrap().entries] == [1]
    reopened.save(HardState(term=2), (entry(2, 2), entry(3, 2)))
    recovered = load_again(tmp_path).unwrap()
    assert [(e.index, e.term) for e in recovered.entries] == [
        (1, 1),
        (2, 2),
        (3, 2),
    ]


def test_damage_in_the_middle_is_refused_at_every_byte(tmp_path):
    """A corrupt frame before a valid one must not be cut as a torn tail."""
    storage = formatted_storage(tmp_path)
    path = tmp_path / "log"
    storage.save(HardState(term=1), (entry(1),))
    first_size = path.stat().st_size
    storage.save(HardState(term=1), (entry(2),))
    data = path.read_bytes()
    for at in range(first_size):
        damaged = bytearray(data)
        damaged[at] ^= 0x5A
        path.write_bytes(bytes(damaged))
        loaded = load_again(tmp_path)
        assert isinstance(loaded, Bad)
        assert isinstance(loaded.failure(), CorruptLog)


def test_damaged_snapshot_is_refused(tmp_path):
    storage = formatted_storage(tmp_path)
    storage.save(HardState(term=1), (entry(1),))
    storage.save_snapshot(
        Snapshot(index=1, term=1, data=b"state"), HardState(term=1), ()
    )
    path = tmp_path / "snapshot"
    damaged = bytearray(path.read_bytes())
    damaged[-1] ^= 1
    path.write_bytes(bytes(damaged))
    assert isinstance(load_again(tmp_path).failure(), CorruptLog)


class FailingDisk(Disk):
    """Fails from the operation number `fail_at` on; a write fails halfway."""

    def __init__(self, *, fail_at: int, error: int):
        self.operations = itertools.count(1)
        self.fail_at = fail_at
        self.error = error

    def _fail_if_due(self) -> None:
        if next(self.operations) >= self.fail_at:
            raise OSError(self.error, "injected")

    def write(self, fd, data):
        if next(self.operations) >= self.fail_at:
            super().write(fd, data[: len(data) // 2])
            raise OSError(self.error, "injected")
        super().write(fd, data)

    def sync(self, fd):
        self._fail_if_due()
        super().sync(fd)

    def replace(self, source, target):
        self._fail_if_due()
        super().replace(source, target)


# Operations 1 to 6 format and open the folder, 7 to 14 are those of four saves
# and 15 to 20 those of the snapshot.
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("fail_at", range(7, 21))
def test_failing_disk_stops_acknowledgements_and_keeps_what_was_acked(
    tmp_path, fail_at, error
):
    disk = FailingDisk(fail_at=fail_at, error=error)
    storage = formatted_storage(tmp_path, disk)
    acknowledged_index = 0
    failed = False
    for index in range(1, 9):
        saved = storage.save(HardState(term=1), (entry(index),))
        if isinstance(saved, Bad):
            assert isinstance(saved.failure(), StorageFailed)
            failed = True
        else:
            assert not failed, "acknowledged after a failed write"
            acknowledged_index = index
        if index == 4 and not failed:
            snapshot = Snapshot(index=3, term=1, data=b"state")
            kept = (entry(4),)
            saved = storage.save_snapshot(snapshot, HardState(term=1), kept)
            failed = isinstance(saved, Bad)
    assert failed
    recovered = load_again(tmp_path).unwrap()
    last = max(
        [recovered.snapshot.index, *(e.index for e in recovered.entries)]
    )
    assert last >= acknowledged_index


def test_crash_between_snapshot_and_log_loses_nothing(tmp_path):
    """The new snapshot is loaded together with the log from before it."""
    storage = formatted_storage(tmp_path)
    for index in range(1, 6):
        storage.save(HardState(term=2), (entry(index),))
    log = (tmp_path / "log").read_bytes()
    snapshot = Snapshot(index=3, term=1, data=b"state")
    storage.save_snapshot(snapshot, HardState(term=2), (entry(4), entry(5)))
    (tmp_path / "log").write_bytes(log)
    recovered = load_again(tmp_path).unwrap()
    assert recovered.snapshot.index == 3
    assert [e.index for e in recovered.entries] == [4, 5]


def test_rewritten_entries_replace_the_old_ones(tmp_path):
    storage = formatted_storage(tmp_path)
    storage.save(HardState(term=1), (entry(1), entry(2), entry(3)))
    storage.save(HardState(term=2), (entry(2, 2),))
    recovered = load_again(tmp_path).unwrap()
    assert [(e.index, e.term) for e in recovered.entries] == [(1, 1), (2, 2)]


def test_formatting_draws_a_new_incarnation(tmp_path):
    first = Storage(folder=tmp_path / "a").format(name="c1", voters=())
    second = Storage(folder=tmp_path / "b").format(name="c1", voters=())
    assert first.incarnation != second.incarnation


class FullDisk(Disk):
    """Fails each write halfway while `full` is set."""

    __slots__ = ("full",)

    def __init__(self):
        self.full = False

    def write(self, fd: int, data: bytes) -> None:
        if self.full:
            super().write(fd, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left")
        super().write(fd, data)


def test_writing_goes_on_when_a_full_disk_has_room_again(tmp_path):
    disk = FullDisk()
    storage = formatted_storage(tmp_path, disk)
    storage.save(HardState(term=1), (entry(1),))
    disk.full = True
    assert isinstance(storage.save(HardState(term=1), (entry(2),)), Bad)
    assert isinstance(storage.reopen(), Bad)
    assert isinstance(storage.save(HardState(term=1), (entry(2),)), Bad)
    disk.full = False
    storage.reopen().unwrap()
    storage.save(HardState(term=1), (entry(2),)).unwrap()
    storage.save(HardState(term=2), (entry(3, 2),)).unwrap()
    recovered = load_again(tmp_path).unwrap()
    assert [e.index for e in recovered.entries] == [1, 2, 3]
    assert recovered.cut_bytes == 0


def test_snapshot_that_meets_a_full_disk_can_be_repeated(tmp_path):
    disk = FullDisk()
    storage = formatted_storage(tmp_path, disk)
    storage.save(HardState(term=1), (entry(1), entry(2))).unwrap()
    snapshot = Snapshot(index=1, term=1, data=b"state")
    disk.full = True
    snapshot_args = (snapshot, HardState(term=1), (entry(2),))
    assert isinstance(storage.save_snapshot(*snapshot_args), Bad)
    assert [e.index for e in load_again(tmp_path).unwrap().entries] == [1, 2]
    disk.full = False
    storage.reopen().unwrap()
    storage.save_snapshot(*snapshot_args).unwrap()
    recovered = load_again(tmp_path).unwrap()
    assert recovered.snapshot.data == b"state"
    assert [e.index for e in recovered.entries] == [2]


class UnsyncedFolderDisk(Disk):
    """Renames files, then fails to sync their folder while `full` is set."""

    __slots__ = ("full",)

    def __init__(self):
        self.full = False

    def replace(self, source, target):
        super().replace(source, target)
        if self.full and target.name == "log":
            raise OSError(errno.ENOSPC, "no space left")


@pytest.mark.parametrize("tries", [1, 3])
@pytest.mark.parametrize("count", [0, 3, 20])
def test_snapshot_whose_log_is_renamed_and_not_synced_loses_nothing(
    tmp_path, count, tries
):
    """The new log was cut to the length of the old one: a torn frame."""
    disk = UnsyncedFolderDisk()
    storage = formatted_storage(tmp_path, disk)
    hard_state = HardState(term=9, vote="c2", commit=count)
    for index in range(1, count + 1):
        storage.save(hard_state, (entry(index),)).unwrap()
    first = Snapshot(index=count, term=1, data=b"first")
    storage.save_snapshot(first, hard_state, ()).unwrap()
    second = Snapshot(index=200, term=1, data=b"second")
    disk.full = True
    for _ in range(tries):
        saved = storage.save_snapshot(
            second, HardState(term=9, vote="c2", commit=200), ()
        )
        assert isinstance(saved, Bad)
        storage.reopen()
    recovered = load_again(tmp_path).unwrap()
    assert (recovered.hard_state.term, recovered.hard_state.vote) == (9, "c2")
    assert recovered.snapshot in (first, second)


def test_magic_number_before_zeros_is_a_torn_tail(tmp_path):
    """The checksum of an empty body is 0, as in a header of zeros."""
    storage = formatted_storage(tmp_path)
    storage.save(HardState(term=1), (entry(1),)).unwrap()
    path = tmp_path / "log"
    path.write_bytes(path.read_bytes() + b"CSL1" + bytes(60))
    recovered = load_again(tmp_path).unwrap()
    assert [e.index for e in recovered.entries] == [1]
    assert recovered.cut_bytes == 64


def test_log_that_differs_from_an_installed_snapshot_is_left_out(tmp_path):
    """A crash between the two files left entries of a deposed leader."""
    storage = formatted_storage(tmp_path)
    storage.save(HardState(term=1), (entry(1), entry(2), entry(3))).unwrap()
    log = (tmp_path / "log").read_bytes()
    snapshot = Snapshot(index=2, term=2, data=b"state")
    storage.save_snapshot(snapshot, HardState(term=2), ()).unwrap()
    (tmp_path / "log").write_bytes(log)
    recovered = load_again(tmp_path).unwrap()
    assert recovered.snapshot == snapshot
    assert recovered.entries == ()
    storage = Storage(folder=tmp_path)
    storage.load().unwrap()
    storage.save(HardState(term=2), (entry(3, 2),)).unwrap()
    recovered = load_again(tmp_path).unwrap()
    assert [(e.index, e.term) for e in recovered.entries] == [(3, 2)]
