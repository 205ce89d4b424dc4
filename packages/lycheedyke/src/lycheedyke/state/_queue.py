"""The admission queue, ordered by work class and deadline."""

import asyncio
import itertools
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import WorkClass

# One admission in this many goes to the oldest waiter of the least urgent
# class that waits, so that this class is not starved.
LEAST_URGENT_INTERVAL = 8
_ORDER = tuple(WorkClass)


class Waiter(NamedTuple):
    """A request in the queue.

    Attributes:
        rank: the position of its work class; 0 is the most urgent.
        deadline: the time of the clock at which the request expires.
        order: the number of the request in order of arrival.
        admission: completes when the request is admitted or refused.
    """

    rank: int
    deadline: timedelta
    order: int
    admission: asyncio.Future[None]


class AdmissionQueue:
    """The waiting requests of one upstream."""

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self._waiters: list[Waiter] = []
        self._order = itertools.count()
        self._admissions = 0

    def __repr__(self) -> str:
        """Returns the number of waiters."""
        return f'<AdmissionQueue of {len(self)}>'

    def __len__(self) -> int:
        """Returns the number of waiters."""
        return len(self._waiters)

    def make(self, work_class: WorkClass, deadline: timedelta) -> Waiter:
        """Returns a new waiter, without adding it to the queue."""
        admission = asyncio.get_running_loop().create_future()
        rank = _ORDER.index(work_class)
        return Waiter(rank, deadline, next(self._order), admission)

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter to the queue."""
        self._waiters.append(waiter)

    def drop(self, waiter: Waiter) -> None:
        """Removes a waiter if the queue still holds it."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def displace(self, newcomer: Waiter) -> Waiter | None:
        """Removes and returns the last waiter of a less urgent class."""
        last = max(self._waiters, key=_urgency, default=None)
        if last is None or last.rank <= newcomer.rank:
            return None
        self._waiters.remove(last)
        return last

    def expire(self, now: timedelta) -> list[Waiter]:
        """Removes and returns the waiters whose deadline has passed."""
        expired = [waiter for waiter in self._waiters if waiter.deadline <= now]
        for waiter in expired:
            self._waiters.remove(waiter)
        return expired

    def pop(self) -> Waiter:
        """Removes and returns the next waiter."""
        self._admissions += 1
        waiter = min(self._waiters, key=_urgency)
        if self._admissions % LEAST_URGENT_INTERVAL == 0:
            waiter = min(self._waiters, key=_age_in_least_urgent_class)
        self._waiters.remove(waiter)
        return waiter

    def clear(self) -> list[Waiter]:
        """Removes and returns all waiters."""
        waiters = self._waiters
        self._waiters = []
        return waiters


def _urgency(waiter: Waiter) -> tuple[int, timedelta, int]:
    return waiter.rank, waiter.deadline, waiter.order


def _age_in_least_urgent_class(waiter: Waiter) -> tuple[int, int]:
    return -waiter.rank, waiter.order
