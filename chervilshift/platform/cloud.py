"""Calls to the platform's cloud: usage reports and orders for endpoints."""

import anyio
import httpcore
import msgspec
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.endpoints.connection import HTTP_ERRORS
from chervilshift.errors import CloudRefused, Failure
from chervilshift.outgoing import CommandBackend, socket_options

__all__ = ["CloudClient"]

# The platform may be slow; the leader repeats a failed call while its lease
# lasts.
CALL_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 2


class CloudClient:
    """Makes the calls that only the leader of the control processes may make.

    Each call carries `holder`, the name of this process, and `token`, its
    fencing token as leader. The calls fail with CloudRefused; one that has
    failed does not reach the cloud later.
    """

    __slots__ = ("_holder", "_pool", "_url")

    def __init__(self, *, address: str, holder: str):
        self._url = f"http://{address}"
        self._holder = holder
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            network_backend=CommandBackend(),
            retries=0,
            socket_options=socket_options(CALL_TIMEOUT_S),
        )

    async def report_usage(
        self, window: int, counts: dict[str, int], token: int
    ) -> Result[None, Failure]:
        """Report the requests started in a usage window, per customer."""
        body = {"window": window, "counts": counts}
        return await self._post("/usage", body, token)

    async def order(
        self,
        service: str,
        failure_domain: str,
        count: int,
        *,
        spot: bool,
        token: int,
    ) -> Result[None, Failure]:
        """Set the desired number of a service's endpoints in a failure domain.

        `spot` selects reclaimable endpoints instead of on-demand ones.
        """
        body: dict[str, object] = {
            "service": service,
            "zone": failure_domain,
            "desired": count,
        }
        if spot:
            body["spot"] = True
        return await self._post("/scale", body, token)

    async def _post(
        self, path: str, body: dict, token: int
    ) -> Result[None, Failure]:
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                response = await self._pool.request(
                    "POST",
                    self._url + path,
                    headers=[
                        (b"content-type", b"application/json"),
                        (b"duty-holder", self._holder.encode()),
                        (b"fence-token", str(token).encode()),
                    ],
                    content=msgspec.json.encode(body),
                )
        except HTTP_ERRORS as exc:
            return Bad(CloudRefused(path=path, reason=type(exc).__name__))
        if response.status != 200:
            return Bad(CloudRefused(path=path, reason=str(response.status)))
        return Success(None)
