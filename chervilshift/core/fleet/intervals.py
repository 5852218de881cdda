"""How often gateways report to control, and how long silence may last.

In a small fleet all gateways report to the leader. In a larger one each
reports to a control process near it, which relays the reports to the leader
in batches. The control process sets the interval by the number of gateways
that it serves, so that its load stays bounded at any size of the fleet.
"""

__all__ = [
    "DIRECT_INTERVAL_S",
    "MAX_DIRECT_GATEWAYS",
    "RELAY_INTERVAL_S",
    "fallback_after_s",
    "is_relayed",
    "load_expiry_s",
    "listing_timeout_s",
    "report_interval_s",
    "reserve_after_s",
]

# Fleets of up to this many gateways report to the leader.
MAX_DIRECT_GATEWAYS = 24
DIRECT_INTERVAL_S = 0.25
# Followers relay to the leader in this interval, earlier if a gateway waits
# for a grant.
RELAY_INTERVAL_S = 0.25
# Interval per served gateway, and its largest value.
INTERVAL_PER_GATEWAY_S = 0.0125
MAX_INTERVAL_S = 2.0
# Silence of a gateway in a small fleet: after the first, the leader reserves
# the gateway's fallback share, after the second the gateway may spend it.
DIRECT_RESERVE_AFTER_S = 0.55
DIRECT_FALLBACK_AFTER_S = 0.8
# Allowance for the link between regions, and for a report that waits for its
# turn at a loaded process.
DELAY_MARGIN_S = 0.3
MIN_LISTING_TIMEOUT_S = 1.5
MIN_LOAD_EXPIRY_S = 2.0


def is_relayed(gateways: int) -> bool:
    """Whether the gateways of a fleet of this size report to followers."""
    return gateways > MAX_DIRECT_GATEWAYS


def report_interval_s(served: int) -> float:
    """Return the interval for gateways of a process that serves `served`."""
    interval_s = served * INTERVAL_PER_GATEWAY_S
    return min(MAX_INTERVAL_S, max(DIRECT_INTERVAL_S, interval_s))


def reserve_after_s(interval_s: float, *, relayed: bool) -> float:
    """Return the silence after which a gateway's share is reserved."""
    if not relayed:
        return DIRECT_RESERVE_AFTER_S
    return interval_s + RELAY_INTERVAL_S + DELAY_MARGIN_S


def fallback_after_s(interval_s: float, *, relayed: bool) -> float:
    """Return the silence after which a gateway may spend its share.

    Later than the leader reserves it: a last report may have reached the
    leader although its reply was lost.
    """
    if not relayed:
        return DIRECT_FALLBACK_AFTER_S
    last_report_s = interval_s + RELAY_INTERVAL_S
    return last_report_s + reserve_after_s(interval_s, relayed=True)


def listing_timeout_s(interval_s: float) -> float:
    """Return the silence after which clients are not sent to a gateway."""
    return max(MIN_LISTING_TIMEOUT_S, 3 * interval_s + RELAY_INTERVAL_S)


def load_expiry_s(interval_s: float) -> float:
    """Return the silence after which reported load is taken as ended."""
    return max(MIN_LOAD_EXPIRY_S, 4 * interval_s)
