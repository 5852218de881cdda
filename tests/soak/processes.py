"""The product's processes under test, started and harmed by signals."""

import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import yaml

from tests.cluster import free_address
from tests.platform.standin import COMMON

__all__ = ["Fleet", "Process"]

CONTROLS = 3
GATEWAYS = 2
# The platform kills what has not stopped by then.
GRACE_S = 8.0
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


class Process:
    """One process; `incarnation` counts its starts.

    `harms` counts what happened to it that was not planned; `stopping` is
    true while it stops as planned, `busy` while anything is done to it.
    """

    def __init__(self, *, name: str, role: str, settings: dict, folder: Path):
        self.name = name
        self.role = role
        self.settings = settings
        self.incarnation = 0
        self.harms = 0
        self.stopping = False
        self.busy = False
        self.log = folder / f"{name}.log"
        self._path = folder / f"{name}.yaml"
        self._popen: subprocess.Popen | None = None
        self._logged = 0

    def start(self) -> None:
        """Start it with its settings as they are now."""
        self._path.write_text(yaml.safe_dump(self.settings))
        self.incarnation += 1
        self._logged = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "chervilshift", "routed", self.role],
                env=os.environ | {"CHERVILSHIFT_SETTINGS": str(self._path)},
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """How the process ended, or None."""
        return self._popen.poll()

    def has_started(self) -> bool:
        """Whether this start got as far as to serve."""
        with self.log.open("rb") as log:
            log.seek(self._logged)
            return b'"event": "started"' in log.read()

    def catches_sighup(self) -> bool:
        """Whether the signal's default action no longer applies.

        No program can change that before its interpreter runs.
        """
        try:
            status = Path(f"/proc/{self._popen.pid}/status").read_text()
        except FileNotFoundError:
            return False
        lines = status.splitlines()
        caught = next(ln for ln in lines if ln.startswith("SigCgt"))
        return bool(int(caught.split()[1], 16) & SIGHUP_BIT)

    def signal(self, number: int) -> None:
        """Send a signal to a running process."""
        if self.running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once, also one that is paused."""
        if self.running:
            self._popen.send_signal(signal.SIGKILL)
            self._popen.wait()

    def lose_disk(self) -> None:
        """Empty the folder of a process that has ended."""
        shutil.rmtree(self.settings["data_folder"], ignore_errors=True)


class Fleet:
    """Control processes and gateways on loopback addresses."""

    def __init__(self, *, folder: Path, cloud: str):
        rpc_port = free_address().rpartition(":")[2]
        api_port = free_address().rpartition(":")[2]
        hosts = [f"127.0.0.{number}" for number in range(31, 31 + CONTROLS)]
        seeds = [f"{host}:{api_port}" for host in hosts]
        common = COMMON | {"seeds": seeds}
        self.controls = [
            Process(
                name=f"core-{number}",
                role="control",
                folder=folder,
                settings=common
                | {
                    "process": f"core-{number}",
                    "failure_domain": "a",
                    "rpc_listen": f"{host}:{rpc_port}",
                    "data_folder": str(folder / f"core-{number}"),
                    "api_listen": f"{host}:{api_port}",
                    "directory_listen": free_address(),
                    "bootstrap": True,
                    "cloud": cloud,
                    "announce_interval_ms": 400,
                    "duty_lease_ms": 1000,
                    "election_s": 0.5,
                },
            )
            for number, host in enumerate(hosts)
        ]
        self.gateways = [
            Process(
                name=f"front-{number}",
                role="gateway",
                folder=folder,
                settings=common
                | {
                    "process": f"front-{number}",
                    "failure_domain": "a",
                    "rpc_listen": f"127.0.0.{41 + number}:{rpc_port}",
                    "listen": free_address(),
                    "ready_listen": free_address(),
                    "stop_within_s": GRACE_S,
                    "retry_ratio": 0.2,
                    "retry_extra": 400,
                    "retry_window_s": 10,
                },
            )
            for number in range(GATEWAYS)
        ]

    @property
    def all(self) -> list[Process]:
        """All processes."""
        return [*self.controls, *self.gateways]

    def start(self) -> None:
        """Start everything for the first time."""
        for process in self.all:
            process.start()
        for control in self.controls:
            control.settings["bootstrap"] = False

    def end(self) -> None:
        """End everything that this fleet started."""
        for process in self.all:
            process.harms += 1
            process.kill()
