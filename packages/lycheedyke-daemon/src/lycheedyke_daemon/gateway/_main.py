"""Runs one entry instance that replicates a registry."""

import sys
from collections.abc import Callable
from pathlib import Path

from lycheedyke.clock import SystemClock
from lycheedyke.exceptions import SettingsInvalid
from lycheedyke_daemon.gateway._deployment import Deployment
from lycheedyke_daemon.gateway._instance import GatewayInstance
from lycheedyke_daemon.gateway._settings import (
    GatewaySettings,
    read_gateway_settings,
)
from lycheedyke_daemon.gateway._settings_file import SettingsFile
from lycheedyke_daemon.service import serve

EXIT_BAD_SETTINGS = 2

Deploy = Callable[[GatewaySettings], Deployment]


def run(config: Path, deploy: Deploy) -> int:
    """Runs one entry instance and returns the exit status.

    Args:
        config: the settings file, in INI format.
        deploy: returns the registry and wire formats of the deployment.
    """
    try:
        settings = read_gateway_settings(config)
    except SettingsInvalid as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_BAD_SETTINGS
    instance = GatewayInstance(settings, deploy(settings), SystemClock())
    instance.watch_settings(SettingsFile(config, settings))
    serve(instance, settings.name, settings.zone, settings.log_level)
    return 0
