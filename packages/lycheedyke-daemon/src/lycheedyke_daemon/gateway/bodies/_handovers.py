"""How long callers take to receive the answers of a route.

A planned stop takes a request only if its whole answer can be handed over
before the connections close.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.protocol import Route

# The buffers of a connection hold an answer of this size, whatever the caller
# reads.
MAX_BUFFERED_BYTES = 32_768
# A caller that reads slowly has its answer within this share of its time.
SLOW_SHARE = 5 / 6
# The answers of a route that are remembered, and the routes.
MAX_ANSWERS = 32
MAX_ROUTES = 1_024
ZERO = timedelta()


class _RouteAnswers:
    """The last answers of a route.

    Attributes:
        sizes: their sizes in bytes.
        shares: which shares of their time callers took to receive them.
        active: the times from which and up to which answers are handed over.
    """

    def __init__(self) -> None:
        """Starts without answers."""
        self.sizes: deque[int] = deque(maxlen=MAX_ANSWERS)
        self.shares: deque[float] = deque(maxlen=MAX_ANSWERS)
        self.active: list[tuple[timedelta, timedelta]] = []


class Handovers:
    """Measures how callers receive answers, and expects the same of others.

    Args:
        clock: the time source.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts without answers."""
        self._clock = clock
        self._routes: OrderedDict[str, _RouteAnswers] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of routes."""
        return f'<Handovers on {len(self._routes)} routes>'

    def record_size(self, route: str, size: int) -> None:
        """Records the size of a route's answer in bytes."""
        self._answers_of(route).sizes.append(size)

    @contextmanager
    def measure(self, route: str, deadline: timedelta) -> Iterator[None]:
        """Measures the time to hand over an answer that is complete.

        Args:
            route: the name of the route.
            deadline: the caller's deadline, in elapsed time.
        """
        answers = self._answers_of(route)
        span = (self._clock.elapsed(), deadline)
        answers.active.append(span)
        try:
            yield
        finally:
            answers.active.remove(span)
            answers.shares.append(self._share_of(span))

    def expected(self, route: Route, left: timedelta) -> timedelta:
        """Returns how long the caller of a new request may take its answer.

        That is no time for answers that the connection's buffers hold. A
        caller may read any other until its deadline. Where none is known to
        need that long, it is expected to leave some time before it.

        Args:
            route: the route of the request.
            left: the time until the caller's deadline.

        Returns:
            The time from now until the caller has the answer.
        """
        answers = self._routes.get(route.name)
        if answers is None or not answers.sizes:
            is_large = route.streamed
        else:
            is_large = max(answers.sizes) > MAX_BUFFERED_BYTES
        if not is_large:
            return ZERO
        shares = [SLOW_SHARE]
        if answers is not None:
            shares.extend(answers.shares)
            shares.extend(map(self._share_of, answers.active))
        is_slow = max(shares) > SLOW_SHARE
        return left if is_slow else left * SLOW_SHARE

    def _answers_of(self, route: str) -> _RouteAnswers:
        answers = self._routes.setdefault(route, _RouteAnswers())
        self._routes.move_to_end(route)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        return answers

    def _share_of(self, span: tuple[timedelta, timedelta]) -> float:
        begun, deadline = span
        if deadline <= begun:
            return 1
        return (self._clock.elapsed() - begun) / (deadline - begun)
