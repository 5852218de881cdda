"""Selects the gateway addresses that a client lookup returns."""

from collections.abc import Iterable
from itertools import islice

from chervilshift.core.fleet.sync import GatewayInfo

__all__ = ["choose_gateways"]

# With fewer gateways in the client's region, one failure would leave the
# client without any.
MIN_ADDRESSES = 2


def choose_gateways(
    gateways: Iterable[GatewayInfo], region: str, max_addresses: int
) -> tuple[str, ...]:
    """Return the addresses of the gateways in a client's region.

    `gateways` are those that clients may connect to. Gateways of all regions
    are returned if the region has too few. All of the region's gateways are
    returned, up to `max_addresses`, so that none is idle while others are
    loaded.
    """
    ordered = sorted(gateways, key=lambda g: g.id)
    near = [g for g in ordered if g.region == region]
    chosen = near if len(near) >= MIN_ADDRESSES else ordered
    return tuple(g.address for g in islice(chosen, max_addresses))
