"""Admission of requests by their goal.

If the load exceeds the capacity of the upstreams, a request is admitted only
if it is expected to finish within its goal. Other requests are refused at once,
while the caller still has time to retry. Less urgent requests are admitted to
shorter queues, which leaves capacity for more urgent requests of the service.
"""

import random
from datetime import timedelta

from lycheedyke.state._estimates import Candidate, Request

ZERO = timedelta()
# The share of its spare time that a request may wait: the first if its service
# has no more urgent requests, the second if it has.
WAIT_SHARES = (1.0, 0.6)
MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = timedelta(seconds=2)
# Spreads the retries of requests that were refused at the same time.
RETRY_SPREAD = (0.75, 1.75)


def is_admissible(
    request: Request, candidate: Candidate, waited: timedelta
) -> bool:
    """Returns whether a request is admitted to an upstream.

    If a slot is free, the request is admitted however late it finishes, as it
    takes the slot from no other request.

    Args:
        request: the request.
        candidate: the upstream to which it would be sent.
        waited: the time since the request arrived.
    """
    if not candidate.must_wait:
        return True
    spare = request.route.goal - waited - candidate.run - candidate.round_trip
    return candidate.wait <= spare * request.wait_share


def estimate_retry_after(
    request: Request, candidate: Candidate | None
) -> timedelta:
    """Returns the time after which a refused request is likely admitted.

    Args:
        request: the request.
        candidate: the upstream to which it would have been sent, if any.
    """
    wait = MIN_RETRY_AFTER
    if candidate is not None:
        spare = request.route.goal - candidate.run - candidate.round_trip
        wait = max(wait, candidate.wait - max(ZERO, spare * request.wait_share))
    return spread_retry_after(wait)


def spread_retry_after(wait: timedelta) -> timedelta:
    """Returns a random time to come back, in proportion to a wait."""
    spread = random.uniform(*RETRY_SPREAD)
    return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait) * spread)


def wait_share_of(rank: int) -> float:
    """Returns the share of its spare time that a request may wait.

    Args:
        rank: the number of more urgent priorities of the service.
    """
    return WAIT_SHARES[min(rank, len(WAIT_SHARES) - 1)]
