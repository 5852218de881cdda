"""What the adapters share: connection errors and what they prove."""

import httpcore

from chervilshift.errors import EndpointFailed

__all__ = [
    "CONNECT_ERRORS",
    "CONNECT_TIMEOUT_S",
    "HTTP_ERRORS",
    "NOT_RUN_HEADER",
    "failed",
]

CONNECT_TIMEOUT_S = 1.0
NOT_RUN_HEADER = b"x-not-run"
CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


def failed(address: str, exc: Exception) -> EndpointFailed:
    """Return the failure of a call; `sent` unless it never connected."""
    return EndpointFailed(
        endpoint=address,
        reason=f"{type(exc).__name__} {exc}".strip(),
        sent=not isinstance(exc, CONNECT_ERRORS),
    )
