"""The entry point of the tool.

The exit status is 0 for success, 1 if the server refused the call, 2 if the
input is invalid, 3 if the outcome is unknown, and 4 if no server was reached.
"""

import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import defopt

from lycheedyke.exceptions import LycheedykeError, SettingsInvalid
from lycheedyke_ctl import commands, request_timeline, tickets
from lycheedyke_ctl.admin_api import (
    NoServerReachable,
    ResponseLost,
    ServerRefused,
)
from lycheedyke_ctl.configurations import ConfigurationCommands, Decode

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNKNOWN = 3
EXIT_NO_SERVER = 4

_TICKET_COMMANDS = MappingProxyType(
    {
        'apply': tickets.apply,
        'plan': tickets.plan,
        'status': tickets.status,
        'list': tickets.list_tickets,
        'show': tickets.show_ticket,
    },
)
_COMMANDS: Mapping[str, Any] = MappingProxyType(
    {
        'ticket': dict(_TICKET_COMMANDS),
        'status': commands.status,
        'instances': commands.instances,
        'headroom': commands.headroom,
        'drains': commands.drains,
        'suspects': {
            'list': commands.suspects,
            'clear': commands.clear_suspects,
        },
        'counters': commands.counters,
        'story': request_timeline.story,
    },
)


def main(decode: Decode | None = None) -> None:
    """Runs one command and exits with its status.

    Args:
        decode: decodes the configurations of a deployment; without it, there
            are no commands on them.
    """
    available = dict(_COMMANDS)
    if decode is not None:
        configurations = ConfigurationCommands(decode)
        available['configuration'] = {'check': configurations.check}
    try:
        defopt.run(available)
    except LycheedykeError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_exit_status(error))


def _exit_status(error: LycheedykeError) -> int:
    match error:
        case ServerRefused(error='unknown') | ResponseLost():
            return EXIT_UNKNOWN
        case ServerRefused(error='malformed' | 'invalid'):
            return EXIT_BAD_INPUT
        case ServerRefused():
            return EXIT_REFUSED
        case NoServerReachable():
            return EXIT_NO_SERVER
        case SettingsInvalid():
            return EXIT_BAD_INPUT
        case _:
            return EXIT_BAD_INPUT
