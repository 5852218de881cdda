"""uvicorn servers without signal handlers, stopped by cancellation."""

import socket
from contextlib import contextmanager

import anyio
import uvicorn

from chervilshift.addresses import split_address

__all__ = ["HttpServer", "listen_on", "serve_app"]

LISTEN_BACKLOG = 2048
START_POLL_INTERVAL_S = 0.02
GRACEFUL_SHUTDOWN_TIMEOUT_S = 1


class HttpServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextmanager
    def capture_signals(self):
        """Leave signal handling to the process."""
        yield


class _CancelledServer(HttpServer):
    """A server that only cancellation stops, not `should_exit`.

    Its loop does not wake up ten times a second to look at that flag.
    """

    async def main_loop(self) -> None:
        """Serve until cancelled."""
        await self.on_tick(0)
        await anyio.sleep_forever()


def listen_on(host: str, port: int) -> socket.socket:
    """Return a non-blocking IPv4 socket that listens on an address.

    Connections in TIME_WAIT on that address don't prevent it. Raises OSError
    if the address is in use or not local.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


async def serve_app(
    app: object,
    address: str,
    idle_timeout_s: float,
    *,
    task_status=anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application at HOST:PORT until cancelled.

    Connections may stay idle for `idle_timeout_s` seconds. Reports the
    running `HttpServer` through `task_status`. Raises OSError if it can't
    listen on the address.
    """
    host, port = split_address(address)
    cfg = uvicorn.Config(
        app,
        host=host,
        port=port,
        log_config=None,
        access_log=False,
        lifespan="off",
        http="h11",
        ws="none",
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=idle_timeout_s,
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_TIMEOUT_S,
    )
    server = _CancelledServer(cfg)
    with listen_on(host, port) as sock:
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(server.serve, [sock])
                while not server.started:
                    await anyio.sleep(START_POLL_INTERVAL_S)
                task_status.started(server)
        finally:
            # uvicorn does not close its listeners when it is cancelled.
            for listener in getattr(server, "servers", ()):
                listener.close()
