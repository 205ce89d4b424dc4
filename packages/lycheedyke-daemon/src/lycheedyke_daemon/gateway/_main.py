"""Runs one entry instance that follows a registry."""

import sys
from collections.abc import Callable
from pathlib import Path

import aiomisc

from lycheedyke.clock import SystemClock
from lycheedyke.exceptions import SettingsInvalid
from lycheedyke_daemon.gateway._instance import Deployment, GatewayInstance
from lycheedyke_daemon.gateway._reload import SettingsFile
from lycheedyke_daemon.gateway._settings import (
    GatewaySettings,
    read_gateway_settings,
)
from lycheedyke_daemon.logs import start_logs

EXIT_BAD_SETTINGS = 2
THREADS = 1
# Planned stops end by the grace in the settings; this is a last resort.
STOP_TIMEOUT_SECONDS = 60

Deploy = Callable[[GatewaySettings], Deployment]


class GatewayService(aiomisc.Service):
    """Runs an instance until the process is asked to stop."""

    __required__ = ('instance',)

    instance: GatewayInstance

    async def start(self) -> None:
        """Starts the instance."""
        await self.instance.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the instance gracefully."""
        await self.instance.stop()


def run(config: Path, deploy: Deploy) -> int:
    """Runs one entry instance; returns the status of the process.

    Args:
        config: the settings file, in INI form.
        deploy: makes what the deployment brings.
    """
    try:
        settings = read_gateway_settings(config)
    except SettingsInvalid as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_BAD_SETTINGS
    writer = start_logs(settings.name, settings.zone, settings.log_level)
    instance = GatewayInstance(settings, deploy(settings), SystemClock())
    instance.follow_settings(SettingsFile(config, settings))
    with aiomisc.entrypoint(
        GatewayService(instance=instance),
        log_config=False,
        pool_size=THREADS,
        shutdown_timeout=STOP_TIMEOUT_SECONDS,
    ) as loop:
        loop.run_forever()
    writer.close()
    return 0
