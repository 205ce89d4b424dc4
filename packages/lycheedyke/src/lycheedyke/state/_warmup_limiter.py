"""Limits the rate at which all instances together load a cold upstream."""

from datetime import timedelta

import xxhash

from lycheedyke.clock import Clock

# The share of the rate that is used; the rest covers requests in transit.
RATE_SHARE_USED = 0.8
HASH_RANGE = 2**64
NEVER = timedelta(days=1)


class WarmupLimiter:
    """Issues the permits of this instance to send to cold upstreams.

    With n instances and an upstream that can handle r requests per second,
    each instance has one permit every n / r seconds. The first permit of an
    instance is delayed by an offset that is a hash of its name, so that the
    permits of all instances do not fall into the same second. This needs no
    coordination: an instance that is disconnected keeps the same schedule.

    Args:
        name: the name of this instance.
        clock: the clock of the permits.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        """Initializes without upstreams."""
        self._name = name
        self._clock = clock
        self._next: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of limited upstreams."""
        return f'<WarmupLimiter of {len(self._next)} upstreams>'

    def is_due(self, upstream: str, period: timedelta) -> bool:
        """Returns whether a request may be sent now.

        Args:
            upstream: the name of the upstream.
            period: the time between two permits of this instance.
        """
        now = self._clock.elapsed()
        due = self._next.get(upstream)
        if due is None:
            due = now + self._offset(upstream) * period
            self._next[upstream] = due
        return now >= due

    def acquire(self, upstream: str, period: timedelta) -> None:
        """Uses the current permit."""
        self._next[upstream] = self._clock.elapsed() + period

    def forget(self, upstream: str) -> None:
        """Drops the schedule of an upstream that is warm or removed."""
        self._next.pop(upstream, None)

    def _offset(self, upstream: str) -> float:
        text = f'{self._name} {upstream}'
        return xxhash.xxh64_intdigest(text.encode()) / HASH_RANGE


def permit_interval(instances: int, rate: float) -> timedelta:
    """Returns the time between two permits of one instance.

    Args:
        instances: the maximum number of instances that may send.
        rate: the requests per second that the upstream can handle.
    """
    if rate <= 0:
        return NEVER
    return timedelta(seconds=max(1, instances) / (rate * RATE_SHARE_USED))
