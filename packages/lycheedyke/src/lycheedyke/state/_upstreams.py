"""The upstreams that records tell of, and what is known of each."""

import logging
import math
from collections import OrderedDict
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.protocol import UpstreamRecord

_logger = logging.getLogger(__name__)

# An upstream of the users keeps some dozens of objects warm.
MOST_WARM_OBJECTS = 32
# How long a reported load says something about the present one.
LOAD_LIFE = timedelta(seconds=1)
FAILURES_BEFORE_OUT = 3
# The share of a new sample in the comparison with other upstreams.
COMPARED_WEIGHT = 0.15
MOST_SLOWNESS = 20.0
# One that takes so many times as long as others is left out for a while.
SLOW = 2.5
# How long the comparison holds while no request runs there.
SLOWNESS_LIFE = timedelta(seconds=3)
OUT_LEAST = timedelta(milliseconds=500)
OUT_MOST = timedelta(seconds=4)
# Covers the age of a record when it arrives here.
COLD_MARGIN = timedelta(milliseconds=800)
ZERO = timedelta()
MILLISECOND = timedelta(milliseconds=1)


class UpstreamState:
    """One upstream as this instance sees it.

    Attributes:
        record: what it says of itself.
        in_flight: the requests that run there from here.
        answered_at: when it last answered anything, on the monotonic clock.

    Args:
        record: what it says of itself.
        clock: the time.
    """

    def __init__(self, record: UpstreamRecord, clock: Clock) -> None:
        """Takes in the first record."""
        self.record = record
        self.in_flight = 0
        self.answered_at = ZERO
        self._clock = clock
        self._others = 0
        self._others_at = ZERO
        self._warm: OrderedDict[str, None] = OrderedDict()
        self._failures = 0
        self._outages = 0
        self._out_until: timedelta | None = None
        self._cold_until = ZERO
        self._needs_record = False
        self._slowness = 1.0
        self._compared_at = ZERO
        self.apply(record)

    def __repr__(self) -> str:
        """Returns the name and the requests in flight from here."""
        return f'<UpstreamState {self.record.name}: {self.in_flight}>'

    @property
    def is_cold(self) -> bool:
        """Whether it bears only a few requests a second."""
        return self._clock.elapsed() < self._cold_until

    @property
    def is_lost(self) -> bool:
        """Whether it gets no work until its next record."""
        return self._needs_record

    @property
    def is_ejected(self) -> bool:
        """Whether its failures keep it from getting work now."""
        if self._out_until is None:
            return False
        return self._clock.elapsed() < self._out_until or self.in_flight > 0

    @property
    def load(self) -> float:
        """The requests that it runs or queues, as far as is known here."""
        age = (self._clock.elapsed() - self._others_at) / LOAD_LIFE
        return self.in_flight + self._others * math.exp(-age)

    @property
    def slowness(self) -> float:
        """How many times as long requests run here as elsewhere."""
        age = (self._clock.elapsed() - self._compared_at) / SLOWNESS_LIFE
        return 1 + max(0, self._slowness - 1) * math.exp(-age)

    def record_slowness(self, took: timedelta, expected: timedelta) -> None:
        """Takes in how long a request ran, and how long it was to run."""
        ratio = min(MOST_SLOWNESS, took / max(expected, MILLISECOND))
        change = (ratio - self._slowness) * COMPARED_WEIGHT
        self._slowness = max(1, self._slowness + change)
        self._compared_at = self._clock.elapsed()

    def apply(self, record: UpstreamRecord) -> None:
        """Takes in a newer record."""
        if record.born != self.record.born:
            self._forget()
        self.record = record
        self._needs_record = False
        if record.cold > ZERO:
            self._cold_until = self._clock.elapsed() + (
                record.cold + COLD_MARGIN
            )

    def is_warm(self, thing: str) -> bool:
        """Whether it has lately handled an object for this instance."""
        return thing in self._warm

    def begin_request(self, thing: str) -> None:
        """Counts a request that is sent to it."""
        self.in_flight += 1
        if thing:
            self._warm[thing] = None
            self._warm.move_to_end(thing)
            if len(self._warm) > MOST_WARM_OBJECTS:
                self._warm.popitem(last=False)

    def end_request(self) -> None:
        """Counts the end of a request."""
        self.in_flight -= 1

    def record_answer(self) -> None:
        """Takes in that it has answered something, whatever that was."""
        self.answered_at = self._clock.elapsed()

    def record_load(self, running: int, waiting: int) -> None:
        """Takes in the load that it told with an answer."""
        self._others = max(0, running + waiting - self.in_flight)
        self._others_at = self._clock.elapsed()

    def record_success(self) -> None:
        """Takes in a whole answer."""
        if self._out_until is not None:
            self._tell('upstream back')
        self._failures = 0
        self._outages = 0
        self._out_until = None

    def record_failure(self, *, is_unreachable: bool = False) -> None:
        """Takes in a broken exchange, or a failure of the upstream.

        Args:
            is_unreachable: whether no connection could be made at all.
        """
        self._failures += 1
        was_out = self._out_until is not None or is_unreachable
        if was_out or self._failures >= FAILURES_BEFORE_OUT:
            self._take_out()

    def mark_lost(self) -> None:
        """Takes in that nothing listens at its address.

        It gets no work until a record tells that it lives, and whether it
        is cold.
        """
        if not self._needs_record:
            self._tell('upstream lost')
        self._needs_record = True

    def _take_out(self) -> None:
        now = self._clock.elapsed()
        if self._out_until is not None and now < self._out_until:
            return
        pause = min(OUT_MOST, OUT_LEAST * 2**self._outages)
        self._outages = min(self._outages + 1, 8)
        self._out_until = now + pause
        self._tell('upstream out', pause_ms=pause // MILLISECOND)

    def _tell(self, event: str, **fields: object) -> None:
        extra = {
            'upstream': self.record.name,
            'service': self.record.service,
            'in_flight': self.in_flight,
            'failures': self._failures,
            **fields,
        }
        _logger.info(event, extra=extra)

    def _forget(self) -> None:
        self._warm.clear()
        self._failures = 0
        self._outages = 0
        self._out_until = None
        self._others = 0
        self._slowness = 1.0


class UpstreamTable:
    """All upstreams that may exist, by service.

    Args:
        clock: the time.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts without upstreams."""
        self.evacuated_zones: frozenset[str] = frozenset()
        self._clock = clock
        self._states: dict[str, UpstreamState] = {}
        self._by_service: dict[str, list[UpstreamState]] = {}

    def __repr__(self) -> str:
        """Returns the number of upstreams."""
        return f'<Fleet of {len(self._states)}>'

    def __len__(self) -> int:
        """Returns the number of upstreams."""
        return len(self._states)

    def all(self) -> tuple[UpstreamState, ...]:
        """Returns all upstreams, in use or not."""
        return tuple(self._states.values())

    def apply(self, record: UpstreamRecord) -> None:
        """Takes in the record of an upstream, new or changed."""
        state = self._states.get(record.name)
        if state is None:
            self._states[record.name] = UpstreamState(record, self._clock)
            self._by_service.clear()
            return
        if state.record.service != record.service:
            self._by_service.clear()
        state.apply(record)

    def remove(self, name: str) -> None:
        """Takes in that an upstream is gone."""
        if self._states.pop(name, None) is not None:
            self._by_service.clear()

    def of_service(self, service: str) -> list[UpstreamState]:
        """Returns all upstreams of a service, in use or not."""
        found = self._by_service.get(service)
        if found is None:
            found = [
                state
                for state in self._states.values()
                if state.record.service == service
            ]
            self._by_service[service] = found
        return found

    def usable(self, service: str) -> list[UpstreamState]:
        """Returns the upstreams of a service that may get new work.

        Those that fail or are slow are left out as long as others are there.
        """
        serving = self.serving(service)
        sound = [
            state
            for state in serving
            if not state.is_ejected and state.slowness < SLOW
        ]
        return sound or serving

    def serving(self, service: str) -> list[UpstreamState]:
        """Returns those that live, don't leave and stand in no cleared zone."""
        return [
            state
            for state in self.of_service(service)
            if not state.record.leaving
            and not state.is_lost
            and state.record.zone not in self.evacuated_zones
        ]
