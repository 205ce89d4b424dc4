"""Explains why no upstream gets a request."""

from datetime import timedelta

from lycheedyke.protocol import Reason
from lycheedyke.state import Hold, spread_retry_after


def explain_hold(
    hold: Hold | None, retry_after: timedelta
) -> tuple[timedelta, Reason]:
    """Returns when to come back to a service without a usable upstream.

    Args:
        hold: what keeps the request from all upstreams, if that is known.
        retry_after: the time if nothing is known of the upstreams.
    """
    match hold:
        case Hold(wait, is_full=True):
            return spread_retry_after(wait), Reason.bodies_in_flight
        case Hold(wait, is_limit=True):
            return spread_retry_after(wait), Reason.upstream_limited
        case Hold(wait):
            return wait, Reason.upstream_paused
        case _:
            return retry_after, Reason.no_upstream
