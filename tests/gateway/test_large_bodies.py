"""Bodies of many requests at once, each within its own limit."""

import anyio
import pytest

from chervilshift import bytebudget
from chervilshift.bytebudget import ByteBudget, HeldBody
from chervilshift.errors import BodyTimeout, BodyTooLarge, Unserved
from chervilshift.gateway.downstream import ClientDisconnected, Downstream

LIMIT_BYTES = 4 << 20
BUDGET_BYTES = 16 << 20
PART = b"x" * (1 << 20)


def downstream(
    budget: ByteBudget, *bodies: bytes, ends: bool = True
) -> Downstream:
    """Return the side of a client that sends a body in parts."""
    messages = [
        {"type": "http.request", "body": body, "more_body": True}
        for body in bodies
    ]
    messages.append({"type": "http.request" if ends else "http.disconnect"})

    async def receive() -> dict:
        await anyio.sleep(0)
        return messages.pop(0)

    return Downstream(
        receive=receive,
        send=None,
        close_connection=False,
        body=HeldBody(budget=budget),
    )


def test_large_bodies_at_once_stay_within_the_memory_of_the_gateway():
    budget = ByteBudget(limit_bytes=BUDGET_BYTES)
    refused = []
    whole = []

    async def read(client: Downstream) -> None:
        try:
            whole.append(await client.read_body(LIMIT_BYTES))
        except Unserved:
            refused.append(client)
            assert client.close_connection

    async def play() -> None:
        async with anyio.create_task_group() as tg:
            for _ in range(100):
                tg.start_soon(read, downstream(budget, *[PART] * 4))

    anyio.run(play)
    assert sum(map(len, whole)) <= BUDGET_BYTES
    assert len(whole) + len(refused) == 100


@pytest.mark.parametrize(
    ("parts", "ends", "failure"),
    [([PART] * 5, True, BodyTooLarge), ([PART], False, ClientDisconnected)],
)
def test_bytes_of_a_body_that_fails_are_given_back(parts, ends, failure):
    budget = ByteBudget(limit_bytes=BUDGET_BYTES)
    client = downstream(budget, *parts, ends=ends)
    with pytest.raises(failure):
        anyio.run(client.read_body, LIMIT_BYTES)
    client.body.give_back()
    assert budget.take(BUDGET_BYTES)


def test_bodies_that_stop_give_way_to_one_that_comes(monkeypatch):
    """Some bodies that stopped halfway kept all others out for seconds."""
    monkeypatch.setattr(bytebudget, "STALL_S", 0.05)
    budget = ByteBudget(limit_bytes=BUDGET_BYTES)
    outcomes = {}

    async def read_halted(size_parts: int) -> None:
        messages = [
            {"type": "http.request", "body": PART, "more_body": True}
        ] * size_parts

        async def receive() -> dict:
            if messages:
                return messages.pop()
            return await anyio.sleep_forever()

        body = HeldBody(budget=budget)
        try:
            await body.read(receive, LIMIT_BYTES)
        except BodyTimeout:
            outcomes[size_parts] = "ended"
        finally:
            body.give_back()

    async def play() -> None:
        async with anyio.create_task_group() as tg:
            for size_parts in (2, 4, 3, 4, 3):
                tg.start_soon(read_halted, size_parts)
            await anyio.sleep(0.1)
            assert budget.held_bytes == BUDGET_BYTES
            client = downstream(budget, *[PART] * 3)
            assert len(await client.read_body(LIMIT_BYTES)) == 3 << 20
            await anyio.sleep(0.01)
            # One of four parts was enough.
            assert outcomes == {4: "ended"}
            assert budget.held_bytes == 15 << 20
            tg.cancel_scope.cancel()

    anyio.run(play)
    assert budget.held_bytes == 3 << 20


def test_who_waits_longest_for_memory_is_first_and_may_give_up():
    budget = ByteBudget(limit_bytes=10)
    granted = []

    async def reserve(size_bytes: int) -> None:
        await budget.reserve(size_bytes)
        granted.append(size_bytes)

    async def play() -> None:
        async with anyio.create_task_group() as tg:
            await reserve(8)
            with anyio.move_on_after(0.01):
                await reserve(5)
            for size_bytes in (6, 4, 1):
                tg.start_soon(reserve, size_bytes)
                await anyio.sleep(0.01)
            budget.give_back(8)
            await anyio.sleep(0.01)
            tg.cancel_scope.cancel()

    anyio.run(play)
    assert granted == [8, 6, 4]
    assert budget.held_bytes == 10
