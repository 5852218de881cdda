"""Commands that check, apply and show the configuration."""

import json
import time
import uuid
from pathlib import Path

import yaml
from returns.result import Failure as Bad

from chervilshift import errors
from chervilshift.config import SITE_KEY, validate
from chervilshift.configpage import config_page
from chervilshift.core.commands import ConfigDocument
from chervilshift.operator import OperatorClient

__all__ = ["ConfigCommands"]

POLL_INTERVAL_S = 0.2


class ConfigCommands:
    """Check, apply and show the configuration.

    ENTRY is an entry's HOST:PORT (or $CHERVILSHIFT_ENTRY), KEY an
    operator's key (or $CHERVILSHIFT_KEY).
    """

    def check(self, base: str, *overlays: str) -> None:
        """Check a base file and overlays, and print each fault.

        Args:
            base: the base file.
            overlays: overlay files; each names its site.
        """
        result = validate(_document(base, overlays))
        if isinstance(result, Bad):
            raise result.failure()
        print("ok")

    def page(self) -> None:
        """Print the page that documents all configuration keys."""
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
            from_version: version that the change is based on; by default
                the version in force.
            change_id: identifier of the change; repeat the command with the
                same identifier if the reply was lost. By default a new one
                is generated and printed.
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
        config = OperatorClient(entry=entry, key=key).get("/v1/config")
        print(f"# version {config['version']}")
        print(config["base"], end="")
        for site, text in config["overlays"].items():
            print(f"--- # overlay {site}\n{text}", end="")

    def history(self, entry: str = "", key: str = "") -> None:
        """Print the most recent changes, oldest first."""
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
        """Wait until a version or a later one is in force at every entry.

        Args:
            version: version to wait for.
            timeout_s: longest wait, in seconds.
            entry: HOST:PORT of any entry.
            key: operator's key.
        """
        client = OperatorClient(entry=entry, key=key)
        deadline = time.monotonic() + timeout_s
        while True:
            entries = client.get("/v1/config/entries")
            entries_behind = [
                e["id"] for e in entries if e["version"] < version
            ]
            if entries and not entries_behind:
                print(f"in force at {len(entries)} entries")
                return
            if time.monotonic() > deadline:
                raise errors.NotInTime(
                    version=version, behind=", ".join(entries_behind)
                )
            time.sleep(POLL_INTERVAL_S)


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
