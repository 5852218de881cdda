"""Responses of the platform's interfaces: a status and a JSON body."""

from collections.abc import Callable

__all__ = ["send_json"]


async def send_json(send: Callable, status: int, body: bytes = b"{}") -> None:
    """Send a complete response; `body` is JSON."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})
