"""Decoding of what other programs write.

All JSON bodies, numbers, names and addresses from outside the system pass
through these functions. What they return can be replicated, summed, sent on
in a header and connected to; anything else is a fault of the sender's.
"""

import math
import re
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure as Bad
from returns.result import Result, Success

__all__ = [
    "MAX_COUNT",
    "Count",
    "Integer",
    "Label",
    "Number",
    "Text",
    "decode_json",
    "is_address",
    "is_token",
    "parse_count",
    "parse_integer",
    "parse_number",
]

# Larger than any count; many of these can be added up in 64 bits.
MAX_COUNT = 1 << 32
# Integers that all readers of JSON represent exactly.
MAX_INTEGER = 1 << 53
MAX_NUMBER = float(MAX_INTEGER)
MAX_DIGITS = 18
MAX_LABEL_CHARS = 256
MAX_PORT = 65_535
# Without control characters and line separators.
PRINTABLE = r"\A[^\x00-\x1f\x7f-\x9f\u2028\u2029]*\Z"
TOKEN = re.compile(r"[!-~]{1,256}")
# A host name or an address; an IPv6 address is in brackets.
ADDRESS = re.compile(
    r"(?:[A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})"
)

Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Number = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Text = Annotated[str, Meta(pattern=PRINTABLE)]
Label = Annotated[str, Meta(max_length=MAX_LABEL_CHARS, pattern=PRINTABLE)]

T = TypeVar("T")


def decode_json(
    body: bytes, decoder: msgspec.json.Decoder[T]
) -> Result[T, str]:
    """Decode a body; fails with the reason."""
    try:
        return Success(decoder.decode(body))
    except RecursionError:
        return Bad("nested too deeply")
    except (msgspec.DecodeError, ValueError, OverflowError) as exc:
        return Bad(str(exc))


def is_token(text: str) -> bool:
    """Whether a name may be part of a header: visible ASCII, not too long."""
    return TOKEN.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Whether a text is HOST:PORT with a port that can be connected to."""
    match = ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) <= MAX_PORT


def parse_integer(value: bytes) -> int | None:
    """Return a non-negative integer, None if it is none or too large."""
    if not value.isdigit() or len(value) > MAX_DIGITS:
        return None
    return int(value)


def parse_count(value: bytes) -> int | None:
    """Return a non-negative integer, at most `MAX_COUNT`, None if none."""
    if not value.isdigit():
        return None
    number = parse_integer(value)
    return MAX_COUNT if number is None else min(number, MAX_COUNT)


def parse_number(value: bytes) -> float | None:
    """Return a finite number that is not negative, None if it is none."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
