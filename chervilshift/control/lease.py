"""Waits of a leader for its lease."""

import anyio

from chervilshift.control.node import Node

__all__ = ["wait_lease"]

# A new leader, or one whose confirmations are late, has no lease for a moment.
# Reads and relays wait for that.
LEASE_WAIT_S = 0.3


async def wait_lease(node: Node) -> bool:
    """Return whether a replica holds the lease, or gets it at once."""
    with anyio.move_on_after(LEASE_WAIT_S):
        while node.raft.is_leader and not node.has_lease():
            await node.wait_lease_known()
    return node.has_lease()
