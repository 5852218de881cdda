"""Only the adapter knows the platform's names, and it stays small."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent.parent / "chervilshift"
ADAPTER = PACKAGE / "platform"
# Names on the platform's wire and in its documents that no other module may
# use.
PLATFORM_NAMES = (
    "api_keys",
    "api/config",
    "api/instances",
    "api/ready",
    "api/report",
    "api/resolve",
    'born"',
    "Deadline-Ms",
    "Duty-Holder",
    "Expect-Instance",
    "Fence-Token",
    "gap_target_ms",
    "heartbeat_addr",
    "leaves_ms",
    "Not-Run",
    "path_prefix",
    "Prompt-Prefix",
    "Server-Stamp",
    "slo_ms",
    "Token-Count",
    "zone_prices",
)
MAX_ADAPTER_LINES = 1000


def sources() -> list[Path]:
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if ADAPTER not in path.parents
    ]


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_no_module_outside_the_adapter_knows(name):
    pattern = re.compile(rf"(?<![\w-]){re.escape(name)}", re.IGNORECASE)
    offenders = [
        str(path.relative_to(PACKAGE))
        for path in sources()
        if pattern.search(path.read_text())
    ]
    assert not offenders


def test_adapter_is_imported_only_where_processes_are_put_together():
    importers = {
        str(path.relative_to(PACKAGE))
        for path in sources()
        if "chervilshift.platform" in path.read_text()
    }
    assert importers == {"commands/routed.py"}


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py")
    )
    assert lines < MAX_ADAPTER_LINES
