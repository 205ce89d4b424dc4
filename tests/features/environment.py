"""Sets up and ends the deployment of each scenario."""

import tempfile
from pathlib import Path
from typing import Any

from behave.model import Scenario


def before_scenario(context: Any, scenario: Scenario) -> None:
    """Makes a folder for the scenario's processes."""
    context.folder = Path(tempfile.mkdtemp(prefix='lycheedyke-'))
    context.running = None
    context.replies = []


def after_scenario(context: Any, scenario: Scenario) -> None:
    """Ends the scenario's processes."""
    if context.running is not None:
        context.running.__exit__()
