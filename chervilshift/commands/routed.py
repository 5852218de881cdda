"""Commands that run the gateway and its control process.

Each command imports only the modules of its process, because callers wait
for these processes to start after a power failure.
"""

import os
import sys
from pathlib import Path

from chervilshift import errors, logs
from chervilshift.metrics import Metrics
from chervilshift.platform import SETTINGS_VARIABLE
from chervilshift.runner import open_events, run_until_signal
from chervilshift.settings import (
    GatewaySettings,
    RoutedControlSettings,
    SettingsWatch,
    load_or_raise,
)

__all__ = ["RoutedCommands"]


class RoutedCommands:
    """Run the processes that route traffic on the users' platform.

    SETTINGS is a settings file, or $CHERVILSHIFT_SETTINGS.
    """

    def control(self, settings: str = "") -> None:
        """Run a control process that serves gateways.

        Args:
            settings: the process's settings file.
        """
        from chervilshift.platform.control import platform_control

        cfg = load_or_raise(RoutedControlSettings, _settings_path(settings))
        logs.setup(process=cfg.process, verbosity=cfg.log_level)
        clock, events = open_events(
            cfg.process, cfg.events_folder, stdout=True
        )
        process = platform_control(cfg, clock, events)
        watch = SettingsWatch(
            schema=RoutedControlSettings,
            path=Path(_settings_path(settings)),
            apply=process.reload,
        )
        sys.exit(run_until_signal(process.run, watch.reload))

    def gateway(self, settings: str = "") -> None:
        """Run a gateway, which clients connect to.

        Args:
            settings: the process's settings file.
        """
        from chervilshift.platform.gateway import platform_gateway

        cfg = load_or_raise(GatewaySettings, _settings_path(settings))
        logs.setup(process=cfg.process, verbosity=cfg.log_level)
        metrics = Metrics()
        clock, events = open_events(
            cfg.process, cfg.events_folder, metrics, stdout=True
        )
        process = platform_gateway(cfg, clock, events, metrics)
        watch = SettingsWatch(
            schema=GatewaySettings,
            path=Path(_settings_path(settings)),
            apply=process.reload,
        )
        sys.exit(run_until_signal(process.run, watch.reload))


def _settings_path(settings: str) -> str:
    """Return the path in the argument or in $CHERVILSHIFT_SETTINGS."""
    path = settings or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise errors.SettingsRefused(faults="no settings file given")
    return path
