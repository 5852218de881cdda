"""Builds a control process with the platform's adapters."""

from chervilshift.clock import Clock
from chervilshift.control.routed import PlatformAdapter, RoutedControl
from chervilshift.events import EventLog
from chervilshift.platform.api import control_app, directory_app
from chervilshift.platform.cloud import CloudClient
from chervilshift.platform.config import decode_config
from chervilshift.settings import RoutedControlSettings

__all__ = ["platform_control"]


def platform_control(
    settings: RoutedControlSettings, clock: Clock, events: EventLog
) -> RoutedControl:
    """Return a control process that serves the platform's interfaces."""
    adapter = PlatformAdapter(
        decode=decode_config,
        control_app=control_app,
        directory_app=directory_app,
        cloud=CloudClient(address=settings.cloud, holder=settings.process),
    )
    return RoutedControl(
        settings=settings, adapter=adapter, clock=clock, events=events
    )
