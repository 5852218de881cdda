"""Checks plain data against typed structs, naming every fault at once."""

import re
from collections.abc import Iterator
from pathlib import Path

import msgspec
from returns.result import Failure as Bad
from returns.result import Result, Success

__all__ = ["Fault", "convert"]

# What msgspec says, and at which place below the value it looked at.
MESSAGE = re.compile(r"(?P<reason>.*?)(?: - at `\$(?P<place>.*)`)?")
STEP = re.compile(r"\.(\w+)|\[(\d+)\]")


class Fault:
    """What is wrong at one path of the data."""

    __slots__ = ("path", "reason")

    def __init__(self, *, path: tuple[str | int, ...], reason: str):
        self.path = path
        self.reason = reason


def convert(
    schema: type[msgspec.Struct], data: dict
) -> Result[msgspec.Struct, list[Fault]]:
    """Return `data` as a `schema`, or all that is wrong with its fields."""
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
    """Convert what msgspec does not know: paths, given as text."""
    if kind is Path and isinstance(value, str):
        return Path(value)
    raise msgspec.ValidationError(f"Expected `{kind.__name__}`")


def _fault(name: str, message: str) -> Fault:
    parts = MESSAGE.fullmatch(message)
    path = (name, *_steps(parts["place"] or ""))
    return Fault(path=path, reason=parts["reason"])


def _steps(place: str) -> Iterator[str | int]:
    for key, index in STEP.findall(place):
        yield key or int(index)
