"""Crowds of clients that send without end, or stop, and read no answers.

Each test starts processes of the system on loopback and guards against one
kind of client that made a process exceed the memory or the descriptors of its
host. It checks only that the process runs, that both stay within their bounds
and that an ordinary request is answered afterwards, while the crowd is still
connected.

All are in one file, so that they never run at the same time.
"""

import functools
import os
import resource
import subprocess
import sys
from pathlib import Path

import anyio
import anyio.from_thread
import httpcore
import msgspec
import pytest
import yaml

from chervilshift.httpserver import serve_app
from tests.cluster import CALLER_KEY, eventually, free_address
from tests.crowd import (
    H2_PING,
    H2_PREFACE,
    Crowd,
    open_files,
    peak_bytes,
)
from tests.platform.standin import COMMON, HOST, KEY, Cloud, Endpoint, config

CLIENTS = 60
DURATION_S = 6.0
# The memory of the smallest hosts of gateways, and of those of control.
GATEWAY_BYTES = 160_000_000
CONTROL_BYTES = 296_000_000
# A trial is ended at this multiple of the bound.
CAP = 1.5
DESCRIPTORS = 4096
# In the test of many connections, whose clients are more than these. A
# quarter is reserved for endpoints and control.
FEW_DESCRIPTORS = 512
MANY_CLIENTS = 600
ANSWER_BYTES = 64 << 10
ANNOUNCE_INTERVAL_S = 0.4
IDLE_TIMEOUT_S = 10.0
# A document of some 500 KB.
ROUTES = 1500
EVENTS = 20
REQUESTS_IN_A_BLOCK = 200


class _LargeAnswers(Endpoint):
    """An endpoint of a plain service with answers of 64 KB."""

    async def _run(self, headers, reply_headers, send, *, cut) -> None:
        start = {
            "type": "http.response.start",
            "status": 200,
            "headers": [
                *reply_headers,
                (b"content-length", b"%d" % ANSWER_BYTES),
            ],
        }
        await send(start)
        body = b"x" * ANSWER_BYTES
        await send({"type": "http.response.body", "body": body})


def _document() -> bytes:
    """Return the configuration of the tests with many unused routes."""
    document = config(1)
    route = document["routes"][0]
    document["routes"] += [
        route | {"name": f"n{n}", "path_prefix": f"/unused/{n}/" + "p" * 60}
        for n in range(ROUTES)
    ]
    return msgspec.json.encode(document)


class _System:
    """Three control processes, a gateway and two endpoints."""

    def __init__(self, folder: Path, descriptors: int):
        self._folder = folder
        self._descriptors = descriptors
        self._processes: list[subprocess.Popen] = []
        rpc_port = free_address().rpartition(":")[2]
        api_port = free_address().rpartition(":")[2]
        hosts = [f"127.0.0.{n}" for n in range(11, 14)]
        cloud = free_address()
        self._endpoints = [
            _LargeAnswers(name="a0", service="app", address=free_address()),
            Endpoint(
                name="l0",
                service="llm",
                address=free_address(),
                events=EVENTS,
            ),
        ]
        self._apps = [(Cloud(), cloud)]
        self._apps += [(e, e.address) for e in self._endpoints]
        self.seeds = [f"{host}:{api_port}" for host in hosts]
        common = COMMON | {"failure_domain": "a", "seeds": self.seeds}
        self.controls = [
            common
            | {
                "process": f"core-{number}",
                "rpc_listen": f"{host}:{rpc_port}",
                "metrics_listen": free_address(),
                "data_folder": str(folder / f"core-{number}"),
                "api_listen": self.seeds[number],
                "directory_listen": free_address(),
                "bootstrap": True,
                "cloud": cloud,
                "announce_interval_ms": ANNOUNCE_INTERVAL_S * 1000,
                "duty_lease_ms": 300,
            }
            for number, host in enumerate(hosts)
        ]
        self.gateway = common | {
            "process": "front-0",
            "rpc_listen": f"127.0.0.20:{rpc_port}",
            "metrics_listen": free_address(),
            "listen": free_address(),
            "ready_listen": free_address(),
            "stop_within_s": 6,
            "retry_ratio": 0.2,
            "retry_extra": 400,
            "retry_window_s": 10,
        }

    def start(self, portal) -> None:
        """Start all, and return when the gateway answers."""
        for app, address in self._apps:
            portal.start_task_soon(serve_app, app, address, IDLE_TIMEOUT_S)
        portal.start_task_soon(self._keep_announcing)
        for settings in (*self.controls, self.gateway):
            command = "gateway" if "listen" in settings else "control"
            self._processes.append(self._spawn(command, settings))
        document = _document()
        eventually(
            lambda: any(
                _status("PUT", f"{seed}/api/config", body=document) == 200
                for seed in self.seeds
            ),
            "configuration",
        )
        eventually(self.answers, "first answer")

    def _spawn(self, command: str, settings: dict) -> subprocess.Popen:
        path = self._folder / f"{settings['process']}.yaml"
        path.write_text(yaml.safe_dump(settings))
        limits = (self._descriptors, self._descriptors)
        with (self._folder / f"{settings['process']}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "chervilshift", "routed", command],
                env=os.environ | {"CHERVILSHIFT_SETTINGS": str(path)},
                preexec_fn=functools.partial(
                    resource.setrlimit, resource.RLIMIT_NOFILE, limits
                ),
                stdout=log,
                stderr=log,
            )

    def process(self, settings: dict) -> subprocess.Popen:
        """Return the process with these settings."""
        return self._processes[[*self.controls, self.gateway].index(settings)]

    def answers(self) -> bool:
        """Send one ordinary request; return whether it is answered."""
        headers = _headers(1) + [("Deadline-Ms", "3000")]
        address = f"{self.gateway['listen']}/read/x"
        return _status("GET", address, headers=headers) == 200

    def control_answers(self) -> bool:
        """Read the configuration from the first control process."""
        return _status("GET", f"{self.seeds[0]}/api/config") == 200

    async def _keep_announcing(self) -> None:
        while True:
            for endpoint in self._endpoints:
                path = f"/api/instances/{endpoint.name}"
                body = endpoint.announcement()
                for seed in self.seeds:
                    announce = functools.partial(
                        _status, "PUT", seed + path, body=body
                    )
                    if await anyio.to_thread.run_sync(announce) == 200:
                        break
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    def close(self) -> None:
        for process in self._processes:
            process.kill()
            process.wait()


