"""The command line.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 configuration or settings
refused, 4 another change won, 5 no answer, 6 not in force in time.
"""

import json
import os
import sys
import time
import uuid
from collections.abc import Callable
from contextlib import ExitStack
from itertools import chain
from pathlib import Path

import fire
import yaml
from absl import logging
from returns.result import Failure as Bad

from chervilshift import __version__, errors, logs
from chervilshift.config import SITE_KEY, hash_key, validate
from chervilshift.configpage import config_page
from chervilshift.control.process import ControlProcess, format_cluster
from chervilshift.core.commands import ConfigDocument
from chervilshift.dev import DevProcess
from chervilshift.entry.process import EntryProcess
from chervilshift.errors import Failure
from chervilshift.events import read_events
from chervilshift.explain import explain, parse_lines
from chervilshift.metrics import Metrics
from chervilshift.operator import OperatorClient
from chervilshift.platform.launch import (
    SETTINGS_VARIABLE,
    platform_control,
    platform_gateway,
)
from chervilshift.replay import replay_file
from chervilshift.runner import open_events, run_until_signal
from chervilshift.settings import (
    ControlSettings,
    EntrySettings,
    GatewaySettings,
    RoutedControlSettings,
    SettingsWatch,
    load,
)
from chervilshift.standins.launch import standin_run

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_NO_ANSWER = 5
EXIT_NOT_IN_TIME = 6
EXIT_CODES = {
    errors.ConfigRefused: EXIT_REFUSED,
    errors.SettingsRefused: EXIT_REFUSED,
    errors.ConfigConflict: EXIT_CONFLICT,
    errors.PeerUnreachable: EXIT_NO_ANSWER,
    errors.NotInTime: EXIT_NOT_IN_TIME,
}
POLL_S = 0.2


class ConfigCommands:
    """Check, change and look at the configuration.

    ENTRY is an entry's HOST:PORT (or $CHERVILSHIFT_ENTRY), KEY an
    operator's key (or $CHERVILSHIFT_KEY).
    """

    def check(self, base: str, *overlays: str) -> None:
        """Check a base file and overlays; print each fault.

        Args:
            base: the base file.
            overlays: overlay files; each names its site.
        """
        checked = validate(_document(base, overlays))
        if isinstance(checked, Bad):
            raise checked.failure()
        print("ok")

    def page(self) -> None:
        """Print the page that documents every key."""
        print(config_page(), end="")

    def apply(
        self,
        base: str,
        *overlays: str,
        from_version: int | None = None,
        change_id: str = "",
        entry: str = "",
        key: str = "",
    ) -> None:
        """Put a base file and overlays in force.

        Args:
            base: the base file.
            overlays: overlay files; each names its site.
            from_version: the version the change was made from; without it,
                the version now in force.
            change_id: name of the change; resend with the same name after
                a lost reply. Without it a new one is made and printed.
            entry: HOST:PORT of any entry.
            key: operator's key.
        """
        client = OperatorClient(entry=entry, key=key)
        document = _document(base, overlays)
        if from_version is None:
            from_version = client.get("/v1/config")["version"]
        change_id = change_id or uuid.uuid4().hex
        reply = client.post(
            "/v1/config",
            {
                "change_id": change_id,
                "base_version": from_version,
                "base_name": document.base_name,
                "base": document.base,
                "overlays": document.overlays,
            },
        )
        print(f"version {reply['version']} by change {change_id}")

    def show(self, entry: str = "", key: str = "") -> None:
        """Print the configuration in force at an entry."""
        shown = OperatorClient(entry=entry, key=key).get("/v1/config")
        print(f"# version {shown['version']}")
        print(shown["base"], end="")
        for site, text in shown["overlays"].items():
            print(f"--- # overlay {site}\n{text}", end="")

    def history(self, entry: str = "", key: str = "") -> None:
        """Print the last accepted changes, oldest first."""
        client = OperatorClient(entry=entry, key=key)
        for change in client.get("/v1/config/history"):
            print(json.dumps(change))

    def wait(
        self,
        version: int,
        timeout_s: float = 8.0,
        entry: str = "",
        key: str = "",
    ) -> None:
        """Wait until every entry has at least a version in force.

        Args:
            version: the version to wait for.
            timeout_s: how long, in seconds.
            entry: HOST:PORT of any entry.
            key: operator's key.
        """
        client = OperatorClient(entry=entry, key=key)
        until = time.monotonic() + timeout_s
        while True:
            entries = client.get("/v1/config/entries")
            behind = [e["id"] for e in entries if e["version"] < version]
            if entries and not behind:
                print(f"in force at {len(entries)} entries")
                return
            if time.monotonic() > until:
                raise errors.NotInTime(
                    version=version, behind=", ".join(behind)
                )
            time.sleep(POLL_S)


