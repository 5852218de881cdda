"""The top-level commands and the groups of other commands."""

import json
import sys
from contextlib import ExitStack
from itertools import chain
from pathlib import Path

from chervilshift import __version__, logs
from chervilshift.commands.config import ConfigCommands
from chervilshift.commands.routed import RoutedCommands
from chervilshift.control.process import ControlProcess, format_cluster
from chervilshift.dev import DevProcess
from chervilshift.entry.process import EntryProcess
from chervilshift.events import read_events
from chervilshift.explain import explain, parse_lines
from chervilshift.keys import hash_key
from chervilshift.metrics import Metrics
from chervilshift.operator import OperatorClient
from chervilshift.replay import replay_file
from chervilshift.runner import open_events, run_until_signal
from chervilshift.settings import ControlSettings, EntrySettings, load_or_raise
from chervilshift.standins.launch import standin_run

__all__ = ["Commands"]


class Commands:
    """Serve language models and plain services on reclaimable hosts."""

    def __init__(self):
        self.config = ConfigCommands()
        self.routed = RoutedCommands()

    def dev(
        self, listen: str = "127.0.0.1:8080", data: str = "data/dev"
    ) -> None:
        """Run all parts in one process on loopback, for development.

        Args:
            listen: HOST:PORT of the entry.
            data: folder for the control log and the events.
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
        """Run a control process, a replica of the log.

        Args:
            settings: the process's settings file.
            format: format an empty data folder as one of the first voters of
                a new cluster, and exit. Never do this to replace a lost disk.
        """
        cfg = load_or_raise(ControlSettings, settings)
        logs.setup(process=cfg.process, verbosity=cfg.log_level)
        clock, events = open_events(cfg.process, cfg.events_folder)
        if format:
            sys.exit(run_until_signal(lambda _: format_cluster(cfg, events)))
        process = ControlProcess(settings=cfg, clock=clock, events=events)
        sys.exit(run_until_signal(process.run))

    def entry(self, settings: str) -> None:
        """Run an entry process, which callers and endpoints connect to.

        Args:
            settings: the process's settings file.
        """
        cfg = load_or_raise(EntrySettings, settings)
        logs.setup(process=cfg.process, verbosity=cfg.log_level)
        metrics = Metrics()
        clock, events = open_events(cfg.process, cfg.events_folder, metrics)
        process = EntryProcess(
            settings=cfg, clock=clock, events=events, metrics=metrics
        )
        sys.exit(run_until_signal(process.run))

    def standin(self, settings: str) -> None:
        """Run a stand-in engine or service, for development and tests.

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
        """Stop an entry gracefully, without interrupting requests."""
        OperatorClient(entry=entry, key=key).post("/v1/drain", {})
        print("draining")

    def notice(
        self, host: str, notice_s: float, entry: str = "", key: str = ""
    ) -> None:
        """Report a cloud's notice that it will reclaim a host.

        Args:
            host: the host's name, as endpoints and entries announce it.
            notice_s: seconds until the host is reclaimed.
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
        filters = {
            "request": request,
            "endpoint": endpoint,
            "host": host,
            "change_id": change_id,
        }
        wanted = {key: value for key, value in filters.items() if value}
        for event in read_events(Path(folder), **wanted):
            print(json.dumps(event))

    def explain(self, request: str, *files: str) -> None:
        """Print the history of one request from the processes' logs.

        Args:
            request: the request's id.
            files: files of event lines; by default standard input.
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
        print(f"{replay_file(Path(trace))} outcomes as expected")

    def hash(self, key: str) -> None:
        """Print the hash of a key, as configuration files contain it."""
        print(hash_key(key))

    def version(self) -> None:
        """Print the version."""
        print(__version__)
