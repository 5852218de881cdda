"""HTTP client for orders, which tell endpoints which adapters to load."""

import httpcore
import msgspec

from chervilshift.core.orders import ORDER_TIMEOUT_S, Order
from chervilshift.endpoints.connection import HTTP_ERRORS
from chervilshift.outgoing import CommandBackend, socket_options

__all__ = ["OrderClient"]


class OrderClient:
    """Sends orders; their effect is seen in the endpoint's announcements."""

    __slots__ = ()

    async def send(self, order: Order) -> bool:
        """Send one order; return whether the endpoint accepted it.

        After a connection error the result is False, though the order may
        have arrived.
        """
        timeouts = dict.fromkeys(("connect", "read", "write"), ORDER_TIMEOUT_S)
        content = msgspec.json.encode(
            {"token": order.token, "adapters": order.adapters}
        )
        try:
            async with httpcore.AsyncConnectionPool(
                network_backend=CommandBackend(),
                socket_options=socket_options(ORDER_TIMEOUT_S),
            ) as pool:
                response = await pool.request(
                    "POST",
                    f"http://{order.address}/v1/orders",
                    content=content,
                    extensions={"timeout": timeouts},
                )
        except HTTP_ERRORS:
            return False
        return response.status == 200
