"""Reads requests from a raw stream, for endpoints that break the protocol."""

__all__ = ["read_request"]


async def read_request(stream) -> dict[bytes, bytes]:
    """Read one whole request; return its headers with lower-case names."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    fields = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
    )
    while len(body) < int(fields.get(b"content-length", b"0")):
        body += await stream.receive()
    return fields
