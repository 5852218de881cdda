"""Endpoints that ask a gateway, in their replies, to send nothing more.

An endpoint that leaves gets no further requests until its incarnation ends.
One that refuses a request and names a time gets none from this gateway until
then. Both hold without contact to control.
"""

from random import Random

from chervilshift.core.fleet.model import EndpointRecord

__all__ = ["MAX_HOLD_S", "EndpointHolds"]

# Longest time for which an endpoint is held; a stated longer one is a fault.
MAX_HOLD_S = 60.0
# Gateways return to an endpoint at random within this part of the stated time,
# and at most this long, after its end.
RETURN_SHARE = 0.25
MAX_RETURN_S = 1.0


class EndpointHolds:
    """Incarnations of endpoints that get no requests from this gateway.

    `now` is monotonic time.
    """

    __slots__ = ("_held_until", "_leaving", "_rng")

    def __init__(self, *, rng: Random):
        self._rng = rng
        # Incarnations, by endpoint id.
        self._leaving: dict[str, int] = {}
        # The end of the hold, by endpoint id and incarnation.
        self._held_until: dict[tuple[str, int], float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint is known to leave or to have refused."""
        return not self._leaving and not self._held_until

    def record_leaving(self, endpoint: EndpointRecord) -> bool:
        """Record that an endpoint leaves; return whether that is news."""
        known = self._leaving.get(endpoint.id, -1)
        if known >= endpoint.born_ms:
            return False
        self._leaving[endpoint.id] = endpoint.born_ms
        return True

    def record_refusal(
        self, endpoint: EndpointRecord, retry_after_s: float, now: float
    ) -> float:
        """Record the time that a refusal names; return the time applied.

        It replaces the time of an earlier refusal, also by a shorter one.
        """
        hold_s = min(MAX_HOLD_S, retry_after_s)
        spread_s = min(MAX_RETURN_S, RETURN_SHARE * hold_s)
        hold_s += self._rng.random() * spread_s
        self._held_until[endpoint.id, endpoint.born_ms] = now + hold_s
        return hold_s

    def excludes(self, endpoint: EndpointRecord, now: float) -> bool:
        """Return whether an endpoint gets no requests now."""
        return self.is_leaving(endpoint) or self.remaining_s(endpoint, now) > 0

    def is_leaving(self, endpoint: EndpointRecord) -> bool:
        """Return whether an endpoint said that it leaves."""
        return self._leaving.get(endpoint.id) == endpoint.born_ms

    def leaving(self) -> dict[str, int]:
        """Return the incarnations that leave, by endpoint id."""
        return dict(self._leaving)

    def remaining_s(self, endpoint: EndpointRecord, now: float) -> float:
        """Return the seconds for which an endpoint is held, 0 if it is not."""
        key = (endpoint.id, endpoint.born_ms)
        return max(0.0, self._held_until.get(key, now) - now)

    def held_count(self, now: float) -> int:
        """Return the number of endpoints that are held after a refusal."""
        return sum(until > now for until in self._held_until.values())

    def retain(self, born_ms: dict[str, int]) -> None:
        """Forget endpoints but the incarnations of these, by endpoint id."""
        self._leaving = {
            endpoint_id: born
            for endpoint_id, born in self._leaving.items()
            if born_ms.get(endpoint_id) == born
        }
        self._held_until = {
            (endpoint_id, born): until
            for (endpoint_id, born), until in self._held_until.items()
            if born_ms.get(endpoint_id) == born
        }
