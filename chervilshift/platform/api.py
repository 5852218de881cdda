"""The platform's HTTP interface of a control process, as ASGI apps."""

from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import anyio
import msgspec
from absl import logging
from returns.result import Failure as Bad

from chervilshift.control.fleet import FleetService
from chervilshift.core.fleet.model import GONE, EndpointRecord
from chervilshift.errors import (
    BodyTimeout,
    BodyTooLarge,
    ConfigRefused,
    Failure,
)
from chervilshift.platform.checkin import decode_checkin, decode_departure
from chervilshift.platform.reply import reply

__all__ = ["control_app", "directory_app"]

CONFIG_PATH = "/api/config"
INSTANCES_PATH = "/api/instances/"
RESOLVE_PATH = "/api/resolve"
# Clients keep a lookup's answer this long, some three times as long.
LOOKUP_TTL_S = 1
# Longer than the largest document takes over a slow link.
BODY_TIMEOUT_S = 3.0
# Larger than any document: thousands of routes at some 400 bytes each.
MAX_BODY_BYTES = 8 << 20

App = Callable[[dict, Callable, Callable], Awaitable[None]]


def control_app(
    service: FleetService, body_timeout_s: float = BODY_TIMEOUT_S
) -> App:
    """Serve operators and endpoints."""

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        path, method = scope["path"], scope["method"]
        try:
            body = await _read(receive, body_timeout_s)
        except (BodyTimeout, BodyTooLarge) as exc:
            logging.info("%s %s: %s", method, path[:64], exc)
            await reply(send, exc.status, _explain(exc))
            return
        if body is None:
            return
        if path == CONFIG_PATH and method == "PUT":
            await _put_config(service, body, send)
        elif path == CONFIG_PATH and method == "GET":
            await _get_config(service, send)
        elif path.startswith(INSTANCES_PATH) and method in ("PUT", "DELETE"):
            name = path[len(INSTANCES_PATH) :]
            await _instance(service, method, name, body, send)
        else:
            await reply(send, 404)

    return app


def directory_app(service: FleetService) -> App:
    """Serve clients' lookups."""

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        if scope["path"] != RESOLVE_PATH:
            await reply(send, 404)
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        addresses = service.resolve(query.get("region", [""])[0])
        if not addresses:
            await reply(send, 503)
            return
        answer = {"addrs": addresses, "ttl_s": LOOKUP_TTL_S}
        await reply(send, 200, msgspec.json.encode(answer))

    return app


async def _put_config(
    service: FleetService, body: bytes, send: Callable
) -> None:
    taken = await service.put_document(body)
    if not isinstance(taken, Bad):
        answer = msgspec.json.encode({"version": taken.unwrap()})
        await reply(send, 200, answer)
        return
    failure = taken.failure()
    status = 400 if isinstance(failure, ConfigRefused) else 503
    await reply(send, status, _explain(failure))


async def _get_config(service: FleetService, send: Callable) -> None:
    read = await service.read_document()
    if isinstance(read, Bad):
        await reply(send, 503, _explain(read.failure()))
        return
    await reply(send, 200, read.unwrap().document)


async def _instance(
    service: FleetService,
    method: str,
    name: str,
    body: bytes,
    send: Callable,
) -> None:
    if method == "DELETE":
        held = service.find_endpoint(name) or _unknown(name)
        news = decode_departure(held, body)
    else:
        decoded = decode_checkin(name, body)
        if isinstance(decoded, Bad):
            logging.info("broken announcement of %s", name[:64])
            await reply(send, 400, _explain(decoded.failure()))
            return
        news = decoded.unwrap()
    taken = await service.announce(news)
    if isinstance(taken, Bad):
        await reply(send, 503, _explain(taken.failure()))
    else:
        await reply(send, 200, b"{}")


def _unknown(name: str) -> EndpointRecord:
    """Return a record for an endpoint that this replica has not met."""
    return EndpointRecord(
        id=name,
        born_ms=0,
        seq=0,
        state=GONE,
        service="",
        address="",
        failure_domain="",
        slots=1,
    )


def _explain(failure: Failure) -> bytes:
    return msgspec.json.encode({"error": failure.name, "text": str(failure)})


async def _read(receive: Callable, timeout_s: float) -> bytes | None:
    """Return the whole body, or None when the caller has left.

    Raises BodyTimeout or BodyTooLarge: a part must not be taken for a
    document that is wrong.
    """
    chunks = []
    size_bytes = 0
    with anyio.move_on_after(timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            chunks.append(message.get("body", b""))
            size_bytes += len(chunks[-1])
            if size_bytes > MAX_BODY_BYTES:
                raise BodyTooLarge(limit_bytes=MAX_BODY_BYTES)
            if not message.get("more_body"):
                return b"".join(chunks)
    raise BodyTimeout(timeout_s=timeout_s)
