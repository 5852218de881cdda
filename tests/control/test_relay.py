"""Relays of a follower to the leader that end without a reply."""

import anyio
import pytest

from chervilshift.clock import SystemClock
from chervilshift.control.relay import LeaderRelay
from chervilshift.core.fleet.sync import ControlInfo, Relay


class Raising:
    """Clients whose calls raise what no caller expects."""

    def at(self, address):
        return self

    async def call(self, body, timeout_s):
        raise ValueError("port must be 0-65535")


class Silent(Raising):
    """Clients whose calls never return."""

    async def call(self, body, timeout_s):
        await anyio.sleep_forever()


@pytest.mark.parametrize("clients", [Raising(), Silent()])
def test_relay_that_fails_or_is_cancelled_counts_as_unanswered(clients):
    """What it asked the leader for was never asked for again."""
    made, ended = [], []

    def make(grants_only: bool) -> Relay:
        made.append(Relay(sender=ControlInfo(address="c2")))
        return made[-1]

    relay = LeaderRelay(
        leader=lambda: "c1",
        make=make,
        apply=lambda relay, reply, sent_at: ended.append((relay, reply)),
        clients=clients,
        clock=SystemClock(),
    )

    async def play() -> None:
        with anyio.move_on_after(1.0):
            await relay.run()

    try:
        anyio.run(play)
    except* ValueError:
        pass
    assert made
    assert ended == [(relay, None) for relay in made]
