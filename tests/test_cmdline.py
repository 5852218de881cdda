"""The command line: help, exit codes, and errors on stderr."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.cluster import OPERATOR_KEY, Cluster, eventually

ROOT = Path(__file__).parent.parent
EXAMPLES = ROOT / "examples"


def command(*arguments: str, **options) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "chervilshift", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        **options,
    )


def test_version_and_hash():
    assert command("version").stdout == "0.1.0\n"
    assert len(command("hash", "a-key").stdout.strip()) == 64


def test_help_names_every_command(snapshot):
    done = command("--help")
    text = done.stdout + done.stderr
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    assert lines == snapshot


def test_examples_are_good():
    done = command(
        "config", "check", f"{EXAMPLES}/base.yaml", f"{EXAMPLES}/west.yaml"
    )
    assert (done.returncode, done.stdout) == (0, "ok\n")


def test_refused_configuration(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("models:\n  desk:\n    token_gap_ms: -1\n")
    done = command("config", "check", str(path))
    assert done.returncode == 3
    assert done.stderr.startswith("ConfigRefused: ")
    assert "bad.yaml:3: models.desk.token_gap_ms" in done.stderr
    assert "fix each fault" in done.stderr


def test_refused_settings(tmp_path):
    path = tmp_path / "e1.yaml"
    path.write_text("process: e1\nlisten: nowhere\n")
    done = command("entry", str(path))
    assert done.returncode == 3
    assert f"{path}:2: listen" in done.stderr


def test_no_answer():
    done = command("status", "--entry", "127.0.0.1:9", "--key", "x")
    assert done.returncode == 5
    assert done.stderr.startswith("PeerUnreachable: ")


def test_replay_of_recorded_traces():
    for trace in sorted((ROOT / "tests" / "traces").glob("*.jsonl")):
        done = command("replay", str(trace))
        assert done.returncode == 0, done.stderr


def test_replay_with_another_outcome(tmp_path):
    path = tmp_path / "t.jsonl"
    path.write_text('{"do": "usable", "key": "x", "at": 0, "expect": true}\n')
    done = command("replay", str(path))
    assert done.returncode == 1
    assert done.stderr.startswith("OutcomeDiffers: t.jsonl:1")


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """One control, two entries and an engine."""
    made = Cluster(tmp_path_factory.mktemp("commands"))
    made.add_controls(("c1",))
    made.add_entry("e1", 0)
    made.add_entry("e2", 1)
    made.add_standin("m1", gap_ms=2, answer_tokens=20)
    made.start()
    made.wait_ready()
    yield made
    made.close()


def operate(cluster: Cluster, *arguments: str):
    entry = cluster.entries["e1"]
    return command(*arguments, "--entry", entry, "--key", OPERATOR_KEY)


def test_apply_wait_show_history(running, tmp_path):
    base = tmp_path / "next.yaml"
    shown = operate(running, "config", "show").stdout
    base.write_text(shown)
    done = operate(
        running, "config", "apply", str(base), "--change-id", "again"
    )
    assert done.returncode == 0, done.stderr
    version = done.stdout.split()[1]
    assert operate(running, "config", "wait", version).returncode == 0
    assert (
        '"change_id": "again"' in operate(running, "config", "history").stdout
    )
    stale = operate(
        running, "config", "apply", str(base), "--from-version", "1"
    )
    assert stale.returncode == 4
    assert "again" in stale.stderr
    late = operate(running, "config", "wait", "99999", "--timeout-s", "0.1")
    assert late.returncode == 6


def test_time_line_tells_a_requests_story(running):
    stream = running.caller("e1").chat("story", max_tokens=20)
    stream.read()
    folder = str(running.folder / "events")
    done = command("timeline", folder, "--request", stream.request_id)
    import json

    events = [json.loads(line)["event"] for line in done.stdout.splitlines()]
    assert events == ["admitted", "queued", "attempt", "finished"]


def test_time_line_is_in_causal_order_over_processes(running):
    _, reply = running.apply("e2", change="causal", at=running.version("e2"))
    for entry in running.entries:
        eventually(
            lambda entry=entry: running.version(entry) == reply["version"],
            "in force",
        )
    events = running.events()
    order = [
        (event["process"], event["event"])
        for event in events
        if event["event"] in ("config", "config_in_force")
    ]
    last_commit = max(
        i for i, (_, name) in enumerate(order) if name == "config"
    )
    versions = [
        e["version"] for e in events if e["event"] == "config_in_force"
    ]
    assert versions[-1] == running.version("e2")
    assert order[last_commit][0] == "c1"
    assert all(name != "config" for _, name in order[last_commit + 1 :])


def test_metrics_and_probes(running):
    caller = running.caller("e1")
    assert caller.request("GET", "/healthz").status == 200
    text = caller.request("GET", "/metrics").content.decode()
    assert "chervilshift_events_started_total 1" in text
    stream = caller.chat("measured", max_tokens=20)
    stream.read()
    text = caller.request("GET", "/metrics").content.decode()
    for name in ("first_token", "token_gap"):
        assert f'chervilshift_{name}_seconds{{quantile="0.95"}}' in text
