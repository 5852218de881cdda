"""Requests that crash endpoints, in a fleet under one virtual clock.

The bound is the operator's: at most three repeats of a request are sent later
than `CONTACT_S` after it has crashed its third endpoint. A request is known by
its last part, whose name begins with "="; the others are of its prompt.
"""

from itertools import count

import pytest

from chervilshift.core.fleet.commands import QuarantineParts
from tests.core.fleet.test_quarantine import CONTACT_S, World

MAX_LATE_REPEATS = 3
KNOWN_AFTER_CRASHES = 3
FLEETS = [(7, 9, 4), (300, 60, 40)]


def late_repeats(world: World, request: str) -> int:
    """Return how often a request was sent too late."""
    times = [at for at, crashed in world.crashes if crashed == request]
    if len(times) < KNOWN_AFTER_CRASHES:
        return 0
    known_at = times[KNOWN_AFTER_CRASHES - 1] + CONTACT_S
    return sum(
        sent and request in parts and at > known_at
        for at, parts, sent in world.sent
    )


def assert_kept(world: World, *deadly: str) -> None:
    assert world.crashes
    for request in deadly:
        assert late_repeats(world, request) <= MAX_LATE_REPEATS, request


def traffic(world: World, *, normal: int, deadly_share: float, prompt: bool):
    """Return sound requests, all different, and the deadly ones."""
    numbers = count()
    rng = world.rng

    def one() -> str:
        head = f"head{int(rng.random() ** 2 * 4)}"
        parts = f"{head} subject{int(rng.random() ** 2 * 40)} "
        own = f"={next(numbers)}"
        if world.bad and rng.random() < deadly_share:
            own, parts = rng.choice(sorted(world.bad)), "head0 subject0 "
        return f"{parts if prompt else ''}{own}"

    return lambda: [one() for _ in range(normal)]


def sound_share(world: World, since: float) -> float:
    """Return the share of sound requests that were sent at once."""
    outcomes = [
        sent
        for at, parts, sent in world.sent
        if at >= since and not world.bad & set(parts)
    ]
    assert len(outcomes) >= 20
    return sum(outcomes) / len(outcomes)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("attempts", [1, 2])
@pytest.mark.parametrize("prompt", [False, True])
@pytest.mark.parametrize(("gateways", "endpoints", "normal"), FLEETS)
def test_deadly_request_is_stopped_and_sound_ones_go_on(
    gateways, endpoints, normal, prompt, attempts, seed
):
    world = World(
        gateways=gateways, endpoints=endpoints, seed=seed, attempts=attempts
    )
    world.play(
        3.0, traffic(world, normal=normal, deadly_share=0.0, prompt=prompt)
    )
    world.bad = {"=deadly"}
    world.play(
        25.0, traffic(world, normal=normal, deadly_share=0.03, prompt=prompt)
    )
    assert_kept(world, "=deadly")
    assert "=deadly" in world.fleet.crashes.quarantined
    assert sound_share(world, world.now - 12.0) > 0.98


@pytest.mark.parametrize("prompt", [False, True])
def test_several_deadly_requests_with_sound_parts_in_common(prompt):
    world = World(gateways=8, endpoints=16, attempts=2)
    world.bad = {f"=deadly{n}" for n in range(4)}
    world.play(
        30.0, traffic(world, normal=4, deadly_share=0.05, prompt=prompt)
    )
    assert_kept(world, *world.bad)
    assert set(world.fleet.crashes.quarantined) == world.bad
    assert sound_share(world, world.now - 10.0) > 0.98


@pytest.mark.parametrize("lost_at_s", [0.5, 1.0, 1.5, 2.0, 3.0])
def test_leader_lost_amid_the_crashes_of_a_deadly_request(lost_at_s):
    world = World(gateways=8, endpoints=16, attempts=2)
    deadly = traffic(world, normal=4, deadly_share=0.04, prompt=False)
    world.bad = {"=deadly"}
    world.play(lost_at_s, deadly)
    world.leader_lost = True
    world.play(1.5, deadly)
    world.change_leader()
    world.leader_lost = False
    world.play(20.0, deadly)
    assert_kept(world, "=deadly")
    assert "=deadly" in world.fleet.crashes.quarantined


def test_deadly_request_stays_refused_through_restarts_of_all_gateways():
    world = World(gateways=8, endpoints=16, attempts=2)
    deadly = traffic(world, normal=4, deadly_share=0.04, prompt=False)
    world.bad = {"=deadly"}
    world.play(12.0, deadly)
    crashes = len(world.crashes)
    world.change_leader()
    for gateway in world.gateways:
        gateway.start()
        world.sync(gateway)
    world.play(10.0, deadly)
    assert len(world.crashes) <= crashes + 1
    assert_kept(world, "=deadly")


@pytest.mark.parametrize("lost", [2, 3])
def test_deadly_request_that_comes_slowly_and_crashes_in_pairs(lost):
    """Each repeat by its gateway crashes the next endpoint 0.1 s later."""
    world = World(gateways=8, endpoints=16, attempts=lost)
    world.bad = {"=deadly"}
    numbers = count(1)

    def slow() -> list[str]:
        number = next(numbers)
        return [f"={number}"] + ["=deadly"] * (number % 80 == 1)

    world.play(30.0, slow)
    assert_kept(world, "=deadly")


def test_request_of_many_clients_is_not_blamed_for_a_deadly_one():
    world = World(gateways=8, endpoints=12, attempts=2)
    world.bad = {"=deadly"}
    rng = world.rng

    def mixed() -> list[str]:
        return [
            "=deadly" if rng.random() < 0.03 else f"=popular{rng.randrange(3)}"
            for _ in range(4)
        ]

    world.play(25.0, mixed)
    assert_kept(world, "=deadly")
    assert set(world.fleet.crashes.quarantined) == {"=deadly"}


def test_part_that_turns_bad_is_found_though_its_requests_are_repeated():
    """Each request explains its own crashes, three at a time."""
    world = World(gateways=8, endpoints=16)
    subjects = count()

    def sound() -> list[str]:
        number = next(subjects)
        return [f"head0 rare =a{number}", f"head{number % 4} s =b{number}"]

    world.play(3.0, sound)
    world.bad = {"rare"}
    due: list[str] = []

    def repeated() -> list[str]:
        number = next(subjects)
        if number % 12 == 0:
            due.extend([f"head0 rare =a{number}"] * 4)
        fresh = [f"head{number % 4} s =b{number}"]
        return fresh + ([due.pop()] if due and number % 3 == 0 else [])

    world.play(25.0, repeated)
    times = [at for at, _ in world.crashes]
    late = sum(
        sent and "rare" in parts and at > times[4] + CONTACT_S
        for at, parts, sent in world.sent
    )
    assert late <= MAX_LATE_REPEATS
    assert "rare" in world.fleet.crashes.quarantined


def test_crashes_of_other_causes_quarantine_no_request():
    world = World(gateways=8, endpoints=12, attempts=2)
    sound = traffic(world, normal=4, deadly_share=0.0, prompt=False)
    for _ in range(40):
        world.play(0.5, sound)
        world.crash(world.rng.choice(world.endpoints))
    world.play(5.0, sound)
    assert not any(isinstance(c, QuarantineParts) for c in world.commands)
