"""Callers that were told to come back later, and when.

Answers the pattern of callers that repeat a refused request at once: while
there is no free slot, a repeat that comes before its time is refused as the
first one was, so that it takes no place in a queue from callers that wait.
"""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock

# At about 200 bytes each, under a megabyte.
MOST_KNOWN = 4_096
# Clocks and ways differ; who comes so little early has waited.
TOLERANCE = timedelta(milliseconds=30)
ZERO = timedelta()


class CallerRequest(NamedTuple):
    """What makes a request the repeat of another.

    Attributes:
        caller: the address of the caller.
        target: the path and query.
    """

    caller: str
    target: str


class Returns:
    """The times at which refused callers may be back.

    Args:
        clock: the time.
        most_known: the most refusals that are remembered; the oldest ones
            are forgotten first.
    """

    def __init__(self, clock: Clock, most_known: int = MOST_KNOWN) -> None:
        """Remembers no refusal."""
        self._clock = clock
        self._most_known = most_known
        self._times: OrderedDict[CallerRequest, timedelta] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of refusals remembered."""
        return f'<Returns of {len(self._times)}>'

    def note(self, request: CallerRequest, retry_after: timedelta) -> None:
        """Takes in that a request was refused.

        A repeat that was early does not put off the time it was told first.

        Args:
            request: the request.
            retry_after: after which time it was told to come back.
        """
        if self.left(request) > ZERO:
            return
        self._times[request] = self._clock.elapsed() + retry_after
        self._times.move_to_end(request)
        if len(self._times) > self._most_known:
            self._times.popitem(last=False)

    def left(self, request: CallerRequest) -> timedelta:
        """Returns how much too early a request comes; 0 if it does not."""
        back = self._times.get(request)
        if back is None:
            return ZERO
        return max(ZERO, back - TOLERANCE - self._clock.elapsed())
