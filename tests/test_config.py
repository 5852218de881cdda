"""Configuration faults are reported together and all keys documented."""

from pathlib import Path

import pytest
from returns.result import Failure as Bad

from chervilshift.config import compile_site, validate
from chervilshift.configpage import config_page
from chervilshift.core.commands import ConfigDocument

BASE = """\
models:
  desk:
    first_token_ms: 620
customers:
  qurum:
    models: [desk]
    share: 2
"""


def document(base: str = BASE, **overlays: str) -> ConfigDocument:
    return ConfigDocument(base_name="base.yaml", base=base, overlays=overlays)


def faults(base: str = BASE, **overlays: str) -> list[str]:
    checked = validate(document(base, **overlays))
    assert isinstance(checked, Bad)
    return checked.failure().fields["faults"].splitlines()


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("share: 2", "share: -1", "base.yaml:7: customers.qurum.share: "),
        ("share: 2", "share: two", "base.yaml:7: customers.qurum.share: "),
        ("share: 2", "shares: 2", "base.yaml:7: customers.qurum.shares: "),
        ("[desk]", "[none]", "base.yaml:6: customers.qurum.models.0: "),
        ("620", "0", "base.yaml:3: models.desk.first_token_ms: "),
        (
            "    share: 2",
            "    share: 2\n    share: 3",
            "base.yaml:8: customers.qurum.share: duplicate key",
        ),
        ("models:\n", "models: [\n", "base.yaml:"),
        (
            "customers:",
            "fleet:\n  link_price: -0.1\ncustomers:",
            "base.yaml:5: fleet.link_price: ",
        ),
    ],
)
def test_fault_is_refused_with_file_line_and_path(old, new, fault):
    (text, *_) = faults(BASE.replace(old, new))
    assert text.startswith(fault)


def test_all_faults_are_told_at_once():
    text = BASE.replace("share: 2", "share: -1").replace("620", "-5")
    assert len(faults(text)) == 2


def test_overlay_that_names_what_the_base_lacks():
    overlay = "site: west\ncustomers:\n  nobody:\n    share: 1\n"
    (text,) = faults(west=overlay)
    assert text.startswith("overlay west:3: customers.nobody: ")


def test_overlay_changes_its_site_only():
    doc = document(west="site: west\ncustomers:\n  qurum:\n    share: 5\n")
    west = compile_site(doc, "west").unwrap()
    east = compile_site(doc, "east").unwrap()
    assert west.customers["qurum"].share == 5
    assert west.customers["qurum"].models == ["desk"]
    assert east.customers["qurum"].share == 2


def test_page_documents_every_key():
    page = Path(__file__).parent.parent / "docs" / "CONFIG.md"
    assert page.read_text(encoding="utf-8") == config_page()
