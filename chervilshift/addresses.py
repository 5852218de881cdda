"""Parsing of HOST:PORT addresses."""

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split HOST:PORT and remove the brackets around an IPv6 host.

    Raises ValueError if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
