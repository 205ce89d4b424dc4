"""Distributes the requests of a route to its services by weight."""

from collections import OrderedDict

import xxhash

from lycheedyke.protocol import Route, RoutePart
from lycheedyke.state._bounded import keep_recent

# Rounds of weights in whole percent have at most a tenth of so many requests.
START_POINTS = 1000
# More routes than one deployment has; without a bound, routes that were
# removed would stay.
MAX_ROUTES = 4096


class WeightedRoundRobin:
    """Distributes the requests of each route to its services by weight.

    This is smooth weighted round robin: for each request, every part's weight
    is added to its credit. The part with the highest credit is selected, and
    the sum of the weights is subtracted from its credit. So the shares are
    exact after each round, and independent for each route.

    Many instances with few requests each do not complete a round. So each
    starts at its own point of the round, and each part is first at as many of
    them as its weight demands.

    Args:
        instance: the name of the instance, which determines the points; all
            rounds start at their first request if it is empty.
    """

    def __init__(self, instance: str = '') -> None:
        """Initializes without rounds."""
        self._instance = instance
        self._rounds: OrderedDict[str, _Round] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of routes with credits."""
        return f'<WeightedRoundRobin over {len(self._rounds)} routes>'

    def choose(self, route: Route) -> str:
        """Returns the service that runs the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        found = self._rounds.get(route.name)
        if found is None or found.services != _services(route):
            found = self._start(route)
        return found.choose(route.parts)

    def _start(self, route: Route) -> '_Round':
        found = _Round(route.parts)
        if self._instance:
            start = f'{self._instance} {route.name}'.encode()
            for _ in range(xxhash.xxh64_intdigest(start) % START_POINTS):
                found.choose(route.parts)
        return keep_recent(self._rounds, route.name, found, MAX_ROUTES)


class _Round:
    """The credits of the parts of one route."""

    def __init__(self, parts: tuple[RoutePart, ...]) -> None:
        self.services = tuple(part.service for part in parts)
        self._credits: list[float] = [0] * len(parts)
        self._total = _total(parts)

    def choose(self, parts: tuple[RoutePart, ...]) -> str:
        total = _total(parts)
        if total != self._total:
            # Credits are in the unit of the weights. Credit of 100 would last
            # for many requests if the new weights are 0.5 and 0.5.
            scale = total / self._total
            self._credits = [each * scale for each in self._credits]
            self._total = total
        for index, part in enumerate(parts):
            self._credits[index] += part.weight
        # A part of weight 0 may have credit left from an earlier weight.
        usable = [at for at, each in enumerate(parts) if each.weight]
        best = max(usable, key=self._credits.__getitem__)
        self._credits[best] -= total
        return parts[best].service


def _services(route: Route) -> tuple[str, ...]:
    return tuple(part.service for part in route.parts)


def _total(parts: tuple[RoutePart, ...]) -> float:
    return sum(part.weight for part in parts)