class RoutedCommands:
    """Run the processes that route traffic on the users' platform.

    SETTINGS is a settings file, or $CHERVILSHIFT_SETTINGS.
    """

    def control(self, settings: str = "") -> None:
        """Run a control process that serves gateways.

        Args:
            settings: the process's settings file.
        """
        cfg = _settings(RoutedControlSettings, _path(settings))
        logs.setup(process=cfg.process, verbosity=cfg.log_level)
        clock, events = open_events(
            cfg.process, cfg.events_folder, stdout=True
        )
        process = platform_control(cfg, clock, events)
        watch = SettingsWatch(
            schema=RoutedControlSettings,
            path=Path(_path(settings)),
            apply=process.reload,
        )
        sys.exit(run_until_signal(process.run, watch.reload))

    def gateway(self, settings: str = "") -> None:
        """Run a gateway: what clients connect to.

        Args:
            settings: the process's settings file.
        """
        cfg = _settings(GatewaySettings, _path(settings))
        logs.setup(process=cfg.process, verbosity=cfg.log_level)
        metrics = Metrics()
        clock, events = open_events(
            cfg.process, cfg.events_folder, metrics, stdout=True
        )
        process = platform_gateway(cfg, clock, events, metrics)
        watch = SettingsWatch(
            schema=GatewaySettings,
            path=Path(_path(settings)),
            apply=process.reload,
        )
        sys.exit(run_until_signal(process.run, watch.reload))


