"""Short soaks of real processes in all faults together."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes
ROOT = Path(__file__).resolve().parents[2]
SECONDS = 10
LIMIT_SECONDS = 120


@pytest.mark.parametrize(
    ('seed', 'found'),
    [
        (3, 'a refused body that never came held a planned stop for 10 s'),
        (4, 'a second SIGTERM ended a stopping process with status 70'),
    ],
)
def test_soak_breaks_no_promise(seed: int, found: str) -> None:
    """Seeds that once failed, with what they had found, pass."""
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
        timeout=LIMIT_SECONDS,
    )
    assert done.returncode == 0, f'{found}: {done.stdout}{done.stderr}'
