"""Finds a request's route and the customer behind its key."""

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
    """One configuration, indexed for requests."""

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
        """Return the route with the longest prefix that begins `path`."""
        routes = self._by_host.get(host.lower(), ())
        return next((r for r in routes if path.startswith(r.prefix)), None)

    def customer(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        return self._by_key.get(key)

    @property
    def needs_key(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return bool(self.cfg.customers)


def pick_target(targets: tuple[Target, ...], chance: float) -> str:
    """Return a service by weight; `chance` lies in [0, 1)."""
    ends = tuple(accumulate(target.weight for target in targets))
    aim = chance * ends[-1]
    return next(
        target.service
        for target, end in zip(targets, ends, strict=True)
        if aim < end
    )
