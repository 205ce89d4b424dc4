"""Evidence against requests, as tests record it."""

from lycheedyke.state import Suspects
from standins.clock import ManualClock

# The first pause before a trial, and the one after a trial that crashed.
PAUSE_S = 1.0
LONG_PAUSE_S = 8.0


def convict(suspects: Suspects, clock: ManualClock, fingerprint: str) -> None:
    """Records two crashes of a request, then those of two trials."""
    for number in range(2):
        suspects.record_crash([fingerprint], f'{fingerprint} {number}')
        clock.advance(PAUSE_S)
    for number in range(2):
        crash_trial(suspects, fingerprint, f'{fingerprint} trial {number}')
        clock.advance(LONG_PAUSE_S)


def crash_trial(suspects: Suspects, fingerprint: str, upstream: str) -> None:
    """Records the crash of a request that ran as a trial."""
    suspects.record_crash([fingerprint], upstream, trials=[fingerprint])
