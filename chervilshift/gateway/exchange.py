"""What is known of one request while it is under way."""

from chervilshift.core.fleet.model import Customer, Route
from chervilshift.core.fleet.placement import Work
from chervilshift.gateway.dialect import Call
from chervilshift.gateway.relay import Relay

__all__ = ["Exchange"]

# The least urgent priority that endpoints know; 0 is the most urgent.
PRIORITY_MAX = 9


class Exchange:
    """One request under way and what is known of its attempts.

    `maybe_ran` is true once an endpoint may have run it.
    """

    __slots__ = (
        "amount",
        "arrived_at",
        "body",
        "call",
        "charged",
        "connects",
        "counted",
        "customer",
        "ends_at",
        "events_at",
        "endpoints",
        "failures",
        "first_at",
        "gap_s",
        "maybe_ran",
        "relay",
        "route",
        "sends",
        "service",
        "tried",
        "work",
    )

    def __init__(
        self,
        *,
        call: Call,
        route: Route,
        customer: Customer | None,
        body: bytes,
        arrived_at: float,
        service: str,
    ):
        self.call = call
        self.route = route
        self.customer = customer
        self.body = body
        self.arrived_at = arrived_at
        self.service = service
        waits_s = min(call.deadline_s or route.timeout_s, route.timeout_s)
        self.ends_at = arrived_at + waits_s
        self.work = Work(
            tokens=call.prompt_tokens or 0,
            output_tokens=call.output_tokens or 0,
            parts=tuple((p.id, p.tokens) for p in call.parts),
        )
        self.amount = _amount(call, customer)
        self.charged = False
        self.counted = False
        self.maybe_ran = False
        self.sends = 0
        self.connects = 0
        self.tried: set[str] = set()
        self.failures: list[str] = []
        self.endpoints: list[str] = []
        self.first_at: float | None = None
        self.gap_s = 0.0
        self.events_at = 0.0
        self.relay: Relay | None = None

    @property
    def id(self) -> str:
        """The request's identity, for logs."""
        return self.call.id.decode("latin-1")

    def saw_events(self, now: float) -> None:
        """Note that events of the stream came."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.gap_s = max(self.gap_s, now - self.events_at)
        self.events_at = now

    def is_late(self, now: float) -> bool:
        """Whether the answer missed its objective or paused too long."""
        first_at = now if self.first_at is None else self.first_at
        late = first_at - self.arrived_at > self.route.objective_s
        return late or (self.route.gap_s and self.gap_s > self.route.gap_s)

    @property
    def priority(self) -> int:
        """The urgency, 0 first; the customer's goes before the route's."""
        own = self.customer.priority if self.customer else None
        chosen = self.route.priority if own is None else own
        return max(0, min(PRIORITY_MAX, chosen))


def _amount(call: Call, customer: Customer | None) -> float:
    """Return what a request costs of its customer's limit."""
    if customer is None or not customer.by_tokens:
        return 1.0
    if call.prompt_tokens is None:
        return customer.plain_tokens
    return float(call.prompt_tokens + (call.output_tokens or 0))
