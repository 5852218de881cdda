"""What the data plane needs to know of a client protocol.

An adapter decodes its own header names into these types once; the rest of
the gateway uses only the types.
"""

from typing import Protocol

from returns.result import Result

from chervilshift.errors import Failure

__all__ = [
    "Attempt",
    "ClientRequest",
    "HeaderCodec",
    "Headers",
    "NOT_RUN_PROMISES",
    "PromptPart",
    "ReplyHead",
]

Headers = list[tuple[bytes, bytes]]

# Statuses by which a client learns that its request did not run and never
# will. It sends such a request again, also one that may run only once.
NOT_RUN_PROMISES = (408, 421, 429, 503)


class PromptPart:
    """A part of a prompt that other requests may share.

    The parts of a prompt are in the order in which they occur in it.
    """

    __slots__ = ("id", "tokens")

    def __init__(self, *, id: str, tokens: int):
        self.id = id
        self.tokens = tokens


class ClientRequest:
    """One client request as decoded from its head.

    `target` is the raw path with its query; `headers` are those that may be
    forwarded. `client_timeout_s` is how long the client waits from the
    request's arrival on. `customer_key` identifies the customer.
    `prompt_tokens` is the length of the whole prompt and `output_tokens` the
    most that may be produced, where the client states them. A stream that is
    taken up goes on after `last_event_id`; `resumed_id` is the id of the
    request that brought its first event, empty without one.
    """

    __slots__ = (
        "client_timeout_s",
        "customer_key",
        "headers",
        "host",
        "id",
        "last_event_id",
        "method",
        "output_tokens",
        "path",
        "prompt_parts",
        "prompt_tokens",
        "resumed_id",
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
        customer_key: str = "",
        client_timeout_s: float | None = None,
        prompt_tokens: int | None = None,
        output_tokens: int | None = None,
        prompt_parts: tuple[PromptPart, ...] = (),
        last_event_id: int | None = None,
        resumed_id: bytes = b"",
    ):
        self.id = id
        self.method = method
        self.host = host
        self.path = path
        self.target = target
        self.headers = headers
        self.customer_key = customer_key
        self.client_timeout_s = client_timeout_s
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prompt_parts = prompt_parts
        self.last_event_id = last_event_id
        self.resumed_id = resumed_id

    @property
    def place(self) -> bytes:
        """The method, host and target, as one text."""
        return b" ".join(
            (self.method.encode(), self.host.encode(), self.target)
        )


class Attempt:
    """What the gateway tells an endpoint about one attempt of a request.

    `remaining_s` is the time left until the request's deadline. `priority` 0
    is the most urgent. `last_event_id` is where a stream is resumed.
    """

    __slots__ = (
        "customer",
        "endpoint_id",
        "last_event_id",
        "priority",
        "remaining_s",
    )

    def __init__(
        self,
        *,
        endpoint_id: str,
        customer: str,
        remaining_s: float,
        priority: int,
        last_event_id: int | None,
    ):
        self.endpoint_id = endpoint_id
        self.customer = customer
        self.remaining_s = remaining_s
        self.priority = priority
        self.last_event_id = last_event_id


class ReplyHead:
    """What the headers of an endpoint's reply say.

    `not_run` is true only when the endpoint states that it did not run the
    request. `signed` is true when the reply carries the endpoint's proof
    that it is its own. `idle_timeout_s` is how long the endpoint keeps an
    idle connection, where it says so. `limit_per_s` is the rate of requests
    that it takes from all gateways together, None without a limit. An endpoint
    that is `leaving` takes no further requests; `retry_after_s` is the time
    for which one that refused the request takes none from this gateway, None
    without one or if it makes no sense.
    """

    __slots__ = (
        "closes_connection",
        "content_encoded",
        "idle_timeout_s",
        "leaving",
        "limit_per_s",
        "not_run",
        "request_id",
        "retry_after_s",
        "signed",
    )

    def __init__(
        self,
        *,
        request_id: bytes,
        not_run: bool,
        signed: bool,
        content_encoded: bool,
        closes_connection: bool,
        idle_timeout_s: float | None,
        limit_per_s: float | None = None,
        leaving: bool = False,
        retry_after_s: float | None = None,
    ):
        self.request_id = request_id
        self.not_run = not_run
        self.signed = signed
        self.content_encoded = content_encoded
        self.closes_connection = closes_connection
        self.idle_timeout_s = idle_timeout_s
        self.limit_per_s = limit_per_s
        self.leaving = leaving
        self.retry_after_s = retry_after_s


class HeaderCodec(Protocol):
    """Translates between a client protocol's headers and these types.

    `report_target` is where endpoints report on themselves.
    """

    report_target: bytes

    def decode(self, scope: dict) -> Result[ClientRequest, Failure]:
        """Decode a request's head from an ASGI scope."""

    def request_id(self, scope: dict) -> str:
        """Return the request id that the head carries, for logs."""

    def attempt_headers(
        self, request: ClientRequest, attempt: Attempt
    ) -> Headers:
        """Return the headers that an attempt sends to its endpoint."""

    def reply_head(self, status: int, headers: Headers) -> ReplyHead:
        """Decode the head of an endpoint's reply."""

    def reported_born_ms(self, status: int, body: bytes) -> int | None:
        """Return the incarnation that a report names, None if it is none."""

    def response_headers(self, headers: Headers) -> Headers:
        """Return the headers of an endpoint's reply that the client gets.

        They state no content length; whoever sends the response sets it.
        """
