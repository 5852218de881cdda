"""The executable file built by `make binary` runs `dev` in one process."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.cluster import Caller, eventually, free_address

ROOT = Path(__file__).parent.parent


@pytest.fixture(scope="module")
def binary(tmp_path_factory) -> Path:
    """Build the executable as `make binary` does."""
    path = tmp_path_factory.mktemp("dist") / "chervilshift"
    subprocess.run(
        [
            str(Path(sys.executable).with_name("shiv")),
            "-q",
            "-c",
            "chervilshift",
            "-o",
            str(path),
            "-r",
            "requirements.txt",
            ".",
        ],  # fmt: skip
        cwd=ROOT,
        check=True,
        timeout=600,
    )
    return path


def children(pid: int) -> set[str]:
    return {
        child
        for task in Path(f"/proc/{pid}/task").iterdir()
        for child in (task / "children").read_text().split()
    }


def test_dev_serves_from_one_process_and_stops_in_good_order(binary, tmp_path):
    address = free_address()
    # `dev` uses the ports that follow; later calls must not return them.
    for _ in range(7):
        free_address()
    process = subprocess.Popen(
        [
            sys.executable,
            str(binary),
            "dev",
            "--listen",
            address,
            "--data",
            str(tmp_path / "data"),
        ],  # fmt: skip
        env={"SHIV_ROOT": str(tmp_path / "shiv"), "PATH": ""},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        ready = process.stdout.readline()
        assert address in ready
        caller = Caller(address, "dev-key")
        body = {
            "model": "desk-7b",
            "messages": [{"role": "user", "content": "hello"}],
        }
        status, reply = caller.json("POST", "/v1/chat/completions", body)
        assert status == 200
        assert reply["choices"][0]["finish_reason"] == "stop"
        assert children(process.pid) == set()
        threads = list(Path(f"/proc/{process.pid}/task").iterdir())
        assert len(threads) < 50
        eventually(
            lambda: caller.request("GET", "/readyz").status == 200, "ready"
        )
    finally:
        process.send_signal(signal.SIGINT)
        code = process.wait(60)
    assert code == 0
