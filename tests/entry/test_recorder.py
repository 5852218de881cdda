"""The choice of a record holder after a peer has not answered in time.

Guards against a peer being left out for too long after one timeout. If it is
the only peer, streams have no record meanwhile and are lost with their owner.
"""

import anyio
from returns.result import Failure as Bad

from chervilshift.clock import ManualClock
from chervilshift.core.records import RecordPart
from chervilshift.core.registry import EntryInfo
from chervilshift.entry.recorder import (
    HOLDER_RETRY_DELAY_S,
    Recorder,
    Recording,
)
from chervilshift.errors import PeerUnreachable
from chervilshift.events import EventLog, HybridClock


def entry_info(name: str, failure_domain: str) -> EntryInfo:
    return EntryInfo(
        id=name,
        address=f"{name}:1",
        rpc_address=f"{name}:2",
        host=name,
        failure_domain=failure_domain,
        region="r",
    )


class FakeDirectory:
    """A directory of two entries, of which `e1` is this one."""

    def __init__(self, clock: ManualClock):
        self.info = entry_info("e1", "a")
        self._clock = clock

    def entries(self) -> list[EntryInfo]:
        return [self.info, entry_info("e2", "b")]

    def now(self) -> float:
        return self._clock.monotonic()


class UnresponsiveClients:
    """RPC clients whose calls time out."""

    def at(self, address: str) -> "UnresponsiveClients":
        return self

    async def call(self, message, timeout_s):
        return Bad(PeerUnreachable(address="e2:2", reason="timeout"))


def test_only_peer_is_asked_again_a_moment_after_it_was_slow():
    clock = ManualClock()
    clock.advance(100.0)
    recorder = Recorder(
        directory=FakeDirectory(clock),
        clients=UnresponsiveClients(),
        events=EventLog(process="t", hlc=HybridClock(clock=clock)),
    )
    recording = Recording(request_id="r1")
    recording.holder = recorder.choose_holder("r1")
    assert recording.holder == "e2:2"
    part = RecordPart(
        request_id="r1", epoch=1, owner="e1:2", offset=0, tokens=("a",)
    )

    async def append_and_lose_holder() -> None:
        async with anyio.create_task_group() as tg:
            await tg.start(recorder.run)
            recorder.append(recording, part)
            await recording.changed.wait()
            tg.cancel_scope.cancel()

    anyio.run(append_and_lose_holder)
    assert recording.holder == ""
    assert recorder.choose_holder("r1") == ""
    clock.advance(HOLDER_RETRY_DELAY_S)
    assert recorder.choose_holder("r1") == "e2:2"
