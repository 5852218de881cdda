"""YAML files with the line number of every key."""

from collections.abc import Iterator

import yaml
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.errors import ConfigFault

__all__ = ["Document", "locate", "read"]

# Keys and list indexes that lead from the top of a file to a value.
Path = tuple[str | int, ...]


class Document:
    """A file's data, and the line number of each path in it."""

    __slots__ = ("data", "lines", "name")

    def __init__(self, *, name: str, data: dict, lines: dict[Path, int]):
        self.name = name
        self.data = data
        self.lines = lines

    def line(self, path: Path) -> int | None:
        """Return the line number of `path`, or None if the file lacks it."""
        return self.lines.get(path)


def read(name: str, text: str) -> Result[Document, list[ConfigFault]]:
    """Parse a YAML mapping; duplicate keys are faults."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        reason = getattr(exc, "problem", None) or "invalid YAML"
        return Bad([_fault(name, line, (), reason)])
    if node is None:
        return Success(Document(name=name, data={}, lines={}))
    if not isinstance(node, yaml.MappingNode):
        return Bad([_fault(name, 1, (), "file must contain a mapping")])
    duplicates = [
        _fault(name, line, path, "duplicate key")
        for path, line in _duplicates(node, ())
    ]
    if duplicates:
        return Bad(duplicates)
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
    """Return a fault at the longest prefix of `path` that a file contains.

    The last of several such files is named, since it overrides the others.
    """
    for length in range(len(path), 0, -1):
        for document in reversed(documents):
            line = document.line(path[:length])
            if line is not None:
                return _fault(document.name, line, path, reason)
    return _fault(documents[0].name, 1, path, reason)


def _fault(name: str, line: int, path: Path, reason: str) -> ConfigFault:
    path_text = ".".join(str(part) for part in path) or "(file)"
    return ConfigFault(file=name, line=line, path=path_text, reason=reason)


def _children(node: yaml.Node, path: Path) -> Iterator[tuple]:
    """Yield (key node, path, value node) of a mapping or sequence.

    The key node of a sequence item is the item itself.
    """
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            yield key, (*path, key.value), value
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield value, (*path, index), value


def _lines(node: yaml.Node, path: Path) -> Iterator[tuple[Path, int]]:
    for key, child_path, value in _children(node, path):
        yield child_path, key.start_mark.line + 1
        yield from _lines(value, child_path)


def _duplicates(node: yaml.Node, path: Path) -> Iterator[tuple[Path, int]]:
    seen = set()
    for key, child_path, value in _children(node, path):
        if child_path in seen:
            yield child_path, key.start_mark.line + 1
        seen.add(child_path)
        yield from _duplicates(value, child_path)
