"""Helpers of the HTTP handlers: request bodies, JSON, error responses."""

from functools import cache
from typing import TypeVar

import anyio
import msgspec
from returns.result import Failure as Bad
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from chervilshift.config import Limits
from chervilshift.errors import BadRequest, BodyTooLarge, Failure
from chervilshift.untrusted import decode_json

__all__ = ["failure_response", "json_response", "read_body", "read_json"]

# Value of the Retry-After header for the statuses below.
RETRY_AFTER_S = 1
RETRYABLE_STATUSES = (429, 503)
# In an error response: the request was not run.
NOT_RUN_HEADER = "x-not-run"

T = TypeVar("T")


async def read_body(request: Request, limits: Limits) -> bytes:
    """Return the body; raises BodyTooLarge or BadRequest.

    The latter is raised if the body is late or the connection is closed.
    """
    chunks = []
    size_bytes = 0
    try:
        with anyio.fail_after(limits.body_timeout_s):
            async for chunk in request.stream():
                size_bytes += len(chunk)
                if size_bytes > limits.body_bytes:
                    raise BodyTooLarge(limit_bytes=limits.body_bytes)
                chunks.append(chunk)
    except TimeoutError as exc:
        raise BadRequest(reason="body did not arrive in time") from exc
    except ClientDisconnect as exc:
        raise BadRequest(
            reason="connection closed before the end of the body"
        ) from exc
    return b"".join(chunks)


async def read_json(request: Request, limits: Limits, schema: type[T]) -> T:
    """Return the JSON body decoded as `schema`.

    Raises BodyTooLarge or BadRequest.
    """
    body = await read_body(request, limits)
    decoded = decode_json(body, _decoder(schema))
    if isinstance(decoded, Bad):
        raise BadRequest(reason=decoded.failure())
    return decoded.unwrap()


@cache
def _decoder(schema: type) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(schema)


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with `value` as JSON."""
    return Response(
        msgspec.json.encode(value),
        status_code=status,
        media_type="application/json",
    )


def failure_body(failure: Failure) -> dict:
    """Return the JSON object that describes a failure to a caller."""
    return {
        "error": {
            "type": failure.name,
            "message": str(failure),
            "not_run": failure.not_run,
            "remedy": failure.remedy,
        }
    }


def failure_response(failure: Failure) -> Response:
    """Return the error response for a failure, with its HTTP status."""
    response = json_response(failure_body(failure), failure.status)
    if failure.not_run:
        response.headers[NOT_RUN_HEADER] = "true"
    if failure.status in RETRYABLE_STATUSES:
        response.headers["retry-after"] = str(RETRY_AFTER_S)
    return response
