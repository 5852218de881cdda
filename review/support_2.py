"""Real processes of a small deployment on loopback, with stand-ins.

`System` starts control processes and gateways with the commands of
`deploy/system.toml` and settings rendered from its templates. `Worker`,
`Cloud` and the client functions are stand-ins that speak the published
protocol. Only the standard library is used.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

__all__ = [
    "KEY",
    "HOST",
    "Answer",
    "Asked",
    "Client",
    "Cloud",
    "Process",
    "Record",
    "System",
    "Worker",
    "call",
    "config",
    "new_id",
    "read_message",
    "reply",
    "run_case",
    "trouble",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "n27hh2b9wu3fexd9dn"
BEAT_S = 1.2
START_TIMEOUT_S = 45.0
# Gateways report to control, and learn of workers, more often.
KNOWN_AFTER_S = 2.0
CASE_TIMEOUT_S = 115.0
MAX_HEAD_BYTES = 1 << 20
# Below the usual range of ephemeral ports.
FIRST_PORT, LAST_PORT = 12_000, 30_000
RNG = random.Random()


def trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def new_id() -> str:
    """Return a fresh request id."""
    return f"{RNG.getrandbits(64):016x}"


class Record:
    """Lines of `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path):
        self._path = path
        self._began_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{time.monotonic() - self._began_at:8.3f} {text}")

    def save(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Asked:
    """A request as a worker read it."""

    def __init__(self, method: str, target: str, headers: list, body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name: str) -> str:
        """Return a header, empty without it."""
        found = (v for k, v in self.headers if k.lower() == name.lower())
        return next(found, "")

    @property
    def id(self) -> str:
        """The request id."""
        return self.get("Request-Id")


class Answer:
    """What a client received; `whole` unless the answer was cut off.

    `status` is 0 without any answer.
    """

    def __init__(self):
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = b""
        self.whole = False
        self.error = ""

    def get(self, name: str) -> str:
        """Return a header, empty without it."""
        found = (v for k, v in self.headers if k.lower() == name.lower())
        return next(found, "")


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, list]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, [(k.strip(), v.strip()) for k, _, v in pairs]


async def _read_chunks(reader: asyncio.StreamReader, into: bytearray) -> None:
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            await reader.readline()
            return
        while size:
            data = await reader.read(size)
            if not data:
                raise asyncio.IncompleteReadError(b"", size)
            into += data
            size -= len(data)
        await reader.readline()


async def read_message(reader: asyncio.StreamReader) -> Asked | None:
    """Read a whole request; None if the connection ends before it."""
    try:
        first, headers = await _read_head(reader)
    except (asyncio.IncompleteReadError, OSError):
        return None
    method, target, _ = first.split(" ", 2)
    asked = Asked(method, target, headers, b"")
    body = bytearray()
    if asked.get("Transfer-Encoding"):
        await _read_chunks(reader, body)
    elif asked.get("Content-Length"):
        body += await reader.readexactly(int(asked.get("Content-Length")))
    asked.body = bytes(body)
    return asked


def reply(
    status: int, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{k}: {v}" for k, v in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection and return what comes back."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=MAX_HEAD_BYTES
            )
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in headers]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
            writer.write(body)
            await _read_answer(reader, answer)
    except (
        TimeoutError,
        OSError,
        ValueError,
        asyncio.IncompleteReadError,
    ) as exc:
        answer.error = type(exc).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


class Client:
    """A client that keeps its connection for many requests."""

    def __init__(self, address: str):
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        timeout_s: float = 10.0,
    ) -> Answer:
        """Send a request without a body; return what comes back."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    host, _, port = self._address.rpartition(":")
                    self._reader, self._writer = await asyncio.open_connection(
                        host, int(port), limit=MAX_HEAD_BYTES
                    )
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{k}: {v}" for k, v in headers]
                self._writer.write("\r\n".join([*lines, "", ""]).encode())
                await _read_answer(self._reader, answer)
        except (
            TimeoutError,
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
        ) as exc:
            answer.error = type(exc).__name__
            answer.whole = False
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    while True:
        first, headers = await _read_head(reader)
        status = int(first.split(" ")[1])
        if status >= 200:
            break
    answer.status, answer.headers = status, headers
    body = bytearray()
    try:
        if answer.get("Transfer-Encoding"):
            await _read_chunks(reader, body)
        else:
            length = int(answer.get("Content-Length") or 0)
            body += await reader.readexactly(length)
        answer.whole = True
    finally:
        answer.body = bytes(body)


Behave = Callable[
    ["Worker", Asked, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


class Worker:
    """A worker; `behave` answers a request and tells whether to go on.

    `arrived` and `ran` hold the requests, `stamps` the stamp and body of each
    run by the request's id.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        *,
        zone: str = "a",
        slots: int = 48,
        behave: Behave | None = None,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.version = "v1"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.behave = behave or answer_plainly
        self.arrived: list[tuple[float, Asked]] = []
        self.ran: list[tuple[float, Asked]] = []
        self.stamps: dict[str, list[tuple[str, bytes]]] = {}
        self.acked_at: dict[str, float] = {}
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, controls: Callable[[], list[str]]) -> None:
        """Listen and announce."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=MAX_HEAD_BYTES
        )
        if self._beats is None:
            self._beats = asyncio.create_task(self._beat(controls))

    def stop(self, *, beats: bool = True) -> None:
        """End as a crash does."""
        if beats and self._beats is not None:
            self._beats.cancel()
            self._beats = None
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._open):
            writer.transport.abort()

    async def replace(self, version: str, controls: list[str]) -> bool:
        """Start again in place; return whether the check-in was acked.

        The new boot takes over the listening socket, as under a supervisor.
        """
        for writer in tuple(self._open):
            writer.transport.abort()
        self.version = version
        self.born = int(time.time() * 1000)
        self.seq = 0
        return await self.check_in(controls)

    def run(self, asked: Asked, body: bytes) -> list[tuple[str, str]]:
        """Record a run; return the headers of its answer."""
        self.ran.append((time.monotonic(), asked))
        stamp = f"{self.name}.{new_id()}"
        self.stamps.setdefault(asked.id, []).append((stamp, body))
        return [("Request-Id", asked.id), ("Server-Stamp", stamp)]

    def announcement(self) -> bytes:
        """Return the next check-in."""
        self.seq += 1
        return json.dumps(
            {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": 0,
                "stage": "mixed",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "born": self.born,
                "seq": self.seq,
            }
        ).encode()

    async def check_in(self, controls: list[str]) -> bool:
        """Announce the present state once; return whether it was acked."""
        state = self.state
        for address in controls:
            answer = await call(
                address,
                "PUT",
                f"/api/instances/{self.name}",
                [("Host", "control")],
                self.announcement(),
                timeout_s=1.0,
            )
            if 200 <= answer.status < 300:
                self.acked_at.setdefault(state, time.monotonic())
                return True
        return False

    async def _beat(self, controls: Callable[[], list[str]]) -> None:
        while True:
            addresses = list(controls())
            RNG.shuffle(addresses)
            known = await self.check_in(addresses)
            await asyncio.sleep(BEAT_S if known else 0.2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while True:
                asked = await read_message(reader)
                if asked is None:
                    break
                if asked.target == "/api/report":
                    writer.write(reply(200, [], self._report()))
                    continue
                self.arrived.append((time.monotonic(), asked))
                if asked.get("Expect-Instance") not in ("", self.name):
                    writer.write(reply(421, [("Request-Id", asked.id)]))
                    continue
                if not await self.behave(self, asked, reader, writer):
                    break
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self._open.discard(writer)
            writer.transport.abort()

    def _report(self) -> bytes:
        models = [{"name": "m", "version": 1, "adapters": []}]
        return json.dumps(
            {
                "stage": "mixed",
                "models": models,
                "busy": False,
                "seq": 1,
                "queued": 0,
                "active": 0,
                "born": self.born,
            }
        ).encode()


async def answer_plainly(
    worker: Worker,
    asked: Asked,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Run a request and answer it with a body of its own."""
    body = hashlib.sha256(asked.id.encode() + asked.body).hexdigest().encode()
    headers = worker.run(asked, body)
    await asyncio.sleep(0.02)
    writer.write(reply(200, headers, body))
    await writer.drain()
    return True


class Cloud:
    """The platform's address for duties; it accepts every call."""

    def __init__(self, address: str):
        self.address = address
        self.calls: list[tuple[float, str, str, int, dict]] = []

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while (asked := await read_message(reader)) is not None:
                self.calls.append(
                    (
                        time.monotonic(),
                        asked.target,
                        asked.get("Duty-Holder"),
                        int(asked.get("Fence-Token") or 0),
                        json.loads(asked.body or b"{}"),
                    )
                )
                writer.write(reply(200, []))
                await writer.drain()
        writer.transport.abort()


def config(
    version: int, services: dict[str, bool], routes: list[dict]
) -> dict:
    """Return a configuration; a service is an engine or not."""
    engine = {
        "slots": 48,
        "kv_tokens": 587_719,
        "kv_token_bytes": 192_512,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": [
            {
                "name": route["path_prefix"],
                "host": HOST,
                "kind": "safe",
                "timeout_ms": 4000,
                "slo_ms": 1000,
                "priority": 1,
                "attempts": 1,
                "public": False,
                "sticky": False,
                "resumable": False,
                **route,
            }
            for route in routes
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 300,
                "protocol": "h1",
                "tls": False,
                **({"engine": engine} if is_engine else {}),
            }
            for name, is_engine in services.items()
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1}],
    }


def _lookup(fields: dict, name: str) -> object:
    value: object = fields
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template: str, fields: dict) -> str:
    """Fill in a settings template, as far as the project's need it."""

    def section(found: re.Match) -> str:
        value = _lookup(fields, found[1])
        return render(found[2], fields) if value else ""

    def value(found: re.Match) -> str:
        held = _lookup(fields, found[1])
        if found[2]:
            return json.dumps(held)
        if isinstance(held, bool):
            return str(held).lower()
        return "" if held is None else str(held)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    text = text.replace("{{port_range.0}}", str(fields["port_range"][0]))
    text = text.replace("{{port_range.1}}", str(fields["port_range"][1]))
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Process:
    """One process of the system, which can be killed and started again."""

    def __init__(self, system: "System", fields: dict, role: dict):
        self.name: str = fields["node"]
        self.fields = fields
        self._system = system
        self._role = role
        self._process: asyncio.subprocess.Process | None = None
        self._output = None

    async def start(self) -> None:
        """Start it with the command of the deploy file."""
        folder = self._system.folder
        settings = folder / f"{self.name}.yaml"
        template = (ROOT / self._role["template"]).read_text()
        settings.write_text(render(template, self.fields))
        self._output = (folder / f"{self.name}.log").open("ab")
        program, *words = self._role["run"].split(" ")
        assert program == "python3"
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            cwd=ROOT,
            stdout=self._output,
            stderr=self._output,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": str(folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "CHERVILSHIFT_SETTINGS": str(settings),
            },
        )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def ended(self) -> bool:
        """Whether it has ended."""
        return self._process is None or self._process.returncode is not None

    def signal(self, number: int) -> None:
        """Send a signal, if it still runs."""
        if not self.ended:
            self._process.send_signal(number)

    async def wait(self) -> None:
        """Wait for its end."""
        await self._process.wait()
        self._output.close()

    async def kill(self) -> None:
        """Kill it and wait for its end."""
        if not self.ended:
            self._process.kill()
        await self.wait()

    def rss_bytes(self) -> int:
        """Return the memory that it uses."""
        fields = Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


class System:
    """Control processes and gateways in a temporary folder."""

    def __init__(self, *, cores: int = 3, fronts: int = 2, **bounds: object):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        subnet = RNG.randrange(1, 250)
        self._net = f"127.{RNG.randrange(2, 250)}.{subnet}"
        self._ports = iter(_free_ports(self._net))
        self.cloud = Cloud(f"{self._net}.200:{next(self._ports)}")
        rpc, metrics, api, directory, front, ready = (
            next(self._ports) for _ in range(6)
        )
        self._rpc_ports = [rpc, metrics]
        self._api, self._directory = api, directory
        self._front, self._ready = front, ready
        self._bounds = _BOUNDS | bounds
        self.cores = [self._core(number) for number in range(cores)]
        self.fronts = [self._gateway(number) for number in range(fronts)]
        self._next_worker = 100

    def _fields(self, name: str, ip: str, role: str) -> dict:
        return {
            "node": name,
            "role": role,
            "ip": ip,
            "zone": "a",
            "region": "here",
            "zones": {"a": "here", "b": "here"},
            "port_range": self._rpc_ports,
            "seeds": [f"{self._net}.{11 + n}:{self._api}" for n in range(3)],
            "bootstrap": True,
            "beat_ms": int(BEAT_S * 1000),
            "tolerate": {"machines": 1},
            "bounds": self._bounds,
            "cloud": {"addr": self.cloud.address},
            "listen": {
                "front": f"{ip}:{self._front}",
                "ready": f"{ip}:{self._ready}",
                "control": f"{ip}:{self._api}",
                "directory": f"{ip}:{self._directory}",
            },
            "data_dir": str(self.folder / name),
        }

    def _core(self, number: int) -> Process:
        ip = f"{self._net}.{11 + number}"
        fields = self._fields(f"core-a-{number}", ip, "control")
        return Process(self, fields, self._roles["control"])

    def _gateway(self, number: int) -> Process:
        ip = f"{self._net}.{51 + number}"
        fields = self._fields(f"front-a-{number}", ip, "gateway")
        return Process(self, fields, self._roles["gateway"])

    def worker(self, service: str, **options: object) -> Worker:
        """Return a new worker at a free address."""
        self._next_worker += 1
        name = f"i-{new_id()[:8]}"
        address = f"{self._net}.{self._next_worker}:{next(self._ports)}"
        return Worker(name, service, address, **options)

    def controls(self) -> list[str]:
        """Return the addresses that serve control."""
        return [core.fields["listen"]["control"] for core in self.cores]

    def front(self, number: int = 0) -> str:
        """Return the address of a gateway."""
        return self.fronts[number].fields["listen"]["front"]

    async def start(self) -> None:
        """Start all processes."""
        await self.cloud.start()
        for process in (*self.cores, *self.fronts):
            await process.start()
            # Only the first start of the whole system is one.
            process.fields["bootstrap"] = False

    async def put(self, document: dict, within_s: float = 20.0) -> bool:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            for address in self.controls():
                answer = await call(
                    address,
                    "PUT",
                    "/api/config",
                    [("Host", "control")],
                    body,
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def begin(self, document: dict) -> None:
        """Start all, send the first configuration, wait until it is known.

        Raises TimeoutError if that takes too long.
        """
        await self.start()
        if not await self.put(document, START_TIMEOUT_S):
            raise TimeoutError("no process took the configuration")
        await self.wait_ready()

    async def add(self, workers: list[Worker]) -> None:
        """Start workers and wait until gateways know them."""
        for worker in workers:
            await worker.start(self.controls)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all("ready" in w.acked_at for w in workers):
                await asyncio.sleep(0.05)
        await asyncio.sleep(KNOWN_AFTER_S)

    async def wait_ready(self) -> None:
        """Wait until all gateways say that they are ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for front in self.fronts:
                address = front.fields["listen"]["ready"]
                while True:
                    answer = await call(
                        address,
                        "GET",
                        "/api/ready",
                        [("Host", "x")],
                        timeout_s=1.0,
                    )
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all processes and remove the folder."""
        for process in (*self.cores, *self.fronts):
            if not process.ended:
                process.signal(signal.SIGCONT)
                await process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


Play = Callable[[System, Record], Awaitable[list[str]]]


def run_case(path: Path, play: Play, **options: object) -> int:
    """Run a case and write its record; return the exit code of the script.

    That is 1 if `play` returns breaks of the rule, 0 if not, and 2 if the
    case could not run.
    """
    record = Record(path)

    async def run() -> list[str]:
        system = System(**options)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                return await play(system, record)
        finally:
            await system.close()

    record.add("with the disruption" if trouble() else "without it")
    try:
        breaks = asyncio.run(run())
    except (TimeoutError, OSError) as exc:
        record.add(f"could not run: {exc!r}")
        record.save()
        return 2
    for line in breaks:
        record.add(f"broken: {line}")
    record.add(f"{len(breaks)} breaks")
    record.save()
    return 1 if breaks else 0


def _free_ports(net: str):
    port = RNG.randrange(FIRST_PORT, LAST_PORT)
    while True:
        port = port + 1 if port < LAST_PORT else FIRST_PORT
        with socket.socket() as sock:
            try:
                sock.bind(("0.0.0.0", port))
            except OSError:
                continue
        yield port


_BOUNDS = {
    "quota_window_s": 8,
    "quota_tolerance": 0.1,
    "quota_slack": 72_000,
    "usage_window_s": 5,
    "grace_s": 8,
    "budget_ratio": 0.2,
    "budget_extra": 54,
    "budget_window_s": 10,
    "lease_ms": 3000,
}
