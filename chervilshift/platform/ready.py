"""The readiness probe of a gateway."""

from collections.abc import Awaitable, Callable

from chervilshift.platform.reply import send_json

__all__ = ["ready_app"]


def ready_app(is_ready: Callable[[], bool]) -> Callable[..., Awaitable[None]]:
    """Return the app that tells the platform if a gateway takes clients."""

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        await send_json(send, 200 if is_ready() else 503)

    return app
