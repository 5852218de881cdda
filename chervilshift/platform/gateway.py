"""Builds a gateway with the platform's adapters."""

from chervilshift.clock import Clock
from chervilshift.events import EventLog
from chervilshift.gateway.process import ClientProtocol, GatewayProcess
from chervilshift.metrics import Metrics
from chervilshift.platform.config import decode_config
from chervilshift.platform.headers import PlatformHeaderCodec
from chervilshift.platform.ready import ready_app
from chervilshift.settings import GatewaySettings

__all__ = ["platform_gateway"]


def platform_gateway(
    settings: GatewaySettings,
    clock: Clock,
    events: EventLog,
    metrics: Metrics,
) -> GatewayProcess:
    """Return a gateway that serves the platform's client protocol."""
    protocol = ClientProtocol(
        codec=PlatformHeaderCodec(),
        decode_config=decode_config,
        ready_app=ready_app,
    )
    return GatewayProcess(
        settings=settings,
        protocol=protocol,
        clock=clock,
        events=events,
        metrics=metrics,
    )
