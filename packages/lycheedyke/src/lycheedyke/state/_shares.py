"""Shift shares: which client blocks move, judged by each instance alone."""

from datetime import datetime

import xxhash

from lycheedyke.protocol import Shift

HASH_RANGE = 2**64


def hash_point(service: str, block: str) -> float:
    """Returns the fixed point in [0, 1) of a client block for a service.

    A block is moved exactly while its point is below the share, so each
    larger share moves all the blocks of a smaller one.
    """
    return xxhash.xxh3_64_intdigest(f'{service} {block}'.encode()) / HASH_RANGE


def share_at(shift: Shift, accepted: datetime, now: datetime) -> float:
    """Returns the share of client blocks that is moved at a time.

    The share is min(cap, start + ramp * age), with the age in seconds since
    the ticket's acceptance.

    Args:
        shift: the shift in force.
        accepted: when its ticket was accepted.
        now: the time to judge.
    """
    age = max(0, (now - accepted).total_seconds())
    return min(shift.cap, shift.start_share + shift.ramp_per_s * age)
