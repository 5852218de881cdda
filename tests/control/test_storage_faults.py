"""Saves on a failing disk, checked against a model of what is durable."""

import pytest

from chervilshift.control.storage import Disk, Storage
from chervilshift.core.raft.messages import LogEntry
from chervilshift.core.raft.state import HardState
from tests.control.storage_simulation import OPERATIONS, StorageSimulation


@pytest.mark.parametrize("seed", range(1, 81))
def test_acknowledged_state_survives_failures_of_any_step(seed):
    StorageSimulation(seed=seed).run()


@pytest.mark.parametrize("operation", OPERATIONS)
@pytest.mark.parametrize("seed", range(1, 11))
def test_acknowledged_state_survives_a_step_that_fails_often(operation, seed):
    StorageSimulation(seed=seed, operations=(operation,), fault_rate=0.4).run()


def test_nothing_is_saved_or_cut_after_the_log_was_closed(tmp_path):
    storage = Storage(folder=tmp_path)
    storage.load().unwrap()
    entry = LogEntry(index=1, term=1)
    storage.save(HardState(term=1), (entry,)).unwrap()
    storage.close()
    storage.reopen().failure()
    storage.save(HardState(term=2), ()).failure()
    recovered = Storage(folder=tmp_path).load().unwrap()
    assert recovered.entries == (entry,)


class RecordingDisk(Disk):
    """Records which folders were synced."""

    __slots__ = ("synced",)

    def __init__(self):
        self.synced = set()

    def sync_folder(self, folder):
        super().sync_folder(folder)
        self.synced.add(folder)


def test_names_of_new_folders_are_durable_before_the_identity(tmp_path):
    """The data folder itself was lost with the power."""
    disk = RecordingDisk()
    folder = tmp_path / "host" / "data"
    Storage(folder=folder, disk=disk).format(name="a", voters=())
    assert disk.synced == {tmp_path, tmp_path / "host", folder}
