"""Admits requests to the endpoints of a service that is short of room."""

import anyio

from chervilshift.clock import Clock
from chervilshift.core.fleet.placement import Choice, Endpoint
from chervilshift.gateway.chooser import EndpointChooser
from chervilshift.gateway.exchange import Exchange
from chervilshift.gateway.state import GatewayState
from chervilshift.metrics import Metrics

__all__ = ["NoRoom", "RoomAdmission"]

# A less urgent request is held rather than sent to an engine where it would
# make the most urgent ones wait for more than this part of their objective.
MAX_URGENT_WAIT_SHARE = 0.6
# The longest hold, as a part of the request's own objective.
MAX_HOLD_SHARE = 1 / 8
HOLD_STEP_S = 0.04
# With fewer of the slots taken and less queued, a service has room. What is
# queued is in seconds of reading, as a part of the most urgent objective: a
# prompt that is just being read is not queued.
ROOMY_SLOTS_SHARE = 0.5
ROOMY_QUEUE_SHARE = 0.1


class NoRoom(Exception):
    """A request is refused; `retry_after_s` is when it may return."""

    def __init__(self, reason: str, retry_after_s: float):
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class RoomAdmission:
    """Applies the level of the fleet, and checks the predicted wait."""

    __slots__ = ("_chooser", "_clock", "_metrics", "_state")

    def __init__(
        self,
        *,
        state: GatewayState,
        chooser: EndpointChooser,
        clock: Clock,
        metrics: Metrics,
    ):
        self._state = state
        self._chooser = chooser
        self._clock = clock
        self._metrics = metrics

    def arrive(self, exchange: Exchange) -> None:
        """Count a request; raise NoRoom if the fleet's level excludes it."""
        gate, service = self._state.room, exchange.service
        objective_s = exchange.route.objective_s
        exchange.room = gate.arrive(
            service,
            exchange.priority,
            objective_s,
            exchange.arrived_at + objective_s,
        )
        now = self._clock.monotonic()
        if (
            gate.level(service) is None
            or exchange.is_taken_up
            or not self._state.follows_leader(now)
            or gate.admits(service, exchange.priority)
            or self._is_roomy(exchange, now)
        ):
            return
        self._refuse(
            exchange, "less urgent than what the service has room for"
        )

    async def choose(self, exchange: Exchange) -> Choice | None:
        """Return the endpoint for the first attempt, None without any.

        Raises NoRoom if the request can't be served before its deadline.
        """
        choice = await self._chooser.choose(exchange)
        hold_until = self._clock.monotonic() + (
            MAX_HOLD_SHARE * exchange.route.objective_s
        )
        while (
            choice is not None
            and self._delays_urgent(exchange, choice)
            and not self._state.endpoint_limits.limited_ids()
        ):
            left_s = hold_until - self._clock.monotonic()
            if left_s <= 0:
                break
            self._metrics.count("room_holds")
            await anyio.sleep(min(left_s, HOLD_STEP_S))
            choice = await self._chooser.choose(exchange)
        if choice is not None:
            if self._is_hopeless(exchange, choice):
                self._refuse(exchange, "its turn comes after its deadline")
            exchange.room.sent(self._work(exchange, choice))
        return choice

    def _refuse(self, exchange: Exchange, reason: str) -> None:
        exchange.room.refused()
        self._metrics.count("room_refusals")
        remaining_s = exchange.deadline_at - self._clock.monotonic()
        raise NoRoom(
            f"no room at the service: {reason}",
            self._state.room.retry_after_s(exchange.service, remaining_s),
        )

    def _delays_urgent(self, exchange: Exchange, choice: Choice) -> bool:
        """Return whether the most urgent requests would be late behind it."""
        urgent_s = self._state.room.urgent_objective_s(
            exchange.service, exchange.priority
        )
        return (
            urgent_s is not None
            and choice.wait_s > MAX_URGENT_WAIT_SHARE * urgent_s
            and _is_queued(choice.endpoint)
        )

    def _is_hopeless(self, exchange: Exchange, choice: Choice) -> bool:
        now = self._clock.monotonic()
        return (
            now + choice.wait_s >= exchange.deadline_at
            and _is_queued(choice.endpoint)
            and not choice.endpoint.health.stalled_s(now)
            and not self._is_roomy(exchange, now)
        )

    def _work(self, exchange: Exchange, choice: Choice) -> float:
        spec = self._state.table.cfg.services[exchange.service]
        return 1.0 if spec.engine is None else float(choice.uncached_tokens)

    def _is_roomy(self, exchange: Exchange, now: float) -> bool:
        """Return whether few slots are taken and hardly anything is queued."""
        service, objective_s = exchange.service, exchange.route.objective_s
        urgent_s = self._state.room.urgent_objective_s(
            service, exchange.priority
        )
        endpoints = [
            e
            for e in self._state.placement.endpoints_of(service)
            if e.usable(now)
        ]
        slots = sum(e.record.slots for e in endpoints)
        active = sum(e.total_active() for e in endpoints)
        queued = sum(e.queued_tokens for e in endpoints)
        tokens_per_s = self._state.placement.prefill_speed(service)
        queue_s = ROOMY_QUEUE_SHARE * min(urgent_s or objective_s, objective_s)
        return (
            active < ROOMY_SLOTS_SHARE * slots
            and queued < queue_s * tokens_per_s * len(endpoints)
        )


def _is_queued(endpoint: Endpoint) -> bool:
    """Return whether an endpoint has more to do than it does at once."""
    return (
        endpoint.queued_tokens > 0
        or endpoint.total_active() >= endpoint.record.slots
    )
