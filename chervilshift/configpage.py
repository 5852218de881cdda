"""Writes the page that documents every configuration key."""

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from chervilshift.config import (
    Config,
    Customer,
    Fleet,
    Limits,
    Model,
    Routing,
    Service,
)

__all__ = ["config_page"]

SECTIONS = (
    ("models.NAME", Model),
    ("services.NAME", Service),
    ("customers.NAME", Customer),
    ("limits", Limits),
    ("routing", Routing),
    ("fleet", Fleet),
)
HEAD = """\
# Configuration

One base file says what is served, for whom and at which latency. A site's
overlay names the site (`site: NAME`) and changes values of what the base
defines; it can't add models, services or customers. Both are YAML. A file
with any fault is refused whole, each fault with file, line and path.

Written by `chervilshift config page`; a test keeps it in step.

| section | holds |
|---|---|
"""


def config_page() -> str:
    """Return the page's text."""
    heads = "".join(
        f"| `{name}` | {_text(info)} |\n"
        for name, info in Config.model_fields.items()
    )
    sections = "".join(_section(name, kind) for name, kind in SECTIONS)
    return HEAD + heads + sections


def _section(name: str, kind: type[BaseModel]) -> str:
    rows = "".join(
        f"| `{key}` | {_type(info)} | `{_default(info)}` | {_text(info)} |\n"
        for key, info in kind.model_fields.items()
    )
    title = f"\n## `{name}`\n\n{kind.__doc__.splitlines()[0]}\n\n"
    return (
        f"{title}| key | type | default | meaning |\n|---|---|---|---|\n{rows}"
    )


def _type(info: FieldInfo) -> str:
    name = getattr(info.annotation, "__name__", str(info.annotation))
    bounds = [
        f"{word} {value}"
        for limit in info.metadata
        for word, value in (
            (">", getattr(limit, "gt", None)),
            ("≥", getattr(limit, "ge", None)),
            ("≤", getattr(limit, "le", None)),
        )
        if value is not None
    ]
    return ", ".join((name, *bounds))


def _default(info: FieldInfo) -> str:
    return str(info.default)


def _text(info: FieldInfo) -> str:
    return info.description or ""
