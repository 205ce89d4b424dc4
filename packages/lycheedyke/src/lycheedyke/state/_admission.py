"""Admission to one upstream: exact slots and a short queue."""

import random
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.exceptions import StateError
from lycheedyke.protocol import Reason, WorkClass
from lycheedyke.state._concurrency import ConcurrencyLimiter
from lycheedyke.state._queue import AdmissionQueue, Waiter

RETRY_LEAST = timedelta(milliseconds=50)
RETRY_MOST = timedelta(seconds=10)
FIRST_SLOT_TIME = timedelta(milliseconds=100)
SLOT_TIME_WEIGHT = 0.1
TIMER_SLACK = timedelta(milliseconds=1)


class AdmissionRefused(StateError):
    """Work is not admitted; it did not run.

    Attributes:
        reason: why it was refused.
        retry_after: when a new attempt makes sense.
    """

    def __init__(self, reason: Reason, retry_after: timedelta) -> None:
        """Names the reason."""
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after = retry_after


class AdmissionController:
    """Admits at most `limit` requests at a time to one upstream.

    Args:
        count_slots: returns the slots that may be used right now.
        limiter: the limit that the upstream's outcomes permit.
        queue_limit: the most requests that wait.
        clock: measures the deadlines.
    """

    def __init__(
        self,
        count_slots: Callable[[], int],
        pace: ConcurrencyLimiter,
        queue_limit: int,
        clock: Clock,
    ) -> None:
        """Makes an admitter with all slots free."""
        self.in_flight = 0
        self.queue_limit = queue_limit
        self.limiter = pace
        self._count_slots = count_slots
        self._clock = clock
        self._queue = AdmissionQueue()
        self._slot_time = FIRST_SLOT_TIME

    def __repr__(self) -> str:
        """Returns the counts."""
        return f'<Admitter {self.in_flight}/{self.limit}>'

    @property
    def limit(self) -> int:
        """The slots that may be used now."""
        return min(self._count_slots(), self.limiter.limit)

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return len(self._queue)

    async def acquire(
        self,
        work_class: WorkClass,
        deadline: timedelta,
        *,
        may_wait: bool = True,
    ) -> None:
        """Takes a slot, waiting in the queue for one until the deadline.

        Args:
            work_class: decides the order in the queue.
            deadline: time of the clock after which the work is pointless.
            may_wait: whether it may wait; if not, a busy upstream refuses.

        Raises:
            AdmissionRefused: there is no room, a more urgent request took
                its place in the queue, or the deadline passed.
        """
        self.admit_waiting()
        if self.in_flight < self.limit and not self.waiting:
            self.in_flight += 1
            return
        if not may_wait and self._count_slots():
            raise self._refusal(Reason.no_room)
        waiter = self._queue.make(work_class, deadline)
        self._make_room(waiter)
        self._queue.add(waiter)
        await self._wait(waiter)

    def check_slots(self) -> None:
        """Checks, right before a request is written, that it still may be.

        Raises:
            AdmissionRefused: the slots fell below the requests in flight.
        """
        if self.in_flight > self._count_slots():
            raise self._refusal(Reason.owner_lowered)

    def release(self, slot_time: timedelta | None = None) -> None:
        """Gives the slot back.

        Args:
            slot_time: how long it was used; None where nothing ran.
        """
        self.in_flight -= 1
        if slot_time is not None:
            change = slot_time - self._slot_time
            self._slot_time += change * SLOT_TIME_WEIGHT
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Drops expired waiters and admits as many as there is room for."""
        for expired in self._queue.expire(self._clock.elapsed()):
            self._refuse(expired, Reason.deadline_passed)
        if not self._count_slots():
            for stranded in self._queue.clear():
                self._refuse(stranded, Reason.no_owner)
        while self.waiting and self.in_flight < self.limit:
            waiter = self._queue.take()
            if not waiter.turn.done():
                self.in_flight += 1
                waiter.turn.set_result(None)

    def _make_room(self, newcomer: Waiter) -> None:
        if not self._count_slots():
            raise self._refusal(Reason.no_owner)
        if not self.limiter.may_queue:
            raise self._refusal(Reason.upstream_out)
        if self.waiting < self.queue_limit:
            return
        displaced = self._queue.displace(newcomer)
        if displaced is None:
            raise self._refusal(Reason.queue_full)
        self._refuse(displaced, Reason.displaced)

    async def _wait(self, waiter: Waiter) -> None:
        delay = waiter.deadline - self._clock.elapsed() + TIMER_SLACK
        timer = waiter.turn.get_loop().call_later(
            max(0, delay.total_seconds()),
            self.admit_waiting,
        )
        try:
            await waiter.turn
        except BaseException:
            self._queue.drop(waiter)
            if waiter.turn.done() and _was_admitted(waiter):
                self.release()
            raise
        finally:
            timer.cancel()

    def _refuse(self, waiter: Waiter, reason: Reason) -> None:
        if not waiter.turn.done():
            waiter.turn.set_exception(self._refusal(reason))

    def _refusal(self, reason: Reason) -> AdmissionRefused:
        ahead = self.waiting + 1
        wait = self._slot_time * ahead / max(1, self.limit)
        wait *= random.uniform(0.5, 1.5)
        return AdmissionRefused(
            reason,
            min(RETRY_MOST, max(RETRY_LEAST, wait)),
        )


def _was_admitted(waiter: Waiter) -> bool:
    return not waiter.turn.cancelled() and waiter.turn.exception() is None
