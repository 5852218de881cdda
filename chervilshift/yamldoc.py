"""YAML files read with the line of every key."""

from collections.abc import Iterator

import yaml
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.errors import ConfigFault

__all__ = ["Document", "locate", "read"]

Path = tuple[str | int, ...]


class Document:
    """A file's data, and the line on which each path stands."""

    __slots__ = ("data", "lines", "name")

    def __init__(self, *, name: str, data: dict, lines: dict[Path, int]):
        self.name = name
        self.data = data
        self.lines = lines

    def line(self, path: Path) -> int | None:
        """Return the line of `path`, or None where it does not stand."""
        return self.lines.get(path)


def read(name: str, text: str) -> Result[Document, list[ConfigFault]]:
    """Parse a YAML mapping; doubled keys are faults."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        reason = getattr(exc, "problem", None) or "not YAML"
        return Bad([_fault(name, line, (), reason)])
    if node is None:
        return Success(Document(name=name, data={}, lines={}))
    if not isinstance(node, yaml.MappingNode):
        return Bad([_fault(name, 1, (), "must be a mapping")])
    doubled = [
        _fault(name, line, path, "key stands twice")
        for path, line in _doubled(node, ())
    ]
    if doubled:
        return Bad(doubled)
    try:
        data = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError) as exc:
        return Bad([_fault(name, 1, (), str(exc).splitlines()[0])])
    return Success(
        Document(name=name, data=data, lines=dict(_lines(node, ())))
    )


def locate(
    documents: tuple[Document, ...], path: Path, reason: str
) -> ConfigFault:
    """Make a fault at the longest part of `path` that stands in a file."""
    for length in range(len(path), 0, -1):
        for document in reversed(documents):
            line = document.line(path[:length])
            if line is not None:
                return _fault(document.name, line, path, reason)
    return _fault(documents[0].name, 1, path, reason)


def _fault(name: str, line: int, path: Path, reason: str) -> ConfigFault:
    shown = ".".join(str(part) for part in path) or "(file)"
    return ConfigFault(file=name, line=line, path=shown, reason=reason)


def _children(node: yaml.Node, path: Path) -> Iterator[tuple]:
    """Yield (key node, path, value node) of a mapping or sequence."""
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            yield key, (*path, key.value), value
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield value, (*path, index), value


def _lines(node: yaml.Node, path: Path) -> Iterator[tuple[Path, int]]:
    for key, below, value in _children(node, path):
        yield below, key.start_mark.line + 1
        yield from _lines(value, below)


def _doubled(node: yaml.Node, path: Path) -> Iterator[tuple[Path, int]]:
    seen = set()
    for key, below, value in _children(node, path):
        if below in seen:
            yield below, key.start_mark.line + 1
        seen.add(below)
        yield from _doubled(value, below)
