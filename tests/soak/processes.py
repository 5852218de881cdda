"""The processes under test, and the signals sent to them."""

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

CONTROL_COUNT = 3
GATEWAY_COUNT = 2
# The platform kills a process that has not stopped by then.
STOP_TIMEOUT_S = 8.0
SIGHUP_MASK = 1 << (signal.SIGHUP - 1)


class Process:
    """A process under test.

    `incarnation` counts its starts, `unplanned_faults` the faults other than
    planned stops. `stopping` is true during a planned stop, `fault_active`
    during a kill, stop or pause, so that these do not overlap.
    """

    def __init__(self, *, name: str, role: str, settings: dict, folder: Path):
        self.name = name
        self.role = role
        self.settings = settings
        self.incarnation = 0
        self.unplanned_faults = 0
        self.stopping = False
        self.fault_active = False
        self.command = [
            sys.executable,
            "-m",
            "chervilshift",
            "routed",
            role,
        ]
        self.environment: dict[str, str] = {}
        self.log = folder / f"{name}.log"
        self._path = folder / f"{name}.yaml"
        self._popen: subprocess.Popen | None = None
        self._log_offset = 0

    def start(self) -> None:
        """Start the process with its current settings."""
        self._path.write_text(yaml.safe_dump(self.settings))
        self.incarnation += 1
        self._log_offset = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                self.command,
                env=os.environ
                | self.environment
                | {"CHERVILSHIFT_SETTINGS": str(self._path)},
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal; None while running."""
        return self._popen.poll()

    @property
    def pid(self) -> int | None:
        """The id of the running process, None if it does not run."""
        return self._popen.pid if self.running else None

    def has_started(self) -> bool:
        """Whether the current incarnation has logged its `started` event."""
        with self.log.open("rb") as log:
            log.seek(self._log_offset)
            return b'"event": "started"' in log.read()

    def catches_sighup(self) -> bool:
        """Whether the process handles SIGHUP; if not, the signal is fatal.

        No program can install a handler before its interpreter runs.
        """
        try:
            status = Path(f"/proc/{self._popen.pid}/status").read_text()
        except FileNotFoundError:
            return False
        lines = status.splitlines()
        caught = next(ln for ln in lines if ln.startswith("SigCgt"))
        return bool(int(caught.split()[1], 16) & SIGHUP_MASK)

    def signal(self, number: int) -> None:
        """Send a signal to a running process."""
        if self.running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process, even if it is paused."""
        if self.running:
            self._popen.send_signal(signal.SIGKILL)
            self._popen.wait()

    def delete_data_folder(self) -> None:
        """Delete the data of a control process that has exited."""
        shutil.rmtree(self.settings["data_folder"], ignore_errors=True)


class Fleet:
    """Control processes and gateways on loopback addresses."""

    def __init__(self, *, folder: Path, cloud: str):
        rpc_port = free_address().rpartition(":")[2]
        api_port = free_address().rpartition(":")[2]
        hosts = [
            f"127.0.0.{number}" for number in range(31, 31 + CONTROL_COUNT)
        ]
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
                    "stop_within_s": STOP_TIMEOUT_S,
                    "retry_ratio": 0.2,
                    "retry_extra": 400,
                    "retry_window_s": 10,
                },
            )
            for number in range(GATEWAY_COUNT)
        ]

    @property
    def all(self) -> list[Process]:
        """All processes."""
        return [*self.controls, *self.gateways]

    def start(self) -> None:
        """Start all processes for the first time."""
        for process in self.all:
            process.start()
        for control in self.controls:
            control.settings["bootstrap"] = False

    def end(self) -> None:
        """Kill all processes of this fleet."""
        for process in self.all:
            process.unplanned_faults += 1
            process.kill()
