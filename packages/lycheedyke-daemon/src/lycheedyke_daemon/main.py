"""The command line of the daemon."""

import logging
import signal
import sys
from pathlib import Path

import defopt

from lycheedyke.clock import SystemClock
from lycheedyke.exceptions import SettingsInvalid
from lycheedyke_daemon.instance import Instance
from lycheedyke_daemon.service import serve
from lycheedyke_daemon.settings import describe, read_secrets, read_settings

EXIT_BAD_SETTINGS = 2

_logger = logging.getLogger(__name__)


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
    instance = Instance(settings, secrets, SystemClock())
    serve(
        instance,
        settings.name,
        settings.zone,
        settings.log_level,
        hangup_handler=_note_hangup,
    )
    return 0


def main() -> None:
    """Parses the arguments, runs the command and exits with its status."""
    sys.exit(defopt.run(run, cli_options='all'))


def _note_hangup() -> None:
    """Says that the settings, all of which are read at the start, stay."""
    _logger.warning(
        'settings take effect at the next start',
        extra={'signal': signal.SIGHUP.name},
    )
