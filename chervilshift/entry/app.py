"""ASGI application of an entry: routes, API keys and error responses."""

from collections.abc import Awaitable, Callable

import anyio
from absl import logging
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from chervilshift.core.lookup import pick_entries
from chervilshift.entry.announcements import AnnouncementHandler
from chervilshift.entry.auth import Authenticator
from chervilshift.entry.calls import CallHandler
from chervilshift.entry.chat import ChatHandler
from chervilshift.entry.directory import Directory
from chervilshift.entry.http import failure_response, json_response
from chervilshift.entry.operators import OperatorHandler
from chervilshift.entry.watch import ConfigWatch
from chervilshift.errors import Failure, NotReady
from chervilshift.metrics import Metrics

__all__ = ["EntryApp"]

# HTTP methods that are forwarded to plain services.
SERVICE_METHODS = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]

Handler = Callable[[Request], Awaitable[Response]]


class EntryApp:
    """Builds the application from the handlers of one entry.

    While `close_connections` is true, every response asks the caller to
    close its connection. A drain sets it, so that callers reconnect to
    another entry. A drain request sets `stop`. Callers may use a lookup
    reply for `lookup_ttl_s`.
    """

    def __init__(
        self,
        *,
        auth: Authenticator,
        chat: ChatHandler,
        calls: CallHandler,
        operators: OperatorHandler,
        announcements: AnnouncementHandler,
        directory: Directory,
        watch: ConfigWatch,
        metrics: Metrics,
        stop: anyio.Event,
        lookup_ttl_s: float,
    ):
        self.close_connections = False
        self._auth = auth
        self._chat = chat
        self._calls = calls
        self._operators = operators
        self._announcements = announcements
        self._directory = directory
        self._watch = watch
        self._metrics = metrics
        self._stop = stop
        self._lookup_ttl_s = lookup_ttl_s

    def build(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            ("/healthz", self._healthz, ["GET"]),
            ("/readyz", self._readyz, ["GET"]),
            ("/metrics", self._show_metrics, ["GET"]),
            ("/v1/entries", self._lookup, ["GET"]),
            ("/v1/chat/completions", self._complete, ["POST"]),
            ("/v1/streams/{request_id}", self._resume, ["GET"]),
            (
                "/svc/{service}/{path:path}",
                self._call_service,
                SERVICE_METHODS,
            ),
            ("/v1/endpoints/announce", self._announce, ["POST"]),
            ("/v1/hosts/{host}/notice", self._record_notice, ["POST"]),
            ("/v1/config", self._show_or_apply_config, ["GET", "POST"]),
            ("/v1/config/history", self._history, ["GET"]),
            ("/v1/config/entries", self._config_entries, ["GET"]),
            ("/v1/status", self._status, ["GET"]),
            ("/v1/drain", self._drain, ["POST"]),
        ]
        return Starlette(
            routes=[
                Route(
                    path, self._with_error_responses(handler), methods=methods
                )
                for path, handler, methods in routes
            ]
        )

    def _with_error_responses(self, handler: Handler) -> Handler:
        """Wrap a handler so that every exception becomes a response.

        A Failure keeps its type and status. Any other exception is logged
        and answered as an internal failure without its details.
        """

        async def respond(request: Request) -> Response:
            try:
                response = await handler(request)
            except Failure as exc:
                self._metrics.count(f"failures_{exc.name}")
                response = failure_response(exc)
            except Exception:
                logging.exception(
                    "unhandled exception in request to %s; "
                    "answered as an internal failure",
                    request.url.path,
                )
                response = failure_response(Failure())
            if self.close_connections:
                response.headers["connection"] = "close"
            return response

        return respond

    def _require_ready(self) -> None:
        if not self._watch.confirmed:
            raise NotReady(reason="configuration not confirmed yet")

    # Callers

    async def _lookup(self, request: Request) -> Response:
        self._require_ready()
        customer = self._auth.customer(request)
        caller = f"{customer}/{request.client.host if request.client else ''}"
        region = request.query_params.get(
            "region", self._directory.info.region
        )
        entries = pick_entries(caller, region, self._directory.entries())
        if not entries:
            raise NotReady(reason="no entry is ready")
        return json_response(
            {
                "ttl_s": self._lookup_ttl_s,
                "entries": [
                    {
                        "address": info.address,
                        "region": info.region,
                        "failure_domain": info.failure_domain,
                    }
                    for info in entries
                ],
            }
        )

    async def _complete(self, request: Request) -> Response:
        self._require_ready()
        customer = self._auth.customer(request)
        cfg = self._watch.config
        return await self._chat.complete(request, customer, cfg)

    async def _resume(self, request: Request) -> Response:
        self._require_ready()
        customer = self._auth.customer(request)
        return await self._chat.resume(
            request,
            request.path_params["request_id"],
            customer,
            self._watch.config,
        )

    async def _call_service(self, request: Request) -> Response:
        self._require_ready()
        customer = self._auth.customer(request)
        service = request.path_params["service"]
        cfg = self._watch.config
        return await self._calls.call(request, service, customer, cfg)

    # Endpoints and the platform

    async def _announce(self, request: Request) -> Response:
        self._auth.endpoint(request)
        return await self._announcements.announce(request)

    async def _record_notice(self, request: Request) -> Response:
        self._auth.endpoint(request)
        host = request.path_params["host"]
        return await self._operators.notice(request, host)

    # Operators

    async def _show_or_apply_config(self, request: Request) -> Response:
        operator = self._auth.operator(request)
        if request.method == "GET":
            return self._operators.show()
        return await self._operators.apply(request, operator)

    async def _history(self, request: Request) -> Response:
        self._auth.operator(request)
        return await self._operators.history()

    async def _config_entries(self, request: Request) -> Response:
        self._auth.operator(request)
        return self._operators.entries()

    async def _status(self, request: Request) -> Response:
        self._auth.operator(request)
        return await self._operators.status()

    async def _drain(self, request: Request) -> Response:
        self._auth.operator(request)
        self._stop.set()
        return json_response({"draining": True})

    # Probes

    async def _healthz(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _readyz(self, request: Request) -> Response:
        self._require_ready()
        return PlainTextResponse("ready\n")

    async def _show_metrics(self, request: Request) -> Response:
        return PlainTextResponse(self._metrics.render())