def _headers(number: int) -> list[tuple[str, str]]:
    return [("Host", HOST), ("Request-Id", f"{number:016x}"), ("Key", KEY)]


def _status(method, url, headers=(("Host", "x"),), body=None) -> int:
    """Return the status of a call, 0 if it fails."""
    timeout = dict.fromkeys(("connect", "read", "write"), 5.0)
    try:
        return httpcore.request(
            method,
            f"http://{url}",
            headers=list(headers),
            content=body,
            extensions={"timeout": timeout},
        ).status
    except (
        OSError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return 0


def _block(
    line: str, body: bytes = b"", deadline: str = "Deadline-Ms: 5000\r\n"
) -> bytes:
    """Return some complete requests."""
    requests = []
    for number in range(max(1, REQUESTS_IN_A_BLOCK // (1 + len(body) // 999))):
        lines = [f"{name}: {value}\r\n" for name, value in _headers(number)]
        head = (
            f"{line} HTTP/1.1\r\n{''.join(lines)}{deadline}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        requests.append(head.encode() + body)
    return b"".join(requests)


def _halted(line: str, sent: int, announced: int) -> bytes:
    """Return a request whose body stops halfway."""
    head = (
        _block(line)
        .split(b"\r\n\r\n")[0]
        .replace(b"Content-Length: 0", b"Content-Length: %d" % announced)
    )
    return head + b"\r\n\r\n" + b"y" * sent


LARGE_BODY = b"y" * ANSWER_BYTES
ANNOUNCEMENT = Endpoint(
    name="x0", service="app", address="127.0.0.1:9"
).announcement()
# Listener, what is sent first, and then without end.
AT_THE_GATEWAY = {
    "bare GET": ("listen", b"", b"GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n"),
    "GET": ("listen", b"", _block("GET /once/x")),
    "GET of 64 KB": ("listen", b"", _block("GET /read/x")),
    "GET without deadline": (
        "listen",
        b"",
        _block("GET /read/x", deadline=""),
    ),
    "POST of 64 KB": ("listen", b"", _block("POST /write/x", LARGE_BODY)),
    "streams": ("listen", b"", _block("POST /stream/x", b"prompt")),
    "halted bodies": (
        "listen",
        _halted("POST /write/x", 2 << 20, 4 << 20),
        b"",
    ),
    "halted heads": (
        "listen",
        b"GET /read/x HTTP/1.1\r\nA: " + b"x" * 15_000,
        b"",
    ),
    "readiness": ("ready_listen", b"", _block("GET /api/ready")),
    "POST to readiness": ("ready_listen", b"", _block("POST /x", LARGE_BODY)),
    "metrics": ("metrics_listen", b"", _block("GET /metrics")),
}
AT_CONTROL = {
    "configuration reads": ("api_listen", b"", _block("GET /api/config")),
    "announcements": (
        "api_listen",
        b"",
        _block("PUT /api/instances/x0", ANNOUNCEMENT),
    ),
    "halted documents": (
        "api_listen",
        _halted("PUT /api/config", 4 << 20, 8 << 20),
        b"",
    ),
    "lookups": (
        "directory_listen",
        b"",
        _block("GET /api/resolve?region=here&zone=a"),
    ),
    "metrics": ("metrics_listen", b"", _block("GET /metrics")),
    "pings between processes": ("rpc_listen", H2_PREFACE, H2_PING * 500),
}


@pytest.fixture
def portal():
    """Yield a portal to an event loop that runs the endpoints."""
    with anyio.from_thread.start_blocking_portal() as running:
        yield running
        running.call(running.stop, True)


def _run_crowd(
    system: _System, settings: dict, kind: tuple, max_bytes: int, answers
) -> None:
    """Let a crowd send to a process; check the process and its answers."""
    listener, first, then = kind
    process = system.process(settings)
    crowd = Crowd(
        address=settings[listener], count=CLIENTS, first=first, then=then
    )
    with crowd:
        files = crowd.play(process.pid, DURATION_S, int(CAP * max_bytes))
        print(f"descriptors {files}, peak {peak_bytes(process.pid)}")
        assert process.poll() is None
        assert peak_bytes(process.pid) < max_bytes
        assert files < DESCRIPTORS
        eventually(answers, "ordinary request")
        assert process.poll() is None
        assert peak_bytes(process.pid) < max_bytes


@pytest.mark.parametrize("kind", list(AT_THE_GATEWAY))
def test_crowd_stays_within_the_host_of_a_gateway(kind, tmp_path, portal):
    """A gateway of 47 MB grew to 3.5 GB by pipelined requests of 64 KB."""
    system = _System(tmp_path, DESCRIPTORS)
    try:
        system.start(portal)
        _run_crowd(
            system,
            system.gateway,
            AT_THE_GATEWAY[kind],
            GATEWAY_BYTES,
            system.answers,
        )
    finally:
        system.close()


@pytest.mark.parametrize("kind", list(AT_CONTROL))
def test_crowd_stays_within_the_host_of_control(kind, tmp_path, portal):
    """A control process grew to 1.2 GB by reads of the configuration."""
    system = _System(tmp_path, DESCRIPTORS)
    try:
        system.start(portal)
        _run_crowd(
            system,
            system.controls[0],
            AT_CONTROL[kind],
            CONTROL_BYTES,
            system.control_answers,
        )
    finally:
        system.close()


@pytest.mark.parametrize("listener", ["listen", "ready_listen"])
def test_connections_leave_descriptors_for_endpoints_and_control(
    listener, tmp_path, portal
):
    """More idle connections than descriptors left none for endpoints."""
    system = _System(tmp_path, FEW_DESCRIPTORS)
    try:
        system.start(portal)
        process = system.process(system.gateway)
        crowd = Crowd(
            address=system.gateway[listener],
            count=MANY_CLIENTS,
            first=b"GET",
        )
        with crowd:
            files = crowd.play(process.pid, DURATION_S, GATEWAY_BYTES)
            print(f"descriptors {files}")
            assert process.poll() is None
            assert files <= FEW_DESCRIPTORS * 3 // 4
            eventually(system.answers, "ordinary request")
            print(f"descriptors {files}, peak {peak_bytes(process.pid)}")
            assert open_files(process.pid) <= FEW_DESCRIPTORS * 3 // 4
            assert peak_bytes(process.pid) < GATEWAY_BYTES
    finally:
        system.close()


AUTHORIZATION = f"Authorization: Bearer {CALLER_KEY}\r\n"
AT_AN_ENTRY = {
    "lookups": _block("GET /v1/entries", deadline=AUTHORIZATION),
    "status": _block("GET /v1/streams/x", deadline=AUTHORIZATION),
    "POST of 64 KB": _block(
        "POST /v1/services/booking/x", LARGE_BODY, AUTHORIZATION
    ),
}


@pytest.mark.parametrize("kind", list(AT_AN_ENTRY))
def test_crowd_stays_within_the_host_of_an_entry(kind, cluster):
    """An entry's own server buffered pipelined requests without bound."""
    cluster.add_controls(("c1",))
    cluster.add_entry("e1")
    cluster.start()
    cluster.wait_ready()
    process = cluster.processes["e1"]
    crowd = Crowd(
        address=cluster.entries["e1"],
        count=CLIENTS,
        first=b"",
        then=AT_AN_ENTRY[kind],
    )
    with crowd:
        crowd.play(process.pid, DURATION_S, int(CAP * GATEWAY_BYTES))
        print(f"peak {peak_bytes(process.pid)}")
        assert process.poll() is None
        assert peak_bytes(process.pid) < GATEWAY_BYTES
        eventually(
            lambda: (
                cluster.caller("e1").request("GET", "/readyz").status == 200
            ),
            "ordinary request",
        )
