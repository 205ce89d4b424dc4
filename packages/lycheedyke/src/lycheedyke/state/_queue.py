"""A short queue, ordered by class and deadline, with a floor for the last."""

import asyncio
import itertools
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import WorkClass

FLOOR_EVERY = 8
# One in so many turns goes to the oldest waiter of the least urgent class.
_ORDER = tuple(WorkClass)


class Waiter(NamedTuple):
    """A request in the queue; waiters sort by urgency."""

    rank: int
    deadline: timedelta
    order: int
    turn: asyncio.Future[None]


class AdmissionQueue:
    """The waiting requests of one upstream."""

    def __init__(self) -> None:
        """Makes an empty queue."""
        self._waiters: list[Waiter] = []
        self._order = itertools.count()
        self._turns = 0

    def __repr__(self) -> str:
        """Returns the length."""
        return f'<TurnQueue of {len(self)}>'

    def __len__(self) -> int:
        """Returns the number of waiters."""
        return len(self._waiters)

    def make(self, work_class: WorkClass, deadline: timedelta) -> Waiter:
        """Returns a waiter that is not in the queue yet."""
        turn = asyncio.get_running_loop().create_future()
        rank = _ORDER.index(work_class)
        return Waiter(rank, deadline, next(self._order), turn)

    def add(self, waiter: Waiter) -> None:
        """Puts a waiter into the queue."""
        self._waiters.append(waiter)

    def drop(self, waiter: Waiter) -> None:
        """Takes a waiter out, if it is still in."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def displace(self, newcomer: Waiter) -> Waiter | None:
        """Takes out and returns the last waiter of a less urgent class."""
        last = max(self._waiters, key=_urgency, default=None)
        if last is None or last.rank <= newcomer.rank:
            return None
        self._waiters.remove(last)
        return last

    def expire(self, now: timedelta) -> list[Waiter]:
        """Takes out and returns the waiters whose deadline has passed."""
        expired = [one for one in self._waiters if one.deadline <= now]
        for waiter in expired:
            self._waiters.remove(waiter)
        return expired

    def take(self) -> Waiter:
        """Takes out and returns the next waiter."""
        self._turns += 1
        waiter = min(self._waiters, key=_urgency)
        if self._turns % FLOOR_EVERY == 0:
            waiter = min(self._waiters, key=_age_of_last_class)
        self._waiters.remove(waiter)
        return waiter

    def clear(self) -> list[Waiter]:
        """Takes out and returns all waiters."""
        waiters = self._waiters
        self._waiters = []
        return waiters


def _urgency(waiter: Waiter) -> tuple[int, timedelta, int]:
    return waiter.rank, waiter.deadline, waiter.order


def _age_of_last_class(waiter: Waiter) -> tuple[int, int]:
    return -waiter.rank, waiter.order
