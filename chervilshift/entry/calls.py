"""Calls to plain services, with retries or at most once."""

import hashlib
import uuid
from urllib.parse import unquote_to_bytes

from returns.result import Failure as Bad
from starlette.requests import Request
from starlette.responses import Response

from chervilshift.config import Config, Service
from chervilshift.core.commands import Reused
from chervilshift.core.dispatcher import Assignment
from chervilshift.core.jobs import Job
from chervilshift.endpoints.service import (
    ServiceCall,
    ServiceClient,
    ServiceReply,
)
from chervilshift.entry.claims import Claims
from chervilshift.entry.directory import Directory
from chervilshift.entry.http import read_body
from chervilshift.entry.scheduler import Scheduler
from chervilshift.errors import (
    AlreadyDone,
    Draining,
    EndpointFailed,
    Failure,
    InProgress,
    KeyReused,
    LedgerUnavailable,
    NoEndpoint,
    NotFound,
    OutcomeUnknown,
)
from chervilshift.events import EventLog
from chervilshift.httpserver import raw_target
from chervilshift.metrics import Metrics

__all__ = ["CallHandler"]

# Bounds the endpoints that are tried for one call.
MAX_ATTEMPTS = 4
# Before the name of the service in the target of a call.
SERVICE_PREFIX = b"/svc/"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
REPLAYED_HEADER = "idempotency-replayed"
# States of a claim in the ledger; "done" is also an outcome to settle.
STATE_DONE = "done"
STATE_CLAIMED = "claimed"


