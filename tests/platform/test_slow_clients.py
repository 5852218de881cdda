"""Clients that read large answers slowly, or not at all.

What their connections had not taken was counted nowhere, so that some sixty
such answers ended a gateway by its memory.
"""

import anyio

from chervilshift.gateway import connections
from tests.platform.rawhttp import serve_raw
from tests.platform.standin import Platform, eventually
from tests.platform.test_path import run_scenario
from tests.platform.test_stopping import (
    LARGE_REPLY_BYTES,
    LargeReplyEndpoint,
    allow_long_requests,
    slow_client,
)

CLIENTS = 16
MEMORY_BYTES = 2 * LARGE_REPLY_BYTES
# What a connection of the gateway may hold beside the memory for replies.
TRANSPORT_BYTES = 256 << 10


def test_answers_that_are_read_slowly_stay_within_the_memory_for_replies(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(connections, "MAX_REPLY_MEMORY_BYTES", MEMORY_BYTES)

    async def scenario(platform: Platform) -> None:
        gateway = platform.gateways[0][0]

        def unsent_bytes() -> int:
            return sum(
                conn.transport.get_write_buffer_size()
                for conn in gateway._http.server_state.connections
            )

        async with anyio.create_task_group() as tg:
            await serve_raw(platform, tg, LargeReplyEndpoint())
            await allow_long_requests(platform)
            clients = []
            for number in range(CLIENTS):
                clients.append(slow_client(platform, f"{number}"))
                await anyio.sleep(0.1)
            await anyio.sleep(0.5)
            assert unsent_bytes() <= CLIENTS * TRANSPORT_BYTES
            assert gateway._pool.reply_memory.is_congested
            late = slow_client(platform, "late")
            first_line = await anyio.to_thread.run_sync(late.recv, 12)
            assert first_line == b"HTTP/1.1 503"
            for client in (*clients, late):
                client.close()
            memory = gateway._pool.reply_memory
            await eventually(lambda: not memory.held_bytes)
            await eventually(lambda: not gateway._dispatcher._scopes)
            tg.cancel_scope.cancel()

    run_scenario(tmp_path, scenario)
