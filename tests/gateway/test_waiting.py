"""What a gateway sends, holds and refuses when a service is short of room."""

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from chervilshift.clock import ManualClock
from chervilshift.core.fleet.model import EngineSpec, ServiceSpec
from chervilshift.core.fleet.news import NEWS_EXPIRY_S, FleetNews
from chervilshift.core.fleet.placement import Work
from chervilshift.core.fleet.room import RoomLevel
from chervilshift.core.fleet.sync import EndpointLoad
from chervilshift.core.fleet.versions import Rollout
from chervilshift.gateway.chooser import EndpointChooser
from chervilshift.gateway.waiting import NoRoom, RoomAdmission
from chervilshift.metrics import Metrics
from tests.gateway.test_state import new_state, reply

SPEC = ServiceSpec(
    name="pool",
    max_connections=8,
    engine=EngineSpec(slots=8, kv_tokens=1_000_000),
)
OBJECTIVE_S, TIMEOUT_S = 0.4, 2.0


class Gateway:
    """A gateway with two engines that have no load of their own."""

    def __init__(self):
        self.clock = ManualClock()
        self.state = new_state(self.clock)
        self.state.apply_reply(reply(1, "e1", "e2"))
        self.state.table = SimpleNamespace(
            cfg=SimpleNamespace(services={"pool": SPEC})
        )
        self.metrics = Metrics()
        self.admission = RoomAdmission(
            state=self.state,
            chooser=self,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.chosen = 0

    async def choose(self, exchange):
        """Choose for the admission, as its chooser."""
        self.chosen += 1
        return self.state.placement.choose(
            SPEC, exchange.work, self.clock.monotonic()
        )

    def queue(self, tokens: int, active: int = 6) -> None:
        load = EndpointLoad(active=active, prefill_tokens=tokens)
        self.state.placement.set_other_loads({"e1": load, "e2": load})

    def set_level(self, level: RoomLevel) -> None:
        news = FleetNews(id="leader/1", levels={"pool": level})
        self.state.apply_reply(
            msgspec.structs.replace(reply(1), news=news, news_age_s=0.0)
        )

    def exchange(self, priority: int) -> SimpleNamespace:
        return SimpleNamespace(
            service="pool",
            route=SimpleNamespace(objective_s=OBJECTIVE_S),
            priority=priority,
            arrived_at=self.clock.monotonic(),
            deadline_at=self.clock.monotonic() + TIMEOUT_S,
            is_taken_up=False,
            work=Work(tokens=1_000, parts=(("a", 500), ("b", 500))),
            room=None,
        )

    def refused(self, priority: int) -> NoRoom | None:
        exchange = self.exchange(priority)
        try:
            self.admission.arrive(exchange)
        except NoRoom as exc:
            return exc
        return None

    def begin(self, exchange) -> None:
        self.admission.arrive(exchange)
        anyio.run(self.admission.choose, exchange)


LEVEL = RoomLevel(priority=1, share=0.25, recovers_s=1.0)
BUSY_TOKENS = 40_000


def test_level_refuses_its_share_and_says_when_to_return():
    gateway = Gateway()
    gateway.set_level(LEVEL)
    gateway.queue(BUSY_TOKENS)
    refusals = [gateway.refused(1) for _ in range(40)]
    assert sum(r is None for r in refusals) == 10
    assert not any(gateway.refused(0) for _ in range(40))
    waits = [r.retry_after_s for r in refusals if r is not None]
    assert all(0 < wait_s <= TIMEOUT_S / 3 for wait_s in waits)


def test_level_refuses_nothing_while_the_service_has_room():
    """A refusal with free slots and nothing queued is an error."""
    gateway = Gateway()
    gateway.set_level(LEVEL)
    gateway.queue(0, active=3)
    assert not any(gateway.refused(1) for _ in range(40))


def test_level_lapses_when_the_leader_is_not_heard_of():
    gateway = Gateway()
    gateway.set_level(LEVEL)
    gateway.queue(BUSY_TOKENS)
    gateway.clock.advance(NEWS_EXPIRY_S + 0.1)
    assert not any(gateway.refused(1) for _ in range(40))


def test_request_that_can_not_begin_before_its_deadline_is_refused():
    gateway = Gateway()
    gateway.queue(400_000)
    with pytest.raises(NoRoom):
        gateway.begin(gateway.exchange(0))
    gateway.queue(BUSY_TOKENS)
    gateway.begin(gateway.exchange(0))


def test_less_urgent_request_is_held_while_the_queue_delays_urgent_ones():
    gateway = Gateway()
    gateway.queue(BUSY_TOKENS)
    gateway.begin(gateway.exchange(1))
    # Without urgent requests there is nobody to make way for.
    assert gateway.chosen == 1
    gateway.begin(gateway.exchange(0))
    assert gateway.chosen == 2

    async def play() -> None:
        exchange = gateway.exchange(1)
        gateway.admission.arrive(exchange)
        async with anyio.create_task_group() as tg:
            tg.start_soon(gateway.admission.choose, exchange)
            await anyio.sleep(0.06)
            assert gateway.chosen > 3
            assert not exchange.room.work
            gateway.clock.advance(OBJECTIVE_S / 8)
        # It is sent after an eighth of its objective.
        assert exchange.room.work > 0

    anyio.run(play)


def test_request_that_is_held_counts_as_one_attempt_of_a_rollout():
    """Each look for an endpoint used up a part of the exposure share."""
    gateway = Gateway()
    rollout = Rollout(
        order=1,
        changed_at=1,
        service="pool",
        to="v2",
        ramp_s=20.0,
        ordered_s=0.0,
        deadline_s=20.0,
    )
    gateway.state.versions.set_rollouts((rollout,), 1)
    chooser = EndpointChooser(
        state=gateway.state,
        limiter=None,
        clock=gateway.clock,
        metrics=gateway.metrics,
    )
    exchange = SimpleNamespace(
        service="pool",
        route=SimpleNamespace(name="r", repeatable=False),
        work=Work(tokens=10),
        version=None,
        wants_new=None,
        failed_ids=set(),
        barred_ids=set(),
    )

    async def look() -> None:
        for _ in range(3):
            assert await chooser.choose(exchange) is not None

    anyio.run(look)
    assert not gateway.state.versions.report(0.0)
