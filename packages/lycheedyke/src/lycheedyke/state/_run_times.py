"""How long requests run, learned from the answers."""

from datetime import timedelta

from lycheedyke.protocol import Route

# The least share of a new sample in a moving mean.
SAMPLE_WEIGHT = 0.05
# Before the first answer a cold run is taken to use up the route's goal, but
# no more than this part of its timeout; a warm one takes a third of that.
TIMEOUT_SHARE = 0.3
WARM_SHARE = 0.33
FIRST_SERVICE_TIME = timedelta(milliseconds=100)


class _Mean:
    """A mean that starts as that of all samples, then forgets old ones."""

    def __init__(self, first: timedelta) -> None:
        self.mean = first
        self._count = 1

    def add(self, sample: timedelta) -> None:
        self._count += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._count)
        self.mean += (sample - self.mean) * weight


class RouteRunTimes:
    """The mean run times of one route: with a known object, and without.

    A sample counts for the mean to which it is nearer, by ratio: whether an
    upstream knew the object shows in the time, not in the answer.

    Args:
        cold: the time that a run without it is taken to need at first.
    """

    def __init__(self, cold: timedelta) -> None:
        """Assumes times before the first answer."""
        self._cold = _Mean(cold)
        self._warm = _Mean(cold * WARM_SHARE)

    def __repr__(self) -> str:
        """Returns both means."""
        return f'<RunTimes cold {self.cold}, warm {self.warm}>'

    @property
    def cold(self) -> timedelta:
        """The mean of runs for which the object was not known."""
        return self._cold.mean

    @property
    def warm(self) -> timedelta:
        """The mean of runs for which the object was known."""
        return min(self._warm.mean, self._cold.mean)

    def record(self, duration: timedelta) -> bool:
        """Takes in a run time; returns whether the object was known."""
        if duration * duration.total_seconds() < self._middle():
            self._warm.add(duration)
            return True
        self._cold.add(duration)
        return False

    def _middle(self) -> timedelta:
        return self._cold.mean * self._warm.mean.total_seconds()


class RunTimeStats:
    """The run times of all routes and services seen."""

    def __init__(self) -> None:
        """Starts without routes."""
        self._routes: dict[tuple[str, str], RouteRunTimes] = {}
        self._services: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of routes."""
        return f'<WorkTimes of {len(self._routes)} routes>'

    def of_route(self, route: Route, service: str) -> RouteRunTimes:
        """Returns the run times of a route at one of its services."""
        key = (route.name, service)
        found = self._routes.get(key)
        if found is None:
            found = RouteRunTimes(
                min(route.goal, route.timeout * TIMEOUT_SHARE)
            )
            self._routes[key] = found
        return found

    def of_service(self, service: str) -> timedelta:
        """Returns the mean run time of a service, known objects or not."""
        return self._services.get(service, FIRST_SERVICE_TIME)

    def record_service(self, service: str, duration: timedelta) -> None:
        """Takes in the run time of an answered request of a service."""
        mean = self.of_service(service)
        self._services[service] = mean + (duration - mean) * SAMPLE_WEIGHT

    def retain(self, routes: frozenset[str]) -> None:
        """Forgets all routes but these."""
        self._routes = {
            key: times
            for key, times in self._routes.items()
            if key[0] in routes
        }
