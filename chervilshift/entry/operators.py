"""HTTP handlers for configuration, status and reclaim notices."""

import msgspec
from returns.result import Failure as Bad
from starlette.requests import Request
from starlette.responses import Response

from chervilshift.config import Limits, validate
from chervilshift.core.commands import (
    Applied,
    ApplyConfig,
    ConfigDocument,
    Conflict,
)
from chervilshift.entry.directory import Directory
from chervilshift.entry.http import json_response, read_json
from chervilshift.entry.watch import ConfigWatch
from chervilshift.errors import (
    BadRequest,
    ChangeIdReused,
    ConfigConflict,
    Failure,
)
from chervilshift.wire.leader import LeaderClient
from chervilshift.wire.messages import (
    ControlStatus,
    GetControlStatus,
    GetHistory,
    Submit,
)
from chervilshift.wire.rpc import Clients

__all__ = ["OperatorHandler"]

SUBMIT_TIMEOUT_S = 6.0
STATUS_TIMEOUT_S = 1.0
MAX_HISTORY_CHANGES = 50


class ApplyRequest(msgspec.Struct):
    """The body of a configuration change.

    A repeated request with the same `change_id` is applied once.
    `base_version` is the version that the change was made from. `base` and
    `overlays` are configuration files as text, the latter by site.
    """

    change_id: str
    base_version: int
    base_name: str
    base: str
    overlays: dict[str, str] = {}


class NoticeRequest(msgspec.Struct):
    """The body of a notice that a host is reclaimed in `notice_s`."""

    notice_s: float


class OperatorHandler:
    """Answers operators' requests after their key has been checked."""

    __slots__ = ("_clients", "_directory", "_leader", "_watch")

    def __init__(
        self,
        *,
        watch: ConfigWatch,
        directory: Directory,
        leader: LeaderClient,
        clients: Clients,
    ):
        self._watch = watch
        self._directory = directory
        self._leader = leader
        self._clients = clients

    async def apply(self, request: Request, operator: str) -> Response:
        """Validate and commit a configuration; raises a Failure."""
        body = await read_json(request, Limits(), ApplyRequest)
        if not body.change_id:
            raise BadRequest(reason="change_id must not be empty")
        document = ConfigDocument(
            base_name=body.base_name, base=body.base, overlays=body.overlays
        )
        checked = validate(document)
        if isinstance(checked, Bad):
            raise checked.failure()
        change = ApplyConfig(
            change_id=body.change_id,
            base_version=body.base_version,
            document=document,
            operator=operator,
        )
        submitted = await self._leader.call(
            Submit(command=change), SUBMIT_TIMEOUT_S
        )
        if isinstance(submitted, Bad):
            raise submitted.failure()
        return json_response(
            {"version": _accepted_version(submitted.unwrap().reply)}
        )

    def show(self) -> Response:
        """Return the configuration in force at this entry."""
        document = self._watch.document
        # JSON has no infinity: 1e9 s stands for "never known to be current".
        return json_response(
            {
                "version": self._watch.version,
                "stale_s": min(self._watch.stale_s(), 1e9),
                "base_name": document.base_name if document else "",
                "base": document.base if document else "",
                "overlays": document.overlays if document else {},
            }
        )

    async def history(self) -> Response:
        """Return the last `MAX_HISTORY_CHANGES` accepted changes."""
        reply = await self._leader.call(
            GetHistory(last=MAX_HISTORY_CHANGES), SUBMIT_TIMEOUT_S
        )
        if isinstance(reply, Bad):
            raise reply.failure()
        return json_response(
            [
                {
                    "version": change.version,
                    "change_id": change.change_id,
                    "base_version": change.base_version,
                    "operator": change.operator,
                }
                for change in reply.unwrap().changes
            ]
        )

    def entries(self) -> Response:
        """Return the entries and the version in force at each."""
        return json_response(
            [
                {
                    "id": info.id,
                    "address": info.address,
                    "ready": info.ready,
                    "streams": info.streams,
                    "version": info.config_version,
                }
                for info in self._directory.entries()
            ]
        )

    async def status(self) -> Response:
        """Return control processes, entries and endpoints known here."""
        control = [
            await self._control_status(address)
            for address in self._leader.addresses
        ]
        return json_response(
            {
                "control": control,
                "entries": [
                    msgspec.to_builtins(info)
                    for info in self._directory.entries()
                ],
                "endpoints": [
                    msgspec.to_builtins(info)
                    for info in self._directory.endpoints()
                ],
            }
        )

    async def notice(self, request: Request, host: str) -> Response:
        """Record a reclaim notice for a host."""
        body = await read_json(request, Limits(), NoticeRequest)
        self._directory.record_host_notice(host, body.notice_s)
        return json_response({})

    async def _control_status(self, address: str) -> dict:
        reply = await self._clients.at(address).call(
            GetControlStatus(), STATUS_TIMEOUT_S
        )
        if isinstance(reply, Bad):
            return {"address": address, "error": str(reply.failure())}
        status: ControlStatus = reply.unwrap()
        return {"address": address, **msgspec.to_builtins(status)}


def _accepted_version(reply: object) -> int:
    """Return the accepted version; raises a Failure for a refused change."""
    if isinstance(reply, Applied):
        return reply.version
    raise _refusal(reply)


def _refusal(reply: object) -> Failure:
    if isinstance(reply, Conflict):
        return ConfigConflict(
            base_version=reply.base_version,
            version=reply.version,
            winner=reply.winner,
        )
    return ChangeIdReused(change_id=reply.name)
