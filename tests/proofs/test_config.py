"""An accepted configuration is in force everywhere and never reverts."""

import shutil
import threading
import time

import pytest

from tests.cluster import CONFIG, Cluster, eventually

IN_FORCE_S = 8.0


@pytest.fixture
def ops(cluster: Cluster) -> Cluster:
    """Three controls and three entries."""
    cluster.add_controls()
    for number in range(3):
        cluster.add_entry(f"e{number + 1}", number)
    cluster.start()
    cluster.wait_ready()
    return cluster


def numbered(number: int) -> str:
    """Return a configuration that carries a number."""
    return CONFIG.replace(
        "first_token_ms: 620", f"first_token_ms: {1000 + number}"
    )


def change(cluster: Cluster, number: int, entry="e1", at=None):
    base = cluster.version(entry) if at is None else at
    return cluster.apply(entry, numbered(number), f"change-{number}", base)


def changes(
    cluster: Cluster, count: int, first: int = 0, entry="e1", at=None
) -> int:
    """Apply many changes one after another; return the last version."""
    version = cluster.version(entry) if at is None else at
    for number in range(first, first + count):
        status, reply = resent(cluster, number, entry, version)
        assert status == 200, reply
        version = reply["version"]
    return version


def resent(cluster: Cluster, number: int, entry: str, at: int):
    """Send a change until there is a reply, as operators do."""
    return eventually(
        lambda: (got := change(cluster, number, entry, at))[0] < 500 and got,
        f"a reply to change {number}",
    )


def wait_in_force(cluster: Cluster, version: int, entries=None) -> float:
    """Wait until a version is in force; return how long it took."""
    started = time.monotonic()
    for entry in entries or cluster.entries:
        eventually(
            lambda entry=entry: cluster.version(entry) >= version,
            f"version {version} at {entry}",
        )
    return time.monotonic() - started


class Versions(threading.Thread):
    """Watches every entry and notes a version that goes down."""

    def __init__(self, cluster: Cluster):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.seen = dict.fromkeys(cluster.entries, 0)
        self.went_down: list[tuple] = []
        self.stop = threading.Event()

    def run(self) -> None:
        while not self.stop.is_set():
            for entry in self.cluster.entries:
                self._look(entry)
            time.sleep(0.02)

    def _look(self, entry: str) -> None:
        try:
            ready = self.cluster.caller(entry).request("GET", "/readyz")
            if ready.status != 200:
                return
            version = self.cluster.version(entry)
        except Exception:
            return
        if version < self.seen[entry]:
            self.went_down.append((entry, self.seen[entry], version))
        self.seen[entry] = max(self.seen[entry], version)


@pytest.fixture
def watched(ops: Cluster):
    """Watch every entry's version for going down meanwhile."""
    watcher = Versions(ops)
    watcher.start()
    yield ops
    watcher.stop.set()
    watcher.join()
    assert not watcher.went_down


def test_change_is_in_force_everywhere_within_the_bound(watched):
    for number in range(5):
        status, reply = change(watched, number, f"e{number % 3 + 1}")
        assert status == 200
        assert wait_in_force(watched, reply["version"]) < IN_FORCE_S


