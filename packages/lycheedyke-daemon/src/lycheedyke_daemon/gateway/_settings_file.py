"""Follows the settings file, which may change with or without a signal."""

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

LOOK_INTERVAL = timedelta(seconds=2)

_logger = logging.getLogger(__name__)

Apply = Callable[[GatewaySettings, frozenset[str]], None]


class SettingsFile:
    """The settings file, and the settings last read from it.

    Args:
        path: the file.
        settings: the settings that were read at the start.
    """

    def __init__(self, path: Path, settings: GatewaySettings) -> None:
        """Takes the present content as read."""
        self._path = path
        self._settings = settings
        self._content = _read(path)

    def __repr__(self) -> str:
        """Returns the path."""
        return f'SettingsFile({self._path})'

    async def watch(self, apply: Apply, clock: Clock) -> None:
        """Reads the file whenever it has changed, until cancelled.

        Args:
            apply: called with new settings and the names that changed.
            clock: the time between two looks.
        """
        hangup = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, hangup.set)
        while True:
            await wait_for_event(hangup, clock, LOOK_INTERVAL)
            hangup.clear()
            self.reload(apply)

    def reload(self, apply: Apply) -> None:
        """Applies the file's settings if it has changed.

        A faulty file changes nothing; its faults are logged.
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
