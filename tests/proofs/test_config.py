"""An accepted configuration is in force everywhere and never reverts.

A version could go down or stay back when replicas are cut off, lose their
disk, or restart, and entries then read from a replica that is behind.
"""

import shutil
import threading
import time

import pytest

from tests.cluster import CONFIG, Cluster, eventually

MAX_ROLLOUT_S = 8.0


@pytest.fixture
def ops(cluster: Cluster) -> Cluster:
    """Three control replicas and three entries."""
    cluster.add_controls()
    for number in range(3):
        cluster.add_entry(f"e{number + 1}", number)
    cluster.start()
    cluster.wait_ready()
    return cluster


def config_text(number: int) -> str:
    """Return a configuration whose `first_token_ms` is 1000 + `number`."""
    return CONFIG.replace(
        "first_token_ms: 620", f"first_token_ms: {1000 + number}"
    )


def apply_change(cluster: Cluster, number: int, entry="e1", base=None):
    """Apply change `number` to version `base`, by default the current one."""
    base = cluster.version(entry) if base is None else base
    return cluster.apply(entry, config_text(number), f"change-{number}", base)


def apply_changes(
    cluster: Cluster, count: int, first: int = 0, entry="e1", base=None
) -> int:
    """Apply `count` changes from number `first`; return the last version."""
    version = cluster.version(entry) if base is None else base
    for number in range(first, first + count):
        status, reply = apply_until_answered(cluster, number, entry, version)
        assert status == 200, reply
        version = reply["version"]
    return version


def apply_until_answered(cluster: Cluster, number: int, entry: str, base: int):
    """Retry a change, as operators do, until the status is below 500."""
    return eventually(
        lambda: (
            (got := apply_change(cluster, number, entry, base))[0] < 500
            and got
        ),
        f"a reply to change {number}",
    )


def wait_in_force(cluster: Cluster, version: int, entries=None) -> float:
    """Wait until a version is in force; return the seconds it took."""
    started = time.monotonic()
    for entry in entries or cluster.entries:
        eventually(
            lambda entry=entry: cluster.version(entry) >= version,
            f"version {version} at {entry}",
        )
    return time.monotonic() - started


class VersionWatcher(threading.Thread):
    """Polls the version at every entry and records decreases."""

    def __init__(self, cluster: Cluster):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.max_versions = dict.fromkeys(cluster.entries, 0)
        self.decreases: list[tuple] = []
        self.stop = threading.Event()

    def run(self) -> None:
        while not self.stop.is_set():
            for entry in self.cluster.entries:
                self._check_version(entry)
            time.sleep(0.02)

    def _check_version(self, entry: str) -> None:
        try:
            ready = self.cluster.caller(entry).request("GET", "/readyz")
            if ready.status != 200:
                return
            version = self.cluster.version(entry)
        except Exception:
            return
        if version < self.max_versions[entry]:
            self.decreases.append((entry, self.max_versions[entry], version))
        self.max_versions[entry] = max(self.max_versions[entry], version)


@pytest.fixture
def watched(ops: Cluster):
    """Assert that no entry's version decreases during the test."""
    watcher = VersionWatcher(ops)
    watcher.start()
    yield ops
    watcher.stop.set()
    watcher.join()
    assert not watcher.decreases


def test_change_is_in_force_everywhere_within_the_bound(watched):
    for number in range(5):
        status, reply = apply_change(watched, number, f"e{number % 3 + 1}")
        assert status == 200
        assert wait_in_force(watched, reply["version"]) < MAX_ROLLOUT_S


