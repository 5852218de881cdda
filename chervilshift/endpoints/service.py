"""HTTP client for plain services: one call on one new connection.

If a service closes a pooled connection during a call, it is unknown whether
the call ran. So calls do not share connections.
"""

import anyio
import httpcore

from chervilshift.endpoints.connection import (
    CONNECT_TIMEOUT_S,
    HTTP_ERRORS,
    NOT_RUN_HEADER,
    call_failure,
    states_not_run,
)
from chervilshift.errors import EndpointFailed
from chervilshift.outgoing import CallBackend, socket_options

__all__ = ["ServiceCall", "ServiceClient", "ServiceReply"]

MAX_REPLY_BYTES = 16 << 20
# A whole call may take this multiple of the time limit of one read.
MAX_CALL_FACTOR = 4.0
# Hop-by-hop headers, credentials, and headers that each hop sets itself. Only
# the entry tells its callers whether a call did not run.
UNFORWARDED_HEADERS = frozenset(
    (
        NOT_RUN_HEADER,
        b"authorization",
        b"connection",
        b"content-length",
        b"date",
        b"host",
        b"keep-alive",
        b"proxy-authorization",
        b"server",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class ServiceCall:
    """A call to a service; `target` is the raw path with its query."""

    __slots__ = ("body", "headers", "method", "target")

    def __init__(
        self,
        *,
        method: str,
        target: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class ServiceReply:
    """The complete response of a service."""

    __slots__ = ("body", "headers", "status")

    def __init__(
        self,
        *,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def content_type(self) -> str:
        """The content type of the response, or ""."""
        content_types = (
            v for k, v in self.headers if k.lower() == b"content-type"
        )
        return next(content_types, b"").decode("latin-1")


class ServiceClient:
    """Calls services; a call is never repeated here."""

    __slots__ = ()

    async def call(
        self, address: str, call: ServiceCall, timeout_s: float
    ) -> ServiceReply:
        """Make one call and return the complete response.

        `timeout_s` limits each read and each write; the whole call may take
        `MAX_CALL_FACTOR` times as long. Raises EndpointFailed, whose field
        `sent` is false only if no byte of the call can have reached the
        service or the service refused it.
        """
        timeouts = {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s),
            "read": timeout_s,
            "write": timeout_s,
        }
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        connection = httpcore.AsyncHTTPConnection(
            origin=origin,
            retries=0,
            network_backend=CallBackend(max_bytes=MAX_REPLY_BYTES),
            socket_options=socket_options(timeout_s),
        )
        try:
            with anyio.fail_after(MAX_CALL_FACTOR * timeout_s):
                response = await connection.request(
                    call.method,
                    httpcore.URL(
                        scheme=origin.scheme,
                        host=origin.host,
                        port=origin.port,
                        target=call.target,
                    ),
                    headers=_forwarded_headers(call.headers),
                    content=call.body,
                    extensions={"timeout": timeouts},
                )
        except HTTP_ERRORS as exc:
            raise call_failure(address, exc) from exc
        finally:
            await connection.aclose()
        return _service_reply(address, response)


def _service_reply(address: str, response: httpcore.Response) -> ServiceReply:
    if states_not_run(response):
        raise EndpointFailed(endpoint=address, reason="refused", sent=False)
    return ServiceReply(
        status=response.status,
        headers=_forwarded_headers(response.headers),
        body=response.content,
    )


def _forwarded_headers(
    headers: list | tuple,
) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in UNFORWARDED_HEADERS
    )
