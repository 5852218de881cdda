"""Keys stand in files only as hashes."""

import hashlib
from typing import Annotated

from pydantic import Field

__all__ = ["KeyHash", "hash_key"]

KeyHash = Annotated[str, Field(pattern="^[0-9a-f]{64}$")]


def hash_key(key: str) -> str:
    """Return the hash under which a key stands in files."""
    return hashlib.sha256(key.encode()).hexdigest()
