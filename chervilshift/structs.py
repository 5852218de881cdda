"""Converts plain data to typed structs and reports all faults at once."""

import re
from collections.abc import Iterator
from pathlib import Path

import msgspec
from returns.result import Failure as Bad
from returns.result import Result, Success

__all__ = ["Fault", "convert"]

# Message of a msgspec.ValidationError: the reason, and the path below the
# converted value, such as `$.name[0]`.
VALIDATION_MESSAGE = re.compile(r"(?P<reason>.*?)(?: - at `\$(?P<place>.*)`)?")
PATH_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")


class Fault:
    """A fault at one path of the data."""

    __slots__ = ("path", "reason")

    def __init__(self, *, path: tuple[str | int, ...], reason: str):
        self.path = path
        self.reason = reason


def convert(
    schema: type[msgspec.Struct], data: dict
) -> Result[msgspec.Struct, list[Fault]]:
    """Return `data` as a `schema`, or the faults of all its fields."""
    values = {}
    faults = [
        Fault(path=(name,), reason="unknown key")
        for name in data
        if name not in schema.__struct_fields__
    ]
    for field in msgspec.structs.fields(schema):
        if field.name not in data:
            if field.required:
                faults.append(Fault(path=(field.name,), reason="is missing"))
            continue
        try:
            values[field.name] = msgspec.convert(
                data[field.name], field.type, dec_hook=_decode
            )
        except msgspec.ValidationError as exc:
            faults.append(_fault(field.name, str(exc)))
    return Bad(faults) if faults else Success(schema(**values))


def _decode(kind: type, value: object) -> object:
    """Convert text to `Path`, a type that msgspec does not support."""
    if kind is Path and isinstance(value, str):
        return Path(value)
    raise msgspec.ValidationError(f"Expected `{kind.__name__}`")


def _fault(name: str, message: str) -> Fault:
    parts = VALIDATION_MESSAGE.fullmatch(message)
    path = (name, *_path_steps(parts["place"] or ""))
    return Fault(path=path, reason=parts["reason"])


def _path_steps(place: str) -> Iterator[str | int]:
    for key, index in PATH_STEP.findall(place):
        yield key or int(index)
