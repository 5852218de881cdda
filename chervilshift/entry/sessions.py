"""The streams of this entry, and the takeover of streams from others."""

import hashlib
from collections.abc import Iterator
from itertools import islice

import msgspec
from absl import logging
from anyio.abc import TaskGroup
from returns.result import Failure as Bad

from chervilshift.config import Config
from chervilshift.core.jobs import CHARS_PER_TOKEN, Job, prefix_blocks
from chervilshift.core.records import (
    FetchRecord,
    StreamRecord,
    Takeover,
)
from chervilshift.core.registry import EntryInfo
from chervilshift.endpoints.engine import EngineClient
from chervilshift.entry.directory import Directory
from chervilshift.entry.recorder import Recorder
from chervilshift.entry.scheduler import Scheduler
from chervilshift.entry.session import Session, StreamRequest
from chervilshift.errors import Draining, Failure, Superseded
from chervilshift.events import EventLog
from chervilshift.metrics import Metrics
from chervilshift.wire.rpc import Clients

__all__ = ["Sessions"]

RECORD_CALL_TIMEOUT_S = 1.0
# Entries that are asked for the record of a stream, this one included.
MAX_HOLDERS_ASKED = 8
# Requests of a customer whose prompts start with the same characters are of
# one kind: the length of their answers is predicted together.
KIND_PROMPT_CHARS = 512
# Finished streams are kept for callers that lost the connection at the end.
MAX_FINISHED_SESSIONS = 1000


