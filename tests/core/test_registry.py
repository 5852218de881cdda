"""Tests of the registry: updates that are late, reordered or repeated.

An endpoint must not be used after its lease or after it announced leaving,
in whatever order the entries exchange updates.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from chervilshift.core.registry import (
    ITEM_EXPIRY_S,
    LEASE_S,
    EndpointInfo,
    HostNotice,
    Item,
    Pull,
    Registry,
    endpoint_key,
    host_key,
)

KEY = endpoint_key("m1")


def endpoint_item(
    seq=1, incarnation=1, leaving=False, name="m1", host="h1"
) -> Item:
    """Return an update of an endpoint's item."""
    info = EndpointInfo(
        id=name,
        address="127.0.0.1:1",
        host=host,
        failure_domain="fd0",
        region="west",
        kind="engine",
        serves=("desk",),
    )
    return Item(
        key=endpoint_key(name),
        incarnation=incarnation,
        seq=seq,
        body=info,
        leaving=leaving,
    )


@given(st.permutations(range(12)), st.integers(0, 11))
def test_leaving_beats_older_and_reordered_news(order, leaves_at):
    registry = Registry(name="r")
    for now, seq in enumerate(order):
        registry.merge(
            endpoint_item(seq, leaving=seq == leaves_at), 0.0, now * 0.01
        )
    assert not registry.usable(KEY, 0.2)
    registry.merge(endpoint_item(99), 0.0, 0.3)
    assert not registry.usable(KEY, 0.4)
    registry.merge(endpoint_item(1, incarnation=2), 0.0, 0.5)
    assert registry.usable(KEY, 0.6)
    registry.merge(endpoint_item(100, incarnation=1, leaving=True), 0.0, 0.7)
    assert registry.usable(KEY, 0.8)


class World:
    """Registries that pull from each other over links with any delay."""

    def __init__(self):
        self.now = 0.0
        self.registries = [Registry(name=f"r{n}") for n in range(3)]
        self.cursors: dict[tuple[int, int], Pull] = {}
        self.in_flight: list[tuple[int, int, float, object]] = []
        self.seq = 0
        self.announced_at = float("-inf")
        self.left_at: float | None = None

    def announce(self, at: int, leaving: bool) -> None:
        self.seq += 1
        self.announced_at = self.now
        if leaving and self.left_at is None:
            self.left_at = self.now
        item = endpoint_item(self.seq, leaving=self.left_at is not None)
        self.registries[at].merge(item, 0.0, self.now)

    def pull(self, puller: int, peer: int) -> None:
        pull = self.cursors.get((puller, peer), Pull())
        delta = self.registries[peer].delta(pull, self.now)
        self.in_flight.append((puller, peer, self.now, delta))

    def deliver(self, position: int) -> None:
        if not self.in_flight:
            return
        position %= len(self.in_flight)
        puller, peer, sent_at, delta = self.in_flight.pop(position)
        trip_s = self.now - sent_at
        self.registries[puller].merge_delta(delta, trip_s, self.now)
        self.cursors[puller, peer] = Pull(
            registry=delta.registry, cursor=delta.cursor
        )

    def check(self) -> None:
        for registry in self.registries:
            if registry.usable(KEY, self.now):
                assert self.now - self.announced_at <= LEASE_S


steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["announce", "pull", "pull", "deliver", "deliver", "wait", "leave"]
        ),
        st.integers(0, 50),
    ),
    max_size=60,
)


@settings(max_examples=500)
@given(steps)
def test_nothing_is_usable_longer_than_the_lease_after_its_last_news(script):
    world = World()
    for action, number in script:
        if action == "announce":
            world.announce(number % 3, leaving=False)
        elif action == "leave":
            world.announce(number % 3, leaving=True)
        elif action == "pull":
            world.pull(number % 3, (number + 1) % 3)
        elif action == "deliver":
            world.deliver(number)
        else:
            world.now += number / 10
        world.check()


def test_news_spreads_by_pulling_and_only_changes_are_sent():
    near, far = Registry(name="near"), Registry(name="far")
    for number in range(50):
        near.merge(endpoint_item(name=f"m{number}"), 0.0, 1.0)
    first = near.delta(Pull(), 1.0)
    assert len(first.items) == 50
    far.merge_delta(first, 0.1, 1.1)
    again = Pull(registry="near", cursor=first.cursor)
    assert near.delta(again, 1.2).items == ()
    near.merge(endpoint_item(seq=2, name="m7"), 0.0, 1.3)
    assert len(near.delta(again, 1.3).items) == 1
    # A restarted peer has a new registry name: all items are sent again.
    stale = Pull(registry="near-before", cursor=first.cursor)
    assert len(near.delta(stale, 1.4).items) == 50


def test_delta_is_bounded_and_continues():
    near, far = Registry(name="near"), Registry(name="far")
    for number in range(1200):
        near.merge(endpoint_item(name=f"m{number}"), 0.0, 1.0)
    pull = Pull()
    for _ in range(3):
        delta = near.delta(pull, 1.0)
        assert len(delta.items) <= 500
        far.merge_delta(delta, 0.0, 1.0)
        pull = Pull(registry=delta.registry, cursor=delta.cursor)
    assert len(far) == 1200


def test_host_notice_covers_all_on_the_host():
    registry = Registry(name="r")
    registry.merge(endpoint_item(name="m1", host="h1"), 0.0, 1.0)
    registry.merge(endpoint_item(name="m2", host="h1"), 0.0, 1.0)
    registry.merge(endpoint_item(name="m3", host="h2"), 0.0, 1.0)
    notice = HostNotice(host="h1", notice_s=30.0)
    registry.merge(
        Item(key=host_key("h1"), incarnation=1, seq=1, body=notice), 0.0, 1.5
    )
    usable = {held.item.body.id for held in registry.endpoints(2.0)}
    assert usable == {"m3"}
    assert registry.leaves_in_s(endpoint_key("m1"), 2.0) == 29.5
    assert registry.leaves_in_s(endpoint_key("m3"), 2.0) is None


def test_registry_forgets_what_is_gone():
    registry = Registry(name="r")
    registry.merge(endpoint_item(), 0.0, 0.0)
    registry.expire(ITEM_EXPIRY_S + 1)
    assert len(registry) == 0


def test_leaving_is_remembered_behind_the_usual_time():
    registry = Registry(name="r")
    registry.merge(endpoint_item(seq=5, leaving=True), 0.0, 0.0)
    registry.expire(ITEM_EXPIRY_S + 1)
    registry.merge(endpoint_item(seq=4), 0.0, ITEM_EXPIRY_S + 2)
    assert not registry.usable(KEY, ITEM_EXPIRY_S + 2)