def test_operators_race_under_one_version(watched):
    """Of six changes to the same base version, exactly one is accepted."""
    base = watched.version("e1")
    replies = {}

    def race(number: int) -> None:
        entry = f"e{number % 3 + 1}"
        replies[number] = apply_change(watched, number, entry, base)

    threads = [threading.Thread(target=race, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [n for n, (status, _) in replies.items() if status == 200]
    assert len(winners) == 1
    for number, (status, reply) in replies.items():
        if number in winners:
            continue
        assert status == 409
        assert reply["error"]["type"] == "ConfigConflict"
        assert f"change-{winners[0]}" in reply["error"]["message"]
    version = replies[winners[0]][1]["version"]
    wait_in_force(watched, version)
    current = watched.operator("e2").json("GET", "/v1/config")[1]
    assert current["base"] == config_text(winners[0])


def test_resend_after_hundreds_of_changes_returns_the_first_result(watched):
    """A late resend of a change must not be applied a second time."""
    base = watched.version("e1")
    first = apply_change(watched, 0, "e1", base)
    last = apply_changes(watched, 300, first=1, base=first[1]["version"])
    again = apply_change(watched, 0, "e2", base)
    assert again == first
    wait_in_force(watched, last)
    assert watched.version("e1") == last
    other = watched.apply("e1", config_text(999), "change-0", base)
    assert other[0] == 422
    assert other[1]["error"]["type"] == "ChangeIdReused"


def test_control_cut_off_for_long_with_entries_watching_it(watched):
    """Entries that watch the isolated replica switch to another.

    The other replicas can't reach it, but entries can. It answers them, so
    they could go on with its old version.
    """
    names = list(watched.controls)
    leader = eventually(lambda: watched.leader("e1"), "a leader")
    isolated = next(name for name in names if name != leader)
    for (source, target), link in watched.control_links.items():
        if source in names and isolated in (source, target):
            link.black_hole()
    # Entries still reach the replica, but it has no new version.
    version = apply_changes(watched, 5)
    assert wait_in_force(watched, version) < MAX_ROLLOUT_S
    time.sleep(4.0)
    version = apply_changes(watched, 5, first=5)
    assert wait_in_force(watched, version) < MAX_ROLLOUT_S
    for link in watched.control_links.values():
        link.heal()
    eventually(
        lambda: watched.leader("e1") == leader, "the leader is still the same"
    )
    version = apply_changes(watched, 1, first=10)
    wait_in_force(watched, version)


@pytest.mark.parametrize("direction", ["hole_to", "hole_from"])
def test_leader_cut_in_one_direction(watched, direction):
    """Changes are accepted when the leader can only receive or only send.

    "hole_to" drops all that the leader sends, "hole_from" all that the
    other replicas send to it. In the second case followers still get its
    heartbeats, so it must step down for want of acknowledgements.
    """
    names = list(watched.controls)
    leader = eventually(lambda: watched.leader("e1"), "a leader")
    for (source, target), link in watched.control_links.items():
        if source in names and target in names and leader in (source, target):
            outbound = source == leader
            link.hole_to = (direction == "hole_to") == outbound
            link.hole_from = (direction == "hole_from") == outbound
    accepted = eventually(
        lambda: (got := apply_change(watched, 1))[0] == 200 and got,
        "a change is accepted",
    )
    version = accepted[1]["version"]
    assert wait_in_force(watched, version) < MAX_ROLLOUT_S
    for link in watched.control_links.values():
        link.heal()
    version = apply_changes(watched, 2, first=2)
    assert wait_in_force(watched, version) < MAX_ROLLOUT_S


def test_processes_restarted_after_hundreds_of_changes(watched):
    killed_follower = next(
        name for name in watched.controls if name != watched.leader("e1")
    )
    watched.kill(killed_follower)
    watched.kill("e3")
    # Enough for a compaction, so that the replica needs a snapshot.
    version = apply_changes(watched, 1200)
    watched.start(killed_follower, "e3")
    wait_in_force(watched, version, ["e3"])
    events = eventually(
        lambda: [
            event
            for event in watched.events(process=killed_follower)
            if event["event"] == "snapshot_installed"
        ],
        "the replica installed a snapshot",
    )
    assert events
    eventually(
        lambda: all(
            control.get("version") == version
            for control in watched.operator("e1").json("GET", "/v1/status")[1][
                "control"
            ]
        ),
        "all replicas have the last version",
    )


def test_lost_disk_and_a_second_loss_right_after_the_repair(watched):
    """Two replicas lose their data one after the other.

    The first must be a voter with a new incarnation before the second is
    lost, or the accepted changes could be lost with the quorum.
    """
    version = apply_changes(watched, 20)
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
    eventually(
        lambda: apply_change(watched, 500)[0] == 200,
        "a quorum accepts a change",
    )
    wait_in_force(watched, version + 1)
    watched.start(second)
    eventually(
        lambda: apply_change(watched, 501)[0] == 200,
        "a change is accepted again",
    )


def test_entry_restarted_while_control_is_down_is_not_ready(ops):
    for name in ops.controls:
        ops.kill(name)
    ops.kill("e3")
    ops.start("e3")
    eventually(
        lambda: ops.caller("e3").request("GET", "/healthz").status == 200,
        "e3 answers",
    )
    assert ops.caller("e3").request("GET", "/readyz").status == 503
    # The others stay ready with the last confirmed configuration.
    assert ops.caller("e1").request("GET", "/readyz").status == 200
    ops.start(*ops.controls)
    eventually(
        lambda: ops.caller("e3").request("GET", "/readyz").status == 200,
        "e3 is ready",
    )


def test_minority_region_goes_on_and_catches_up(watched):
    """An entry cut off from all control replicas keeps its last version."""
    before = watched.version("e3")
    for (source, _), link in watched.control_links.items():
        if source == "e3":
            link.black_hole()
    version = apply_changes(watched, 3)
    wait_in_force(watched, version, ["e1", "e2"])
    assert watched.version("e3") == before
    assert watched.caller("e3").request("GET", "/readyz").status == 200
    for link in watched.control_links.values():
        link.heal()
    assert wait_in_force(watched, version) < MAX_ROLLOUT_S


def test_faulty_configuration_is_refused_whole(ops):
    """The error names file, line and field; the version does not change."""
    version = ops.version("e1")
    faulty = CONFIG.replace("first_token_ms: 620", "first_token_ms: -1")
    status, reply = ops.apply("e1", faulty, "bad", version)
    assert status == 422
    assert (
        "base.yaml:3: models.desk.first_token_ms"
        in (reply["error"]["message"])
    )
    assert ops.version("e1") == version
