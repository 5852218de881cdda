"""Replicated commands about routed traffic, and their replies."""

from chervilshift.core.fleet.model import EndpointRecord
from chervilshift.core.message import Message

__all__ = [
    "AcceptServing",
    "AnnounceEndpoint",
    "CommitUsage",
    "EndpointKnown",
    "GatewaysNoted",
    "NoteGateways",
    "ServingAccepted",
    "UsageCommitted",
]


class AcceptServing(Message):
    """Put a serving document in force if its version is the highest."""

    version: int
    document: bytes


class AnnounceEndpoint(Message):
    """Record what an endpoint said, unless newer news is held."""

    endpoint: EndpointRecord


class CommitUsage(Message):
    """Fix the usage of one window before it is reported."""

    window: int
    counts: dict[str, int]


class NoteGateways(Message):
    """Record which gateways exist, so that shares of limits add up."""

    ids: tuple[str, ...]


class GatewaysNoted(Message):
    """How many gateways are recorded."""

    count: int


class ServingAccepted(Message):
    """The version in force after the command."""

    version: int


class EndpointKnown(Message):
    """The state held for the endpoint after the command."""

    state: str


class UsageCommitted(Message):
    """The usage that was committed first for the window."""

    window: int
    counts: dict[str, int]
