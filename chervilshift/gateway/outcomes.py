"""Reports how requests ended: counters, and log events for the bad ends."""

from chervilshift.clock import Clock
from chervilshift.core.fleet.placement import Choice, Endpoint
from chervilshift.events import EventLog
from chervilshift.gateway.exchange import Exchange
from chervilshift.gateway.state import GatewayState
from chervilshift.metrics import Metrics

__all__ = ["Outcomes", "describe_choice"]


class Outcomes:
    """Counts all requests by outcome and logs those that failed or were late.

    A request is also logged if one of its attempts failed.
    """

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

    def record(
        self, exchange: Exchange, outcome: str, reason: str = ""
    ) -> None:
        """Count the end of a request, and log it where it went wrong.

        `outcome` is the reply's status, "whole" for a complete stream, or
        the name of a failure, whose text is the `reason`.
        """
        self._metrics.count(f"requests_{outcome.lower()}")
        now = self._clock.monotonic()
        late = exchange.is_late(now)
        if exchange.longest_gap_s:
            self._metrics.observe("longest_gap", exchange.longest_gap_s)
        if late:
            self._metrics.count("requests_late")
        if not reason and not exchange.failures and not late:
            return
        first_s = None
        if exchange.first_event_at is not None:
            first_s = round(exchange.first_event_at - exchange.arrived_at, 3)
        self._events.emit(
            "request",
            urgent=bool(reason),
            request=exchange.id,
            resumes=exchange.request.resumed_id.decode("latin-1"),
            route=exchange.route.name,
            service=exchange.service,
            outcome=outcome,
            reason=reason,
            late=bool(late),
            attempts=exchange.attempts_sent,
            endpoints=exchange.attempts,
            failures=exchange.failures,
            first_s=first_s,
            gap_s=round(exchange.longest_gap_s, 3),
            took_s=round(now - exchange.arrived_at, 3),
            version=self._state.version,
        )

    def record_break(self, exchange: Exchange, endpoint: Endpoint) -> None:
        """Log that an endpoint broke off a request.

        A suspect is a request that may be why the endpoint crashed.
        """
        self._metrics.count("requests_broken_off")
        self._events.emit(
            "request_broken_off",
            urgent=True,
            request=exchange.id,
            endpoint=endpoint.id,
            state=endpoint.record.state,
            suspect=exchange.is_suspect(self._clock.monotonic()),
            parts=exchange.suspect_ids,
        )


def describe_choice(choice: Choice, elapsed_s: float) -> str:
    """Return why an attempt's endpoint was chosen, for logs.

    The version is that of the endpoint's software. Requests there (`active`)
    and prompt tokens still to be prefilled there (`unread`) are given as this
    gateway's own plus those of other gateways; then the predicted wait and
    the time since the request's arrival, in seconds.
    """
    endpoint, others = choice.endpoint, choice.endpoint.other_load
    return (
        f"{endpoint.id} version {endpoint.record.version or '-'} "
        f"active {endpoint.active}+{others.active} "
        f"unread {endpoint.prefill_tokens}+{others.prefill_tokens} "
        f"wait {choice.wait_s:.3f} after {elapsed_s:.3f}"
    )
