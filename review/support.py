"""A small deployment of the project's programs on loopback addresses.

The programs are started with the commands of `deploy/system.toml`. Workers,
the cloud, clients and links are small stand-ins that follow the platform's
pages.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

__all__ = [
    "BEAT_S",
    "Client",
    "HOST",
    "KEY",
    "TENANT",
    "Deployment",
    "Process",
    "Record",
    "Worker",
    "call",
    "config",
    "free_port",
    "read_head",
    "run_case",
    "stamped",
    "write_reply",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-acme"
TENANT = "acme"
BEAT_S = 1.2
RESTART_DELAY_S = 0.3
START_TIMEOUT_S = 25.0
CASE_TIMEOUT_S = 110.0
SEGMENT_BYTES = 1400
WINDOW_BYTES = 16_384
# The settings of DEPLOY.md for a small deployment, in the product's names.
COMMON = {
    "host": "h",
    "region": "here",
    "cluster_key": "chervilshift-on-the-platform",
    "log_level": "info",
    "regions": {"a": "here", "b": "here", "c": "there"},
    "limit_window_s": 8,
    "limit_tolerance": 0.1,
    "limit_slack": 72_000,
    "usage_window_s": 5,
}
CONTROL = {
    "announce_interval_ms": int(BEAT_S * 1000),
    "duty_lease_ms": 3000,
    "election_s": 0.5,
    "tolerated_losses": 1,
}
GATEWAY = {
    "stop_within_s": 8,
    "retry_ratio": 0.2,
    "retry_extra": 54,
    "retry_window_s": 10,
}

_used_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free at all loopback addresses."""
    for _ in range(10_000):
        port = random.randrange(10_000, 32_000)
        if port in _used_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("", port))
            except OSError:
                continue
        _used_ports.add(port)
        return port
    raise RuntimeError("no free port")


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def add(self, kind: str, **fields: object) -> None:
        """Write one line."""
        at = time.monotonic() - self._began_at
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{at:9.3f} {kind} {text}\n")
        self._file.flush()


class Process:
    """One program of the project."""

    def __init__(self, name: str, role: str, settings: dict, folder: Path):
        self.name = name
        self.role = role
        self.settings = settings
        self.log = folder / f"{name}.log"
        self._path = folder / f"{name}.yaml"
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the program with its current settings."""
        # JSON is valid YAML.
        self._path.write_text(json.dumps(self.settings))
        keep = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in keep if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CHERVILSHIFT_SETTINGS"] = str(self._path)
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "-m", "chervilshift", "routed", self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Whether the program runs."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the program."""
        if self.running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the program and wait for its end."""
        if self.running:
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()

    def events(self, name: str) -> list[dict]:
        """Return the events of one name that the program has logged."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"{name}"' in line and line.startswith("{"):
                event = json.loads(line)
                if event.get("event") == name:
                    found.append(event)
        return found


class Deployment:
    """Control processes and gateways, as `deploy/system.toml` runs them."""

    def __init__(
        self,
        *,
        controls: int = 3,
        gateways: int = 2,
        cloud: dict[int, str] | str = "",
    ):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        rpc, api, look = free_port(), free_port(), free_port()
        hosts = [f"127.0.7.{n + 11}" for n in range(controls)]
        seeds = [f"{host}:{api}" for host in hosts[:3]]
        no_cloud = f"127.0.7.9:{free_port()}"
        self.api = [f"{host}:{api}" for host in hosts]
        self.lookups = [f"{host}:{look}" for host in hosts]
        self.controls = []
        for n, host in enumerate(hosts):
            address = cloud.get(n) if isinstance(cloud, dict) else cloud
            self.controls.append(
                Process(
                    f"core-{n}",
                    "control",
                    COMMON
                    | CONTROL
                    | {
                        "process": f"core-{n}",
                        "failure_domain": "abc"[n % 3],
                        "seeds": seeds,
                        "rpc_listen": f"{host}:{rpc}",
                        "data_folder": str(self.folder / f"data-{n}"),
                        "api_listen": self.api[n],
                        "directory_listen": self.lookups[n],
                        "bootstrap": True,
                        "cloud": address or no_cloud,
                    },
                    self.folder,
                )
            )
        self.gateways = []
        for n in range(gateways):
            host = f"127.0.7.{n + 51}"
            self.gateways.append(
                Process(
                    f"front-{n}",
                    "gateway",
                    COMMON
                    | GATEWAY
                    | {
                        "process": f"front-{n}",
                        "failure_domain": "abc"[n % 3],
                        "seeds": seeds,
                        "rpc_listen": f"{host}:{rpc}",
                        "listen": f"{host}:{free_port()}",
                        "ready_listen": f"{host}:{free_port()}",
                    },
                    self.folder,
                )
            )

    @property
    def all(self) -> list[Process]:
        """All programs."""
        return [*self.controls, *self.gateways]

    def start(self) -> None:
        """Start the whole system for the first time."""
        for process in self.all:
            process.start()
        for control in self.controls:
            control.settings["bootstrap"] = False

    def end(self) -> None:
        """Kill all programs and remove their files."""
        for process in self.all:
            process.kill()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def leader(self) -> int | None:
        """Return the control process that leads, by the logs."""
        newest, found = 0, None
        for n, control in enumerate(self.controls):
            for event in control.events("role"):
                if event.get("role") == "leader" and event["term"] > newest:
                    newest, found = event["term"], n
        return found

    async def configure(self, document: dict) -> int:
        """Send a configuration until a control process answers it."""
        body = json.dumps(document).encode()
        until = time.monotonic() + START_TIMEOUT_S
        status = 0
        while time.monotonic() < until:
            for address in self.api:
                status, _ = await call("PUT", address, "/api/config", body)
                if status in (200, 400):
                    return status
            await asyncio.sleep(0.2)
        return status

    async def ready(self) -> bool:
        """Wait until all gateways are ready."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            states = [
                (await call("GET", g.settings["ready_listen"], "/api/ready"))[
                    0
                ]
                for g in self.gateways
            ]
            if all(s == 200 for s in states):
                return True
            await asyncio.sleep(0.1)
        return False


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[list[str], list[tuple[str, str]]]:
    """Read a head; return the words of its first line and its headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0].split(" ", 2), headers


