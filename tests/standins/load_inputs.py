"""The input and the result of the model of load."""

from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

DESK_UPSTREAMS = MappingProxyType(
    {'pnw-a': 1, 'pnw-b': 1, 'mt-a': 4, 'mt-b': 4, 'nc-a': 5, 'nc-b': 5},
)


class RequestKind(NamedTuple):
    """A kind of request; all times are in seconds.

    Attributes:
        name: the name, which is also the path prefix of its route.
        per_s: the requests per second in each zone.
        run_time: the mean run time for an object that is not known.
        goal: the goal of the route.
        timeout: the timeout of the route.
        objects: the number of objects that the requests concern.
        priority: the rank of the route; 0 is the most urgent.
        skew: the exponent of the popularity of objects by their rank; 0 if
            all are equally popular.
    """

    name: str
    per_s: float
    run_time: float
    goal: float
    timeout: float
    objects: int
    priority: int = 0
    skew: float = 0


def make_desk_kinds(per_s: float) -> tuple[RequestKind, ...]:
    """Returns both request kinds of the service `desk`.

    The rates fit a desk of twenty upstreams, as in the load requirements. The
    run times for known objects are 72 and 94 ms; 60 slots serve about 760
    such requests per second.

    Args:
        per_s: the requests per second of both kinds in each zone.
    """
    return (
        RequestKind('lookup', per_s * 0.76, 0.24, 0.25, 1.2, 52, priority=1),
        RequestKind('order', per_s * 0.24, 0.312, 0.3, 0.8, 24),
    )


class Load(NamedTuple):
    """The input of a run of the model.

    Attributes:
        kinds: the kinds of requests.
        upstreams: the number of upstreams in each zone; the name of a zone
            is its region, a hyphen and a letter.
        seconds: the time within which requests arrive.
        entries: the number of entry instances in each zone.
        slots: the number of slots of each upstream.
        known_run_share: the run time for a known object as a share of the
            run time for other objects.
        known_objects: the number of objects that an upstream knows.
        slow: the factor of the run times of slow upstreams, by name.
        known_at_start: whether each upstream knows every object from the
            start.
        known_spread: how many more objects some upstreams know than others.
        has_shared_objects: whether the callers of all regions request the
            same objects.
        max_homes: the maximum number of homes of an object in a pool.
        slow_share: the share of its time in which each upstream works slowly.
        slow_factor: the factor of its run times in that time.
        measured_from: the time from which runs are counted.
    """

    kinds: tuple[RequestKind, ...]
    upstreams: Mapping[str, int]
    seconds: float = 20
    entries: int = 4
    slots: int = 3
    known_run_share: float = 0.3
    known_objects: int = 50
    slow: Mapping[str, float] = {}
    known_at_start: bool = False
    known_spread: int = 0
    has_shared_objects: bool = False
    max_homes: int = 1
    slow_share: float = 0
    slow_factor: float = 2.5
    measured_from: float = 0


class Result(NamedTuple):
    """The results of all requests.

    Attributes:
        requested: the number of requests by kind.
        in_goal: the number of requests that ended within their goal, by kind.
        late: the number of requests that ended later, by kind.
        refused: the number of requests that were refused twice, by kind.
        windows: the number of requests, and of those within their goal, by
            window of `WINDOW_SECONDS`.
        sent: the number of requests that were sent to each upstream.
        runs: the number of runs from `Load.measured_from` on, by upstream.
        warm_runs: the number of those for a known object.
        times: the times from the first send to the answer of requests that
            were sent from then on.
        measured: the number of requests that were sent from then on, by kind.
    """

    requested: Counter[str]
    in_goal: Counter[str]
    late: Counter[str]
    refused: Counter[str]
    windows: dict[int, tuple[int, int]]
    sent: Counter[str]
    runs: Counter[str]
    warm_runs: Counter[str]
    times: list[float]
    measured: Counter[str]

    def share(self, kind: str) -> float:
        """Returns the share of requests of a kind that ended in their goal."""
        return self.in_goal[kind] / max(1, self.requested[kind])

    @property
    def in_goal_share(self) -> float:
        """The share of all requests that ended within their goal."""
        return self.in_goal.total() / max(1, self.requested.total())
