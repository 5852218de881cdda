"""Keys stand in files only as hashes."""

import hashlib

__all__ = ["HASH_PATTERN", "hash_key"]

HASH_PATTERN = "^[0-9a-f]{64}$"


def hash_key(key: str) -> str:
    """Return the hash under which a key stands in files."""
    return hashlib.sha256(key.encode()).hexdigest()
