"""Adapter to plain services: one HTTP call on one new connection.

A pooled connection that the service closes under a call leaves it unknown
whether the call ran, so calls do not share connections.
"""

import httpcore

from chervilshift.endpoints.connection import (
    CONNECT_TIMEOUT_S,
    HTTP_ERRORS,
    NOT_RUN_HEADER,
    failed,
)
from chervilshift.errors import EndpointFailed

__all__ = ["ServiceCall", "ServiceClient", "ServiceReply"]

HOP_HEADERS = frozenset(
    (
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
    """One call as it goes to a service; `path` includes the query."""

    __slots__ = ("body", "headers", "method", "path")

    def __init__(
        self,
        *,
        method: str,
        path: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class ServiceReply:
    """A service's whole reply."""

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
        """The reply's content type, or an empty text."""
        named = (v for k, v in self.headers if k.lower() == b"content-type")
        return next(named, b"").decode("latin-1")


class ServiceClient:
    """Calls services; never repeats a call by itself."""

    __slots__ = ()

    async def call(
        self, address: str, call: ServiceCall, timeout_s: float
    ) -> ServiceReply:
        """Make one call and return its whole reply.

        Raises EndpointFailed, with `sent` false only where no byte of the
        call can have reached the service or the service refused it.
        """
        timeouts = {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s),
            "read": timeout_s,
            "write": timeout_s,
        }
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        connection = httpcore.AsyncHTTPConnection(origin=origin, retries=0)
        try:
            response = await connection.request(
                call.method,
                f"http://{address}{call.path}",
                headers=_forwarded(call.headers),
                content=call.body,
                extensions={"timeout": timeouts},
            )
        except HTTP_ERRORS as exc:
            raise failed(address, exc) from exc
        finally:
            await connection.aclose()
        return _reply(address, response)


def _reply(address: str, response: httpcore.Response) -> ServiceReply:
    headers = _forwarded(response.headers)
    refused = any(k.lower() == NOT_RUN_HEADER for k, _ in headers)
    if response.status == 503 and refused:
        raise EndpointFailed(endpoint=address, reason="refused", sent=False)
    return ServiceReply(
        status=response.status, headers=headers, body=response.content
    )


def _forwarded(headers: list | tuple) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS
    )