def test_operators_race_under_one_version(watched):
    base = watched.version("e1")
    replies = {}

    def race(number: int) -> None:
        entry = f"e{number % 3 + 1}"
        replies[number] = change(watched, number, entry, base)

    threads = [threading.Thread(target=race, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    won = [n for n, (status, _) in replies.items() if status == 200]
    assert len(won) == 1
    for number, (status, reply) in replies.items():
        if number in won:
            continue
        assert status == 409
        assert reply["error"]["type"] == "ConfigConflict"
        assert f"change-{won[0]}" in reply["error"]["message"]
    version = replies[won[0]][1]["version"]
    wait_in_force(watched, version)
    shown = watched.operator("e2").json("GET", "/v1/config")[1]
    assert shown["base"] == numbered(won[0])


def test_resend_after_hundreds_of_changes_returns_the_first_result(watched):
    base = watched.version("e1")
    first = change(watched, 0, "e1", base)
    last = changes(watched, 300, first=1, at=first[1]["version"])
    again = change(watched, 0, "e2", base)
    assert again == first
    wait_in_force(watched, last)
    assert watched.version("e1") == last
    other = watched.apply("e1", numbered(999), "change-0", base)
    assert other[0] == 422
    assert other[1]["error"]["type"] == "ChangeIdReused"


def test_control_cut_off_for_long_with_entries_watching_it(watched):
    """Entries that watched the cut-off replica move to another."""
    names = list(watched.controls)
    leader = eventually(lambda: watched.leader("e1"), "a leader")
    lone = next(name for name in names if name != leader)
    for (source, target), link in watched.control_links.items():
        if source in names and lone in (source, target):
            link.black_hole()
    # Entries still reach it: it answers, but knows nothing new.
    version = changes(watched, 5)
    assert wait_in_force(watched, version) < IN_FORCE_S
    time.sleep(4.0)
    version = changes(watched, 5, first=5)
    assert wait_in_force(watched, version) < IN_FORCE_S
    for link in watched.control_links.values():
        link.heal()
    eventually(lambda: watched.leader("e1") == leader, "not deposed")
    version = changes(watched, 1, first=10)
    wait_in_force(watched, version)


@pytest.mark.parametrize("direction", ["hole_to", "hole_from"])
def test_leader_cut_in_one_direction(watched, direction):
    names = list(watched.controls)
    leader = eventually(lambda: watched.leader("e1"), "a leader")
    for (source, target), link in watched.control_links.items():
        if source in names and target in names and leader in (source, target):
            outbound = source == leader
            link.hole_to = (direction == "hole_to") == outbound
            link.hole_from = (direction == "hole_from") == outbound
    accepted = eventually(
        lambda: (got := change(watched, 1))[0] == 200 and got,
        "changes go on being accepted",
    )
    version = accepted[1]["version"]
    assert wait_in_force(watched, version) < IN_FORCE_S
    for link in watched.control_links.values():
        link.heal()
    version = changes(watched, 2, first=2)
    assert wait_in_force(watched, version) < IN_FORCE_S


def test_processes_restarted_after_hundreds_of_changes(watched):
    lone = next(
        name for name in watched.controls if name != watched.leader("e1")
    )
    watched.kill(lone)
    watched.kill("e3")
    # More than a snapshot's worth, so that the log alone can't serve.
    version = changes(watched, 1200)
    watched.start(lone, "e3")
    wait_in_force(watched, version, ["e3"])
    events = eventually(
        lambda: [
            event
            for event in watched.events(process=lone)
            if event["event"] == "snapshot_installed"
        ],
        "it caught up by snapshot",
    )
    assert events
    eventually(
        lambda: all(
            control.get("version") == version
            for control in watched.operator("e1").json("GET", "/v1/status")[1][
                "control"
            ]
        ),
        "all replicas have it",
    )


def test_lost_disk_and_a_second_loss_right_after_the_repair(watched):
    version = changes(watched, 20)
    first, second, _ = watched.controls
    watched.kill(first)
    shutil.rmtree(watched.settings[first]["data_folder"])
    watched.start(first)

    def repaired() -> bool:
        status = watched.operator("e1").json("GET", "/v1/status")[1]
        return any(
            control.get("role") == "leader"
            and len(control["voters"]) == 3
            and all(
                voter["incarnation"] != "initial"
                for voter in control["voters"]
                if voter["name"] == first
            )
            for control in status["control"]
        )

    eventually(repaired, "the new incarnation is a voter")
    watched.kill(second)
    shutil.rmtree(watched.settings[second]["data_folder"])
    eventually(lambda: change(watched, 500)[0] == 200, "a quorum is left")
    wait_in_force(watched, version + 1)
    watched.start(second)
    eventually(lambda: change(watched, 501)[0] == 200, "and it goes on")


def test_entry_restarted_while_control_is_down_is_not_ready(ops):
    for name in ops.controls:
        ops.kill(name)
    ops.kill("e3")
    ops.start("e3")
    eventually(
        lambda: ops.caller("e3").request("GET", "/healthz").status == 200,
        "it is up",
    )
    assert ops.caller("e3").request("GET", "/readyz").status == 503
    # The others go on under the last confirmed configuration.
    assert ops.caller("e1").request("GET", "/readyz").status == 200
    ops.start(*ops.controls)
    eventually(
        lambda: ops.caller("e3").request("GET", "/readyz").status == 200,
        "ready again",
    )


def test_minority_region_goes_on_and_catches_up(watched):
    """An entry cut off from all controls keeps its last version."""
    before = watched.version("e3")
    for (source, _), link in watched.control_links.items():
        if source == "e3":
            link.black_hole()
    version = changes(watched, 3)
    wait_in_force(watched, version, ["e1", "e2"])
    assert watched.version("e3") == before
    assert watched.caller("e3").request("GET", "/readyz").status == 200
    for link in watched.control_links.values():
        link.heal()
    assert wait_in_force(watched, version) < IN_FORCE_S


def test_faulty_configuration_is_refused_whole(ops):
    version = ops.version("e1")
    faulty = CONFIG.replace("first_token_ms: 620", "first_token_ms: -1")
    status, reply = ops.apply("e1", faulty, "bad", version)
    assert status == 422
    assert (
        "base.yaml:3: models.desk.first_token_ms"
        in (reply["error"]["message"])
    )
    assert ops.version("e1") == version
