"""Relays a stream's whole events, across attempts where it is resumed."""

from chervilshift.gateway.dialect import Headers
from chervilshift.gateway.downstream import Downstream
from chervilshift.gateway.events import EventSplitter, last_id

__all__ = ["Relay"]


class Relay:
    """One client's stream; `last_id` is the last event it was sent.

    The client gets the head of the first attempt whose events it got.
    """

    __slots__ = ("_down", "_head", "_splitter", "last_id")

    def __init__(self, *, down: Downstream):
        self._down = down
        self._head: tuple[int, Headers] | None = None
        self._splitter = EventSplitter()
        self.last_id: int | None = None

    @property
    def started(self) -> bool:
        """Whether the client has got a part of the stream."""
        return self._down.started

    def take_head(self, status: int, headers: Headers) -> None:
        """Take an attempt's head; a part of an event before it is dropped."""
        self._splitter = EventSplitter()
        if not self.started:
            self._head = (status, headers)

    async def feed(self, chunk: bytes) -> bool:
        """Relay what is whole; returns whether that was anything."""
        events = self._splitter.feed(chunk)
        if not events:
            return False
        if not self.started:
            await self._down.start(*self._head)
        newest = last_id(events)
        if newest is not None:
            self.last_id = newest
        await self._down.write(events)
        return True

    async def finish(self) -> None:
        """End a stream that its endpoint has ended."""
        if not self.started:
            await self._down.start(*self._head)
        await self._down.finish(self._splitter.rest)
