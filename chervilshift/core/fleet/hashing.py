"""A hash of texts that is the same in all processes."""

import hashlib

__all__ = ["hash64"]


def hash64(text: str) -> int:
    """Return an even hash of a text, 0 to 2**64 - 1."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
