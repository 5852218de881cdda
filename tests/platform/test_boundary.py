"""The platform's names stay in its adapter."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent.parent / "chervilshift"
ADAPTER = PACKAGE / "platform"
# Names on the platform's wire and in its settings that nobody else uses.
NAMES = (
    "api_keys",
    "api/config",
    "api/instances",
    "api/ready",
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
SMALL_LINES = 1000


def sources() -> list[Path]:
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if ADAPTER not in path.parents
    ]


@pytest.mark.parametrize("name", NAMES)
def test_no_module_outside_the_adapter_knows(name):
    pattern = re.compile(rf"(?<![\w-]){re.escape(name)}", re.IGNORECASE)
    knowing = [
        str(path.relative_to(PACKAGE))
        for path in sources()
        if pattern.search(path.read_text())
    ]
    assert not knowing


def test_adapter_is_imported_only_where_processes_are_put_together():
    importing = {
        str(path.relative_to(PACKAGE))
        for path in sources()
        if "chervilshift.platform" in path.read_text()
    }
    assert importing == {"commands/routed.py"}


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py")
    )
    assert lines < SMALL_LINES
