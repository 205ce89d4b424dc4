"""The pace at which all instances together load a cold upstream."""

from datetime import timedelta

import xxhash

from lycheedyke.clock import Clock

# The part of the rate that is used; the rest covers requests in transit.
RATE_USED = 0.8
HASH_RANGE = 2**64
NEVER = timedelta(days=1)


class WarmupLimiter:
    """Lets each instance send to a cold upstream in its own turns.

    With n instances and r requests per second that the upstream bears, each
    instance has one turn in every n / r seconds. The turns of an instance
    begin at an offset drawn from its name, so no second holds the turns of
    all. Nothing is agreed: an instance that is cut off keeps to its turns.

    Args:
        name: the name of this instance.
        clock: the time.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        """Starts without turns taken."""
        self._name = name
        self._clock = clock
        self._next: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of upstreams paced."""
        return f'<WarmupPace of {len(self._next)} upstreams>'

    def is_due(self, upstream: str, period: timedelta) -> bool:
        """Whether a request may be sent now.

        Args:
            upstream: the upstream's name.
            period: the time from one turn of this instance to the next.
        """
        now = self._clock.elapsed()
        due = self._next.get(upstream)
        if due is None:
            due = now + self._offset(upstream) * period
            self._next[upstream] = due
        return now >= due

    def acquire(self, upstream: str, period: timedelta) -> None:
        """Uses a turn."""
        self._next[upstream] = self._clock.elapsed() + period

    def forget(self, upstream: str) -> None:
        """Drops an upstream that is warm or gone."""
        self._next.pop(upstream, None)

    def _offset(self, upstream: str) -> float:
        text = f'{self._name} {upstream}'
        return xxhash.xxh64_intdigest(text.encode()) / HASH_RANGE


def permit_interval(instances: int, rate: float) -> timedelta:
    """Returns the time between two turns of one instance.

    Args:
        instances: the most instances that may send.
        rate: the requests per second that the upstream bears.
    """
    if rate <= 0:
        return NEVER
    return timedelta(seconds=max(1, instances) / (rate * RATE_USED))
