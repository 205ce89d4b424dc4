"""Attempts at an upstream, and the admission of requests to it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination import UpstreamLimits
from lycheedyke.protocol import UpstreamLoad
from lycheedyke.state import AdmissionController, ConcurrencyLimiter

DEADLINE_MARGIN = timedelta(milliseconds=100)


class Attempt:
    """One request that holds a slot of an upstream.

    Args:
        admission: the admission controller of the upstream.
        limit: the time after which the upstream abandons the request.
        clock: measures the time since the request was written.
    """

    def __init__(
        self,
        admission: AdmissionController,
        limit: timedelta,
        clock: Clock,
    ) -> None:
        """Initializes an attempt whose request has not been written."""
        self.is_finished = False
        self._admission = admission
        self._limit = limit
        self._clock = clock
        self._written: timedelta | None = None

    def __repr__(self) -> str:
        """Returns the class and the admission controller."""
        return f'<Attempt at {self._admission!r}>'

    @property
    def limiter(self) -> ConcurrencyLimiter:
        """The concurrency limiter of the upstream."""
        return self._admission.limiter

    def before_write(self) -> None:
        """Checks that the request may still be written; records the time.

        Raises:
            AdmissionRefused: fewer slots are allowed now than requests are in
                flight.
        """
        self._admission.check_slots()
        self._written = self._clock.elapsed()

    def release(self) -> None:
        """Releases the slot as soon as the upstream cannot be busy with it.

        After a broken exchange, the upstream may run the request until the
        deadline that was sent with it. The slot is therefore held until
        that deadline plus `DEADLINE_MARGIN`.
        """
        if self._written is None:
            self._admission.release()
            return
        now = self._clock.elapsed()
        if self.is_finished:
            self._admission.release(now - self._written)
            return
        delay = self._written + self._limit + DEADLINE_MARGIN - now
        asyncio.get_running_loop().call_later(
            max(0, delay.total_seconds()),
            self._admission.release,
        )


class OwnedUpstream:
    """Admits requests to one upstream while this instance may use it.

    Args:
        name: the upstream's name.
        limits: the slots and the run limit of the upstream.
        count_slots: returns how many slots of an upstream this instance may
            use now.
        queue_limit: the maximum number of requests that wait for a slot.
        clock: measures deadlines.
    """

    def __init__(
        self,
        name: str,
        limits: UpstreamLimits,
        count_slots: Callable[[str, UpstreamLimits], int],
        queue_limit: int,
        clock: Clock,
    ) -> None:
        """Initializes the admission in slow start."""
        self._name = name
        self._limits = limits
        self._count_slots = count_slots
        self._had_slots = False
        self.admission = AdmissionController(
            self._count,
            ConcurrencyLimiter(limits.slots, clock),
            queue_limit,
            clock,
        )

    def __repr__(self) -> str:
        """Returns the class and the name of the upstream."""
        return f'<OwnedUpstream {self._name}>'

    @property
    def load(self) -> UpstreamLoad:
        """The load of the upstream, as reported to other instances."""
        return UpstreamLoad(
            self._name,
            self.admission.in_flight,
            self.admission.waiting,
            self.admission.limit,
            self.admission.limiter.usable,
        )

    def refresh(self, limits: UpstreamLimits, queue_limit: int) -> None:
        """Applies new limits.

        The upstream restarts in slow start when its slots become available
        to this instance.
        """
        self._limits = limits
        self.admission.queue_limit = queue_limit
        self.admission.limiter.resize(limits.slots)
        has_slots = self._count() > 0
        if has_slots and not self._had_slots:
            self.admission.limiter.restart()
        self._had_slots = has_slots
        self.admission.admit_waiting()

    def _count(self) -> int:
        return self._count_slots(self._name, self._limits)
