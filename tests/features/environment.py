"""Prepares each scenario and ends its deployment."""

import tempfile
from pathlib import Path
from typing import Any

from behave.model import Scenario


def before_scenario(context: Any, scenario: Scenario) -> None:
    """Creates a folder for the processes of the scenario."""
    context.folder = Path(tempfile.mkdtemp(prefix='lycheedyke-'))
    context.running = None
    context.replies = []


def after_scenario(context: Any, scenario: Scenario) -> None:
    """Ends the processes of the scenario."""
    if context.running is not None:
        context.running.__exit__()
