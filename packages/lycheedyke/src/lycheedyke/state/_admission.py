"""Admission to one upstream: exact slots and a short queue."""

import asyncio
import heapq
import itertools
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.exceptions import StateError
from lycheedyke.protocol import Reason, WorkClass

_ORDER = tuple(WorkClass)


class AdmissionRefused(StateError):
    """Work is not admitted; it did not run.

    Attributes:
        reason: why it was refused.
    """

    def __init__(self, reason: Reason) -> None:
        """Names the reason."""
        super().__init__(reason.value)
        self.reason = reason


class _Waiter(NamedTuple):
    rank: int
    deadline: timedelta
    order: int
    turn: asyncio.Future[None]


class Admitter:
    """Admits at most `limit` requests at a time to one upstream.

    Args:
        limit: the slots that may be used.
        queue_limit: the most requests that wait.
        clock: measures the deadlines.
    """

    def __init__(self, limit: int, queue_limit: int, clock: Clock) -> None:
        """Makes an admitter with all slots free."""
        self.in_flight = 0
        self._limit = limit
        self._queue_limit = queue_limit
        self._clock = clock
        self._waiters: list[_Waiter] = []
        self._order = itertools.count()

    def __repr__(self) -> str:
        """Returns the counts."""
        return f'<Admitter {self.in_flight}/{self._limit}>'

    @property
    def limit(self) -> int:
        """The slots that may be used now."""
        return self._limit

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return sum(1 for waiter in self._waiters if not waiter.turn.done())

    def resize(self, limit: int) -> None:
        """Sets the slots; work in flight above them is left to finish."""
        self._limit = limit
        self._wake()

    async def enter(self, work_class: WorkClass, deadline: timedelta) -> None:
        """Takes a slot, waiting in the queue for one until the deadline.

        Args:
            work_class: decides the order in the queue.
            deadline: time of the clock after which the work is pointless.

        Raises:
            AdmissionRefused: the queue is full or the deadline passed.
        """
        if self.in_flight < self._limit and not self.waiting:
            self.in_flight += 1
            return
        if self.waiting >= self._queue_limit:
            raise AdmissionRefused(Reason.queue_full)
        await self._wait(work_class, deadline)

    def leave(self) -> None:
        """Gives the slot back."""
        self.in_flight -= 1
        self._wake()

    async def _wait(self, work_class: WorkClass, deadline: timedelta) -> None:
        turn = asyncio.get_running_loop().create_future()
        waiter = _Waiter(
            _ORDER.index(work_class),
            deadline,
            next(self._order),
            turn,
        )
        heapq.heappush(self._waiters, waiter)
        remaining = deadline - self._clock.elapsed()
        try:
            await asyncio.wait_for(turn, max(0, remaining.total_seconds()))
        except TimeoutError:
            raise AdmissionRefused(Reason.deadline_passed) from None
        except asyncio.CancelledError:
            self._give_back(turn)
            raise

    def _give_back(self, turn: asyncio.Future[None]) -> None:
        if turn.done() and not turn.cancelled():
            self.leave()

    def _wake(self) -> None:
        now = self._clock.elapsed()
        while self._waiters and self.in_flight < self._limit:
            waiter = heapq.heappop(self._waiters)
            if waiter.turn.done() or waiter.deadline <= now:
                continue
            self.in_flight += 1
            waiter.turn.set_result(None)
