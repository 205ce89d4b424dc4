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


# Upstreams by zone, in the proportions of docs/COMPETING-LOAD.md: 26 for each
# of the largest zones.
UNEVEN_UPSTREAMS = MappingProxyType(
    {'nc-a': 26, 'nc-b': 26, 'mt-a': 5, 'mt-b': 5, 'pnw-a': 22, 'pnw-b': 22},
)


def make_stock_load(skew: float) -> Load:
    """Returns stock look-ups as docs/COMPETING-LOAD.md describes them.

    Args:
        skew: the exponent of the popularity of objects; 0 for an even one.
    """
    kind = RequestKind('stock', 670 / 6, 1.6, 1.282, 10.68, 335, skew=skew)
    return Load(
        (kind,),
        UNEVEN_UPSTREAMS,
        entries=13,
        slots=9,
        known_objects=14,
        known_spread=5,
        has_shared_objects=True,
        slow_share=0.15,
    )


def make_segment_load(skew: float) -> Load:
    """Returns segment reads as docs/COMPETING-LOAD.md describes them.

    Args:
        skew: the exponent of the popularity of objects; 0 for an even one.
    """
    kind = RequestKind('segments', 596 / 6, 0.76, 0.712, 4.744, 298, skew=skew)
    return Load(
        (kind,),
        UNEVEN_UPSTREAMS,
        entries=23,
        slots=3,
        known_objects=15,
        has_shared_objects=True,
        slow_share=0.15,
    )


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

    @property
    def warm_share(self) -> float:
        """The share of measured runs that were for a known object."""
        return self.warm_runs.total() / max(1, self.runs.total())

    def busiest_over_mean(self, zone: str) -> float:
        """Returns the most runs of an upstream of a zone over their mean."""
        runs = [
            self.runs[name]
            for name in self.runs
            if name.rpartition('-')[0] == zone
        ]
        return max(runs) * len(runs) / sum(runs)

    def measured_in_goal(self, goal: float) -> float:
        """Returns the share of measured requests that ended within a goal."""
        in_goal = sum(1 for took in self.times if took <= goal)
        return in_goal / max(1, self.measured.total())
