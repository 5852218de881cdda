"""Which control process a gateway asks, and when it asks another.

A gateway that keeps asking a control process that does not reply, or that
lost the leader, gets no configuration, no limits and no news of endpoints.
"""

import anyio
from returns.result import Failure as Bad
from returns.result import Success

from chervilshift.clock import SystemClock
from chervilshift.core.fleet.controls import ControlChooser
from chervilshift.core.fleet.sync import ControlInfo, LoadsDelta, SyncReply
from chervilshift.errors import PeerUnreachable
from chervilshift.events import EventLog, HybridClock
from chervilshift.gateway.sync import ControlSync


class RecordingClients:
    """Records which addresses are asked; `behave` gives each one's reply."""

    def __init__(self, behave):
        self.asked: list[str] = []
        self._behave = behave

    def at(self, address: str) -> "RecordingClient":
        return RecordingClient(self, address)


class RecordingClient:
    def __init__(self, clients: RecordingClients, address: str):
        self._clients = clients
        self._address = address

    async def call(self, message, timeout_s):
        self._clients.asked.append(self._address)
        reply = self._clients._behave(self._address)
        if reply is None:
            await anyio.sleep(timeout_s)
            return Bad(PeerUnreachable(address=self._address, reason="cut"))
        return Success(reply)


class StubState:
    """The part of a gateway's state that the sync uses."""

    report_interval_s = 0.05

    def __init__(self):
        self.replies: list[SyncReply] = []

    def sync_request(self) -> None:
        return None

    def apply_reply(self, reply: SyncReply) -> None:
        self.replies.append(reply)


def event_log() -> EventLog:
    return EventLog(process="g", hlc=HybridClock(clock=SystemClock()))


def reply(**changes) -> SyncReply:
    fields = {
        "leader": "a:1",
        "stale_s": 0.0,
        "version": 1,
        "revision": 1,
        "gateways": 100,
        "loads": LoadsDelta(source="s", cursor=1),
        "controls": tuple(
            ControlInfo(address=a, failure_domain=d, region="here")
            for a, d in (("a:1", "far"), ("b:1", "near"), ("c:1", "far"))
        ),
    }
    return SyncReply(**(fields | changes))


def play(behave, seconds: float, seeds=("a:1",), *, refresh=False):
    """Sync for some time; return the asked addresses and the state.

    With `refresh` a request waits for each reply and for the next.
    """
    clients, state = RecordingClients(behave), StubState()
    chooser = ControlChooser(
        gateway_id="g", failure_domain="near", region="here", seeds=seeds
    )
    sync = ControlSync(
        state=state,
        chooser=chooser,
        clients=clients,
        clock=SystemClock(),
        events=event_log(),
    )

    async def run() -> None:
        async def keep_refreshing() -> None:
            while True:
                await sync.refresh()

        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tg:
                if refresh:
                    tg.start_soon(keep_refreshing)
                await sync.run()

    anyio.run(run)
    return clients.asked, state


def test_seeds_that_change_before_the_first_turn_are_asked():
    clients = RecordingClients(lambda address: None)
    chooser = ControlChooser(
        gateway_id="g", failure_domain="", region="", seeds=("a:1",)
    )
    sync = ControlSync(
        state=StubState(),
        chooser=chooser,
        clients=clients,
        clock=SystemClock(),
        events=event_log(),
    )
    sync.set_seeds(("b:1",))

    async def run() -> None:
        async with anyio.create_task_group() as tg:
            tg.start_soon(sync.run)
            await anyio.wait_all_tasks_blocked()
            tg.cancel_scope.cancel()

    anyio.run(run)
    assert clients.asked == ["b:1"]


def test_large_fleet_asks_the_nearest_and_small_fleet_the_leader():
    asked, _ = play(lambda address: reply(), 0.5)
    assert asked[0] == "a:1"
    assert set(asked[1:]) == {"b:1"}
    asked, _ = play(lambda address: reply(gateways=8, leader="c:1"), 0.5)
    assert set(asked[1:]) == {"c:1"}


def test_silent_control_process_is_replaced_within_half_a_second():
    asked, state = play(lambda a: None if a == "b:1" else reply(), 1.0)
    assert "b:1" in asked
    assert set(asked[2:]) == {"a:1"} or set(asked[2:]) == {"c:1"}
    assert len(state.replies) > 3


def test_waiting_requests_do_not_hurry_syncs_without_a_leader():
    """After a power loss each gateway asked 25 times a second in vain."""

    def behave(address: str) -> SyncReply:
        return reply(leader_age_s=1e9, leader="")

    asked, _ = play(behave, 1.0, refresh=True)
    assert len(asked) <= 12


def test_control_process_that_lost_the_leader_is_replaced():
    asked, _ = play(
        lambda a: reply(leader_age_s=5.0 if a == "b:1" else 0.1), 0.6
    )
    assert asked.count("b:1") == 1


def test_control_process_whose_log_lags_is_replaced():
    """One that relays to the leader, but lags in the log, keeps gateways.

    They then handle requests by an old configuration.
    """
    asked, _ = play(lambda a: reply(stale_s=5.0 if a == "b:1" else 0.1), 0.6)
    assert asked.count("b:1") == 1
