"""One try at one endpoint: reads its stream until it ends or is broken off.

A connection that goes silent is dropped and the stream asked for again on
a new one; only when that brings nothing is the endpoint to blame.
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

ACCEPT_SILENCE_S = 2.0
FIRST_TOKEN_SILENCE_S = 20.0
TOKEN_SILENCE_S = 1.0
READ_TIMEOUT_S = 60.0


class Attempt:
    """Reads one generation; `take` gets each chunk and says when done.

    `moved` holds why the attempt was broken off in favour of another
    endpoint, and stays empty otherwise.
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
        take: Callable[["Attempt", Chunk], bool],
    ):
        self.number = number
        self.endpoint = assignment.endpoint
        self.moved = ""
        self.accepted = False
        self.tokens = 0
        self.last_at = clock.monotonic()
        self._address = info.address
        self._engines = engines
        self._clock = clock
        self._events = events
        self._take = take
        self._done = False
        self._stopped = False
        self._scope = anyio.CancelScope()

    async def run(self, request: Generate) -> Failure | None:
        """Read to the end; return why it did not come, None if it did."""
        offset = len(request.resume_tokens)
        try:
            await self._read(
                self._engines.generate(self._address, request, READ_TIMEOUT_S)
            )
            while not self._done and self._may_resume():
                before = self.tokens
                await self._resume(request.request_id, offset + before)
                if self.tokens == before:
                    break
        except Failure as exc:
            return exc
        if self._done:
            return None
        return EndpointFailed(
            endpoint=self.endpoint, reason="ended early", sent=True
        )

    def move(self, reason: str) -> None:
        """Break off: the stream goes on elsewhere."""
        self.moved = reason
        self.stop()

    def stop(self) -> None:
        """Break off for good."""
        self._stopped = True
        self._scope.cancel()

    def check_progress(self) -> None:
        """Break a read that is silent for longer than its phase allows."""
        if self._clock.monotonic() - self.last_at > self._silence_s():
            self._events.emit(
                "silent", endpoint=self.endpoint, attempt=self.number
            )
            self._engines.suspect(self._address)
            self._scope.cancel()

    def _silence_s(self) -> float:
        if not self.accepted:
            return ACCEPT_SILENCE_S
        return TOKEN_SILENCE_S if self.tokens else FIRST_TOKEN_SILENCE_S

    def _may_resume(self) -> bool:
        return self.accepted and not self._stopped

    async def _resume(self, request_id: str, offset: int) -> None:
        self._events.emit(
            "resume", request=request_id, attempt=self.number, offset=offset
        )
        again = Resume(
            request_id=request_id, attempt=self.number, offset=offset
        )
        await self._read(
            self._engines.resume(self._address, again, READ_TIMEOUT_S)
        )

    async def _read(self, stream: AsyncIterator[Chunk]) -> None:
        """Pass chunks on until the end, silence or a broken connection."""
        self._scope = anyio.CancelScope()
        self.last_at = self._clock.monotonic()
        try:
            with self._scope:
                async with aclosing(stream) as chunks:
                    async for chunk in chunks:
                        if self._pass(chunk):
                            return
        except EndpointFailed:
            # Behind the first token the engine may go on without us.
            if not self.tokens:
                raise

    def _pass(self, chunk: Chunk) -> bool:
        self.accepted = True
        if chunk.tokens or chunk.finish_reason:
            self._done = self._take(self, chunk)
            self.tokens += len(chunk.tokens)
        self.last_at = self._clock.monotonic()
        return self._done
