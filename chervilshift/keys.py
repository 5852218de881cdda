"""Hashes of API keys; files contain the hashes, never the keys."""

import hashlib

__all__ = ["HASH_PATTERN", "hash_key"]

HASH_PATTERN = "^[0-9a-f]{64}$"


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in lower-case hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()
