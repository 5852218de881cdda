"""Tables by a name that the configuration gives."""

from collections.abc import Container

__all__ = ["MAX_UNNAMED", "forget_unnamed"]

# Names that the configuration no longer has are kept up to this number, as
# they may come back; what they had spent would else be forgotten.
MAX_UNNAMED = 1024


def forget_unnamed(table: dict[str, object], named: Container[str]) -> None:
    """Forget the oldest entries without a name in the configuration."""
    if len(table) <= MAX_UNNAMED:
        return
    unnamed = [name for name in table if name not in named]
    for name in unnamed[: max(0, len(unnamed) - MAX_UNNAMED)]:
        del table[name]