class Commands:
    """Serve language models and plain services on reclaimable hosts."""

    def __init__(self):
        self.config = ConfigCommands()
        self.routed = RoutedCommands()

    def dev(
        self, listen: str = "127.0.0.1:8080", data: str = "data/dev"
    ) -> None:
        """Run everything in one process on loopback, for trying it out.

        Args:
            listen: HOST:PORT of the entry.
            data: folder for the log and the events.
        """
        logs.setup(process="dev", verbosity="warning")
        metrics = Metrics()
        clock, events = open_events("dev", Path(data), metrics)
        process = DevProcess(
            listen=listen,
            data=Path(data),
            clock=clock,
            events=events,
            metrics=metrics,
        )
        sys.exit(run_until_signal(process.run))

    def control(self, settings: str, format: bool = False) -> None:
        """Run a control process: a replica of the log.

        Args:
            settings: the process's settings file.
            format: format an empty data folder as a first voter of a new
                cluster and exit. Never do this to replace a lost disk.
        """
        cfg = _settings(ControlSettings, settings)
        logs.setup(process=cfg.process, verbosity=cfg.log_level)
        clock, events = open_events(cfg.process, cfg.events_folder)
        if format:
            sys.exit(run_until_signal(lambda _: format_cluster(cfg, events)))
        process = ControlProcess(settings=cfg, clock=clock, events=events)
        sys.exit(run_until_signal(process.run))

    def entry(self, settings: str) -> None:
        """Run an entry process: what callers and endpoints talk to.

        Args:
            settings: the process's settings file.
        """
        cfg = _settings(EntrySettings, settings)
        logs.setup(process=cfg.process, verbosity=cfg.log_level)
        metrics = Metrics()
        clock, events = open_events(cfg.process, cfg.events_folder, metrics)
        process = EntryProcess(
            settings=cfg, clock=clock, events=events, metrics=metrics
        )
        sys.exit(run_until_signal(process.run))

    def standin(self, settings: str) -> None:
        """Run a stand-in engine or service, for trials and tests.

        Args:
            settings: a YAML file; see docs/PROTOCOLS.md.
        """
        logs.setup(process="standin", verbosity="warning")
        sys.exit(run_until_signal(standin_run(Path(settings))))

    def status(self, entry: str = "", key: str = "") -> None:
        """Print control processes, entries and endpoints as JSON."""
        client = OperatorClient(entry=entry, key=key)
        print(json.dumps(client.get("/v1/status"), indent=2))

    def drain(self, entry: str = "", key: str = "") -> None:
        """Stop an entry in good order: it cuts off no request."""
        OperatorClient(entry=entry, key=key).post("/v1/drain", {})
        print("draining")

    def notice(
        self, host: str, notice_s: float, entry: str = "", key: str = ""
    ) -> None:
        """Pass on a cloud's notice that it takes a host back.

        Args:
            host: the host's name, as endpoints and entries announce it.
            notice_s: seconds until the host goes.
            entry: HOST:PORT of any entry.
            key: operator's key.
        """
        client = OperatorClient(entry=entry, key=key)
        client.post(f"/v1/hosts/{host}/notice", {"notice_s": notice_s})
        print("noticed")

    def timeline(
        self,
        folder: str,
        request: str = "",
        endpoint: str = "",
        host: str = "",
        change_id: str = "",
    ) -> None:
        """Print the events of all processes in causal order.

        Args:
            folder: where the processes' event files are.
            request: only this request's events.
            endpoint: only this endpoint's events.
            host: only this host's events.
            change_id: only this change's events.
        """
        named = {
            "request": request,
            "endpoint": endpoint,
            "host": host,
            "change_id": change_id,
        }
        wanted = {key: value for key, value in named.items() if value}
        for event in read_events(Path(folder), **wanted):
            print(json.dumps(event))

    def explain(self, request: str, *files: str) -> None:
        """Print the story of one request from the processes' logs.

        Args:
            request: the request's id.
            files: files of event lines; without any, standard input.
        """
        with ExitStack() as stack:
            streams = [
                stack.enter_context(open(name, encoding="utf-8"))
                for name in files
            ]
            lines = chain.from_iterable(streams or (sys.stdin,))
            for line in explain(str(request), parse_lines(lines)):
                print(line)

    def replay(self, trace: str) -> None:
        """Replay a recorded trace through the core and check its outcomes.

        Args:
            trace: a file of JSON lines; see docs/PROTOCOLS.md.
        """
        print(f"{replay_file(Path(trace))} outcomes as stated")

    def hash(self, key: str) -> None:
        """Print the hash under which a key stands in files."""
        print(hash_key(key))

    def version(self) -> None:
        """Print the version."""
        print(__version__)


def main() -> None:
    """Run the command that the arguments name."""
    _run(lambda: fire.Fire(Commands(), name="chervilshift"))


def _run(command: Callable[[], object]) -> None:
    try:
        command()
    except Failure as exc:
        print(f"{exc.name}: {exc}\n{exc.remedy}", file=sys.stderr)
        codes = (
            code for kind, code in EXIT_CODES.items() if isinstance(exc, kind)
        )
        sys.exit(next(codes, EXIT_FAILED))
    except BrokenPipeError:
        sys.exit(EXIT_FAILED)


def _settings(schema: type, path: str) -> ControlSettings | EntrySettings:
    loaded = load(schema, Path(path))
    if isinstance(loaded, Bad):
        raise loaded.failure()
    return loaded.unwrap()


def _path(settings: str) -> str:
    """Return the settings' path, given or named by the platform."""
    path = settings or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise errors.SettingsRefused(faults="no settings file is named")
    return path


def _document(base: str, overlays: tuple[str, ...]) -> ConfigDocument:
    texts = {}
    for name in overlays:
        text = _read(name)
        texts[_site(name, text)] = text
    return ConfigDocument(
        base_name=Path(base).name, base=_read(base), overlays=texts
    )


def _site(name: str, text: str) -> str:
    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise errors.ConfigRefused(faults=f"{name}: {exc}") from exc
    site = data.get(SITE_KEY) if isinstance(data, dict) else None
    if not isinstance(site, str):
        raise errors.ConfigRefused(
            faults=f"{name}:1: {SITE_KEY}: an overlay must name its site"
        )
    return site


def _read(name: str) -> str:
    try:
        return Path(name).read_text(encoding="utf-8")
    except OSError as exc:
        raise errors.ConfigRefused(faults=f"{name}: {exc.strerror}") from exc


logging.set_verbosity(logging.WARNING)