class Sessions:
    """Starts, finds, takes over, hands over and stops streams.

    New streams and takeovers are refused while `draining` is true.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        directory: Directory,
        recorder: Recorder,
        engines: EngineClient,
        clients: Clients,
        events: EventLog,
        metrics: Metrics,
    ):
        self.draining = False
        self._scheduler = scheduler
        self._directory = directory
        self._recorder = recorder
        self._engines = engines
        self._clients = clients
        self._events = events
        self._metrics = metrics
        self._sessions: dict[str, Session] = {}
        # Used as an ordered set, oldest first.
        self._finished_ids: dict[str, None] = {}
        self._tasks: TaskGroup | None = None

    def attach(self, tasks: TaskGroup) -> None:
        """Set the task group that sessions run in."""
        self._tasks = tasks

    @property
    def active(self) -> int:
        """Number of streams that are running or still being read."""
        return sum(
            not session.ended or session.readers > 0
            for session in self._sessions.values()
        )

    def find(self, request_id: str) -> Session | None:
        """Return a running or recently finished stream of this entry.

        Returns None for an unknown stream, and for one with a failure.
        """
        session = self._sessions.get(request_id)
        if session is None or session.failure is not None:
            return None
        return session

    async def start(
        self, stream_request: StreamRequest, cfg: Config
    ) -> Session:
        """Admit a new stream; raises a Failure that says `not run`."""
        if self.draining:
            raise Draining()
        job = self._make_job(stream_request, cfg)
        admitted = self._scheduler.admit(job, cfg)
        if isinstance(admitted, Bad):
            self._metrics.count("refused")
            self._events.emit(
                "refused",
                request=stream_request.request_id,
                reason=admitted.failure().name,
            )
            raise admitted.failure()
        self._events.emit(
            "admitted",
            request=stream_request.request_id,
            customer=stream_request.customer,
            long=job.long,
            predicted_tokens=job.predicted_tokens,
        )
        return self._launch(stream_request, job, cfg, epoch=1, tokens=())

    async def take_over(
        self, request_id: str, customer: str, cfg: Config
    ) -> Session | None:
        """Continue a stream that another entry ran.

        Returns None if no record of a stream of this customer is found.
        Raises Draining if this entry would end before the stream.
        """
        if self.draining:
            raise Draining()
        for info in islice(self._holders(request_id), MAX_HOLDERS_ASKED):
            record = await self._fetch_record(info, request_id)
            if record is None or record.customer != customer:
                continue
            if self.draining:
                raise Draining()
            record = await self._take_record(info, request_id)
            if record is None:
                continue
            stream_request = msgspec.json.decode(
                record.request, type=StreamRequest
            )
            self._events.emit(
                "taken_over",
                request=request_id,
                epoch=record.epoch,
                offset=len(record.tokens),
                done=record.done,
            )
            return self._launch(
                stream_request,
                self._make_job(stream_request, cfg),
                cfg,
                epoch=record.epoch,
                tokens=record.tokens,
                done=record.done,
            )
        return None

    def record_of(self, request_id: str) -> StreamRecord | None:
        """Return the record of a stream of this entry, for its next owner."""
        session = self.find(request_id)
        if session is None:
            return None
        return StreamRecord(
            request_id=request_id,
            epoch=session.epoch + 1,
            customer=session.request.customer,
            owner="",
            request=msgspec.json.encode(session.request),
            tokens=tuple(session.buffer.tokens),
            done=session.buffer.done,
        )

    def hand_over(self, request_id: str) -> StreamRecord | None:
        """Stop a stream that another entry takes over; return its record."""
        record = self.record_of(request_id)
        if record is not None:
            self._sessions[request_id].stop(Superseded(what="stream"))
        return record

    def stop_all(self) -> None:
        """Stop all streams, so that their callers reconnect elsewhere."""
        for session in tuple(self._sessions.values()):
            session.stop(Superseded(what="entry"))

    def _holders(self, request_id: str) -> Iterator[EntryInfo | None]:
        """Yield the possible holders of a record.

        None stands for the store of this entry; peers follow by rank.
        """
        yield None
        yield from self._recorder.rank_peers(request_id)

    async def _fetch_record(
        self, info: EntryInfo | None, request_id: str
    ) -> StreamRecord | None:
        if info is None:
            return self._recorder.store.fetch(request_id)
        return await self._call_holder(
            info, FetchRecord(request_id=request_id)
        )

    async def _take_record(
        self, info: EntryInfo | None, request_id: str
    ) -> StreamRecord | None:
        own_address = self._directory.info.rpc_address
        if info is None:
            now = self._directory.now()
            return self._recorder.store.take_over(request_id, own_address, now)
        return await self._call_holder(
            info, Takeover(request_id=request_id, owner=own_address)
        )

    async def _call_holder(
        self, info: EntryInfo, message: FetchRecord | Takeover
    ) -> StreamRecord | None:
        client = self._clients.at(info.rpc_address)
        reply = await client.call(message, RECORD_CALL_TIMEOUT_S)
        return None if isinstance(reply, Bad) else reply.unwrap().record

    def _launch(
        self,
        stream_request: StreamRequest,
        job: Job,
        cfg: Config,
        *,
        epoch: int,
        tokens: tuple[str, ...],
        done: bool = False,
    ) -> Session:
        session = Session(
            request=stream_request,
            job=job,
            epoch=epoch,
            tokens=tokens,
            scheduler=self._scheduler,
            directory=self._directory,
            recorder=self._recorder,
            engines=self._engines,
            events=self._events,
            metrics=self._metrics,
            reconnect_s=cfg.limits.reconnect_s,
            deadline_s=cfg.models[stream_request.model].deadline_s,
            token_gap_s=cfg.models[stream_request.model].token_gap_ms / 1e3,
        )
        session.buffer.done = done
        self._sessions[stream_request.request_id] = session
        self._tasks.start_soon(self._run_session, session)
        return session

    async def _run_session(self, session: Session) -> None:
        running = self._scheduler.running_streams
        customer = session.request.customer
        running[customer] = running.get(customer, 0) + 1
        try:
            await session.run()
        except Exception:
            # An unexpected exception would cancel all other sessions.
            logging.exception(
                "unhandled exception in stream %s; "
                "it ends with an internal failure",
                session.request.request_id,
            )
            session.stop(Failure())
        finally:
            running[customer] -= 1
            self._retain_finished(session)

    def _retain_finished(self, session: Session) -> None:
        request_id = session.request.request_id
        self._finished_ids.pop(request_id, None)
        self._finished_ids[request_id] = None
        if len(self._finished_ids) > MAX_FINISHED_SESSIONS:
            oldest = next(iter(self._finished_ids))
            del self._finished_ids[oldest]
            self._sessions.pop(oldest, None)

    def _make_job(self, stream_request: StreamRequest, cfg: Config) -> Job:
        model = cfg.models[stream_request.model]
        prompt_tokens = max(1, len(stream_request.prompt) // CHARS_PER_TOKEN)
        kind = _prompt_kind(stream_request)
        predicted_tokens = self._scheduler.dispatcher.output_lengths.predict(
            kind, stream_request.max_tokens
        )
        long = (
            predicted_tokens >= model.long_output_tokens
            or prompt_tokens >= model.long_prompt_tokens
        )
        queue_timeout_s = (
            cfg.routing.long_queue_timeout_s
            if long
            else cfg.routing.queue_timeout_s
        )
        now = self._directory.now()
        return Job(
            id=stream_request.request_id,
            customer=stream_request.customer,
            target=stream_request.model,
            arrived_at=now,
            deadline_at=now + min(queue_timeout_s, model.deadline_s),
            prompt_tokens=prompt_tokens,
            predicted_tokens=predicted_tokens,
            blocks=prefix_blocks(stream_request.prompt),
            long=long,
            share=cfg.customers[stream_request.customer].share,
            kind=kind,
        )


def _prompt_kind(stream_request: StreamRequest) -> str:
    """Return the kind of a request, for the prediction of answer lengths."""
    prompt_hash = hashlib.sha256(
        stream_request.prompt[:KIND_PROMPT_CHARS].encode()
    ).hexdigest()
    return f"{stream_request.customer}/{prompt_hash[:12]}"
