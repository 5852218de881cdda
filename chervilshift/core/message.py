"""Base class of all typed messages."""

import msgspec

__all__ = ["Message"]


class Message(
    msgspec.Struct, kw_only=True, frozen=True, tag=True, omit_defaults=True
):
    """An immutable, slotted message; its class name is its wire tag."""
