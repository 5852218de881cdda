"""The client's side of one request: body, response and disconnect."""

from collections.abc import Callable

import msgspec

from chervilshift.bytebudget import HeldBody
from chervilshift.errors import (
    BodyTimeout,
    BodyTooLarge,
    Failure,
    Unserved,
)
from chervilshift.gateway.protocol import Headers

__all__ = ["ClientDisconnected", "Downstream"]

# Only these statuses carry a Retry-After header.
RETRY_AFTER_STATUSES = (429, 503)


class ClientDisconnected(Exception):
    """The client disconnected before its request was read."""


class Downstream:
    """Sends one response over ASGI.

    `started` is true once its head is sent, `finished` once its last part
    is. With `close_connection` the head asks the client to close. `body` is
    the request's.
    """

    __slots__ = (
        "_receive",
        "_send",
        "body",
        "close_connection",
        "finished",
        "started",
    )

    def __init__(
        self,
        *,
        receive: Callable,
        send: Callable,
        close_connection: bool,
        body: HeldBody,
    ):
        self._receive = receive
        self._send = send
        self.close_connection = close_connection
        self.body = body
        self.started = False
        self.finished = False

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the whole request body.

        Raises ClientDisconnected and what `HeldBody.read` raises.
        """
        try:
            data = await self.body.read(self._receive, limit_bytes)
        except (BodyTimeout, BodyTooLarge, Unserved):
            self.close_connection = True
            raise
        if data is None:
            raise ClientDisconnected
        return data

    async def wait_disconnected(self) -> None:
        """Return when the client disconnected or the response is complete."""
        while (await self._receive())["type"] != "http.disconnect":
            continue

    async def start(self, status: int, headers: Headers) -> None:
        """Send the response's head."""
        self.started = True
        if self.close_connection:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the response's body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the response's body."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": data})

    async def refuse(
        self, failure: Failure, retry_after_s: float | None = None
    ) -> None:
        """Respond with a failure that the gateway itself reports."""
        body = msgspec.json.encode(
            {"error": failure.name, "message": str(failure)}
        )
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if (
            retry_after_s is not None
            and failure.status in RETRY_AFTER_STATUSES
        ):
            headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
        await self.start(failure.status, headers)
        await self.finish(body)
