"""Relays a stream's complete events, across the attempts that resume it."""

from chervilshift.gateway.downstream import Downstream
from chervilshift.gateway.events import EventSplitter, last_event_id
from chervilshift.gateway.protocol import Headers

__all__ = ["Relay"]


class Relay:
    """The event stream of one client.

    `last_event_id` is the id of the last event sent to the client, if any.
    The client gets the head of the first attempt whose events it got.
    """

    __slots__ = ("_downstream", "_head", "_splitter", "last_event_id")

    def __init__(self, *, downstream: Downstream):
        self._downstream = downstream
        self._head: tuple[int, Headers] | None = None
        self._splitter = EventSplitter()
        self.last_event_id: int | None = None

    @property
    def started(self) -> bool:
        """Whether a part of the stream was sent to the client."""
        return self._downstream.started

    def begin_attempt(self, status: int, headers: Headers) -> None:
        """Take the head of an attempt's reply.

        An incomplete event of the previous attempt is dropped.
        """
        self._splitter = EventSplitter()
        if not self.started:
            self._head = (status, headers)

    @property
    def incomplete_bytes(self) -> int:
        """The size of the event that has begun but not ended."""
        return len(self._splitter.incomplete)

    def split(self, chunk: bytes) -> bytes:
        """Return the events that `chunk` completes."""
        return self._splitter.feed(chunk)

    async def send(self, events: bytes) -> None:
        """Send complete events."""
        if not self.started:
            await self._downstream.start(*self._head)
        newest_id = last_event_id(events)
        if newest_id is not None:
            self.last_event_id = newest_id
        await self._downstream.write(events)

    async def finish(self) -> None:
        """End the response after the endpoint has ended the stream."""
        if not self.started:
            await self._downstream.start(*self._head)
        await self._downstream.finish()
