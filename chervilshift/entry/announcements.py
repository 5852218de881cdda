"""HTTP handler for the announcements by which endpoints register."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from chervilshift.config import Limits
from chervilshift.core.registry import EndpointInfo, LoadReport
from chervilshift.entry.directory import Directory
from chervilshift.entry.http import json_response, read_json

__all__ = ["AnnouncementHandler"]

# Time between two announcements of an endpoint, sent in each reply.
ENDPOINT_ANNOUNCE_INTERVAL_S = 1.0


class Announcement(msgspec.Struct, forbid_unknown_fields=False):
    """The body of an announcement; see docs/PROTOCOLS.md.

    A higher `incarnation` is a later run of the endpoint; `seq` orders the
    announcements of one run. `serves` names models or services, `capacity`
    is the number of requests served at once, `leave_in_s` is the time until
    a leaving endpoint stops. The last four fields report its load, as
    numbers of requests and of KV cache tokens. The other fields are those
    of EndpointInfo.
    """

    id: str
    incarnation: int
    seq: int
    address: str
    host: str
    failure_domain: str
    region: str
    kind: str
    serves: tuple[str, ...]
    capacity: int = 8
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    checks_fencing: bool = False
    reclaimable: bool = True
    leaving: bool = False
    leave_in_s: float = 0.0
    running: int = 0
    waiting: int = 0
    running_long: int = 0
    free_cache_tokens: int = 0


class AnnouncementHandler:
    """Merges announcements of endpoints into the directory."""

    __slots__ = ("_directory",)

    def __init__(self, *, directory: Directory):
        self._directory = directory

    async def announce(self, request: Request) -> Response:
        """Merge one announcement; raises BadRequest or BodyTooLarge.

        The reply names the entries to announce to and the interval between
        announcements in seconds.
        """
        body = await read_json(request, Limits(), Announcement)
        info = EndpointInfo(
            id=body.id,
            address=body.address,
            host=body.host,
            failure_domain=body.failure_domain,
            region=body.region,
            kind=body.kind,
            serves=body.serves,
            adapters=body.adapters,
            versions=body.versions,
            capacity=body.capacity,
            checks_fencing=body.checks_fencing,
            reclaimable=body.reclaimable,
            load=LoadReport(
                running=body.running,
                waiting=body.waiting,
                running_long=body.running_long,
                free_cache_tokens=body.free_cache_tokens,
            ),
        )
        self._directory.announce_endpoint(
            info,
            incarnation=body.incarnation,
            seq=body.seq,
            leaving=body.leaving,
            leave_in_s=body.leave_in_s,
        )
        entries = [info.address for info in self._directory.entries()]
        return json_response(
            {"entries": entries, "interval_s": ENDPOINT_ANNOUNCE_INTERVAL_S}
        )