class CallHandler:
    """Serves calls under /svc/.

    Calls with a repeatable method are retried at other endpoints. All
    others are sent at most once per idempotency key, under a claim of the
    ledger. While `draining` is true, new calls are refused; `active` is the
    number of calls in progress.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        directory: Directory,
        claims: Claims,
        services: ServiceClient,
        events: EventLog,
        metrics: Metrics,
    ):
        self.draining = False
        self.active = 0
        self._scheduler = scheduler
        self._directory = directory
        self._claims = claims
        self._services = services
        self._events = events
        self._metrics = metrics

    async def call(
        self, request: Request, name: str, customer: str, cfg: Config
    ) -> Response:
        """Make a call to service `name` for a customer; raises a Failure."""
        if self.draining:
            raise Draining()
        service = cfg.services.get(name)
        if service is None or name not in cfg.customers[customer].services:
            raise NotFound(kind="service", name=name)
        call = await _service_call(request, name, cfg)
        job = self._make_job(name, customer, service, cfg)
        is_repeatable = call.method in service.repeatable_methods
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        admitted = self._scheduler.admit(job, cfg)
        if isinstance(admitted, Bad):
            self._metrics.count("refused")
            failure = admitted.failure()
            if key and not is_repeatable and isinstance(failure, NoEndpoint):
                return await self._answer_resend(call, job, key, failure)
            raise failure
        self._events.emit(
            "admitted", request=job.id, customer=customer, service=name
        )
        self.active += 1
        started_at = self._directory.now()
        try:
            if is_repeatable:
                return await self._call_with_retries(call, job, service)
            return await self._call_at_most_once(
                call, job, service, key or uuid.uuid4().hex
            )
        finally:
            self.active -= 1
            elapsed_s = self._directory.now() - started_at
            self._metrics.observe("service_call", elapsed_s)

    async def _call_with_retries(
        self, call: ServiceCall, job: Job, service: Service
    ) -> Response:
        """Try endpoints in turn, within the retry budget."""
        last_failure: Failure | None = None
        for attempt_index in range(MAX_ATTEMPTS):
            if attempt_index and not self._scheduler.retry_budget.withdraw():
                break
            acquired = await self._scheduler.acquire(
                job, front=attempt_index > 0
            )
            if isinstance(acquired, Bad):
                raise last_failure or acquired.failure()
            try:
                reply = await self._send(call, job, acquired.unwrap(), service)
            except EndpointFailed as exc:
                last_failure = exc
                job.excluded_endpoints.add(acquired.unwrap().endpoint)
                continue
            return _forwarded_response(reply)
        raise last_failure

    async def _call_at_most_once(
        self, call: ServiceCall, job: Job, service: Service, key: str
    ) -> Response:
        """Claim the key, send the call once and settle the claim."""
        claim = self._claims.prepare(
            job.customer, key, _request_digest(job.target, call)
        )
        committed = await self._claims.commit(claim)
        if isinstance(committed, Bad):
            # Nothing was sent. The claim may still be committed, so this
            # attempt is revoked in the ledger; it never sends the call.
            self._claims.settle_later(claim, "not_run")
            raise LedgerUnavailable(reason=str(committed.failure()))
        claim_reply = committed.unwrap()
        if isinstance(claim_reply, Reused):
            raise KeyReused(key=key)
        if not claim_reply.granted:
            return _response_from_ledger(claim_reply, key)
        self._events.emit("claimed", request=job.id, key=key)
        try:
            service_reply = await self._send_once(call, job, service)
        except Failure as exc:
            not_run = exc.not_run
            outcome = "not_run" if not_run else "unknown"
            await self._claims.settle(claim, outcome)
            if not_run:
                raise
            raise OutcomeUnknown(key=key, reason=str(exc)) from exc
        except BaseException:
            self._claims.settle_later(claim, "unknown")
            raise
        await self._claims.settle(claim, STATE_DONE, service_reply)
        return _forwarded_response(service_reply)

    async def _answer_resend(
        self, call: ServiceCall, job: Job, key: str, refusal: Failure
    ) -> Response:
        """Answer a call from the ledger while no endpoint can run it.

        Raises the refusal if the key is new; it stays free then.
        """
        self.active += 1
        try:
            claim = self._claims.prepare(
                job.customer, key, _request_digest(job.target, call)
            )
            committed = await self._claims.commit(claim)
            if isinstance(committed, Bad):
                self._claims.settle_later(claim, "not_run")
                raise refusal
            claim_reply = committed.unwrap()
            if isinstance(claim_reply, Reused):
                raise KeyReused(key=key)
            if claim_reply.granted:
                await self._claims.settle(claim, "not_run")
                raise refusal
            return _response_from_ledger(claim_reply, key)
        finally:
            self.active -= 1

    async def _send_once(
        self, call: ServiceCall, job: Job, service: Service
    ) -> ServiceReply:
        """Send to one endpoint; try another only if nothing was sent."""
        for _ in range(MAX_ATTEMPTS):
            acquired = await self._scheduler.acquire(job)
            if isinstance(acquired, Bad):
                raise acquired.failure()
            try:
                return await self._send(call, job, acquired.unwrap(), service)
            except EndpointFailed as exc:
                if exc.sent:
                    raise
                job.excluded_endpoints.add(acquired.unwrap().endpoint)
        raise NoEndpoint(target=job.target)

    async def _send(
        self,
        call: ServiceCall,
        job: Job,
        assignment: Assignment,
        service: Service,
    ) -> ServiceReply:
        endpoint = assignment.endpoint
        info = self._directory.usable_endpoint(endpoint)
        self._events.emit(
            "attempt", request=job.id, endpoint=endpoint, why=assignment.reason
        )
        try:
            if info is None:
                raise EndpointFailed(
                    endpoint=endpoint, reason="gone", sent=False
                )
            reply = await self._services.call(
                info.address, call, service.timeout_s
            )
        except EndpointFailed as exc:
            self._metrics.count("attempts_failed")
            self._events.emit("attempt_ended", request=job.id, reason=str(exc))
            raise
        finally:
            # A service has no tokens: the end of the call counts as the
            # first token in the estimate of the endpoint's speed.
            now = self._directory.now()
            self._scheduler.dispatcher.observe_first_token(job.id, now)
            self._scheduler.release(job)
        self._events.emit("finished", request=job.id, status=reply.status)
        return reply

    def _make_job(
        self, name: str, customer: str, service: Service, cfg: Config
    ) -> Job:
        now = self._directory.now()
        return Job(
            id=uuid.uuid4().hex,
            customer=customer,
            target=name,
            arrived_at=now,
            deadline_at=now + service.timeout_s,
            share=cfg.customers[customer].share,
        )


async def _service_call(
    request: Request, name: str, cfg: Config
) -> ServiceCall:
    raw_name, slash, path = (
        raw_target(request.scope).removeprefix(SERVICE_PREFIX).partition(b"/")
    )
    if unquote_to_bytes(raw_name) != name.encode():
        # An encoded slash in a name is not that before the path.
        raise NotFound(kind="service", name=raw_name.decode())
    return ServiceCall(
        method=request.method,
        target=slash + path,
        headers=tuple(request.headers.raw),
        body=await read_body(request, cfg.limits),
    )


def _request_digest(service_name: str, call: ServiceCall) -> str:
    head = call.method.encode() + b"\n" + call.target + b"\n"
    request_hash = hashlib.sha256(head + call.body).hexdigest()
    return f"{service_name}/{request_hash}"


def _response_from_ledger(reply, key: str) -> Response:
    """Return the stored response of an earlier call with the same key.

    Raises a Failure if no response is stored.
    """
    if reply.state == STATE_DONE and not reply.truncated:
        response = Response(
            reply.body, status_code=reply.status, media_type=None
        )
        if reply.content_type:
            response.headers["content-type"] = reply.content_type
        response.headers[REPLAYED_HEADER] = "true"
        return response
    if reply.state == STATE_DONE:
        raise AlreadyDone(key=key, status=reply.status)
    if reply.state == STATE_CLAIMED:
        raise InProgress(key=key)
    if reply.state == "refused":
        raise LedgerUnavailable(reason="the ledger is full")
    raise OutcomeUnknown(
        key=key, reason="no outcome of an earlier attempt is recorded"
    )


def _forwarded_response(reply: ServiceReply) -> Response:
    response = Response(reply.body, status_code=reply.status)
    response.raw_headers = [
        (name.lower(), value)
        for name, value in reply.headers
        if name.lower() != b"content-length"
    ]
    size = str(len(reply.body)).encode()
    response.raw_headers.append((b"content-length", size))
    return response
