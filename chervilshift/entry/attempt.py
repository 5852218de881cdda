"""One attempt to generate an answer at one endpoint.

A connection that stays silent for too long is dropped, and the stream is
resumed on a new one. The attempt fails if the endpoint does not accept the
request in time, if a connection breaks before the first token, or if a
resumption yields no new tokens.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

import anyio

from chervilshift.clock import Clock
from chervilshift.core.dispatcher import Assignment
from chervilshift.core.registry import EndpointInfo
from chervilshift.endpoints.engine import (
    Chunk,
    EngineClient,
    Generate,
    Resume,
)
from chervilshift.errors import EndpointFailed, Failure
from chervilshift.events import EventLog

__all__ = ["Attempt"]

# Longest silence of a connection, by the phase of the stream: before the
# endpoint accepts the request, before its first token, and after that.
ACCEPT_TIMEOUT_S = 2.0
FIRST_TOKEN_TIMEOUT_S = 20.0
TOKEN_GAP_TIMEOUT_S = 1.0
# Longer than the limits above, so that they apply first.
HTTP_READ_TIMEOUT_S = 60.0


class Attempt:
    """Reads one generation from an endpoint.

    `on_chunk` is called with each chunk and returns whether the answer is
    complete. `move_reason` is not empty if the attempt was stopped to move
    the stream to another endpoint. `accepted` is true once the endpoint has
    accepted the request. `token_count` is the number of tokens read,
    `last_progress_at` the monotonic time in seconds of the last chunk or,
    before it, of the start of the read.
    """

    def __init__(
        self,
        *,
        number: int,
        assignment: Assignment,
        info: EndpointInfo,
        engines: EngineClient,
        clock: Clock,
        events: EventLog,
        on_chunk: Callable[["Attempt", Chunk], bool],
    ):
        self.number = number
        self.endpoint = assignment.endpoint
        self.move_reason = ""
        self.accepted = False
        self.token_count = 0
        self.last_progress_at = clock.monotonic()
        self._address = info.address
        self._engines = engines
        self._clock = clock
        self._events = events
        self._on_chunk = on_chunk
        self._done = False
        self._stopped = False
        self._read_scope = anyio.CancelScope()

    async def run(self, request: Generate) -> Failure | None:
        """Read to the end; return None, or the failure that ended it."""
        offset = len(request.resume_tokens)
        try:
            await self._read(
                self._engines.generate(
                    self._address, request, HTTP_READ_TIMEOUT_S
                )
            )
            while not self._done and self._may_resume():
                token_count_before = self.token_count
                await self._resume(
                    request.request_id, offset + token_count_before
                )
                if self.token_count == token_count_before:
                    break
        except EndpointFailed as exc:
            if not self.accepted:
                return exc
            # A resumption that was refused does not undo what has run.
            return self._failed_run(str(exc))
        except Failure as exc:
            return exc
        if self._done:
            return None
        return self._failed_run(
            "no final marker before the stream ended or went silent"
        )

    def _failed_run(self, reason: str) -> EndpointFailed:
        return EndpointFailed(endpoint=self.endpoint, reason=reason, sent=True)

    def move(self, reason: str) -> None:
        """Stop, because the stream continues at another endpoint."""
        self.move_reason = reason
        self.stop()

    def stop(self) -> None:
        """Stop reading and do not resume."""
        self._stopped = True
        self._read_scope.cancel()

    def check_progress(self) -> None:
        """Cancel a read whose silence exceeds the limit of its phase."""
        if (
            self._clock.monotonic() - self.last_progress_at
            > self._silence_limit_s()
        ):
            self._events.emit(
                "silent", endpoint=self.endpoint, attempt=self.number
            )
            self._read_scope.cancel()

    def _silence_limit_s(self) -> float:
        if not self.accepted:
            return ACCEPT_TIMEOUT_S
        return (
            TOKEN_GAP_TIMEOUT_S if self.token_count else FIRST_TOKEN_TIMEOUT_S
        )

    def _may_resume(self) -> bool:
        return self.accepted and not self._stopped

    async def _resume(self, request_id: str, offset: int) -> None:
        self._events.emit(
            "resume", request=request_id, attempt=self.number, offset=offset
        )
        resume_request = Resume(
            request_id=request_id, attempt=self.number, offset=offset
        )
        await self._read(
            self._engines.resume(
                self._address, resume_request, HTTP_READ_TIMEOUT_S
            )
        )

    async def _read(self, stream: AsyncIterator[Chunk]) -> None:
        """Handle chunks until the end, a silence or a broken connection."""
        self._read_scope = anyio.CancelScope()
        self.last_progress_at = self._clock.monotonic()
        try:
            with self._read_scope:
                async with aclosing(stream) as chunks:
                    async for chunk in chunks:
                        if self._handle_chunk(chunk):
                            return
        except EndpointFailed:
            # After the first token the engine may still be generating, so
            # the stream is resumed. Before it, the attempt has failed.
            if not self.token_count:
                raise

    def _handle_chunk(self, chunk: Chunk) -> bool:
        self.accepted = True
        if chunk.tokens or chunk.finish_reason:
            self._done = self._on_chunk(self, chunk)
            self.token_count += len(chunk.tokens)
        self.last_progress_at = self._clock.monotonic()
        return self._done
