"""Runs one entry instance, of either kind, until a signal stops it."""

import asyncio
import functools
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
        for number in STOP_SIGNALS:
            _handle(number, functools.partial(self._handle_signal, number))
        if self.hangup_handler is not None:
            _handle(signal.SIGHUP, self.hangup_handler)
        await self.instance.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the instance gracefully; then ignores all signals."""
        try:
            await self.instance.stop()
        finally:
            _ignore_signals()

    def _handle_signal(self, number: signal.Signals) -> None:
        _logger.info('stop requested', extra={'signal': number.name})
        self.stop_request.set()


def _handle(number: signal.Signals, callback: Callable[[], None]) -> None:
    """Calls a function on the running loop at each signal.

    A handler of the loop itself would be reset before the signal is ignored.
    """
    loop = asyncio.get_running_loop()
    signal.signal(number, lambda *_: loop.call_soon_threadsafe(callback))


def _ignore_signals() -> None:
    """Ignores signals that would end the process as its loop closes."""
    # The loop would reset its own handler.
    asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


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
