"""The time to wait for an upstream that answers no requests.

An upstream may accept requests and never answer them. While enough time is left
for another run, an idempotent request is then sent to another upstream instead
of waiting until its deadline. An upstream that answers other requests is only
slow, so the request keeps waiting: a second run would add load.
"""

from datetime import timedelta

from lycheedyke.state._estimates import Candidate, Request
from lycheedyke.state._run_times import RunTimeStats

# A run that exceeds the mean run time for an unknown object by this factor is
# not late by chance.
OVERDUE_FACTOR = 2.5


def response_timeout(
    request: Request,
    candidate: Candidate,
    times: RunTimeStats,
    remaining: timedelta,
) -> timedelta | None:
    """Returns the time to wait for the answer of a silent upstream.

    Args:
        request: the request.
        candidate: the upstream that runs the request, and its expected times.
        times: the run times of requests.
        remaining: the time until the deadline.

    Returns:
        The time, or None if another run would not finish before the deadline.
    """
    run = times.of_route(request.route, request.service).cold
    limit = max(
        (candidate.wait + run + candidate.round_trip) * OVERDUE_FACTOR,
        candidate.expected,
    )
    another_run = run + candidate.round_trip
    return limit if limit + another_run < remaining else None
