"""The state of one request while it is being served."""

from collections import deque

from chervilshift.bytebudget import HeldBytes
from chervilshift.core.fleet.crashreports import (
    request_part,
    short_id,
    suspect_parts,
)
from chervilshift.core.fleet.model import STREAM, Customer, Route
from chervilshift.core.fleet.origins import stream_key
from chervilshift.core.fleet.placement import Work
from chervilshift.core.fleet.room import RoomTicket
from chervilshift.core.fleet.versiongate import Attempt
from chervilshift.gateway.protocol import ClientRequest, Headers
from chervilshift.gateway.relay import Relay

__all__ = ["Exchange", "WholeReply"]

# The least urgent priority that endpoints know; 0 is the most urgent.
LEAST_URGENT_PRIORITY = 9
# A part that crashes endpoints does so as the answer begins. A request whose
# answer has gone on for this long did not cause a crash.
BEGUN_AFTER_S = 0.1


# A transport holds little more than one part of a reply.
MAX_PART_BYTES = 64 << 10


class WholeReply:
    """A reply that has been read whole and is ready for the client.

    `chunks` is what has not been taken of the body yet, and `held` what the
    body takes of the memory for replies.
    """

    __slots__ = ("chunks", "headers", "held", "status")

    def __init__(
        self,
        *,
        status: int,
        headers: Headers,
        chunks: list[bytes],
        held: HeldBytes,
    ):
        self.status = status
        self.headers = headers
        self.chunks = deque(chunks)
        self.held = held

    def take_part(self) -> bytes:
        """Return the next part of the body, which is no longer held here."""
        part = []
        size_bytes = 0
        while self.chunks and size_bytes < MAX_PART_BYTES:
            part.append(self.chunks.popleft())
            size_bytes += len(part[-1])
        return b"".join(part)


