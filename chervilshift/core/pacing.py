"""Pacing of replies that consist of many small parts.

Each part costs about the same work, whatever its size. A limit in bytes
therefore does not bound the work that a reply causes.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from weakref import WeakValueDictionary

__all__ = ["PARTS_PER_TURN", "BodyPacer", "PartBudget", "PartPacer"]

# Larger parts are bounded by limits in bytes.
SMALL_PART_BYTES = 512
# Sound senders of small parts stay below: lines of a table, tokens.
MAX_BURST_PARTS = 4096
PARTS_PER_S = 4000.0
# Other tasks run after this many parts at the latest.
PARTS_PER_TURN = 32
# The events of all streams of a node at the target load, docs/CAPACITY.md.
MAX_SHARED_PARTS_PER_S = 8192.0


class PartPacer:
    """Tells how long to wait after each part of one reply.

    `now` is monotonic, in seconds.
    """

    __slots__ = ("_began_at", "_small_parts", "_unyielded_parts")

    def __init__(self, *, now: float):
        self._began_at = now
        self._small_parts = 0
        self._unyielded_parts = 0

    def wait_s(self, size_bytes: int, now: float) -> float | None:
        """Return how long to wait after a part, None to go on at once.

        With 0, only other tasks have to run.
        """
        self._unyielded_parts += 1
        self._small_parts += size_bytes < SMALL_PART_BYTES
        excess = (
            self._small_parts
            - MAX_BURST_PARTS
            - (now - self._began_at) * PARTS_PER_S
        )
        if excess < PARTS_PER_TURN and self._unyielded_parts < PARTS_PER_TURN:
            return None
        self._unyielded_parts = 0
        return max(0.0, excess / PARTS_PER_S)


class _Owed:
    """Counts parts, which are forgotten at a rate."""

    __slots__ = ("__weakref__", "_at", "parts", "waiting")

    def __init__(self):
        self._at = float("-inf")
        self.parts = 0.0
        # How many waits of the parts' readers are in progress.
        self.waiting = 0

    def add(self, parts: int, parts_per_s: float, now: float) -> None:
        forgotten = max(0.0, now - self._at) * parts_per_s
        self.parts = max(0.0, self.parts - forgotten) + parts
        self._at = now


class BodyPacer:
    """Tells how long to wait after the parts of one reply.

    Replies of one endpoint share what is the endpoint's. A reply waits only
    if it, its endpoint and the process exceed their shares, so that what
    sound endpoints leave may be used by any other.
    """

    __slots__ = ("_body", "_budget", "_endpoint")

    def __init__(self, *, budget: "PartBudget", endpoint: _Owed):
        self._budget = budget
        self._endpoint = endpoint
        self._body = _Owed()

    def wait_s(self, parts: list[bytes], now: float) -> float | None:
        """Return how long to wait after parts, None to go on at once.

        With 0, only other tasks have to run. `now` is monotonic, in seconds.
        """
        small = len([part for part in parts if len(part) < SMALL_PART_BYTES])
        self._budget.owed.add(small, MAX_SHARED_PARTS_PER_S, now)
        if self._budget.owed.parts > MAX_BURST_PARTS:
            wait_s = self._excess_s(small, now)
            if wait_s > 0:
                return wait_s
        return 0.0 if len(parts) >= PARTS_PER_TURN else None

    def _excess_s(self, small: int, now: float) -> float:
        """Return after what time a share is no longer exceeded."""
        budget, endpoint, body = self._budget, self._endpoint, self._body
        others = budget.waiting_endpoints - (endpoint.waiting > 0)
        endpoint_rate = MAX_SHARED_PARTS_PER_S / (others + 1)
        body_rate = endpoint_rate / (endpoint.waiting + 1)
        endpoint.add(small, endpoint_rate, now)
        body.add(small, body_rate, now)
        return min(
            (budget.owed.parts - MAX_BURST_PARTS) / MAX_SHARED_PARTS_PER_S,
            (endpoint.parts - PARTS_PER_TURN) / endpoint_rate,
            (body.parts - PARTS_PER_TURN) / body_rate,
        )

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Count the reply among those that wait; they share the rate."""
        endpoint = self._endpoint
        self._budget.waiting_endpoints += endpoint.waiting == 0
        endpoint.waiting += 1
        try:
            yield
        finally:
            endpoint.waiting -= 1
            self._budget.waiting_endpoints -= endpoint.waiting == 0


class PartBudget:
    """Shares the work on small parts among endpoints and their replies."""

    __slots__ = ("_endpoints", "owed", "waiting_endpoints")

    def __init__(self):
        self.owed = _Owed()
        self.waiting_endpoints = 0
        self._endpoints: WeakValueDictionary[str, _Owed] = (
            WeakValueDictionary()
        )

    def open_body(self, endpoint_id: str) -> BodyPacer:
        """Return the pacer of one more reply of an endpoint."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            endpoint = self._endpoints[endpoint_id] = _Owed()
        return BodyPacer(budget=self, endpoint=endpoint)
