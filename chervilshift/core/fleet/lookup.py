"""Selects the gateway addresses that a client lookup returns."""

from collections.abc import Iterable
from itertools import islice

from chervilshift.core.fleet.hashing import hash64
from chervilshift.core.fleet.sync import GatewayInfo

__all__ = ["choose_gateways"]

# With fewer gateways in the client's region, one failure would leave the
# client without any.
MIN_ADDRESSES = 2


def choose_gateways(
    gateways: Iterable[GatewayInfo],
    region: str,
    failure_domain: str,
    max_addresses: int,
) -> tuple[str, ...]:
    """Return the addresses of the gateways in a client's region.

    `gateways` are those that clients may connect to. Gateways of all regions
    are returned if the region has too few. All of the region's gateways are
    returned if they are not more than `max_addresses`, so that none is idle
    while others are loaded. Otherwise those of the client's failure domain
    come first, then others in an order that differs by domain, so that the
    clients of all domains together use all gateways alike.
    """
    known = tuple(gateways)
    near = [g for g in known if g.region == region]
    chosen = near if len(near) >= MIN_ADDRESSES else known

    def rank(gateway: GatewayInfo) -> tuple[bool, int]:
        order = hash64(f"{failure_domain}|{gateway.id}")
        return gateway.failure_domain != failure_domain, order

    if len(chosen) > max_addresses:
        chosen = sorted(chosen, key=rank)
    kept = islice(chosen, max_addresses)
    return tuple(g.address for g in sorted(kept, key=lambda g: g.id))
