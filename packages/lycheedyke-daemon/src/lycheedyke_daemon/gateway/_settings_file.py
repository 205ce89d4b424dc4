"""Reloads the settings file when it changes, or at SIGHUP."""

import asyncio
import logging
import signal
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from lycheedyke.clock import Clock, wait_for_event
from lycheedyke.exceptions import SettingsInvalid
from lycheedyke_daemon.gateway._settings import (
    GatewaySettings,
    read_gateway_settings,
)

POLL_INTERVAL = timedelta(seconds=2)

_logger = logging.getLogger(__name__)

Apply = Callable[[GatewaySettings, frozenset[str]], None]


class SettingsFile:
    """The settings file, with the settings last read from it.

    Args:
        path: the file.
        settings: the settings read at the start of the process.
    """

    def __init__(self, path: Path, settings: GatewaySettings) -> None:
        """Records the current content as already applied."""
        self._path = path
        self._settings = settings
        self._content = _read(path)

    def __repr__(self) -> str:
        """Returns the path."""
        return f'SettingsFile({self._path})'

    async def watch(self, apply: Apply, clock: Clock) -> None:
        """Applies changes of the file until cancelled.

        Args:
            apply: called with the new settings and the names that changed.
            clock: the time source of the poll interval.
        """
        hangup = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, hangup.set)
        while True:
            await wait_for_event(hangup, clock, POLL_INTERVAL)
            hangup.clear()
            self.reload(apply)

    def reload(self, apply: Apply) -> None:
        """Applies the file's settings if it has changed.

        An invalid file changes nothing; its faults are logged.
        """
        content = _read(self._path)
        if content == self._content or not content:
            return
        self._content = content
        try:
            settings = read_gateway_settings(self._path)
        except SettingsInvalid as error:
            _logger.error('settings not reloaded', extra={'error': str(error)})
            return
        changed = frozenset(
            name
            for name, value in settings._asdict().items()
            if value != getattr(self._settings, name)
        )
        self._settings = settings
        _logger.warning('settings reloaded', extra={'changed': sorted(changed)})
        apply(settings, changed)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        _logger.warning('settings file not read', extra={'error': str(error)})
        return b''
