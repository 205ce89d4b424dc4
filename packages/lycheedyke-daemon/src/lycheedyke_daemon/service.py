"""Runs one entry instance, of either kind, until the process is to stop."""

from typing import Protocol

import aiomisc

from lycheedyke_daemon.logs import start_logs

# The settings of an instance bound its stop; this is the last resort.
STOP_TIMEOUT_SECONDS = 60
THREADS = 2


class Instance(Protocol):
    """An entry instance as the process runs it."""

    async def start(self) -> None:
        """Listens and starts all tasks."""

    async def stop(self) -> None:
        """Stops gracefully."""


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


def serve(instance: Instance, name: str, zone: str, log_level: str) -> None:
    """Runs an instance until SIGTERM or SIGINT.

    Args:
        instance: the instance.
        name: its name in the logs.
        zone: its zone in the logs.
        log_level: the least level that is logged.
    """
    writer = start_logs(name, zone, log_level)
    with aiomisc.entrypoint(
        InstanceService(instance=instance),
        log_config=False,
        pool_size=THREADS,
        shutdown_timeout=STOP_TIMEOUT_SECONDS,
    ) as loop:
        loop.run_forever()
    writer.close()
