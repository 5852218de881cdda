"""uvicorn servers that leave signals to the process and stop on request."""

import socket
from contextlib import contextmanager

import anyio
import uvicorn

from chervilshift.addresses import split_address

__all__ = ["HttpServer", "listen_on", "serve_app"]

BACKLOG = 2048
POLL_S = 0.02
CLOSE_TIMEOUT_S = 1


class HttpServer(uvicorn.Server):
    """A server that does not take the process's signals."""

    @contextmanager
    def capture_signals(self):
        """Leave signals to the process."""
        yield


def listen_on(host: str, port: int) -> socket.socket:
    """Return a listening socket; the address may be in its closing wait."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
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

    Connections may stay idle for `idle_timeout_s`. Reports the running
    `HttpServer` to the starter.
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
        timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
    )
    server = HttpServer(cfg)
    with listen_on(host, port) as sock:
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(server.serve, [sock])
                while not server.started:
                    await anyio.sleep(POLL_S)
                task_status.started(server)
        finally:
            # uvicorn leaves its listeners open when it is cancelled.
            for listener in getattr(server, "servers", ()):
                listener.close()
