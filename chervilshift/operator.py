"""HTTP client of the operator interface, used by the command line."""

import os

import httpcore
import msgspec

from chervilshift import errors
from chervilshift.endpoints.connection import HTTP_ERRORS
from chervilshift.errors import Failure, PeerUnreachable

__all__ = ["OperatorClient"]

KEY_VARIABLE = "CHERVILSHIFT_KEY"
ENTRY_VARIABLE = "CHERVILSHIFT_ENTRY"
DEFAULT_ENTRY = "127.0.0.1:8080"
REQUEST_TIMEOUT_S = 10.0


class OperatorClient:
    """Calls one entry, HOST:PORT, with an operator's key.

    Raises the `Failure` that the entry replies with, or PeerUnreachable if
    it does not answer.
    """

    __slots__ = ("_entry", "_key")

    def __init__(self, *, entry: str = "", key: str = ""):
        address = entry or os.environ.get(ENTRY_VARIABLE, DEFAULT_ENTRY)
        self._entry = address.removeprefix("http://").rstrip("/")
        self._key = key or os.environ.get(KEY_VARIABLE, "")

    def get(self, path: str) -> object:
        """Return the JSON value of a GET request."""
        return self._request("GET", path, b"")

    def post(self, path: str, value: object) -> object:
        """Send a JSON value and return the JSON value of the reply."""
        return self._request("POST", path, msgspec.json.encode(value))

    def _request(self, method: str, path: str, content: bytes) -> object:
        timeouts = dict.fromkeys(
            ("connect", "read", "write"), REQUEST_TIMEOUT_S
        )
        try:
            response = httpcore.request(
                method,
                f"http://{self._entry}{path}",
                headers={"authorization": f"Bearer {self._key}"},
                content=content,
                extensions={"timeout": timeouts},
            )
        except HTTP_ERRORS as exc:
            raise PeerUnreachable(
                address=self._entry, reason=type(exc).__name__
            ) from exc
        value = msgspec.json.decode(response.content or b"null")
        if response.status >= 400:
            raise _failure(value)
        return value


def _failure(value: object) -> Failure:
    """Return the failure named in an error reply, with the reply's text."""
    error = value.get("error", {}) if isinstance(value, dict) else {}
    failure_type = getattr(errors, str(error.get("type")), Failure)
    failure = failure_type()
    message = str(error.get("message", value))
    failure.template = message.replace("{", "{{").replace("}", "}}")
    return failure
