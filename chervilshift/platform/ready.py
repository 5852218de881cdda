"""Readiness of a gateway, as the platform asks for it."""

from collections.abc import Awaitable, Callable

from chervilshift.platform.reply import reply

__all__ = ["ready_app"]


def ready_app(is_ready: Callable[[], bool]) -> Callable[..., Awaitable[None]]:
    """Tell the platform whether a gateway should get clients."""

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        await reply(send, 200 if is_ready() else 503)

    return app
