"""Chooses the gateways that a client is told to connect to."""

from collections.abc import Iterable
from itertools import islice

from chervilshift.core.fleet.sync import GatewayInfo

__all__ = ["choose_gateways"]

# With fewer near gateways, one failure would leave a client with none.
MIN_ADDRESSES = 2


def choose_gateways(
    gateways: Iterable[GatewayInfo], region: str, most: int
) -> tuple[str, ...]:
    """Return addresses near a client; all when too few are near.

    Every ready gateway of the client's region is offered, so that none is
    idle while its neighbours are loaded.
    """
    ready = sorted(gateways, key=lambda g: g.id)
    near = [g for g in ready if g.region == region]
    chosen = near if len(near) >= MIN_ADDRESSES else ready
    return tuple(g.address for g in islice(chosen, most))
