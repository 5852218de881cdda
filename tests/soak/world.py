"""Everything of one run that is not the product: the outside world."""

import random
from pathlib import Path

import anyio
import httpcore
import msgspec
from anyio.abc import TaskGroup

from chervilshift.httpserver import serve_app
from tests.cluster import free_address
from tests.links import Link, Links
from tests.platform.standin import HOST, KEY, Cloud, Endpoint, call, config
from tests.soak.history import Answer, ConfigRead, History
from tests.soak.processes import Fleet, Process

__all__ = ["World"]

SERVICES = ("llm", "llm", "app", "app")
CLIENTS = 6
DEADLINE_S = 3.0
BEAT_S = 0.4
IDLE_S = 10.0
THINK_S = 0.05
CALL_S = 2.0
# How often an endpoint does something other than answering well.
ODD_SHARE = 0.15
ODD = ("full", "error", "cut", "other", "unsigned")
PATHS = ("/stream/", "/once/", "/write/", "/read/")


class World:
    """Endpoints, callers, operators and a cloud round one fleet."""

    def __init__(self, *, rng: random.Random, folder: Path, tg: TaskGroup):
        self.rng = rng
        self.history = History()
        self.links = Links()
        self.cloud = Cloud()
        self.endpoints: list[tuple[Endpoint, Link]] = []
        self.calm = False
        self.disk_lost = False
        self._tg = tg
        self._cloud_address = free_address()
        self.fleet = Fleet(folder=folder, cloud=self._cloud_address)
        self._version = 0
        self._names = 0

    async def start(self) -> None:
        """Start the fleet and all that surrounds it."""
        self.history.cloud_calls = self.cloud.calls
        await self._tg.start(
            serve_app, self.cloud, self._cloud_address, IDLE_S
        )
        self.fleet.start()
        for service in SERVICES:
            await self.add_endpoint(service)
        while not await self.change_config():
            await anyio.sleep(0.1)
        for _ in range(CLIENTS):
            self._tg.start_soon(self._client)
        self._tg.start_soon(self._operator)

    # Endpoints

    async def add_endpoint(self, service: str) -> None:
        """Let a new endpoint appear behind a link of its own."""
        self._names += 1
        endpoint = Endpoint(
            name=f"w{self._names}",
            service=service,
            address=free_address(),
            behave=self._behave,
        )
        link = self.links.add(endpoint.address)
        self.history.endpoints.append(endpoint)
        self.endpoints.append((endpoint, link))
        await self._tg.start(serve_app, endpoint, endpoint.address, IDLE_S)
        self._tg.start_soon(self._beat, endpoint, link)

    async def remove_endpoint(self) -> None:
        """Let one endpoint leave in good order, a new one in its place."""
        endpoint, link = self.rng.choice(self.endpoints)
        await self.add_endpoint(endpoint.service)
        self.endpoints.remove((endpoint, link))
        body = endpoint.announcement("draining", addr=link.address)
        path = f"/api/instances/{endpoint.name}"
        while await self._tell(path, body) != 200:
            await anyio.sleep(BEAT_S)

    def _behave(self, number: int) -> str:
        if self.calm or self.rng.random() > ODD_SHARE:
            return "ok"
        return self.rng.choice(ODD)

    async def _beat(self, endpoint: Endpoint, link: Link) -> None:
        while (endpoint, link) in self.endpoints:
            body = endpoint.announcement("ready", addr=link.address)
            await self._tell(f"/api/instances/{endpoint.name}", body)
            await anyio.sleep(BEAT_S)

    async def _tell(self, path: str, body: bytes) -> int:
        control = self.rng.choice(self.fleet.controls)
        status, _ = await _call("PUT", control, path, body)
        return status

    # Operators

    async def change_config(self) -> bool:
        """Put the next version; sent again, to anyone, when unclear."""
        self._version += 1
        version = self._version
        document = config(version)
        template = document["routes"][3]
        document["routes"] += [
            template | {"name": f"v{n}", "path_prefix": f"/v{n}/"}
            for n in range(1, version + 1)
        ]
        body = msgspec.json.encode(document)
        for _ in range(20):
            control = self.rng.choice(self.fleet.controls)
            status, _ = await _call("PUT", control, "/api/config", body)
            if status == 200:
                acked = max(self.history.acked_version, version)
                self.history.acked_version = acked
                return True
            if 400 <= status < 500 and status != 408:
                self.history.failures[f"config refused with {status}"] += 1
                return False
            await anyio.sleep(0.2)
        return False

    async def read_config(self) -> int | None:
        """Read the configuration at any control process."""
        control = self.rng.choice(self.fleet.controls)
        acked = self.history.acked_version
        status, body = await _call("GET", control, "/api/config", b"")
        if status != 200:
            return None
        version = msgspec.json.decode(body)["version"]
        self.history.reads.append(
            ConfigRead(acked=acked, version=version, control=control.name)
        )
        return version

    async def _operator(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.1, 0.4))
            await self.read_config()
            await self._probe(self.rng.choice(self.fleet.gateways))

    async def _probe(self, gateway: Process) -> None:
        """Ask for a version's own route: a gateway must not forget one."""
        version = self.history.acked_version
        known = self.history.known
        oldest = known[gateway.name, gateway.incarnation]
        for asked in {version, oldest} - {0}:
            answer = await self.ask(gateway, f"/v{asked}/", "GET")
            key = (gateway.name, answer.incarnation)
            if answer.status == 404 and asked <= known[key]:
                self.history.denied[key] = asked
            elif answer.status not in (None, 404, 503):
                known[key] = max(known[key], asked)

    # Callers

    async def _client(self) -> None:
        while True:
            gateway = self.rng.choice(self.fleet.gateways)
            path = self.rng.choice(PATHS)
            await self.ask(gateway, path, "POST")
            await anyio.sleep(THINK_S)

    async def ask(self, gateway: Process, path: str, method: str) -> Answer:
        """Send one request on a connection of its own."""
        answer = Answer(
            request_id=f"{self.rng.getrandbits(64):016x}",
            path=path,
            gateway=gateway.name,
        )
        answer.incarnation = gateway.incarnation
        self.history.answers.append(answer)
        harms, stopping = gateway.harms, gateway.stopping
        try:
            with anyio.fail_after(DEADLINE_S + 1.0):
                await self._exchange(gateway, method, answer)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return answer
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            answer.owed = not stopping and gateway.harms == harms
        return answer

    async def _exchange(
        self, gateway: Process, method: str, answer: Answer
    ) -> None:
        headers = [
            ("Host", HOST),
            ("Request-Id", answer.request_id),
            ("Deadline-Ms", str(int(DEADLINE_S * 1000))),
            ("Key", KEY),
        ]
        url = f"http://{gateway.settings['listen']}{answer.path}a"
        content = b"hello" if method == "POST" else None
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream(
                method, url, headers=headers, content=content
            ) as response,
        ):
            answer.status = response.status
            answer.headers = {
                name.decode().lower(): value
                for name, value in response.headers
            }
            async for chunk in response.aiter_stream():
                answer.body += chunk
            answer.whole = True


async def _call(
    method: str, control: Process, path: str, body: bytes
) -> tuple[int, bytes]:
    """Call a control process; 503 where it does not answer in time."""
    address = control.settings["api_listen"]
    try:
        with anyio.fail_after(CALL_S):
            return await call(method, address, path, body)
    except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
        return 503, b""
