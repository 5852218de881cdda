"""One accepted stream: its attempts at endpoints, record and readers."""

import anyio
import msgspec
from returns.result import Failure as Bad

from chervilshift.core.dispatcher import Assignment
from chervilshift.core.jobs import Job
from chervilshift.core.moves import must_move
from chervilshift.core.records import RecordPart
from chervilshift.core.registry import endpoint_key
from chervilshift.core.stream import StreamBuffer
from chervilshift.endpoints.engine import Chunk, EngineClient, Generate
from chervilshift.entry.attempt import Attempt
from chervilshift.entry.directory import Directory
from chervilshift.entry.recorder import Recorder, Recording
from chervilshift.entry.scheduler import Scheduler
from chervilshift.errors import Failure, NoEndpoint, StreamLost, Superseded
from chervilshift.events import EventLog
from chervilshift.metrics import Metrics

__all__ = ["Session", "StreamRequest"]

MAX_FAILED_ATTEMPTS = 8
CANCEL_TIMEOUT_S = 1.0
# Interval between checks for silence, for moves and for missing readers.
CHECK_INTERVAL_S = 0.1
# A stream without a record looks for a holder at this interval.
RECORD_RETRY_INTERVAL_S = 1.0


class StreamRequest(msgspec.Struct, kw_only=True, frozen=True):
    """A caller's request, in the form in which it is kept in a record.

    `digest` is the hash of the request body, by which a repeated request is
    compared with the first one.
    """

    request_id: str
    customer: str
    model: str
    prompt: str
    max_tokens: int
    seed: int
    stream: bool = True
    temperature: float | None = None
    adapter: str = ""
    digest: str = ""


