"""What the data plane needs to know of a client protocol.

An adapter decodes its own header names into these types once; the rest of
the gateway sees only the types.
"""

from typing import Protocol

from returns.result import Result

from chervilshift.errors import Failure

__all__ = [
    "Attempt",
    "Call",
    "Dialect",
    "Headers",
    "PromptPart",
    "ReplyHead",
]

Headers = list[tuple[bytes, bytes]]


class PromptPart:
    """A part of a prompt that other requests may share, in order."""

    __slots__ = ("id", "tokens")

    def __init__(self, *, id: str, tokens: int):
        self.id = id
        self.tokens = tokens


class Call:
    """One client request as decoded from its head.

    `target` is the raw path with its query; `headers` are those that may be
    passed on. `deadline_s` is how long the client waits, from its start.
    """

    __slots__ = (
        "deadline_s",
        "headers",
        "host",
        "id",
        "key",
        "last_event_id",
        "method",
        "output_tokens",
        "parts",
        "path",
        "prompt_tokens",
        "target",
    )

    def __init__(
        self,
        *,
        id: bytes,
        method: str,
        host: str,
        path: str,
        target: bytes,
        headers: Headers,
        key: str = "",
        deadline_s: float | None = None,
        prompt_tokens: int | None = None,
        output_tokens: int | None = None,
        parts: tuple[PromptPart, ...] = (),
        last_event_id: int | None = None,
    ):
        self.id = id
        self.method = method
        self.host = host
        self.path = path
        self.target = target
        self.headers = headers
        self.key = key
        self.deadline_s = deadline_s
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.parts = parts
        self.last_event_id = last_event_id


class Attempt:
    """How one attempt of a call goes to one endpoint."""

    __slots__ = (
        "customer",
        "endpoint_id",
        "last_event_id",
        "left_s",
        "priority",
    )

    def __init__(
        self,
        *,
        endpoint_id: str,
        customer: str,
        left_s: float,
        priority: int,
        last_event_id: int | None,
    ):
        self.endpoint_id = endpoint_id
        self.customer = customer
        self.left_s = left_s
        self.priority = priority
        self.last_event_id = last_event_id


class ReplyHead:
    """What an endpoint's reply says besides its status and body.

    `not_run` is true only when the endpoint states that it did not run the
    request. `idle_s` is how long the endpoint keeps the connection.
    """

    __slots__ = (
        "closes",
        "encoded",
        "idle_s",
        "not_run",
        "request_id",
        "signed",
    )

    def __init__(
        self,
        *,
        request_id: bytes,
        not_run: bool,
        signed: bool,
        encoded: bool,
        closes: bool,
        idle_s: float | None,
    ):
        self.request_id = request_id
        self.not_run = not_run
        self.signed = signed
        self.encoded = encoded
        self.closes = closes
        self.idle_s = idle_s


class Dialect(Protocol):
    """Translates between a client protocol and the gateway's types."""

    def decode(self, scope: dict) -> Result[Call, Failure]:
        """Decode a request's head from an ASGI scope."""

    def request_id(self, scope: dict) -> str:
        """Return a request's identity as its head has it, for logs."""

    def attempt_headers(self, call: Call, attempt: Attempt) -> Headers:
        """Return the headers of an attempt."""

    def reply_head(self, status: int, headers: Headers) -> ReplyHead:
        """Decode an endpoint's reply head."""

    def reply_headers(self, headers: Headers) -> Headers:
        """Return the headers of a reply that the client gets.

        They don't state a length; that is the sender's.
        """
