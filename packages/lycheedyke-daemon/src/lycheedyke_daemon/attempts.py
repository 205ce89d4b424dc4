"""One upstream as its admitting instance sees it, and attempts there."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination import UpstreamLimits
from lycheedyke.protocol import UpstreamLoad
from lycheedyke.state import AdmissionController, ConcurrencyLimiter

CUT_MARGIN = timedelta(milliseconds=100)


class Attempt:
    """One request that holds a slot of an upstream.

    Args:
        admitter: whose slot is held.
        limit: the time after which the upstream gives the request up.
        clock: measures that time.
    """

    def __init__(
        self,
        admitter: AdmissionController,
        limit: timedelta,
        clock: Clock,
    ) -> None:
        """Makes an attempt that is not written yet."""
        self.is_finished = False
        self._admitter = admitter
        self._limit = limit
        self._clock = clock
        self._written: timedelta | None = None

    def __repr__(self) -> str:
        """Returns the admitter."""
        return f'<Attempt at {self._admitter!r}>'

    @property
    def pace(self) -> ConcurrencyLimiter:
        """The pace of the upstream."""
        return self._admitter.limiter

    def before_write(self) -> None:
        """Checks that the request may still be written.

        Raises:
            AdmissionRefused: the slots fell below the requests in flight.
        """
        self._admitter.check_slots()
        self._written = self._clock.elapsed()

    def release(self) -> None:
        """Gives the slot back once the upstream must have finished.

        The upstream may run a request whose exchange was cut until the
        deadline that it was given, so the slot is held until then.
        """
        if self._written is None:
            self._admitter.release()
            return
        now = self._clock.elapsed()
        if self.is_finished:
            self._admitter.release(now - self._written)
            return
        delay = self._written + self._limit + CUT_MARGIN - now
        asyncio.get_running_loop().call_later(
            max(0, delay.total_seconds()),
            self._admitter.release,
        )


class OwnedUpstream:
    """The admission to one upstream while this instance may use it.

    Args:
        name: the upstream's name.
        size: its slots and run limit.
        count_slots: returns the slots of a size usable right now.
        queue_limit: the most requests that wait.
        clock: measures deadlines.
    """

    def __init__(
        self,
        name: str,
        size: UpstreamLimits,
        count_slots: Callable[[str, UpstreamLimits], int],
        queue_limit: int,
        clock: Clock,
    ) -> None:
        """Makes an admission that starts slow."""
        self._name = name
        self._size = size
        self._count_slots = count_slots
        self._had_right = False
        self.admitter = AdmissionController(
            self._count,
            ConcurrencyLimiter(size.slots, clock),
            queue_limit,
            clock,
        )

    def __repr__(self) -> str:
        """Returns the name."""
        return f'<OwnedUpstream {self._name}>'

    @property
    def load(self) -> UpstreamLoad:
        """The counts to report."""
        return UpstreamLoad(
            self._name,
            self.admitter.in_flight,
            self.admitter.waiting,
            self.admitter.limit,
            self.admitter.limiter.usable,
        )

    def refresh(self, size: UpstreamLimits, queue_limit: int) -> None:
        """Takes in a new size; starts slow where the right is new."""
        self._size = size
        self.admitter.queue_limit = queue_limit
        self.admitter.limiter.resize(size.slots)
        has_right = self._count() > 0
        if has_right and not self._had_right:
            self.admitter.limiter.restart()
        self._had_right = has_right
        self.admitter.admit_waiting()

    def _count(self) -> int:
        return self._count_slots(self._name, self._size)
