"""How the leader is found among replicas that know it, or know none."""

import anyio
import pytest
from returns.result import Failure as Bad
from returns.result import Success

from chervilshift.errors import NotLeader, PeerUnreachable
from chervilshift.wire.leader import LeaderClient
from chervilshift.wire.messages import Ack, GetControlStatus
from tests.virtual_time import LoopClock, run_virtual

# Time limit of a replica's request to join.
CALL_S = 0.3


class Replicas:
    """Answers by address: the leader it names, "" for none, None for silence.

    The leader names itself.
    """

    def __init__(self, **answers):
        self.answers = answers
        self.address = ""

    def at(self, address):
        self.address = address
        return self

    async def call(self, body, timeout_s):
        address = self.address
        named = self.answers[address]
        if named is None:
            await anyio.sleep(timeout_s)
            return Bad(PeerUnreachable(address=address, reason="timeout"))
        await anyio.sleep(0.002)
        if named == address:
            return Success(Ack())
        return Bad(NotLeader(leader=named))


def calls(addresses, replicas, count=1) -> list:
    """Return the results of `count` calls, one after another."""

    async def run():
        client = LeaderClient(
            addresses=addresses, clients=replicas, clock=LoopClock()
        )
        return [
            await client.call(GetControlStatus(), CALL_S) for _ in range(count)
        ]

    return run_virtual(run, lambda: 0.0)


@pytest.mark.parametrize("ignorant", ["", "a", "gone"])
def test_leader_is_found_though_a_later_replica_does_not_know_it(ignorant):
    """The last answer replaced the leader that others had named.

    A removed voter asks the seeds and itself, and knows no leader: it never
    joined again, and changes put there were refused.
    """
    replicas = Replicas(a="leader", b="leader", own=ignorant, leader="leader")
    replicas.answers["gone"] = ""
    (result,) = calls(("a", "b", "own"), replicas)
    assert isinstance(result, Success)


def test_leader_is_found_behind_a_replica_that_never_answers():
    """Each call ended at the first replica, which was gone for good."""
    replicas = Replicas(gone=None, lost=None, a="leader", leader="leader")
    results = calls(("gone", "lost", "a"), replicas, count=3)
    assert isinstance(results[-1], Success)


def test_replicas_that_name_each_other_are_not_asked_for_ever():
    replicas = Replicas(a="b", b="a")
    (result,) = calls(("a", "b"), replicas)
    assert isinstance(result.failure(), NotLeader)
