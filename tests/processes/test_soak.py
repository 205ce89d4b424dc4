"""Runs short soaks of real processes under all faults together."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes
ROOT = Path(__file__).resolve().parents[2]
SECONDS = 10
TIMEOUT_SECONDS = 120


@pytest.mark.parametrize(
    ('seed', 'fault'),
    [
        (3, 'a refused body that never came held a planned stop for 10 s'),
        (4, 'a second SIGTERM ended a stopping process with status 70'),
    ],
)
def test_soak_passes_with_seeds_that_once_failed(seed: int, fault: str) -> None:
    """Seeds that once found the named faults pass."""
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'bench.soak',
            '--seed',
            str(seed),
            '--seconds',
            str(SECONDS),
        ],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': 'tests'},
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_SECONDS,
    )
    assert done.returncode == 0, f'{fault}: {done.stdout}{done.stderr}'
