"""Signals, settings and imports of routed processes."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import httpcore
import pytest
import yaml

from tests.cluster import eventually, free_address

SIGHUP_COUNT = 3


def settings(**changes) -> dict:
    defaults = {
        "process": "front-1",
        "host": "front-1",
        "failure_domain": "a",
        "region": "here",
        "rpc_listen": free_address(),
        "cluster_key": "key-between-processes",
        "seeds": [free_address()],
        "regions": {"a": "here"},
        "limit_window_s": 8,
        "limit_tolerance": 0.1,
        "limit_slack": 72_000,
        "usage_window_s": 5,
        "listen": free_address(),
        "ready_listen": free_address(),
        "stop_within_s": 3.9,
        "retry_ratio": 0.2,
        "retry_extra": 56,
        "retry_window_s": 10,
    }
    return defaults | changes


def start_gateway(path: Path) -> subprocess.Popen:
    environment = os.environ | {"CHERVILSHIFT_SETTINGS": str(path)}
    return subprocess.Popen(
        [sys.executable, "-m", "chervilshift", "routed", "gateway"],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_import_starts_no_process_where_trio_is_installed(tmp_path):
    package = tmp_path / "trio"
    package.mkdir()
    # Importing the real trio starts a process to find the threads library.
    (package / "__init__.py").write_text(
        "import subprocess\nsubprocess.run(['true'])\n"
    )
    script = (
        "import sys\n"
        "def hook(event, args):\n"
        "    if event in ('subprocess.Popen', 'os.fork', 'os.posix_spawn'):\n"
        "        sys.exit(f'started a process: {args}')\n"
        "sys.addaudithook(hook)\n"
        "import chervilshift.commands.top\n"
        "import chervilshift.platform.control\n"
        "import chervilshift.platform.gateway\n"
    )
    environment = os.environ | {"PYTHONPATH": str(tmp_path)}
    process = subprocess.run(
        [sys.executable, "-c", script],
        env=environment,
        cwd=Path(__file__).parent.parent.parent,
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 0, process.stderr


def ready_status(address: str) -> int:
    try:
        with httpcore.ConnectionPool() as pool:
            return pool.request("GET", f"http://{address}/api/ready").status
    except httpcore.ConnectError:
        return 0


def test_sighup_before_the_settings_are_read_does_not_end_the_start(
    tmp_path,
):
    """A pipe holds back the settings, so the start waits for them."""
    path = tmp_path / "gateway.yaml"
    os.mkfifo(path)
    process = start_gateway(path)
    try:
        # Opening the pipe returns once the process has opened its end.
        with path.open("w") as file:
            process.send_signal(signal.SIGHUP)
            eventually(
                lambda: not sighup_pending(process.pid), "SIGHUP delivered"
            )
            file.write(yaml.safe_dump(settings(listen="nowhere")))
        _, err = process.communicate(timeout=20)
        assert process.returncode == 3, err
        assert "listen" in err
    finally:
        process.kill()


def sighup_pending(pid: int) -> bool:
    """Return whether a SIGHUP is pending for a process."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except FileNotFoundError:
        return False
    # SIGHUP is signal 1, the lowest bit of the masks.
    masks = [ln.split()[1] for ln in lines if ln.startswith(("Shd", "SigP"))]
    return any(int(mask, 16) & 1 for mask in masks)


def test_gateway_reloads_on_sighup_and_stops_on_sigterm(tmp_path):
    path = tmp_path / "gateway.yaml"
    cfg = settings()
    path.write_text(yaml.safe_dump(cfg))
    process = start_gateway(path)
    try:
        assert eventually(
            lambda: ready_status(cfg["ready_listen"]) == 503, "not ready"
        )
        for _ in range(SIGHUP_COUNT):
            process.send_signal(signal.SIGHUP)
        out = ""
        while '"event": "reloaded"' not in out:
            out = process.stdout.readline()
            assert out
        path.write_text("process: [broken")
        process.send_signal(signal.SIGHUP)
        assert eventually(
            lambda: ready_status(cfg["ready_listen"]) == 503, "not ready"
        )
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        out, _ = process.communicate(timeout=20)
        assert process.returncode == 0
        assert '"event": "stopped"' in out
    finally:
        process.kill()


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"retry_ratio": -1}, "retry_ratio"),
        ({"surprise": 1}, "surprise"),
    ],
)
def test_wrong_settings_end_the_start_with_file_and_remedy(
    tmp_path, changes, said
):
    path = tmp_path / "gateway.yaml"
    path.write_text(yaml.safe_dump(settings(**changes)))
    process = start_gateway(path)
    _, err = process.communicate(timeout=20)
    assert process.returncode == 3
    assert said in err
    assert str(path) in err