class Exchange:
    """One request being served, and the state of its attempts.

    Times are monotonic, in seconds. `limit_cost` is what it is charged to its
    customer's limit, and `charged` whether it was. `retry_after_s` is when a
    client that was refused may return, and `room` counts it in the load of
    its service once it is admitted to the limit. `maybe_ran` is true once
    an endpoint may have run it, and `usage_counted` once it is counted as
    begun. `attempts_sent` counts the attempts whose request was sent,
    `retry_paid` tells whether the budget was charged for the next one, and
    `failed_connects` the connections that could not be opened. `failed_ids`
    are the endpoints at which an attempt failed, and `barred_ids` those that
    do not get the request again; `attempts` and `failures` describe the sent
    and the failed attempts for logs. `longest_gap_s` is the longest pause
    between the events of a stream. `suspect_parts` are the ids and positions
    of what a crash may be blamed on, and `answer_recorded` tells whether they
    are recorded as answered. `measures_speed` tells whether the time to the
    first event is a sample of the engine's speed. `version` is the software
    version of the service at which a stream has to go on, None while that is
    open. `wants_new` is drawn while a rollout runs, and `rollout_attempt`
    counts the last attempt then, None without. `stream_key` is the stream's,
    whichever request began it. `whole_reply` is a reply that is ready, and
    `failed_reply` the failure that an earlier run ended with, for the case
    that no later attempt brings an answer.
    """

    __slots__ = (
        "answer_recorded",
        "arrived_at",
        "attempts",
        "attempts_sent",
        "barred_ids",
        "body",
        "charged",
        "customer",
        "deadline_at",
        "failed_connects",
        "failed_ids",
        "failed_reply",
        "failures",
        "first_event_at",
        "last_event_at",
        "limit_cost",
        "longest_gap_s",
        "maybe_ran",
        "measures_speed",
        "relay",
        "request",
        "retry_after_s",
        "retry_paid",
        "rollout_attempt",
        "room",
        "route",
        "service",
        "stream_key",
        "suspect_parts",
        "usage_counted",
        "version",
        "wants_new",
        "whole_reply",
        "work",
    )

    def __init__(
        self,
        *,
        request: ClientRequest,
        route: Route,
        customer: Customer | None,
        body: bytes,
        arrived_at: float,
        service: str,
    ):
        self.request = request
        self.route = route
        self.customer = customer
        self.body = body
        self.arrived_at = arrived_at
        self.service = service
        self.whole_reply: WholeReply | None = None
        self.failed_reply: WholeReply | None = None
        timeout_s = min(
            request.client_timeout_s or route.timeout_s, route.timeout_s
        )
        self.deadline_at = arrived_at + timeout_s
        self.work = Work(
            tokens=request.prompt_tokens or 0,
            output_tokens=request.output_tokens or 0,
            parts=tuple(
                (short_id(p.id), p.tokens) for p in request.prompt_parts
            ),
        )
        self.suspect_parts = suspect_parts(
            [part.id for part in request.prompt_parts],
            request_part(
                customer.name if customer else "", request.place, body
            ),
        )
        self.stream_key = stream_key(
            request.id
            if request.last_event_id is None
            else request.resumed_id or request.id
        )
        self.version: str | None = None
        self.wants_new: bool | None = None
        self.rollout_attempt: Attempt | None = None
        self.answer_recorded = False
        self.limit_cost = _limit_cost(request, customer)
        self.charged = False
        self.retry_after_s = 0.0
        self.room: RoomTicket | None = None
        self.usage_counted = False
        self.maybe_ran = False
        self.measures_speed = False
        self.attempts_sent = 0
        self.retry_paid = False
        self.failed_connects = 0
        self.failed_ids: set[str] = set()
        self.barred_ids: set[str] = set()
        self.failures: list[str] = []
        self.attempts: list[str] = []
        self.first_event_at: float | None = None
        self.longest_gap_s = 0.0
        self.last_event_at = 0.0
        self.relay: Relay | None = None

    @property
    def id(self) -> str:
        """The request id, for logs."""
        return self.request.id.decode("latin-1")

    @property
    def suspect_ids(self) -> tuple[str, ...]:
        """The ids of `suspect_parts`, without their positions."""
        return tuple(part for part, _ in self.suspect_parts)

    @property
    def is_taken_up(self) -> bool:
        """Whether the client has a part of the stream already."""
        return (
            self.route.kind == STREAM
            and self.request.last_event_id is not None
        )

    def keep_failure(self, reply: WholeReply) -> None:
        """Keep the failure of a run instead of that of an earlier one."""
        self.drop_failure()
        self.failed_reply = reply

    def drop_failure(self) -> None:
        """Give up the failure of an earlier run."""
        if self.failed_reply is not None:
            self.failed_reply.held.give_back()
            self.failed_reply = None

    def record_events(self, now: float) -> None:
        """Record that events of the stream arrived."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap_s = max(
                self.longest_gap_s, now - self.last_event_at
            )
        self.last_event_at = now

    def is_suspect(self, now: float) -> bool:
        """Whether the request may be why its endpoint crashed just now."""
        return not self.has_begun(now)

    def has_begun(self, now: float) -> bool:
        """Whether the answer began long enough ago not to be suspect."""
        first_at = self.first_event_at
        return first_at is not None and now - first_at >= BEGUN_AFTER_S

    def is_late(self, now: float) -> bool:
        """Whether the reply missed its objective or paused too long.

        The objective is for a stream's first event or for a whole reply.
        """
        first_at = now if self.first_event_at is None else self.first_event_at
        late = first_at - self.arrived_at > self.route.objective_s
        return late or (
            self.route.gap_s and self.longest_gap_s > self.route.gap_s
        )

    @property
    def priority(self) -> int:
        """The urgency, 0 first; a customer's own overrides the route's."""
        own = self.customer.priority if self.customer else None
        chosen = self.route.priority if own is None else own
        return max(0, min(LEAST_URGENT_PRIORITY, chosen))


def _limit_cost(request: ClientRequest, customer: Customer | None) -> float:
    """Return what a request costs of its customer's limit.

    That is one request, or its tokens where the limit counts tokens.
    """
    if customer is None or not customer.by_tokens:
        return 1.0
    if request.prompt_tokens is None:
        return customer.plain_tokens
    return float(request.prompt_tokens + (request.output_tokens or 0))
