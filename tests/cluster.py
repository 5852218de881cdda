"""Starts control, entry and stand-in processes on loopback for tests."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import httpcore
import yaml

from chervilshift.keys import hash_key
from tests.links import Link, Links

__all__ = ["Caller", "Cluster", "eventually"]

OPERATOR_KEY = "operator-key"
ENDPOINT_KEY = "endpoint-key"
CALLER_KEY = "caller-key"
OTHER_CALLER_KEY = "other-key"
CLUSTER_KEY = "cluster-key-for-tests"
WAIT_S = 60.0
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORT_STRIDE = 1009
# Test runs in parallel start at different ports, depending on the process id.
PORT_OFFSET = os.getpid() * PORT_STRIDE % (LAST_PORT - FIRST_PORT)
PORTS = itertools.islice(
    itertools.cycle(range(FIRST_PORT, LAST_PORT)), PORT_OFFSET, None
)

CONFIG = f"""\
models:
  desk:
    first_token_ms: 620
services:
  booking: {{}}
customers:
  qurum:
    keys: [{hash_key(CALLER_KEY)}]
    models: [desk]
    services: [booking]
  other:
    keys: [{hash_key(OTHER_CALLER_KEY)}]
    models: [desk]
    services: [booking]
"""


def eventually(check: Callable[[], object], what: str) -> object:
    """Return the first true value of `check`, retried for `WAIT_S`.

    Connection errors and timeouts count as false. Raises AssertionError if
    there is no true value in time.
    """
    deadline = time.monotonic() + WAIT_S
    value = None
    while time.monotonic() < deadline:
        try:
            value = check()
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
            value = None
        except httpcore.TimeoutException:
            value = None
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"timed out after {WAIT_S} s: {what}")


def free_address() -> str:
    """Return an address below the ephemeral port range.

    Its port is free at all loopback addresses.
    """
    for port in PORTS:
        with socket.socket() as sock:
            try:
                sock.bind(("", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
    raise AssertionError("no free port")


class Caller:
    """An HTTP client of one entry that sends an API key."""

    def __init__(self, address: str, key: str = CALLER_KEY):
        self.address = address
        self.key = key

    def request(
        self, method: str, path: str, value=None, headers=None, timeout=30.0
    ) -> httpcore.Response:
        return httpcore.request(
            method,
            f"http://{self.address}{path}",
            headers=self._headers(headers),
            content=b"" if value is None else json.dumps(value).encode(),
            extensions={
                "timeout": dict.fromkeys(("connect", "read"), timeout)
            },
        )

    def json(self, method: str, path: str, value=None, headers=None):
        response = self.request(method, path, value, headers)
        return response.status, json.loads(response.content or b"null")

    def chat(self, prompt: str, headers=None, **fields) -> "Stream":
        body = {
            "model": "desk",
            "stream": True,
            "messages": [{"role": "user", "content": prompt}],
            **fields,
        }
        return Stream(self, "POST", "/v1/chat/completions", body, headers)

    def resume(self, stream: "Stream") -> "Stream":
        headers = {"last-event-id": stream.last_id}
        path = f"/v1/streams/{stream.request_id}"
        resumed = Stream(self, "GET", path, None, headers)
        resumed.text = stream.text
        resumed.last_id = stream.last_id
        return resumed

    def _headers(self, headers) -> dict:
        auth = {"authorization": f"Bearer {self.key}"} if self.key else {}
        return {**auth, **(headers or {})}


class Stream:
    """An event stream, and what has been received of it.

    `ids` has the event id of each event that carried text.
    """

    def __init__(self, caller: Caller, method, path, body, headers):
        self.text = ""
        self.last_id = ""
        self.done = False
        self.error = None
        self.status = 0
        self.ids: list[str] = []
        self._caller = caller
        self._request = (method, path, body, headers)

    @property
    def request_id(self) -> str:
        return self.last_id.rpartition(":")[0]

    def read(self, events: int = 1 << 30, until_text: int = 1 << 30) -> str:
        """Read to the end, or up to a number of events or characters."""
        for _ in self.iterate():
            events -= 1
            if events <= 0 or len(self.text) >= until_text:
                break
        return self.text

    def iterate(self) -> Iterator[str]:
        """Yield the events; a broken connection ends the iteration."""
        method, path, body, headers = self._request
        caller = self._caller
        try:
            with httpcore.stream(
                method,
                f"http://{caller.address}{path}",
                headers=caller._headers(headers),
                content=b"" if body is None else json.dumps(body).encode(),
                extensions={"timeout": {"connect": 5, "read": WAIT_S}},
            ) as response:
                self.status = response.status
                if response.status != 200:
                    self.error = json.loads(response.read())["error"]
                    return
                incomplete = b""
                for data in response.iter_stream():
                    *events, incomplete = (incomplete + data).split(b"\n\n")
                    for event in events:
                        self._parse_event(event.decode())
                        yield event.decode()
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return

    def _parse_event(self, event: str) -> None:
        for line in event.splitlines():
            if line.startswith("id: "):
                self.last_id = line[4:]
            elif line == "data: [DONE]":
                self.done = True
            elif line.startswith("data: "):
                self._parse_data(json.loads(line[6:]))

    def _parse_data(self, data: dict) -> None:
        if "error" in data:
            self.error = data["error"]
            return
        delta = data["choices"][0]["delta"]
        if "content" in delta:
            self.text += delta["content"]
            self.ids.append(self.last_id)


class Cluster:
    """Control, entry and stand-in processes with their settings.

    `number` in the methods is the number of the failure domain.
    Dictionaries have the process's name as key, `control_links` the names of
    caller and control process. `engine_links` has the links to all stand-ins,
    also to services.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.links = Links()
        self.processes: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, dict] = {}
        self.commands: dict[str, list[str]] = {}
        self.controls: dict[str, str] = {}
        self.entries: dict[str, str] = {}
        self.standins: dict[str, str] = {}
        self.control_links: dict[tuple[str, str], Link] = {}
        self.engine_links: dict[str, Link] = {}
        folder.mkdir(parents=True, exist_ok=True)

    # Settings

    def add_controls(self, names=("c1", "c2", "c3")) -> None:
        """Format the first voters; each ordered pair has its own link."""
        self.controls = {name: free_address() for name in names}
        for source in names:
            for target in names:
                address = self.controls[target]
                self.control_links[source, target] = self.links.add(address)
        for number, name in enumerate(names):
            self.settings[name] = {
                **self._common(name, number),
                "rpc_listen": self.controls[name],
                "data_folder": str(self.folder / f"{name}-data"),
                "control": self._control_addresses(name),
                "voters": [
                    {
                        "name": other,
                        "address": self.control_links[name, other].address,
                        "failure_domain": f"fd{index}",
                    }
                    for index, other in enumerate(names)
                ],
            }
            self.commands[name] = ["control", self.write(name)]
            self._run_and_wait([*self.commands[name], "--format"])

    def add_entry(self, name: str, number: int = 0, **settings) -> None:
        for control, address in self.controls.items():
            self.control_links[name, control] = self.links.add(address)
        self.entries[name] = free_address()
        rpc = free_address()
        peers = [
            other["rpc_listen"]
            for other in self.settings.values()
            if "listen" in other
        ]
        self.settings[name] = {
            **self._common(name, number),
            "listen": self.entries[name],
            "rpc_listen": rpc,
            "control": self._control_addresses(name),
            "peers": peers,
            "operator_keys": [hash_key(OPERATOR_KEY)],
            "endpoint_keys": [hash_key(ENDPOINT_KEY)],
            "lookup_ttl_s": 1.0,
            **settings,
        }
        self.commands[name] = ["entry", self.write(name)]

    def add_standin(
        self, name: str, kind: str = "engine", number: int = 0, **behaviour
    ) -> None:
        """Add a stand-in, which entries reach through a link."""
        listen = free_address()
        link = self.links.add(listen)
        self.engine_links[name] = link
        self.standins[name] = listen
        self.settings[name] = {
            "id": name,
            "listen": listen,
            "address": link.address,
            "host": f"host-{name}",
            "failure_domain": f"fd{number}",
            "region": "west",
            "kind": kind,
            "serves": ["desk" if kind == "engine" else "booking"],
            "entries": list(self.entries.values()),
            "key": ENDPOINT_KEY,
            "capacity": behaviour.get("capacity", 16),
            "behaviour": behaviour,
        }
        self.commands[name] = ["standin", self.write(name)]

    def _control_addresses(self, source: str) -> list[str]:
        return [self.control_links[source, c].address for c in self.controls]

    def _common(self, name: str, number: int) -> dict:
        return {
            "process": name,
            "host": f"host-{name}",
            "failure_domain": f"fd{number}",
            "region": "west",
            "cluster_key": CLUSTER_KEY,
            "events_folder": str(self.folder / "events"),
        }

    def write(self, name: str) -> str:
        """Write the settings file of a process and return its path."""
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self.settings[name]))
        return str(path)

    # Processes

    def start(self, *names: str) -> None:
        """Start processes, by default all that are not running."""
        for name in names or tuple(self.commands):
            if name not in self.processes:
                self.processes[name] = self._spawn(name)

    def _spawn(self, name: str) -> subprocess.Popen:
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "chervilshift", *self.commands[name]],
                stdout=log,
                stderr=log,
            )

    def _run_and_wait(self, arguments: list[str]) -> None:
        subprocess.run(
            [sys.executable, "-m", "chervilshift", *arguments],
            check=True,
            timeout=WAIT_S,
        )

    def signal(self, name: str, number: int) -> None:
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait(WAIT_S)

    def terminate(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(WAIT_S)

    def suspend(self, name: str) -> None:
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.signal(name, signal.SIGCONT)

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(WAIT_S)
        self.links.close()

    # Requests

    def caller(self, entry: str, key: str = CALLER_KEY) -> Caller:
        return Caller(self.entries[entry], key)

    def operator(self, entry: str) -> Caller:
        return Caller(self.entries[entry], OPERATOR_KEY)

    def apply(
        self, entry: str, base: str = CONFIG, change="first", at=0, **overlays
    ):
        return self.operator(entry).json(
            "POST",
            "/v1/config",
            {
                "change_id": change,
                "base_version": at,
                "base_name": "base.yaml",
                "base": base,
                "overlays": overlays,
            },
        )

    def standin(self, name: str, **behaviour):
        """Change a stand-in's behaviour, if given, and return its counts."""
        method = "POST" if behaviour else "GET"
        caller = Caller(self.standins[name])
        return caller.json(method, "/standin", behaviour or None)[1]

    def version(self, entry: str) -> int:
        return self.operator(entry).json("GET", "/v1/config")[1]["version"]

    def endpoints(self, entry: str) -> set[str]:
        status = self.operator(entry).json("GET", "/v1/status")[1]
        return {info["id"] for info in status["endpoints"]}

    def leader(self, entry: str) -> str:
        """Return the name of the replica that reports to be the leader."""
        status = self.operator(entry).json("GET", "/v1/status")[1]
        return next(
            (
                c["name"]
                for c in status["control"]
                if c.get("role") == "leader"
            ),
            "",
        )

    def wait_ready(self) -> None:
        """Apply the first configuration and wait until all entries are ready.

        Each entry then has the configuration, all endpoints and the entries.
        """
        first = next(iter(self.entries))
        eventually(lambda: self.apply(first)[0] == 200, "first configuration")
        for entry in self.entries:
            eventually(
                lambda entry=entry: (
                    self.caller(entry).request("GET", "/readyz").status == 200
                ),
                f"{entry} ready",
            )
            eventually(
                lambda entry=entry: (
                    self.version(entry) > 0
                    and set(self.standins) <= self.endpoints(entry)
                ),
                f"{entry} knows all endpoints",
            )
            eventually(
                lambda entry=entry: (
                    self.listed_count(entry) == min(3, len(self.entries))
                ),
                f"{entry} lists the entries",
            )

    def listed_count(self, entry: str) -> int:
        """Return the number of entries that an entry's lookup lists."""
        status, answer = self.caller(entry).json("GET", "/v1/entries")
        return len(answer["entries"]) if status == 200 else 0

    def events(self, **wanted) -> list[dict]:
        from chervilshift.events import read_events

        return list(read_events(self.folder / "events", **wanted))
