"""Reports of the versions that began streams, when control hangs."""

from types import SimpleNamespace

import anyio
from returns.result import Failure as Bad
from returns.result import Success

from chervilshift.clock import SystemClock
from chervilshift.core.fleet.origins import OpenStreams, Origin
from chervilshift.core.fleet.sync import StreamsRecorded
from chervilshift.errors import PeerUnreachable
from chervilshift.events import EventLog, HybridClock
from chervilshift.gateway.origins import StreamOrigins

# A client that takes up a stream is refused after this time; the first report
# and a loaded machine take some more.
MAX_UNKNOWN_S = 0.5
ALLOWANCE_S = 0.25
ORIGIN = Origin(service="llm", version="v1")


class HangingControl:
    """Its first call hangs until its timeout, the others are answered."""

    address = "c1:1"

    def __init__(self):
        self.calls = 0

    async def call(self, message, timeout_s):
        self.calls += 1
        if self.calls > 1:
            return Success(StreamsRecorded())
        await anyio.sleep(timeout_s)
        return Bad(PeerUnreachable(address=self.address, reason="timeout"))


def test_report_that_hangs_holds_up_no_other():
    """The control process in use stands still, and another one is chosen."""
    clock = SystemClock()
    streams = OpenStreams()
    state = SimpleNamespace(
        open_streams=streams, table=None, mixed_services=lambda: {"llm"}
    )
    origins = StreamOrigins(
        state=state,
        sync=HangingControl(),
        clock=clock,
        events=EventLog(process="g1", hlc=HybridClock(clock=clock)),
    )

    async def run() -> None:
        async with anyio.create_task_group() as tg:
            tg.start_soon(origins.run)
            streams.begin(b"a" * 8, ORIGIN, "e1", clock.monotonic())
            await anyio.sleep(MAX_UNKNOWN_S + ALLOWANCE_S)
            assert not streams.unreported(("llm",), 10)
            tg.cancel_scope.cancel()

    anyio.run(run)
