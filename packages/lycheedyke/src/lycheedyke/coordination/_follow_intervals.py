"""How often a follower of the registry polls it and its peers."""

from datetime import timedelta
from typing import NamedTuple

from lycheedyke.coordination._removal_deferral import SHORTEST_OUTAGE


class FollowIntervals(NamedTuple):
    """How often the registry and the peers are polled.

    The age of an update adds up over the registry, the head and a watcher;
    the sum stays below `silence`. Twice `silence` is less than the 2.5 s
    within which the instances must apply a record.

    Attributes:
        registry: the interval of polls of the registry.
        wait: how long such a poll waits for a change.
        head: the interval at which a watcher polls the head.
        watcher: the interval at which others poll their zone's watcher.
        retry: the delay from a failed call of the registry to the next one.
        max_retry: the maximum of this delay, which doubles with each
            failure, for an instance that is not a watcher.
        silence: the age of the last update from which the peers are polled,
            and the shortest outage of the registry: records that are written
            regularly do not lapse in less.
        source: how much older than `silence` the news of an instance may be
            whose source answers, before it polls the registry itself.
        seed: the interval of polls of the seeds at the start.
        start: how long after its start an instance polls the seeds before it
            reads the registry itself; seeds read it in less.
    """

    registry: timedelta = timedelta(milliseconds=250)
    wait: timedelta = timedelta(milliseconds=250)
    head: timedelta = timedelta(milliseconds=200)
    watcher: timedelta = timedelta(milliseconds=400)
    retry: timedelta = timedelta(milliseconds=300)
    max_retry: timedelta = timedelta(seconds=3)
    silence: timedelta = SHORTEST_OUTAGE
    source: timedelta = timedelta(milliseconds=300)
    seed: timedelta = timedelta(milliseconds=100)
    start: timedelta = timedelta(milliseconds=1500)


DEFAULT_INTERVALS = FollowIntervals()
