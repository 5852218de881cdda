"""The HTTP interfaces of a control process, as ASGI apps."""

from collections.abc import Awaitable, Callable
from typing import Annotated
from urllib.parse import parse_qs

import anyio
import msgspec
from absl import logging
from msgspec import Meta
from msgspec.structs import astuple
from returns.result import Failure as Bad

from chervilshift.bytebudget import ByteBudget, HeldBody
from chervilshift.control.fleet import FleetService
from chervilshift.core.fleet.model import GONE, EndpointRecord
from chervilshift.errors import (
    BadRequest,
    BodyTimeout,
    BodyTooLarge,
    ConfigRefused,
    Failure,
    NotFound,
    RolloutRunning,
    Unserved,
)
from chervilshift.platform.announcements import (
    decode_announcement,
    decode_departure,
)
from chervilshift.platform.reply import send_json
from chervilshift.untrusted import Label, decode_json, is_token

__all__ = ["control_app", "directory_app"]

CONFIG_PATH = "/api/config"
INSTANCES_PATH = "/api/instances/"
ROLLOUTS_PATH = "/api/rollouts/"
RESOLVE_PATH = "/api/resolve"
# Clients are told to cache a lookup for this long; some cache it for three
# times as long.
LOOKUP_TTL_S = 1
# Longer than the largest document takes over a slow link.
BODY_TIMEOUT_S = 3.0
# Larger than any document: thousands of routes at some 400 bytes each.
MAX_DOCUMENT_BYTES = 8 << 20
# Larger than any announcement.
MAX_ANNOUNCEMENT_BYTES = 64 << 10
# All bodies that are being read or decoded at once.
MAX_HELD_BYTES = 4 * MAX_DOCUMENT_BYTES


class _Order(msgspec.Struct):
    service: Label
    to: Annotated[Label, Meta(min_length=1)]
    # At most a month; a longer time is a mistake.
    ramp_s: Annotated[float, Meta(gt=0, le=30 * 86_400)]


ORDER_DECODER = msgspec.json.Decoder(_Order)
App = Callable[[dict, Callable, Callable], Awaitable[None]]


def control_app(
    fleet: FleetService, body_timeout_s: float = BODY_TIMEOUT_S
) -> App:
    """Return the app that serves operators and endpoints."""
    budget = ByteBudget(limit_bytes=MAX_HELD_BYTES)

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        path, method = scope["path"], scope["method"]
        limit_bytes = (
            MAX_DOCUMENT_BYTES
            if path == CONFIG_PATH
            else MAX_ANNOUNCEMENT_BYTES
        )
        held = HeldBody(budget=budget)
        try:
            body = await _read_body(held, receive, limit_bytes, body_timeout_s)
            if body is not None:
                await _serve(fleet, method, path, body, send)
        except (BodyTimeout, BodyTooLarge, Unserved) as exc:
            logging.info("%s %s: %s", method, path[:64], exc)
            await send_json(send, exc.status, _error_body(exc))
        finally:
            held.give_back()

    return app


async def _serve(
    fleet: FleetService, method: str, path: str, body: bytes, send: Callable
) -> None:
    if path == CONFIG_PATH and method == "PUT":
        await _put_config(fleet, body, send)
    elif path == CONFIG_PATH and method == "GET":
        await _get_config(fleet, send)
    elif path.startswith(INSTANCES_PATH) and method in ("PUT", "DELETE"):
        name = path[len(INSTANCES_PATH) :]
        await _handle_instance(fleet, method, name, body, send)
    elif f"{path}/".startswith(ROLLOUTS_PATH) and fleet.rollouts.policy:
        name = path[len(ROLLOUTS_PATH) :]
        await _handle_rollout(fleet, method, name, body, send)
    else:
        await send_json(send, 404)


def directory_app(fleet: FleetService) -> App:
    """Return the app that serves clients' lookups of gateways."""

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        if scope["path"] != RESOLVE_PATH:
            await send_json(send, 404)
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        addresses = fleet.resolve(
            query.get("region", [""])[0], query.get("zone", [""])[0]
        )
        if not addresses:
            await send_json(send, 503)
            return
        response = {"addrs": addresses, "ttl_s": LOOKUP_TTL_S}
        await send_json(send, 200, msgspec.json.encode(response))

    return app


async def _put_config(
    fleet: FleetService, body: bytes, send: Callable
) -> None:
    result = await fleet.put_document(body)
    if not isinstance(result, Bad):
        response = msgspec.json.encode({"version": result.unwrap()})
        await send_json(send, 200, response)
        return
    failure = result.failure()
    status = 400 if isinstance(failure, ConfigRefused) else 503
    await send_json(send, status, _error_body(failure))


async def _get_config(fleet: FleetService, send: Callable) -> None:
    result = await fleet.read_document()
    if isinstance(result, Bad):
        await send_json(send, 503, _error_body(result.failure()))
        return
    await send_json(send, 200, result.unwrap().document)


async def _handle_rollout(
    fleet: FleetService, method: str, name: str, body: bytes, send: Callable
) -> None:
    decoded = decode_json(body, ORDER_DECODER)
    if method == "GET":
        result = await fleet.rollouts.read(name)
    elif method == "POST" and not isinstance(decoded, Bad):
        result = await fleet.rollouts.start(*astuple(decoded.unwrap()))
    else:
        result = Bad(BadRequest(reason=f"{method} of {decoded}"))
    if isinstance(result, Bad):
        failure = result.failure()
        is_final = isinstance(failure, BadRequest | NotFound | RolloutRunning)
        status = failure.status if is_final else 503
        await send_json(send, status, _error_body(failure))
        return
    response = {"state": result.unwrap().state, "to": result.unwrap().to}
    await send_json(send, 200, msgspec.json.encode(response))


async def _handle_instance(
    fleet: FleetService,
    method: str,
    name: str,
    body: bytes,
    send: Callable,
) -> None:
    if method == "DELETE":
        if not is_token(name):
            failure = BadRequest(reason="an id that can't be named")
            await send_json(send, 400, _error_body(failure))
            return
        held = fleet.find_endpoint(name) or _unknown_record(name)
        record = decode_departure(held, body)
    else:
        decoded = decode_announcement(name, body)
        if isinstance(decoded, Bad):
            logging.info("invalid announcement of endpoint %s", name[:64])
            await send_json(send, 400, _error_body(decoded.failure()))
            return
        record = decoded.unwrap()
    result = await fleet.announce(record)
    if isinstance(result, Bad):
        await send_json(send, 503, _error_body(result.failure()))
    else:
        await send_json(send, 200, b"{}")


def _unknown_record(name: str) -> EndpointRecord:
    """Return a record for an endpoint that this replica does not know."""
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


def _error_body(failure: Failure) -> bytes:
    return msgspec.json.encode({"error": failure.name, "text": str(failure)})


async def _read_body(
    body: HeldBody, receive: Callable, limit_bytes: int, timeout_s: float
) -> bytes | None:
    """Return the whole body, or None if the caller disconnected.

    Raises BodyTimeout, BodyTooLarge or Unserved: an incomplete document must
    not be refused as an invalid one.
    """
    with anyio.move_on_after(timeout_s):
        return await body.read(receive, limit_bytes)
    raise BodyTimeout(timeout_s=timeout_s)
