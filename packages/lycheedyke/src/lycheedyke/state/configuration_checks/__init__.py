"""Checks a configuration before it is written to the registry."""

from lycheedyke.state.configuration_checks._differences import (
    list_differences,
)
from lycheedyke.state.configuration_checks._findings import (
    Finding,
    Severity,
    find_problems,
)

__all__ = ('Finding', 'Severity', 'find_problems', 'list_differences')
