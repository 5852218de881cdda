"""Looks up a request's route, and a customer by key."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import accumulate

from chervilshift.core.fleet.model import (
    Customer,
    Route,
    ServingConfig,
    Target,
)

__all__ = ["RouteTable", "pick_target"]


class RouteTable:
    """Routes and customers of one configuration, indexed for lookup.

    Prefixes end with a slash, so the prefixes of a path that a route may have
    are those up to each of its slashes.
    """

    __slots__ = ("_by_host", "_by_key", "cfg")

    def __init__(self, *, cfg: ServingConfig):
        self.cfg = cfg
        self._by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in cfg.routes:
            self._by_host[route.host.lower()][route.prefix] = route
        self._by_key = {
            key: customer
            for customer in cfg.customers
            for key in customer.keys
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of `path`."""
        routes = self._by_host.get(host.lower())
        if not routes:
            return None
        found = (routes.get(prefix) for prefix in _prefixes(path))
        return next((route for route in found if route), None)

    def customer(self, key: str) -> Customer | None:
        """Return the customer that the key belongs to, or None."""
        return self._by_key.get(key)

    @property
    def needs_key(self) -> bool:
        """Whether requests need a key, except on public routes."""
        return bool(self.cfg.customers)


def _prefixes(path: str) -> Iterator[str]:
    """Yield the parts of a path up to each slash, the longest first."""
    end = len(path)
    while (slash := path.rfind("/", 0, end)) >= 0:
        yield path[: slash + 1]
        end = slash


def pick_target(targets: tuple[Target, ...], sample: float) -> str:
    """Return the service at `sample`, in [0, 1), of the total weight."""
    cumulative_weights = tuple(accumulate(target.weight for target in targets))
    threshold = sample * cumulative_weights[-1]
    return next(
        target.service
        for target, upper in zip(targets, cumulative_weights, strict=True)
        if threshold < upper
    )