async def call(
    method: str,
    address: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> tuple[int, bytes]:
    """Make one call; the status is 0 without an answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(method, address, path, body)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, b""


async def _call(
    method: str, address: str, path: str, body: bytes
) -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
        head += "Connection: close\r\n"
        if body or method == "PUT":
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        words, headers = await read_head(reader)
        size = int(dict(headers).get("content-length", "0"))
        return int(words[1]), await reader.readexactly(size)
    finally:
        writer.close()


class Worker:
    """A worker that announces itself and runs what it is sent.

    `answer` gets the worker, the request's line, headers and body, and the
    writer; it writes the reply and returns whether the connection stays open.
    """

    def __init__(
        self,
        name: str,
        service: str,
        answer: Callable[..., Awaitable[bool]],
        record: Record,
    ):
        self.name = name
        self.service = service
        self.address = f"127.0.7.90:{free_port()}"
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.record = record
        self._answer = answer
        self._seq = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )

    async def announce(self, addresses: list[str]) -> None:
        """Check in once per beat until cancelled."""
        while True:
            self._seq += 1
            body = json.dumps(
                {
                    "service": self.service,
                    "addr": self.address,
                    "zone": "a",
                    "version": "v1",
                    "slots": 48,
                    "state": self.state,
                    "cold_left_ms": 0,
                    "stage": "mixed",
                    "models": [],
                    "seq": self._seq,
                    "born": self.born_ms,
                }
            ).encode()
            path = f"/api/instances/{self.name}"
            for address in random.sample(addresses, len(addresses)):
                status, _ = await call("PUT", address, path, body, 1.0)
                if status == 200:
                    break
            await asyncio.sleep(BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_one(reader, writer):
                continue
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        words, pairs = await read_head(reader)
        headers = dict(pairs)
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size)
        if words[1] == "/api/report":
            report = {"stage": "mixed", "seq": 1, "born": self.born_ms}
            write_reply(writer, 200, [], json.dumps(report).encode())
            return True
        if headers.get("expect-instance") != self.name:
            write_reply(writer, 421, [("Instance-Id", self.name)], b"")
            return True
        request_id = headers.get("request-id", "")
        self.record.add("run", worker=self.name, id=request_id, at=words[1])
        stays = await self._answer(self, words, headers, body, writer)
        self.record.add("ran", worker=self.name, id=request_id)
        return stays


def write_reply(
    writer: asyncio.StreamWriter,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Write a complete reply."""
    head = f"HTTP/1.1 {status} Status\r\n"
    for name, value in (*headers, ("Content-Length", str(len(body)))):
        head += f"{name}: {value}\r\n"
    writer.write(head.encode() + b"\r\n" + body)


def stamped(request_id: str) -> list[tuple[str, str]]:
    """Return the headers of a worker's own answer."""
    return [("Request-Id", request_id), ("Server-Stamp", f"st.{request_id}")]


def config(version: int, *, timeout_ms: int = 4000, **changes: object) -> dict:
    """Return a configuration with a route of each kind."""

    def route(prefix: str, kind: str, service: str, **fields) -> dict:
        return {
            "name": prefix.strip("/"),
            "host": HOST,
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": timeout_ms,
            "slo_ms": 1000,
            "priority": 1,
            "service": service,
            "attempts": 1,
            "public": False,
            "resumable": False,
            "gap_target_ms": 300,
        } | fields

    return {
        "version": version,
        "routes": [
            route(
                "/stream/",
                "stream",
                "llm",
                attempts=2,
                resumable=True,
                sticky=True,
            ),
            route("/once/", "stream", "llm", sticky=True),
            route("/write/", "unsafe", "app", attempts=2),
            route("/read/", "safe", "app", attempts=2),
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/health",
                "max_conns": 300,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 48,
                    "kv_tokens": 587_719,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": "app",
                "health_path": "/health",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": TENANT, "api_keys": [KEY]},
        ],
    } | changes


class Client:
    """A client's connection to a gateway, over a path with small windows."""

    def __init__(self, gateway: Process):
        self._address = gateway.settings["listen"]
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect with the segments and window of a path outside the host."""
        sock = socket.socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=1 << 16
        )

    def send(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"",
    ) -> None:
        """Send a request."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"Key: {KEY}\r\n"
        )
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)

    async def head(self) -> tuple[int, dict[str, str]]:
        """Read the status and the headers of the answer."""
        words, headers = await read_head(self.reader)
        return int(words[1]), dict(headers)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def run_case(
    folder: Path, play: Callable[[Record, bool], Awaitable[bool]]
) -> None:
    """Play a case and exit: 1 broken, 0 held, 2 could not run.

    `play` gets the record and whether the disruption happens, and returns
    whether the rule was broken.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add("begin", trouble=trouble)

    async def bounded() -> bool:
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await play(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except Exception as exc:
        record.add("could-not-run", why=repr(exc))
        print(f"could not run: {exc!r}")
        sys.exit(2)
    record.add("end", broken=broken)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
