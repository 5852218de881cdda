"""Failure types that the system reports.

The message of a failure is its class's template, filled with the instance's
fields. Callers, operators and logs see the class name.
"""

__all__ = [
    "AlreadyDone",
    "AtCapacity",
    "BadRequest",
    "BodyTooLarge",
    "CannotListen",
    "ChangeIdReused",
    "CloudRefused",
    "ConfigConflict",
    "ConfigFault",
    "ConfigRefused",
    "CorruptLog",
    "DeadlineExceeded",
    "Draining",
    "EndpointFailed",
    "Failure",
    "InProgress",
    "KeyReused",
    "LedgerUnavailable",
    "NoEndpoint",
    "NotFound",
    "NotInTime",
    "NotLeader",
    "NotReady",
    "OutcomeDiffers",
    "OutcomeUnknown",
    "PeerUnreachable",
    "Quarantined",
    "RolloutRunning",
    "SettingsRefused",
    "StorageFailed",
    "StreamLost",
    "Superseded",
    "OverLimit",
    "Unserved",
    "UpstreamFailed",
    "UpstreamTimeout",
    "Unauthorized",
]


class Failure(Exception):
    """Base of all failures.

    `not_run` is true only for failures after which the request certainly
    did not reach an endpoint. `status` is the HTTP status and `remedy` tells
    the reader what to do.
    """

    status = 500
    not_run = False
    template = "internal failure"
    remedy = "look at the process's log"

    def __init__(self, **fields: object):
        super().__init__()
        self.fields = fields

    def __str__(self) -> str:
        return self.template.format_map(_Fields(self.fields))

    @property
    def name(self) -> str:
        """The failure's public name."""
        return type(self).__name__


class _Fields(dict):
    """Fields of a message; a missing one is shown as a question mark."""

    def __missing__(self, key: str) -> str:
        return "?"


class BadRequest(Failure):
    """The request is invalid."""

    status, not_run = 400, True
    template = "bad request: {reason}"
    remedy = "correct the request"


class BodyTooLarge(Failure):
    """The request's body exceeds the size limit."""

    status, not_run = 413, True
    template = "body is larger than {limit_bytes} bytes"
    remedy = "send a smaller body"


class BodyTimeout(Failure):
    """The request's body did not arrive in time."""

    status, not_run = 408, True
    template = "body did not arrive within {timeout_s} s"
    remedy = "send the request again"


class RolloutRunning(Failure):
    """Another rollout of the service has not ended."""

    status, not_run = 409, True
    template = "another rollout of service {service!r} is running"
    remedy = "wait until it has ended"


class Unauthorized(Failure):
    """The key is missing, or not valid for this kind of request."""

    status, not_run = 401, True
    template = "key is missing or not valid for this request"
    remedy = "send 'Authorization: Bearer KEY'"


class NotFound(Failure):
    """The named object does not exist or is not visible to the caller."""

    status, not_run = 404, True
    template = "no {kind} {name!r}"
    remedy = "check the name"


class AtCapacity(Failure):
    """The request was refused early to protect the latency of others."""

    status, not_run = 429, True
    template = "at capacity for customer {customer}: {reason}"
    remedy = "retry after the time in Retry-After"


class Draining(Failure):
    """This entry is about to stop and accepts no new requests."""

    status, not_run = 503, True
    template = "this entry is draining"
    remedy = "ask GET /v1/entries for another entry"


class NotReady(Failure):
    """This entry has no confirmed configuration yet."""

    status, not_run = 503, True
    template = "not ready: {reason}"
    remedy = "retry at another entry"


class NoEndpoint(Failure):
    """No live endpoint serves the requested model or service."""

    status, not_run = 503, True
    template = "no endpoint serves {target!r}"
    remedy = "retry later or look at 'chervilshift status'"


class DeadlineExceeded(Failure):
    """The request's deadline passed before it reached an endpoint."""

    status, not_run = 504, True
    template = "deadline passed while the request was queued"
    remedy = "retry with a longer deadline"


class EndpointFailed(Failure):
    """An endpoint failed; `sent` tells if it may have got the request."""

    status = 502
    template = "endpoint {endpoint} failed: {reason}"
    remedy = "retry if the work is idempotent"

    @property
    def sent(self) -> bool:
        """Whether the request may have reached the endpoint."""
        return bool(self.fields.get("sent", True))

    @property
    def broken(self) -> bool:
        """Whether the endpoint broke off the reply or the connection."""
        return bool(self.fields.get("broken", False))


class StreamLost(Failure):
    """A stream could not be completed at any endpoint."""

    status = 502
    template = "stream {request_id} could not be completed: {reason}"
    remedy = "reconnect with Last-Event-ID"


