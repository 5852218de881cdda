"""Reserve of rate limits at a control process of a large fleet."""

from collections.abc import Iterable

from chervilshift.core.fleet.limits import EndpointLimit, Limit, LimitPolicy
from chervilshift.core.fleet.tables import forget_unnamed

__all__ = ["LimitPool"]


class LimitPool:
    """A control process's part in a large fleet: grants out of a reserve.

    The reserve was granted in advance, so it may be spent whether or not the
    leader can be reached.
    """

    __slots__ = (
        "_asked",
        "_balances",
        "_limits",
        "_policy",
        "_size",
        "_unmet",
    )

    def __init__(self, *, policy: LimitPolicy):
        self._policy = policy
        self._limits: dict[str, Limit] = {}
        # Numbers of gateways and of control processes.
        self._size = (1, 1)
        self._balances: dict[str, float] = {}
        # What the leader was asked for and has not replied to.
        self._asked: dict[str, float] = {}
        # What gateways wait for, by gateway id and limit.
        self._unmet: dict[str, dict[str, float]] = {}

    def configure(
        self, limits: Iterable[Limit], gateways: int, replicas: int
    ) -> None:
        """Set the limits, and how many processes share them."""
        self._limits = {i.name: i for i in limits if i.rate_per_s > 0}
        self._size = (gateways, replicas)
        forget_unnamed(self._balances, self._limits)
        forget_unnamed(self._asked, self._limits)

    def add(self, grants: dict[str, float]) -> None:
        """Add what the leader has granted."""
        for name, amount in grants.items():
            self._balances[name] = self._balances.get(name, 0.0) + amount

    def take(
        self,
        gateway_id: str,
        needed: dict[str, float],
        prefetch: dict[str, float],
    ) -> dict[str, float]:
        """Return the amounts granted to one gateway, by limit.

        What the reserve lacks for `needed` is asked of the leader.
        """
        unmet = self._lacking(needed)
        grants = {
            name: amount
            for name, amount in needed.items()
            if name in self._limits and name not in unmet and amount > 0
        }
        for name, amount in grants.items():
            self._balances[name] -= amount
        for name, amount in prefetch.items():
            if name in unmet or name not in self._limits or amount <= 0:
                continue
            # The reserve is for requests; only its upper half is prefetched.
            spare = self._balances.get(name, 0.0) - self._cap(name) / 2
            if spare >= amount:
                self._balances[name] -= amount
                grants[name] = grants.get(name, 0.0) + amount
        self._note(gateway_id, unmet)
        return grants

    def request(self, gateway_id: str, needed: dict[str, float]) -> bool:
        """Note what a gateway waits for; True if the leader has to grant."""
        unmet = self._lacking(needed)
        self._note(gateway_id, unmet)
        return bool(unmet)

    def drop(self, gateway_id: str) -> None:
        """Forget what a gateway waits for."""
        self._unmet.pop(gateway_id, None)

    def ask(self) -> dict[str, float]:
        """Return what to ask the leader for, until `answered`."""
        needed = self.needed()
        for name, amount in needed.items():
            self._asked[name] = self._asked.get(name, 0.0) + amount
        return needed

    def answered(self, asked: dict[str, float]) -> None:
        """Note that the leader has replied, or that no reply will come."""
        for name, amount in asked.items():
            self._asked[name] = self._asked.get(name, 0.0) - amount

    def needed(self) -> dict[str, float]:
        """Return what gateways wait for beyond the reserve and requests."""
        wanted: dict[str, float] = {}
        for unmet in self._unmet.values():
            for name, amount in unmet.items():
                wanted[name] = wanted.get(name, 0.0) + amount
        lacking = (
            (
                name,
                amount
                - self._balances.get(name, 0.0)
                - self._asked.get(name, 0.0),
            )
            for name, amount in wanted.items()
        )
        return {name: amount for name, amount in lacking if amount > 0}

    def prefetch(self) -> dict[str, float]:
        """Return what the reserve lacks up to its cap."""
        gaps = (
            (name, self._cap(name) - self._balances.get(name, 0.0))
            for name in self._limits
        )
        return {name: gap for name, gap in gaps if gap > 0}

    def _lacking(self, needed: dict[str, float]) -> dict[str, float]:
        return {
            name: amount
            for name, amount in needed.items()
            if name in self._limits and amount > self._balances.get(name, 0.0)
        }

    def _note(self, gateway_id: str, unmet: dict[str, float]) -> None:
        self._unmet.pop(gateway_id, None)
        if unmet:
            self._unmet[gateway_id] = unmet

    def _cap(self, name: str) -> float:
        limit = self._limits[name]
        if isinstance(limit, EndpointLimit):
            return 0.0
        return self._policy.pool_cap(limit, *self._size)
