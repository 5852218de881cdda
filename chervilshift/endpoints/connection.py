"""Connection errors, and whether a call that failed may have been sent."""

import httpcore

from chervilshift.errors import EndpointFailed

__all__ = [
    "CONNECT_ERRORS",
    "CONNECT_TIMEOUT_S",
    "HTTP_ERRORS",
    "NOT_RUN_HEADER",
    "call_failure",
    "states_not_run",
]

CONNECT_TIMEOUT_S = 1.0
# In a response with this status: the endpoint did not run the request.
NOT_RUN_HEADER = b"x-not-run"
NOT_RUN_STATUS = 503
# After these errors no byte of the request can have reached the endpoint.
CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


def call_failure(address: str, exc: Exception) -> EndpointFailed:
    """Return the failure of a call that raised `exc`.

    Its field `sent` is false only if no connection was established.
    """
    return EndpointFailed(
        endpoint=address,
        reason=f"{type(exc).__name__} {exc}".strip(),
        sent=not isinstance(exc, CONNECT_ERRORS),
    )


def states_not_run(response: httpcore.Response) -> bool:
    """Whether an endpoint states that it did not run the request."""
    names = (name.lower() for name, _ in response.headers)
    return response.status == NOT_RUN_STATUS and NOT_RUN_HEADER in names
