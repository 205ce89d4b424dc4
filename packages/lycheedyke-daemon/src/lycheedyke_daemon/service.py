"""Runs one entry instance, of either kind, until a signal stops it."""

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import Protocol

import aiomisc

from lycheedyke_daemon.logs import configure_logging

THREADS = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_logger = logging.getLogger(__name__)


class Instance(Protocol):
    """The part of an entry instance that the process uses."""

    async def start(self) -> None:
        """Listens and starts all tasks."""

    async def stop(self) -> None:
        """Stops gracefully."""


class InstanceService(aiomisc.Service):
    """Runs an instance until the process is asked to stop."""

    __required__ = ('instance', 'stop_request', 'hangup_handler')

    instance: Instance
    stop_request: asyncio.Event
    hangup_handler: Callable[[], None] | None

    async def start(self) -> None:
        """Starts the instance.

        The signal handlers stay installed to the end: a repeated signal must
        not interrupt the graceful stop that the first one has started.
        """
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._handle_signal, number)
        if self.hangup_handler is not None:
            loop.add_signal_handler(signal.SIGHUP, self.hangup_handler)
        await self.instance.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the instance gracefully."""
        await self.instance.stop()

    def _handle_signal(self, number: signal.Signals) -> None:
        _logger.info('stop requested', extra={'signal': number.name})
        self.stop_request.set()


def serve(
    instance: Instance,
    name: str,
    zone: str,
    log_level: str,
    *,
    hangup_handler: Callable[[], None] | None = None,
) -> None:
    """Runs an instance until SIGTERM or SIGINT.

    Args:
        instance: the instance.
        name: its name in the logs.
        zone: its zone in the logs.
        log_level: the minimum level that is logged.
        hangup_handler: called at each SIGHUP; None if the instance handles it.
    """
    writer = configure_logging(name, zone, log_level)
    stop_request = asyncio.Event()
    with aiomisc.entrypoint(
        InstanceService(
            instance=instance,
            stop_request=stop_request,
            hangup_handler=hangup_handler,
        ),
        catch_signals=(),
        log_config=False,
        pool_size=THREADS,
    ) as loop:
        loop.run_until_complete(stop_request.wait())
    writer.close()
