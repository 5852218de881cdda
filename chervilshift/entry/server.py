"""RPC handler of an entry for messages of its peers."""

from functools import singledispatchmethod

from chervilshift.core.message import Message
from chervilshift.core.records import (
    AppendRecord,
    FetchRecord,
    RecordReply,
    RecordStore,
    Takeover,
)
from chervilshift.core.registry import Delta, Pull
from chervilshift.entry.directory import Directory
from chervilshift.entry.sessions import Sessions
from chervilshift.errors import BadRequest

__all__ = ["EntryServer"]


class EntryServer:
    """Passes messages to the directory, the record store or the sessions."""

    __slots__ = ("_directory", "_sessions", "_store")

    def __init__(
        self, *, directory: Directory, store: RecordStore, sessions: Sessions
    ):
        self._directory = directory
        self._store = store
        self._sessions = sessions

    async def serve(self, message: Message) -> Message:
        """Return the reply to a message.

        Raises BadRequest for types of messages that an entry does not
        handle.
        """
        return self._serve(message)

    @singledispatchmethod
    def _serve(self, message: Message) -> Message:
        raise BadRequest(
            reason=f"an entry does not handle {type(message).__name__}"
        )

    @_serve.register
    def _(self, message: Pull) -> Delta:
        return self._directory.answer_pull(message)

    @_serve.register
    def _(self, message: AppendRecord) -> RecordReply:
        return self._store.append(message.parts, self._directory.now())

    @_serve.register
    def _(self, message: FetchRecord) -> RecordReply:
        request_id = message.request_id
        record = self._sessions.record_of(request_id) or self._store.fetch(
            request_id
        )
        return RecordReply(record=record)

    @_serve.register
    def _(self, message: Takeover) -> RecordReply:
        request_id = message.request_id
        record = self._sessions.hand_over(request_id) or self._store.take_over(
            request_id, message.owner, self._directory.now()
        )
        return RecordReply(record=record)
