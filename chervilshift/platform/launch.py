"""Starts the product's processes with this platform's adapters."""

from chervilshift.clock import Clock
from chervilshift.control.routed import Adapter, RoutedControl
from chervilshift.events import EventLog
from chervilshift.gateway.process import ClientProtocol, GatewayProcess
from chervilshift.metrics import Metrics
from chervilshift.platform.api import control_app, directory_app, ready_app
from chervilshift.platform.cloud import CloudClient
from chervilshift.platform.config import decode_config
from chervilshift.platform.headers import PlatformDialect
from chervilshift.settings import GatewaySettings, RoutedControlSettings

__all__ = ["platform_control", "platform_gateway"]

SETTINGS_VARIABLE = "CHERVILSHIFT_SETTINGS"


def platform_control(
    settings: RoutedControlSettings, clock: Clock, events: EventLog
) -> RoutedControl:
    """Return a control process that speaks the platform's interfaces."""
    adapter = Adapter(
        decode=decode_config,
        control_app=control_app,
        directory_app=directory_app,
        cloud=CloudClient(address=settings.cloud, holder=settings.process),
    )
    return RoutedControl(
        settings=settings, adapter=adapter, clock=clock, events=events
    )


def platform_gateway(
    settings: GatewaySettings,
    clock: Clock,
    events: EventLog,
    metrics: Metrics,
) -> GatewayProcess:
    """Return a gateway that speaks the platform's client protocol."""
    protocol = ClientProtocol(
        dialect=PlatformDialect(),
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
