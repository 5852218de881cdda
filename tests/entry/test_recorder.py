"""Where records are left when a peer does not answer in time."""

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


def info(name: str, domain: str) -> EntryInfo:
    return EntryInfo(
        id=name,
        address=f"{name}:1",
        rpc_address=f"{name}:2",
        host=name,
        failure_domain=domain,
        region="r",
    )


class Directory:
    """Two entries; this one is `e1`."""

    def __init__(self, clock: ManualClock):
        self.info = info("e1", "a")
        self._clock = clock

    def entries(self) -> list[EntryInfo]:
        return [self.info, info("e2", "b")]

    def now(self) -> float:
        return self._clock.monotonic()


class Silent:
    """Clients whose calls get no answer in time."""

    def at(self, address: str) -> "Silent":
        return self

    async def call(self, message, timeout_s):
        return Bad(PeerUnreachable(address="e2:2", reason="timeout"))


def test_only_peer_is_asked_again_a_moment_after_it_was_slow():
    clock = ManualClock()
    clock.advance(100.0)
    recorder = Recorder(
        directory=Directory(clock),
        clients=Silent(),
        events=EventLog(process="t", hlc=HybridClock(clock=clock)),
    )
    recording = Recording(request_id="r1")
    recording.holder = recorder.choose_holder("r1")
    assert recording.holder == "e2:2"
    part = RecordPart(
        request_id="r1", epoch=1, owner="e1:2", offset=0, tokens=("a",)
    )

    async def lose() -> None:
        async with anyio.create_task_group() as tg:
            await tg.start(recorder.run)
            recorder.append(recording, part)
            await recording.changed.wait()
            tg.cancel_scope.cancel()

    anyio.run(lose)
    assert recording.holder == ""
    assert recorder.choose_holder("r1") == ""
    clock.advance(HOLDER_RETRY_DELAY_S)
    assert recorder.choose_holder("r1") == "e2:2"
