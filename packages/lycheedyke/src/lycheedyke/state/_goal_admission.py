"""Whether a request that must wait can still be useful when it ends.

Answers the pattern of a peak above what the upstreams carry: what is let in
ends within its goal, and the rest hears at once, while there is time to come
back. Less urgent requests are let in to shorter queues, so that more urgent
ones of the same service find room.
"""

import random
from datetime import timedelta

from lycheedyke.state._selection import Candidate, Request

ZERO = timedelta()
# The share of its spare time that a request may wait, if its service has no
# more urgent rank, and if it has.
PATIENCE = (1.0, 0.6)
LEAST_RETRY_AFTER = timedelta(milliseconds=100)
MOST_RETRY_AFTER = timedelta(seconds=2)
# Spreads the return of those that were refused together.
RETRY_SPREAD = (0.75, 1.75)


def is_admissible(request: Request, pick: Candidate, waited: timedelta) -> bool:
    """Whether a request is let in where it would be sent.

    Where a slot is free it is let in, however late it ends: it takes the
    place of no other.

    Args:
        request: the request.
        pick: where it would be sent.
        waited: the time since it came.
    """
    if not pick.must_wait:
        return True
    spare = request.route.goal - waited - pick.run - pick.round_trip
    return pick.wait <= spare * request.wait_share


def estimate_retry_after(request: Request, pick: Candidate | None) -> timedelta:
    """Returns when a refused request is likely to find room.

    Args:
        request: the request.
        pick: where it would have been sent, if anywhere.
    """
    wait = LEAST_RETRY_AFTER
    if pick is not None:
        spare = request.route.goal - pick.run - pick.round_trip
        wait = max(wait, pick.wait - max(ZERO, spare * request.wait_share))
    spread = random.uniform(*RETRY_SPREAD)
    return min(MOST_RETRY_AFTER, wait * spread)


def wait_share_of(rank: int) -> float:
    """Returns the patience of requests with so many more urgent ranks."""
    return PATIENCE[min(rank, len(PATIENCE) - 1)]
