"""When a request stops waiting for an upstream that answers nobody.

Answers the pattern of an upstream that takes requests and is silent: while
there is time for one more run elsewhere, an idempotent request goes there
rather than wait to its end. An upstream that answers others is only slow, and
is left to answer; giving it up would add to its load.
"""

from datetime import timedelta

from lycheedyke.state._run_times import RunTimeStats
from lycheedyke.state._selection import Candidate, Request

# A run that takes so many times as long as one of an unknown object is not
# late by chance.
OVERDUE = 2.5


def response_timeout(
    request: Request,
    pick: Candidate,
    times: RunTimeStats,
    left: timedelta,
) -> timedelta | None:
    """Returns after what time an upstream without an answer is given up.

    Args:
        request: what runs.
        pick: where it runs, and what was expected there.
        times: how long requests run.
        left: the time to the deadline.

    Returns:
        None if another run would not end in time.
    """
    run = times.of_route(request.route, request.service).cold
    limit = max((pick.wait + run + pick.round_trip) * OVERDUE, pick.expected)
    again = run + pick.round_trip
    return limit if limit + again < left else None
