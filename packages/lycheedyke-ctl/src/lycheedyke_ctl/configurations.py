"""The command that checks a configuration before it is sent."""

import sys
from collections.abc import Callable
from pathlib import Path

from lycheedyke.exceptions import LycheedykeError
from lycheedyke.protocol import RoutingRecord
from lycheedyke.state.configuration_checks import (
    Severity,
    find_problems,
    list_differences,
)

Decode = Callable[[bytes], RoutingRecord]


class ConfigurationFaulty(LycheedykeError):
    """A configuration has errors, or can't be read."""


class ConfigurationCommands:
    """The commands on configurations in the format of a deployment.

    Args:
        decode: decodes a configuration.
    """

    def __init__(self, decode: Decode) -> None:
        """Initializes the commands."""
        self._decode = decode

    def __repr__(self) -> str:
        """Returns the decoder."""
        return f'<ConfigurationCommands with {self._decode!r}>'

    def check(self, new: Path, *, in_force: Path | None = None) -> None:
        """Check a configuration before it is sent.

        Args:
            new: The file with the configuration.
            in_force: The file with the configuration in force, to compare.
        """
        record = self._read(new)
        problems = find_problems(record)
        lines = [str(problem) for problem in problems]
        if in_force is not None:
            lines.extend(list_differences(self._read(in_force), record))
        sys.stdout.write(''.join(f'{line}\n' for line in lines))
        errors = [each for each in problems if each.severity is Severity.error]
        if errors:
            raise ConfigurationFaulty(f'{new}: {len(errors)} errors')

    def _read(self, path: Path) -> RoutingRecord:
        try:
            return self._decode(path.read_bytes())
        # Decoders raise errors of any kind for what others have written.
        except Exception as error:
            raise ConfigurationFaulty(f'{path}: {error}') from error
