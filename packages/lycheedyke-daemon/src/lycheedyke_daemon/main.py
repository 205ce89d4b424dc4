"""The command line of the daemon."""

import sys
from pathlib import Path

import aiomisc
import defopt

from lycheedyke.clock import SystemClock
from lycheedyke.exceptions import SettingsInvalid
from lycheedyke_daemon.instance import Instance
from lycheedyke_daemon.logs import start_logs
from lycheedyke_daemon.settings import describe, read_secrets, read_settings

EXIT_BAD_SETTINGS = 2
STOP_TIMEOUT_SECONDS = 60
THREADS = 2


class InstanceService(aiomisc.Service):
    """Runs an instance until the process is asked to stop."""

    __required__ = ('instance',)

    instance: Instance

    async def start(self) -> None:
        """Starts the instance."""
        await self.instance.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the instance gracefully."""
        await self.instance.stop()


def run(*, config: Path, check: bool = False) -> int:
    """Runs one entry instance.

    Args:
        config: The settings file, in INI form.
        check: Check the settings, print them and exit.
    """
    try:
        settings = read_settings(config)
        secrets = read_secrets(settings.secrets_file)
    except SettingsInvalid as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_BAD_SETTINGS
    if check:
        sys.stdout.write(f'{describe(settings)}\n')
        return 0
    writer = start_logs(settings.name, settings.zone, settings.log_level)
    instance = Instance(settings, secrets, SystemClock())
    with aiomisc.entrypoint(
        InstanceService(instance=instance),
        log_config=False,
        pool_size=THREADS,
        shutdown_timeout=STOP_TIMEOUT_SECONDS,
    ) as loop:
        loop.run_forever()
    writer.close()
    return 0


def main() -> None:
    """Parses the arguments and exits with the status."""
    sys.exit(defopt.run(run, cli_options='all'))