class OutcomeUnknown(Failure):
    """The request may have run, so it is not sent again."""

    status = 502
    template = "outcome of {key!r} is unknown: {reason}"
    remedy = "check at the service before using a new key"


class InProgress(Failure):
    """A request with this key is running."""

    status = 409
    template = "a request with key {key!r} is in progress"
    remedy = "resend with the same key later"


class AlreadyDone(Failure):
    """The request ran; its answer was too large to be stored."""

    status = 409
    template = "the request with key {key!r} ran with status {status}"
    remedy = "read the result from the service"


class LedgerUnavailable(Failure):
    """The call could not be claimed in the ledger, so it was not sent."""

    status, not_run = 503, True
    template = "the at-most-once ledger is unavailable: {reason}"
    remedy = "resend with the same key"


class KeyReused(Failure):
    """The idempotency key was used before with another request."""

    status, not_run = 422, True
    template = "key {key!r} was used with a different request"
    remedy = "use a new Idempotency-Key"


class Superseded(Failure):
    """Another owner has taken over the stream or entry."""

    status = 409
    template = "{what} was taken over"
    remedy = "reconnect at another entry"


class NotLeader(Failure):
    """The replica is not the leader."""

    status, not_run = 503, True
    template = "not the leader; try {leader}"
    remedy = "ask the leader"


class PeerUnreachable(Failure):
    """Another process of the system did not answer."""

    status = 503
    template = "no answer from {address}: {reason}"
    remedy = "check that the process is up and reachable"


class ConfigFault:
    """One fault in a configuration file."""

    __slots__ = ("file", "line", "path", "reason")

    def __init__(self, *, file: str, line: int, path: str, reason: str):
        self.file = file
        self.line = line
        self.path = path
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}: {self.reason}"


class ConfigRefused(Failure):
    """A configuration has faults and was refused as a whole."""

    status, not_run = 422, True
    template = "configuration refused:\n{faults}"
    remedy = "fix each fault and apply again"


class ConfigConflict(Failure):
    """Another change to the same base version was committed first."""

    status, not_run = 409, True
    template = (
        "version {base_version} is no longer current: version {version} by "
        "change {winner} is in force"
    )
    remedy = "look at 'config show', then apply from that version"


class ChangeIdReused(Failure):
    """The change id was used before with other content."""

    status, not_run = 422, True
    template = "change id {change_id!r} was used with other content"
    remedy = "use a new change id"


class SettingsRefused(Failure):
    """A process's settings file has faults."""

    template = "settings refused:\n{faults}"
    remedy = "fix the settings file"


class NotInTime(Failure):
    """A version did not come into force at every entry in time."""

    template = "version {version} is not in force yet at: {behind}"
    remedy = "wait with a longer timeout, or look at 'chervilshift status'"


class OutcomeDiffers(Failure):
    """A line of a replayed trace had another outcome than expected."""

    template = "{file}:{line}: expected {stated!r}, got {outcome!r}"
    remedy = "look for the code change that altered this outcome"


class StorageFailed(Failure):
    """A durable write failed; no later write is acknowledged."""

    template = "storage failed: {reason}"
    remedy = "repair the disk, then restart the process"


class CannotListen(Failure):
    """The process can't listen on its address."""

    template = "can't listen on {address}: {reason}"
    remedy = "free the address, or change it in the settings"


class CorruptLog(Failure):
    """A record before the end of the log is damaged."""

    template = "log {path} is corrupt at byte {offset}"
    remedy = "remove the data folder; the replica rejoins with a new identity"


class CloudRefused(Failure):
    """A call to the cloud failed or was refused."""

    status = 502
    template = "cloud call {path} failed: {reason}"
    remedy = "the call is repeated; check the cloud if the failure persists"


class OverLimit(Failure):
    """The customer's rate limit is exhausted."""

    status, not_run = 429, True
    template = (
        "limit of customer {customer} is exhausted: {needs:.0f} needed, "
        "available in {room_s:.2f} s"
    )
    remedy = "send fewer requests, or raise the customer's limit"


class Unserved(Failure):
    """The request can't be served in time; it did not run."""

    status, not_run = 503, True
    template = "request not served: {reason}"
    remedy = "retry after the time in Retry-After"


class Quarantined(Failure):
    """The request, or a part of it, crashes endpoints; it did not run."""

    status, not_run = 503, True
    template = "{part} is in quarantine: endpoints crashed on it"
    remedy = "leave the part out, or retry after the time in Retry-After"


class UpstreamFailed(Failure):
    """An endpoint failed during the request, which may have run."""

    status = 502
    template = "endpoint {endpoint} failed: {reason}"
    remedy = "retry only if the request may be repeated"


class UpstreamTimeout(Failure):
    """The route's timeout passed during the request, which may have run."""

    status = 504
    template = "no answer within {timeout_s} s"
    remedy = "retry only if the request may be repeated"
