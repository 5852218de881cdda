"""Records which version began each stream, and tells gateways."""

from collections.abc import Callable

import anyio
from absl import logging
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.control.lease import wait_lease
from chervilshift.control.node import Node
from chervilshift.core.commands import NoteStreams
from chervilshift.core.fleet.model import ServingConfig
from chervilshift.core.fleet.origins import Origin, OriginBatch, keep_s
from chervilshift.core.fleet.sync import (
    FindOrigin,
    OriginFound,
    ReadOrigin,
    RecordStreams,
    StreamsRecorded,
)
from chervilshift.errors import NotLeader, NotReady
from chervilshift.wire.leader import AskLeader, SubmitCommand

__all__ = ["OriginService"]

# The records of all gateways that report here within this time are committed
# together.
COLLECT_S = 0.05


class _Collected:
    """Records to be committed together; `result` is set before `done`."""

    __slots__ = ("batches", "begun", "done", "result")

    def __init__(self):
        self.batches: list[OriginBatch] = []
        self.begun = anyio.Event()
        self.done = anyio.Event()
        self.result: Result = Bad(NotReady(reason="not committed"))


class OriginService:
    """Serves gateways' records and questions about streams.

    Any replica answers from what it has recorded: a record stays true. That a
    stream is not recorded is known only by the leader, under its lease.
    """

    __slots__ = (
        "_ask_leader",
        "_collected",
        "_node",
        "_serving_config",
        "_submit",
        "_wall_s",
    )

    def __init__(
        self,
        *,
        node: Node,
        submit: SubmitCommand,
        ask_leader: AskLeader,
        serving_config: Callable[[], ServingConfig | None],
        wall_s: Callable[[], float],
    ):
        self._node = node
        self._submit = submit
        self._ask_leader = ask_leader
        self._serving_config = serving_config
        self._wall_s = wall_s
        self._collected = _Collected()

    async def run(self) -> None:
        """Commit what gateways report, until cancelled.

        Calls of gateways end with their connections, also while what others
        have reported is collected; so none of them commits.
        """
        async with anyio.create_task_group() as tg:
            while True:
                await self._collected.begun.wait()
                await anyio.sleep(COLLECT_S)
                collected, self._collected = self._collected, _Collected()
                tg.start_soon(self._commit, collected)

    def mixed_services(self) -> tuple[str, ...]:
        """Return the services whose streams have to be recorded."""
        return self._node.machine.fleet.origins.mixed_services(self._since_s())

    async def record(self, message: RecordStreams) -> StreamsRecorded:
        """Commit a gateway's records; raises the failure of the commit."""
        collected = self._collected
        collected.batches.extend(message.batches)
        collected.begun.set()
        await collected.done.wait()
        if isinstance(collected.result, Bad):
            raise collected.result.failure()
        return StreamsRecorded()

    async def find(self, message: FindOrigin) -> OriginFound:
        """Return what is known of a stream's origin.

        Raises the failure of the call to the leader.
        """
        found = self._recorded(message)
        if found is not None:
            return found
        if self._node.raft.is_leader:
            return await self.read(ReadOrigin(question=message))
        reply = await self._ask_leader(ReadOrigin(question=message))
        if isinstance(reply, Bad):
            raise reply.failure()
        return reply.unwrap()

    async def read(self, message: ReadOrigin) -> OriginFound:
        """Answer for another replica; raises NotLeader."""
        if not await wait_lease(self._node):
            raise NotLeader(leader=self._node.leader_address())
        question = message.question
        found = self._recorded(question)
        if found is not None:
            return found
        table = self._node.machine.fleet.origins
        return OriginFound(
            origins=tuple(
                Origin(service=service, version=version)
                for service in question.services
                for version in sorted(
                    table.versions_since(service, self._since_s())
                )
            )
        )

    def _recorded(self, question: FindOrigin) -> OriginFound | None:
        if not question.key:
            return None
        found = self._node.machine.fleet.origins.find(question.key)
        origins = tuple(o for o in found if o.service in question.services)
        return OriginFound(recorded=True, origins=origins) if origins else None

    async def _commit(self, collected: _Collected) -> None:
        command = NoteStreams(
            batches=tuple(collected.batches),
            now_s=self._wall_s(),
            kept_s=keep_s(self._serving_config()),
        )
        try:
            collected.result = await self._submit(command)
        except Exception:
            logging.exception("unhandled exception while streams are recorded")
        finally:
            collected.done.set()

    def _since_s(self) -> float:
        return self._wall_s() - keep_s(self._serving_config())