class Session:
    """Runs a stream to its end, in attempts at one endpoint after another.

    Readers deliver `buffer` up to `deliverable_tokens` and wait for
    `changed`, which is set, and replaced, at each change. The session is
    stopped if it has no reader for `reconnect_s`. An answer that has begun
    may wait for its next endpoint until `deadline_s` after the request
    arrived. `epoch` is one at the first owner of the stream and grows with
    each takeover; `tokens` are those that earlier owners produced.
    `token_gap_s` is the target for the time between tokens.
    """

    def __init__(
        self,
        *,
        request: StreamRequest,
        job: Job,
        epoch: int,
        tokens: tuple[str, ...],
        scheduler: Scheduler,
        directory: Directory,
        recorder: Recorder,
        engines: EngineClient,
        events: EventLog,
        metrics: Metrics,
        reconnect_s: float,
        deadline_s: float,
        token_gap_s: float,
    ):
        self.request = request
        self.job = job
        self.epoch = epoch
        self.buffer = StreamBuffer(
            request_id=request.request_id, epoch=epoch, tokens=tokens
        )
        self.recording = Recording(request_id=request.request_id)
        job.response_started = bool(tokens)
        self.failure: Failure | None = None
        self.changed = anyio.Event()
        self.readers = 0
        self.readers_left_at: float | None = None
        self._scheduler = scheduler
        self._directory = directory
        self._recorder = recorder
        self._engines = engines
        self._events = events
        self._metrics = metrics
        self._reconnect_s = reconnect_s
        self._deadline_s = deadline_s
        self._token_gap_s = token_gap_s
        self._prompt_tokens = job.prompt_tokens
        self._attempt: Attempt | None = None
        self._scope = anyio.CancelScope()
        self._ended = False
        self._may_have_run = epoch > 1
        self._first_token_observed = epoch > 1
        self._record_retry_at = 0.0

    # For readers

    @property
    def deliverable_tokens(self) -> int:
        """Number of tokens that readers may have: those that are recorded.

        Without a holder of the record these are all tokens.
        """
        if not self.recording.holder:
            return len(self.buffer.tokens)
        return self.recording.acked_tokens

    @property
    def complete(self) -> bool:
        """Whether the whole answer, with its end, may be delivered."""
        return self.buffer.done and self.deliverable_tokens == len(
            self.buffer.tokens
        )

    @property
    def ended(self) -> bool:
        """Whether the session has ended, completely or not."""
        return self._ended

    def join(self) -> None:
        """Add a reader."""
        self.readers += 1
        self.readers_left_at = None

    def leave(self) -> None:
        """Remove a reader."""
        self.readers -= 1
        if not self.readers:
            self.readers_left_at = self._directory.now()

    def stop(self, failure: Failure) -> None:
        """End the session; readers get the failure unless it is complete."""
        if self.failure is None and not self.complete:
            self.failure = failure
        self._scope.cancel()
        self._notify_readers()

    # The task

    async def run(self) -> None:
        """Make attempts until the answer is complete or has failed."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._follow_recording)
            tg.start_soon(self._supervise_attempts)
            try:
                with self._scope:
                    await self._run_attempts()
                    await self._wait_until_recorded()
            except Failure as exc:
                self.stop(exc)
            if self._attempt is not None:
                await self._cancel_attempt(self._attempt)
            tg.cancel_scope.cancel()
        self._ended = True
        self._emit(
            "finished" if self.buffer.done else "failed",
            tokens=len(self.buffer.tokens),
            reason=self.failure.name if self.failure else "",
        )
        self._notify_readers()

    async def _run_attempts(self) -> None:
        last_failure: Failure | None = None
        requeue = self.job.response_started
        failed_attempts = 0
        while not self.buffer.done and self.failure is None:
            if failed_attempts >= MAX_FAILED_ATTEMPTS:
                raise StreamLost(
                    request_id=self.request.request_id,
                    reason=str(last_failure),
                )
            self._emit("queued", begun=self.job.response_started)
            acquired = await self._scheduler.acquire(self.job, front=requeue)
            requeue = True
            if isinstance(acquired, Bad):
                raise self._final_failure(acquired.failure(), last_failure)
            last_failure = await self._run_attempt(acquired.unwrap())
            if last_failure is not None:
                failed_attempts += 1

    def _final_failure(
        self, failure: Failure, last_failure: Failure | None
    ) -> Failure:
        """Return the failure that ends the session.

        `failure` itself, which says `not run`, is returned only if no
        attempt may have reached an endpoint.
        """
        if not self._may_have_run:
            return failure
        return StreamLost(
            request_id=self.request.request_id,
            reason=str(last_failure or failure),
        )

    async def _run_attempt(self, assignment: Assignment) -> Failure | None:
        """Stream from one endpoint; return a failure that counts, or None."""
        number, offset = self.buffer.begin_attempt()
        self._emit(
            "attempt",
            attempt=number,
            endpoint=assignment.endpoint,
            offset=offset,
            why=assignment.reason,
        )
        failure: Failure | None = None
        try:
            attempt = self._attempt = self._make_attempt(number, assignment)
            failure = await attempt.run(self._make_generate(number, offset))
        finally:
            produced_tokens = (
                len(self.buffer.tokens) if self.buffer.done else None
            )
            self._scheduler.release(self.job, produced_tokens)
        self._attempt = None
        if failure is None or self.failure is not None:
            return None
        return await self._handle_failed_attempt(attempt, failure)

    def _make_attempt(self, number: int, assignment: Assignment) -> Attempt:
        info = self._directory.registry.get(
            endpoint_key(assignment.endpoint)
        ).item.body
        return Attempt(
            number=number,
            assignment=assignment,
            info=info,
            engines=self._engines,
            clock=self._directory.clock,
            events=self._events,
            on_chunk=self._on_chunk,
        )

    def _on_chunk(self, attempt: Attempt, chunk: Chunk) -> bool:
        """Add a chunk to the answer; tell whether the answer is complete."""
        now = self._directory.now()
        new_tokens = self.buffer.add(
            attempt.number, chunk.offset, chunk.tokens
        )
        if not attempt.token_count:
            # The queue timeout applies before the first token only. To move
            # to another endpoint, a stream that has begun may wait until
            # the deadline of the whole answer.
            self.job.deadline_at = self.job.arrived_at + self._deadline_s
            self.job.response_started = True
            self._scheduler.dispatcher.observe_first_token(self.job.id, now)
            if not self._first_token_observed:
                self._first_token_observed = True
                waited_s = now - self.job.arrived_at
                self._metrics.observe("first_token", waited_s)
        elif new_tokens:
            gap_s = (now - attempt.last_progress_at) / len(new_tokens)
            self._scheduler.dispatcher.observe_token_gap(
                self.job.id, gap_s, now
            )
            self._metrics.observe("token_gap", gap_s)
        if chunk.finish_reason:
            total_tokens = chunk.offset + len(chunk.tokens)
            self.buffer.finish(
                attempt.number, total_tokens, chunk.finish_reason
            )
        self._metrics.count("tokens_relayed", len(new_tokens))
        self._record_tokens(
            new_tokens, len(self.buffer.tokens) - len(new_tokens)
        )
        self._notify_readers()
        return self.buffer.done

    async def _handle_failed_attempt(
        self, attempt: Attempt, failure: Failure
    ) -> Failure | None:
        """Prepare the next attempt; return the failure if it counts.

        A move to another endpoint does not count as a failed attempt. Raises
        a Failure if nothing was produced and the retry budget is spent.
        """
        if failure.fields.get("sent", True):
            self._may_have_run = True
        reason = attempt.move_reason or str(failure)
        self._emit("attempt_ended", attempt=attempt.number, reason=reason)
        await self._cancel_attempt(attempt)
        self.job.excluded_endpoints.add(attempt.endpoint)
        produced_tokens = len(self.buffer.tokens)
        self.job.prompt_tokens = self._prompt_tokens + produced_tokens
        if attempt.move_reason:
            self._metrics.count("streams_moved")
            return None
        self._metrics.count("attempts_failed")
        if not self._scheduler.retry_budget.withdraw() and not produced_tokens:
            raise self._final_failure(
                NoEndpoint(target=self.request.model), failure
            )
        return failure

    async def _cancel_attempt(self, attempt: Attempt) -> None:
        held_item = self._directory.registry.get(
            endpoint_key(attempt.endpoint)
        )
        if held_item is not None:
            with anyio.move_on_after(CANCEL_TIMEOUT_S):
                await self._engines.cancel(
                    held_item.item.body.address,
                    self.request.request_id,
                    attempt.number,
                )

    def _make_generate(self, attempt: int, offset: int) -> Generate:
        request = self.request
        return Generate(
            request_id=request.request_id,
            attempt=attempt,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            seed=request.seed,
            priority=int(self.job.long),
            temperature=request.temperature,
            adapter=request.adapter,
            resume_tokens=tuple(self.buffer.tokens[:offset]),
        )

    # Supervision

    async def _supervise_attempts(self) -> None:
        """Stop silent attempts, move streams, end sessions without readers."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = self._directory.now()
            if self._lost_all_readers(now):
                self.stop(Superseded(what="stream without a reader"))
                return
            attempt = self._attempt
            if attempt is None:
                continue
            attempt.check_progress()
            reason = self._move_reason(attempt, now)
            if reason:
                attempt.move(reason)

    def _move_reason(self, attempt: Attempt, now: float) -> str:
        """Return why the stream should move to another endpoint, or ""."""
        produced_tokens = len(self.buffer.tokens)
        remaining_tokens = max(1, self.job.predicted_tokens - produced_tokens)
        left_s = self._directory.leaves_in_s(attempt.endpoint)
        dispatcher = self._scheduler.dispatcher
        if must_move(
            left_s, remaining_tokens, dispatcher.gap_s(attempt.endpoint, now)
        ):
            return "endpoint leaves"
        if attempt.token_count and dispatcher.worth_moving(
            self.job, produced_tokens, self._token_gap_s, now
        ):
            return "endpoint slow"
        return ""

    def _lost_all_readers(self, now: float) -> bool:
        left_at = self.readers_left_at
        return left_at is not None and now - left_at > self._reconnect_s

    # Recording

    def _record_tokens(self, new_tokens: tuple[str, ...], offset: int) -> None:
        if self.recording.holder:
            self._append(new_tokens, offset)
        elif self._directory.now() >= self._record_retry_at:
            self._start_recording()

    def _start_recording(self) -> None:
        """Send the whole stream so far to a new holder, if there is one."""
        self._record_retry_at = self._directory.now() + RECORD_RETRY_INTERVAL_S
        holder = self._recorder.choose_holder(self.request.request_id)
        if not holder:
            return
        self.recording.holder = holder
        self.recording.acked_tokens = 0
        self._append(tuple(self.buffer.tokens), 0, is_first=True)

    def _append(
        self, tokens: tuple[str, ...], offset: int, *, is_first: bool = False
    ) -> None:
        part = RecordPart(
            request_id=self.request.request_id,
            epoch=self.epoch,
            owner=self._directory.info.rpc_address,
            offset=offset,
            tokens=tokens,
            done=self.buffer.done,
            customer=self.request.customer if is_first else "",
            request=msgspec.json.encode(self.request) if is_first else b"",
        )
        self._recorder.append(self.recording, part)

    async def _follow_recording(self) -> None:
        """Notify readers of acknowledged tokens; stop after a takeover."""
        self._start_recording()
        while True:
            await self.recording.changed.wait()
            if self.recording.superseded:
                self.stop(Superseded(what="stream"))
            self._notify_readers()

    async def _wait_until_recorded(self) -> None:
        """Wait until the end of the answer is recorded or has no holder."""
        while self.buffer.done and not self.complete:
            await self.recording.changed.wait()

    def _notify_readers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _emit(self, event: str, **fields: object) -> None:
        self._events.emit(event, request=self.request.request_id, **fields)
