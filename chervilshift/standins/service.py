"""A stand-in plain service that counts the calls it runs."""

from collections import Counter

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

__all__ = ["ServiceBehaviour", "ServiceStandin"]

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class ServiceBehaviour(msgspec.Struct, kw_only=True):
    """Behaviour of the stand-in; tests change it while it runs.

    A call takes `delay_ms`. `hang_up` runs the call but closes the connection
    during the answer; `refuse` answers 503 with the `x-not-run` header.
    `fail_status` is that of the answers to calls that were run, 0 for success;
    any but 503 has the header too, as a service might that sets it wrongly.
    """

    delay_ms: float = 1.0
    hang_up: bool = False
    refuse: bool = False
    fail_status: int = 0


class _ConnectionAborted(Exception):
    """Makes the server close the connection during an answer."""


class _AbortedResponse(Response):
    """An answer that ends after its head."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send):
        size = (b"content-length", b"100")
        await send(
            {"type": "http.response.start", "status": 200, "headers": [size]}
        )
        raise _ConnectionAborted


class ServiceStandin:
    """Echoes calls; counts executions by the call's `x-mark` header."""

    def __init__(self, *, name: str, behaviour: ServiceBehaviour):
        self.behaviour = behaviour
        self.executions: Counter[str] = Counter()
        self.running = 0
        self.leaving = False
        self._name = name

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route(
                    "/standin", self._test_interface, methods=["GET", "POST"]
                ),
                Route("/{path:path}", self._call, methods=METHODS),
            ]
        )

    def load(self) -> dict:
        """Return the load fields of an announcement."""
        return {"running": self.running}

    async def _call(self, request: Request) -> Response:
        if self.behaviour.refuse or self.leaving:
            return Response(status_code=503, headers={"x-not-run": "true"})
        body = await request.body()
        self.running += 1
        try:
            await anyio.sleep(self.behaviour.delay_ms / 1e3)
            self.executions[request.headers.get("x-mark", "")] += 1
        finally:
            self.running -= 1
        if self.behaviour.hang_up:
            return _AbortedResponse()
        status = self.behaviour.fail_status
        if status:
            headers = {} if status == 503 else {"x-not-run": "true"}
            return Response(status_code=status, headers=headers)
        return JSONResponse(
            {
                "endpoint": self._name,
                "method": request.method,
                "path": request.url.path,
                "body": body.decode("utf-8", "replace"),
            }
        )

    async def _test_interface(self, request: Request) -> Response:
        if request.method == "POST":
            fields = msgspec.to_builtins(self.behaviour)
            fields.update(await request.json())
            self.behaviour = msgspec.convert(fields, type=ServiceBehaviour)
        return JSONResponse(
            {"executions": self.executions, "running": self.running}
        )
