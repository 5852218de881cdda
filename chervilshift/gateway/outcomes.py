"""Tells how requests ended: counters, and a line for what went wrong."""

from chervilshift.clock import Clock
from chervilshift.core.fleet.placement import Choice
from chervilshift.events import EventLog
from chervilshift.gateway.exchange import Exchange
from chervilshift.gateway.state import GatewayState
from chervilshift.metrics import Metrics

__all__ = ["Outcomes", "describe_choice"]


class Outcomes:
    """Counts the ends of requests and logs those that failed or were late."""

    __slots__ = ("_clock", "_events", "_metrics", "_state")

    def __init__(
        self,
        *,
        state: GatewayState,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ):
        self._state = state
        self._clock = clock
        self._events = events
        self._metrics = metrics

    def note(self, exchange: Exchange, outcome: str, reason: str = "") -> None:
        """Count an end, and tell it where it failed or was late."""
        self._metrics.count(f"requests_{outcome.lower()}")
        now = self._clock.monotonic()
        late = exchange.is_late(now)
        if exchange.gap_s:
            self._metrics.observe("longest_gap", exchange.gap_s)
        if late:
            self._metrics.count("requests_late")
        if not reason and not exchange.failures and not late:
            return
        first_s = None
        if exchange.first_at is not None:
            first_s = round(exchange.first_at - exchange.arrived_at, 3)
        self._events.emit(
            "request",
            urgent=bool(reason),
            request=exchange.id,
            route=exchange.route.name,
            service=exchange.service,
            outcome=outcome,
            reason=reason,
            late=bool(late),
            attempts=exchange.sends,
            endpoints=exchange.endpoints,
            failures=exchange.failures,
            first_s=first_s,
            gap_s=round(exchange.gap_s, 3),
            took_s=round(now - exchange.arrived_at, 3),
            version=self._state.version,
        )


def describe_choice(choice: Choice, after_s: float) -> str:
    """Return what an attempt's choice went by, for logs."""
    endpoint, others = choice.endpoint, choice.endpoint.other_load
    return (
        f"{endpoint.id} active {endpoint.active}+{others.active} "
        f"unread {endpoint.prefill_tokens}+{others.prefill_tokens} "
        f"wait {choice.wait_s:.3f} after {after_s:.3f}"
    )
