"""Addresses of listeners, as HOST:PORT."""

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split HOST:PORT; brackets around an IPv6 host are taken off."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
