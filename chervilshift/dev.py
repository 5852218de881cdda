"""All parts of the system in one process on loopback, for development."""

from pathlib import Path

import anyio
from returns.result import Failure as Bad

from chervilshift.clock import Clock
from chervilshift.control.process import ControlProcess, format_cluster
from chervilshift.core.commands import ApplyConfig, ConfigDocument
from chervilshift.entry.process import EntryProcess
from chervilshift.events import EventLog
from chervilshift.keys import hash_key
from chervilshift.metrics import Metrics
from chervilshift.settings import (
    ControlSettings,
    EntrySettings,
    VoterSettings,
)
from chervilshift.standins.launch import make_standin
from chervilshift.standins.process import StandinSettings

__all__ = ["DevProcess"]

API_KEY = "dev-key"
CLUSTER_KEY = "dev-cluster-key-on-loopback"
CHANGE_ID = "dev-initial"
POLL_INTERVAL_S = 0.05
ENGINE_COUNT = 2

BASE_CONFIG = f"""\
models:
  desk-7b:
    first_token_ms: 620
    token_gap_ms: 37
services:
  booking: {{}}
customers:
  trial:
    keys: [{hash_key(API_KEY)}]
    models: [desk-7b]
    services: [booking]
"""

READY_TEXT = """\
chervilshift is ready at http://{listen}
trial key: {key}

curl -N http://{listen}/v1/chat/completions \\
  -H 'Authorization: Bearer {key}' \\
  -d '{{"model": "desk-7b", "stream": true, "messages": \
[{{"role": "user", "content": "Which pods are clean?"}}]}}'

Ctrl-C stops it gracefully."""


class DevProcess:
    """One control, one entry and stand-in endpoints on loopback.

    They use consecutive ports: the port in `listen`, control, the entry's
    port for calls of other processes, then the stand-ins.
    """

    def __init__(
        self,
        *,
        listen: str,
        data: Path,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ):
        self._listen = listen
        self._data = data
        self._clock = clock
        self._events = events
        self._metrics = metrics

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set.

        The entry drains and stops first, then all other parts.
        """
        control_cfg = self._control_settings()
        if not (control_cfg.data_folder / "identity").exists():
            await format_cluster(control_cfg, self._events)
        control = ControlProcess(
            settings=control_cfg, clock=self._clock, events=self._events
        )
        entry = EntryProcess(
            settings=self._entry_settings(),
            clock=self._clock,
            events=self._events,
            metrics=self._metrics,
        )
        stops = [anyio.Event() for _ in range(ENGINE_COUNT + 2)]
        async with anyio.create_task_group() as tg:
            await tg.start(control.run, stops[0])
            await self._configure(control)
            for standin, standin_stop in zip(
                self._standins(), stops[1:], strict=True
            ):
                await tg.start(standin.run, standin_stop)
            async with anyio.create_task_group() as serving:
                await serving.start(entry.run, stop)
                await self._wait_ready(entry)
                text = READY_TEXT.format(listen=self._listen, key=API_KEY)
                print(text, flush=True)
            for part_stop in reversed(stops):
                part_stop.set()

    async def _configure(self, control: ControlProcess) -> None:
        """Apply the development configuration if the data folder is new."""
        while not control.node.has_lease():
            await anyio.sleep(POLL_INTERVAL_S)
        if control.node.machine.version:
            return
        change = ApplyConfig(
            change_id=CHANGE_ID,
            base_version=0,
            document=ConfigDocument(base_name="dev.yaml", base=BASE_CONFIG),
        )
        applied = await control.node.submit(change)
        if isinstance(applied, Bad):
            raise applied.failure()

    async def _wait_ready(self, entry: EntryProcess) -> None:
        while not (
            entry.watch.confirmed
            and len(entry.directory.endpoints()) == ENGINE_COUNT + 1
        ):
            await anyio.sleep(POLL_INTERVAL_S)

    def _address(self, offset: int) -> str:
        host, _, port = self._listen.rpartition(":")
        return f"{host}:{int(port) + offset}"

    def _control_settings(self) -> ControlSettings:
        address = self._address(1)
        return ControlSettings(
            process="control",
            host="dev",
            failure_domain="dev-a",
            region="dev",
            rpc_listen=address,
            cluster_key=CLUSTER_KEY,
            data_folder=self._data / "control",
            control=[address],
            voters=[
                VoterSettings(
                    name="control", address=address, failure_domain="dev-a"
                )
            ],
        )

    def _entry_settings(self) -> EntrySettings:
        return EntrySettings(
            process="entry",
            host="dev",
            failure_domain="dev-a",
            region="dev",
            rpc_listen=self._address(2),
            cluster_key=CLUSTER_KEY,
            listen=self._listen,
            control=[self._address(1)],
            operator_keys=[hash_key(API_KEY)],
            endpoint_keys=[hash_key(API_KEY)],
            lookup_ttl_s=1.0,
        )

    def _standins(self):
        kinds = [("engine", "desk-7b")] * ENGINE_COUNT + [
            ("service", "booking")
        ]
        return [
            make_standin(
                StandinSettings(
                    id=f"{kind}-{index}",
                    address=self._address(3 + index),
                    host=f"host-{index}",
                    failure_domain="dev-a",
                    region="dev",
                    kind=kind,
                    serves=(target,),
                    entries=(self._listen,),
                    key=API_KEY,
                ),
                {"gap_ms": 20.0} if kind == "engine" else {},
            )
            for index, (kind, target) in enumerate(kinds)
        ]
