"""Reads requests from a raw stream, for endpoints that break the protocol."""

import anyio

from tests.platform.standin import Endpoint, Platform, eventually

__all__ = ["BODY", "read_request", "serve_raw"]

BODY = b":body"
REPORT_HEAD = b"GET /api/report "
REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"


async def serve_raw(platform: Platform, tg, endpoint: Endpoint) -> None:
    """Serve an endpoint's `handle` and announce it to one gateway."""
    host, port = endpoint.address.split(":")
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    tg.start_soon(listener.serve, endpoint.handle)
    await platform.announce(endpoint, "ready")
    placement = platform.gateways[0][0].state.placement
    await eventually(lambda: bool(placement.endpoints()))


async def read_request(stream, born_ms: int = 1000) -> dict[bytes, bytes]:
    """Read one whole request; return its headers, in lower case.

    The body is the value of `BODY`. Requests for a report are answered with
    the incarnation.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
        if data.startswith(REPORT_HEAD) and data.endswith(b"\r\n\r\n"):
            report = b'{"born":%d}' % born_ms
            await stream.send(REPORT % (len(report), report))
            data = b""
    head, _, body = data.partition(b"\r\n\r\n")
    fields = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
    )
    while len(body) < int(fields.get(b"content-length", b"0")):
        body += await stream.receive()
    return fields | {BODY: body}
