"""Admission of requests to one upstream: slots and a bounded queue."""

import random
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.exceptions import StateError
from lycheedyke.protocol import Reason, WorkClass
from lycheedyke.state._concurrency import ConcurrencyLimiter
from lycheedyke.state._queue import AdmissionQueue, Waiter

MIN_RETRY_AFTER = timedelta(milliseconds=50)
MAX_RETRY_AFTER = timedelta(seconds=10)
FIRST_SLOT_TIME = timedelta(milliseconds=100)
SLOT_TIME_WEIGHT = 0.1
TIMER_MARGIN = timedelta(milliseconds=1)


class AdmissionRefused(StateError):
    """The request was not admitted, and did not run.

    Attributes:
        reason: why the request was refused.
        retry_after: the time after which the caller should retry.
    """

    def __init__(self, reason: Reason, retry_after: timedelta) -> None:
        """Initializes the error."""
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after = retry_after


class AdmissionController:
    """Admits at most `limit` requests at a time to one upstream.

    Args:
        count_slots: returns the slots that may be used now.
        limiter: limits the concurrency by the outcomes of the upstream.
        queue_limit: the maximum number of waiting requests.
        clock: the clock of the deadlines.
    """

    def __init__(
        self,
        count_slots: Callable[[], int],
        limiter: ConcurrencyLimiter,
        queue_limit: int,
        clock: Clock,
    ) -> None:
        """Initializes the controller with all slots free."""
        self.in_flight = 0
        self.queue_limit = queue_limit
        self.limiter = limiter
        self._count_slots = count_slots
        self._clock = clock
        self._queue = AdmissionQueue()
        self._slot_time = FIRST_SLOT_TIME

    def __repr__(self) -> str:
        """Returns the requests in flight and the limit."""
        return f'<AdmissionController {self.in_flight}/{self.limit}>'

    @property
    def limit(self) -> int:
        """The maximum number of requests in flight at present."""
        return min(self._count_slots(), self.limiter.limit)

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._queue)

    async def acquire(
        self,
        work_class: WorkClass,
        deadline: timedelta,
        *,
        may_wait: bool = True,
    ) -> None:
        """Acquires a slot, waiting in the queue until the deadline.

        Args:
            work_class: determines the order in the queue.
            deadline: the time of the clock at which the request expires.
            may_wait: whether the request may wait in the queue. If not, it
                is refused when no slot is free.

        Raises:
            AdmissionRefused: no slot is free and the queue is full, a more
                urgent request displaced this one from the queue, or the
                deadline passed.
        """
        self.admit_waiting()
        if self.in_flight < self.limit and not self.waiting:
            self.in_flight += 1
            return
        if not may_wait and self._count_slots():
            raise self._refusal(Reason.no_room)
        waiter = self._queue.make(work_class, deadline)
        self._ensure_queue_space(waiter)
        self._queue.add(waiter)
        await self._wait(waiter)

    def check_slots(self) -> None:
        """Checks that the slots still cover the requests in flight.

        It is called immediately before a request is written.

        Raises:
            AdmissionRefused: fewer slots than requests in flight are left.
        """
        if self.in_flight > self._count_slots():
            raise self._refusal(Reason.owner_lowered)

    def release(self, slot_time: timedelta | None = None) -> None:
        """Releases a slot.

        Args:
            slot_time: how long the slot was used, or None if nothing ran.
        """
        self.in_flight -= 1
        if slot_time is not None:
            change = slot_time - self._slot_time
            self._slot_time += change * SLOT_TIME_WEIGHT
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Drops expired waiters and admits others while slots are free."""
        for expired in self._queue.expire(self._clock.elapsed()):
            self._refuse(expired, Reason.deadline_passed)
        if not self._count_slots():
            for unserved in self._queue.clear():
                self._refuse(unserved, Reason.no_owner)
        while self.waiting and self.in_flight < self.limit:
            waiter = self._queue.pop()
            if not waiter.admission.done():
                self.in_flight += 1
                waiter.admission.set_result(None)

    def _ensure_queue_space(self, newcomer: Waiter) -> None:
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
        delay = waiter.deadline - self._clock.elapsed() + TIMER_MARGIN
        timer = waiter.admission.get_loop().call_later(
            max(0, delay.total_seconds()),
            self.admit_waiting,
        )
        try:
            await waiter.admission
        except BaseException:
            self._queue.drop(waiter)
            if waiter.admission.done() and _was_admitted(waiter):
                self.release()
            raise
        finally:
            timer.cancel()

    def _refuse(self, waiter: Waiter, reason: Reason) -> None:
        if not waiter.admission.done():
            waiter.admission.set_exception(self._refusal(reason))

    def _refusal(self, reason: Reason) -> AdmissionRefused:
        ahead = self.waiting + 1
        wait = self._slot_time * ahead / max(1, self.limit)
        wait *= random.uniform(0.5, 1.5)
        return AdmissionRefused(
            reason,
            min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)),
        )


def _was_admitted(waiter: Waiter) -> bool:
    return (
        not waiter.admission.cancelled()
        and waiter.admission.exception() is None
    )
