"""Tells requests that cross the end of a planned stop from lost ones."""

from bench.soak.fault_records import PlannedStop
from bench.soak.load_generator import CLOSE_ERRORS, CallResult
from bench.soak.observations import Observations

# The platform's `lossSlack`: what was read may be closed without an answer
# within this time of its last byte.
LOSS_SLACK_SECONDS = 0.2
# How long callers keep an answer to a look-up; a stopping instance serves for
# that time.
SERVED_SECONDS = 2.0
# An instance refuses late requests for less than this before it closes the
# connections.
REFUSED_SECONDS = 0.5


def has_crossed_stop(observations: Observations, result: CallResult) -> bool:
    """Returns whether a request may have crossed the end of a planned stop.

    The connection must have been closed within `LOSS_SLACK_SECONDS` of the
    begin of the call, by a process that had been asked to stop, had served for
    `SERVED_SECONDS`, had not exited when the call was sent, and answered no
    request that was sent later than `REFUSED_SECONDS` after the close. Stalls
    of the soak test itself count neither way.
    """
    stalled = observations.stalled_seconds(result.sent, result.ended)
    took = result.ended - result.sent - stalled
    if result.error not in CLOSE_ERRORS or took > LOSS_SLACK_SECONDS:
        return False
    return any(
        stop.name == result.instance
        and stop.sent + SERVED_SECONDS <= result.ended
        and result.sent <= stop.exited
        and not _serves_on(observations, stop, result.ended)
        for stop in observations.stops
    )


def _serves_on(
    observations: Observations, stop: PlannedStop, closed: float
) -> bool:
    """Returns whether a process answers requests long after a close."""
    return any(
        each.instance == stop.name
        and each.status
        and closed + REFUSED_SECONDS < each.sent <= stop.exited
        for each in observations.results
    )
