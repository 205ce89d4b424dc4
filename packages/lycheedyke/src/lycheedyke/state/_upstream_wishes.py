"""What upstreams have said in their answers that they want."""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.state._bounded import keep_recent
from lycheedyke.state.rates._send_limits import NO_LIMIT, SendLimit

# More than the upstreams of a deployment; the oldest wishes are dropped.
MAX_REMEMBERED = 2048


class Wishes(NamedTuple):
    """What one incarnation of an upstream wants.

    Attributes:
        is_leaving: whether it gets no requests any more.
        paused_until: until when it gets no requests, on the monotonic clock.
        limit: the requests per second that it takes from all instances.
    """

    is_leaving: bool = False
    paused_until: timedelta = timedelta()
    limit: SendLimit = NO_LIMIT

    def allow(self, now: timedelta) -> bool:
        """Returns whether it may get requests at a time."""
        return not self.is_leaving and self.paused_until <= now


NO_WISHES = Wishes()


class UpstreamWishes:
    """The wishes of all upstreams by incarnation.

    They outlast the record of an upstream, which may expire and come back.
    """

    def __init__(self) -> None:
        """Initializes without wishes."""
        self._wishes: OrderedDict[str, Wishes] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of upstreams."""
        return f'<UpstreamWishes of {len(self._wishes)}>'

    def find(self, incarnation: str) -> Wishes:
        """Returns the wishes of an incarnation."""
        return self._wishes.get(incarnation, NO_WISHES)

    def add(self, incarnation: str, wishes: Wishes) -> Wishes:
        """Adds wishes; leaving is final, the longer pause and newer limit hold."""
        known = self.find(incarnation)
        merged = Wishes(
            known.is_leaving or wishes.is_leaving,
            max(known.paused_until, wishes.paused_until),
            known.limit.merge(wishes.limit),
        )
        return keep_recent(self._wishes, incarnation, merged, MAX_REMEMBERED)
