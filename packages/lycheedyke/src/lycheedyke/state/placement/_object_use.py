"""How often the objects of a service are requested."""

import math
from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.state._bounded import keep_recent

# More objects than the upstreams of a zone keep. Beyond it, the least recently
# requested object is dropped; it counts as one of average use.
MAX_OBJECTS = 2048
# The time constant with which requests are forgotten: two periods of the
# demand, and enough requests to tell a popular object at one instance of 80.
USE_TIME = timedelta(seconds=60)
# An object is popular if its count exceeds the mean by so many standard
# deviations. Fewer would spread objects that chance made frequent.
CERTAINTY = 2
# Objects that nobody requests count no longer after this time. An instance with
# one request a second meets each of 335 objects in it, but for 1 in 200.
RETENTION = timedelta(minutes=30)
# An instance knows the objects in use once at most this share of its requests
# is for new ones. The weight makes it a mean over some hundred requests.
MAX_NEW_SHARE = 0.03
NEW_WEIGHT = 0.01


class _Use(NamedTuple):
    requests: float
    at: timedelta

    def count_at(self, now: timedelta) -> float:
        """Returns the count of recent requests."""
        return self.requests * math.exp((self.at - now) / USE_TIME)


class Popularity(NamedTuple):
    """What one instance knows of the objects of a service.

    Attributes:
        plain: the objects that are not known to be popular.
        popular: the recent requests for each popular object, rounded to a
            power of 2 times the mean.
        mean: the mean of the recent requests for an object.
        is_complete: whether few objects in use are unknown.
    """

    plain: tuple[str, ...]
    popular: dict[str, float]
    mean: float
    is_complete: bool = False

    @property
    def total(self) -> float:
        """The recent requests for all objects, by these numbers."""
        return len(self.plain) * self.mean + sum(self.popular.values())


class ObjectUse:
    """Counts the requests that one instance gets for each object.

    Callers select instances at random. So each instance sees a sample of all
    requests, and the shares of popular objects are about the same at all.
    """

    def __init__(self) -> None:
        """Initializes without objects."""
        self._uses: OrderedDict[str, _Use] = OrderedDict()
        self._new_share = 1.0

    def __repr__(self) -> str:
        """Returns the number of objects."""
        return f'<ObjectUse of {len(self._uses)}>'

    def record(self, object_key: str, now: timedelta) -> None:
        """Counts a request."""
        known = self._uses.get(object_key)
        is_new = known is None
        self._new_share += (is_new - self._new_share) * NEW_WEIGHT
        count = 0 if known is None else known.count_at(now)
        keep_recent(self._uses, object_key, _Use(count + 1, now), MAX_OBJECTS)

    def popularity(self, now: timedelta, upstreams: int) -> Popularity:
        """Returns which objects are popular.

        Instances see different samples. Rounding makes most of them agree.

        Args:
            now: the time.
            upstreams: the number of upstreams that share the objects.
        """
        self._drop_unused(now)
        counts = {key: use.count_at(now) for key, use in self._uses.items()}
        total = sum(counts.values())
        mean = total / max(1, len(counts))
        popular = {
            key: mean * 2.0 ** round(math.log2(count / mean))
            for key, count in counts.items()
            # Of few objects, each may need several upstreams.
            if count - CERTAINTY * math.sqrt(count)
            > min(mean, total / max(1, upstreams))
        }
        plain = tuple(key for key in counts if key not in popular)
        return Popularity(
            plain, popular, mean, self._new_share <= MAX_NEW_SHARE
        )

    def _drop_unused(self, now: timedelta) -> None:
        while self._uses:
            oldest = next(iter(self._uses))
            if now - self._uses[oldest].at <= RETENTION:
                return
            del self._uses[oldest]
