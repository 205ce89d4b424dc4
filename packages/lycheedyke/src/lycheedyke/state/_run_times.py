"""Mean run times of requests, estimated from their answers."""

from datetime import timedelta

from lycheedyke.protocol import Route

# The minimum weight of a new sample in a moving average.
SAMPLE_WEIGHT = 0.05
# Before the first answer, the run time with an unknown object is assumed to be
# the goal of the route, but at most `TIMEOUT_SHARE` of its timeout. With a
# known object, `WARM_SHARE` of that time is assumed.
TIMEOUT_SHARE = 0.3
WARM_SHARE = 0.33
FIRST_SERVICE_TIME = timedelta(milliseconds=100)


class _Mean:
    """A mean of all samples at first, later a moving average."""

    def __init__(self, first: timedelta) -> None:
        self.mean = first
        self._count = 1

    def add(self, sample: timedelta) -> None:
        self._count += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._count)
        self.mean += (sample - self.mean) * weight


class RouteRunTimes:
    """The mean run times of one route, with and without a known object.

    An answer does not tell whether the upstream knew the object. So a sample
    is added to the mean to which it is closer, by ratio.

    Args:
        cold: the initial estimate for a run with an unknown object.
    """

    def __init__(self, cold: timedelta) -> None:
        """Initializes both means with estimates."""
        self._cold = _Mean(cold)
        self._warm = _Mean(cold * WARM_SHARE)

    def __repr__(self) -> str:
        """Returns both means."""
        return f'<RouteRunTimes cold {self.cold}, warm {self.warm}>'

    @property
    def cold(self) -> timedelta:
        """The mean run time if the upstream does not know the object."""
        return self._cold.mean

    @property
    def warm(self) -> timedelta:
        """The mean run time if the upstream knows the object."""
        return min(self._warm.mean, self._cold.mean)

    def record(self, duration: timedelta) -> bool:
        """Records a run time, and returns whether the object was known."""
        if duration * duration.total_seconds() < self._threshold():
            self._warm.add(duration)
            return True
        self._cold.add(duration)
        return False

    def _threshold(self) -> timedelta:
        return self._cold.mean * self._warm.mean.total_seconds()


class RunTimeStats:
    """The mean run times of all routes and services."""

    def __init__(self) -> None:
        """Initializes without routes."""
        self._routes: dict[tuple[str, str], RouteRunTimes] = {}
        self._services: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of routes."""
        return f'<RunTimeStats of {len(self._routes)} routes>'

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
        """Returns the mean run time of all requests of a service."""
        return self._services.get(service, FIRST_SERVICE_TIME)

    def record_service(self, service: str, duration: timedelta) -> None:
        """Records the run time of an answered request of a service."""
        mean = self.of_service(service)
        self._services[service] = mean + (duration - mean) * SAMPLE_WEIGHT

    def retain(self, routes: frozenset[str]) -> None:
        """Drops the run times of all other routes."""
        self._routes = {
            key: times
            for key, times in self._routes.items()
            if key[0] in routes
        }
