"""The client's side of one request: its body, its answer, its leaving."""

from collections.abc import Callable

import msgspec

from chervilshift.errors import BodyTooLarge, Failure
from chervilshift.gateway.dialect import Headers

__all__ = ["ClientGone", "Downstream"]

RETRYABLE_STATUSES = (429, 503)


class ClientGone(Exception):
    """The client left before its request was read."""


class Downstream:
    """Sends one answer; `started` once its head is out."""

    __slots__ = ("_receive", "_send", "closing", "finished", "started")

    def __init__(self, *, receive: Callable, send: Callable, closing: bool):
        self._receive = receive
        self._send = send
        self.closing = closing
        self.started = False
        self.finished = False

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the whole body; raises ClientGone or BodyTooLarge."""
        chunks = []
        size_bytes = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise ClientGone
            chunks.append(message.get("body", b""))
            size_bytes += len(chunks[-1])
            if size_bytes > limit_bytes:
                self.closing = True
                raise BodyTooLarge(limit_bytes=limit_bytes)
            if not message.get("more_body"):
                return b"".join(chunks)

    async def wait_gone(self) -> None:
        """Return when the client has left or has its whole answer."""
        while (await self._receive())["type"] != "http.disconnect":
            continue

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head."""
        self.started = True
        if self.closing:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": data})

    async def refuse(
        self, failure: Failure, retry_after_s: float | None = None
    ) -> None:
        """Answer with a failure of the system's own."""
        body = msgspec.json.encode(
            {"error": failure.name, "message": str(failure)}
        )
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if retry_after_s is not None and failure.status in RETRYABLE_STATUSES:
            headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
        await self.start(failure.status, headers)
        await self.finish(body)
