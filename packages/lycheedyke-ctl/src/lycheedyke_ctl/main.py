"""The command line of the tool."""

import sys
from types import MappingProxyType

import defopt

from lycheedyke.exceptions import LycheedykeError, SettingsInvalid
from lycheedyke_ctl import commands
from lycheedyke_ctl.server import NoServerAnswered, ServerRefused

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNKNOWN = 3
EXIT_NO_SERVER = 4

_TICKET_COMMANDS = MappingProxyType(
    {
        'apply': commands.apply,
        'show': commands.show_ticket,
    },
)
_COMMANDS = MappingProxyType(
    {
        'ticket': dict(_TICKET_COMMANDS),
        'status': commands.status,
        'instances': commands.instances,
        'counters': commands.counters,
    },
)


def main() -> None:
    """Runs one command and exits with its status."""
    try:
        defopt.run(dict(_COMMANDS))
    except LycheedykeError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_status_of(error))


def _status_of(error: LycheedykeError) -> int:
    match error:
        case ServerRefused(error='unknown'):
            return EXIT_UNKNOWN
        case ServerRefused():
            return EXIT_REFUSED
        case NoServerAnswered():
            return EXIT_NO_SERVER
        case SettingsInvalid():
            return EXIT_BAD_INPUT
        case _:
            return EXIT_BAD_INPUT
