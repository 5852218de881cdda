"""Looks up a request's route, and a customer by key."""

from collections import defaultdict
from itertools import accumulate

from chervilshift.core.fleet.model import (
    Customer,
    Route,
    ServingConfig,
    Target,
)

__all__ = ["RouteTable", "pick_target"]


class RouteTable:
    """Routes and customers of one configuration, indexed for lookup."""

    __slots__ = ("_by_host", "_by_key", "cfg")

    def __init__(self, *, cfg: ServingConfig):
        self.cfg = cfg
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in cfg.routes:
            by_host[route.host.lower()].append(route)
        self._by_host = {
            host: sorted(routes, key=lambda r: -len(r.prefix))
            for host, routes in by_host.items()
        }
        self._by_key = {
            key: customer
            for customer in cfg.customers
            for key in customer.keys
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of `path`."""
        routes = self._by_host.get(host.lower(), ())
        return next((r for r in routes if path.startswith(r.prefix)), None)

    def customer(self, key: str) -> Customer | None:
        """Return the customer that the key belongs to, or None."""
        return self._by_key.get(key)

    @property
    def needs_key(self) -> bool:
        """Whether requests need a key, except on public routes."""
        return bool(self.cfg.customers)


def pick_target(targets: tuple[Target, ...], sample: float) -> str:
    """Return the service at `sample`, in [0, 1), of the total weight."""
    cumulative_weights = tuple(accumulate(target.weight for target in targets))
    threshold = sample * cumulative_weights[-1]
    return next(
        target.service
        for target, upper in zip(targets, cumulative_weights, strict=True)
        if threshold < upper
    )
