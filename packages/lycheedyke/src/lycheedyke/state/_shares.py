"""Shift shares: which client blocks move, judged by each instance alone."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

import xxhash

from lycheedyke.clock import Clock
from lycheedyke.protocol import Shift
from lycheedyke.state._configuration import AcceptedShift, Configuration

HASH_RANGE = 2**64
START_PERIOD = timedelta(seconds=10)
MOST_FAILOVER_STEP = timedelta(seconds=1)
_NOTHING = timedelta()


def hash_point(service: str, block: str) -> float:
    """Returns the fixed point in [0, 1) of a client block for a service.

    A block is moved exactly while its point is below the share, so each
    larger share moves all the blocks of a smaller one.
    """
    return xxhash.xxh3_64_intdigest(f'{service} {block}'.encode()) / HASH_RANGE


def share_at(shift: Shift, accepted: datetime, now: datetime) -> float:
    """Returns the share of client blocks that is moved at a time.

    The share is min(cap, start + ramp * age), with the age in seconds since
    the ticket's acceptance.

    Args:
        shift: the shift in force.
        accepted: when its ticket was accepted.
        now: the time to judge.
    """
    age = max(0, (now - accepted).total_seconds())
    return min(shift.cap, shift.start_share + shift.ramp_per_s * age)


class ShiftPath(NamedTuple):
    """What a shift moves: there is at most one shift for each."""

    service: str
    source: str
    destination: str
    failover: bool = False


class _Meter(NamedTuple):
    """The share of a shift at a time of the monotonic clock."""

    shift: Shift
    share: float
    read: timedelta

    def advance(self, now: timedelta, *, source_serves: bool) -> '_Meter':
        passed = max(now - self.read, _NOTHING)
        if self.shift.failover:
            if source_serves:
                return self._replace(share=0, read=now)
            passed = min(passed, MOST_FAILOVER_STEP)
        rise = self.shift.ramp_per_s * passed.total_seconds()
        share = min(self.shift.cap, self.share + rise)
        return self._replace(share=share, read=now)


class ShiftShares:
    """The shares of all shifts, as this instance may use them.

    A share rises with the monotonic clock from the time at which its shift
    was first seen here, so no step of the wall clock moves it. The wall clock
    serves once: for shifts read while the process starts, whose tickets are
    older than the process.

    Args:
        clock: the time.
        source_serves: whether a region serves a service, as seen here;
            failover shifts move blocks only while it does not.
    """

    def __init__(
        self,
        clock: Clock,
        source_serves: Callable[[str, str], bool],
    ) -> None:
        """Makes shares without shifts; the start period begins now."""
        self._clock = clock
        self._source_serves = source_serves
        self._started = clock.elapsed()
        self._meters: dict[ShiftPath, _Meter] = {}

    def __repr__(self) -> str:
        """Returns the number of shifts."""
        return f'<ShiftShares of {len(self._meters)} shifts>'

    def apply(self, configuration: Configuration) -> None:
        """Takes over the shifts of a configuration; others end at once.

        A changed shift goes on from its share so far, or from its new cap
        where that is lower.
        """
        self.refresh()
        followed: dict[ShiftPath, _Meter] = {}
        for accepted in configuration.shifts.values():
            shift = accepted.shift
            way = ShiftPath(
                shift.service,
                shift.source,
                shift.destination,
                shift.failover,
            )
            followed[way] = self._change(way, accepted)
        self._meters = followed

    def refresh(self) -> None:
        """Advances all shares to the present; to be called steadily."""
        for way in self._meters:
            self.share(way)

    def share(self, way: ShiftPath) -> float:
        """Returns the share of blocks that may move; 0 without a shift."""
        meter = self._meters.get(way)
        if meter is None:
            return 0
        meter = meter.advance(
            self._clock.elapsed(),
            source_serves=self._source_serves(way.service, way.source),
        )
        self._meters[way] = meter
        return meter.share

    def paths(self, service: str, source: str) -> list[ShiftPath]:
        """Returns the ways on which blocks of a home region may move."""
        return sorted(
            way
            for way in self._meters
            if (way.service, way.source) == (service, source)
        )

    def time_until(self, way: ShiftPath, point: float) -> timedelta | None:
        """Returns the time until a point may be moved, None if never."""
        meter = self._meters.get(way)
        if meter is None or point >= meter.shift.cap:
            return None
        missing = max(0, point - meter.share)
        return timedelta(seconds=missing / meter.shift.ramp_per_s)

    def _change(self, way: ShiftPath, accepted: AcceptedShift) -> _Meter:
        shift = accepted.shift
        now = self._clock.elapsed()
        before = self._meters.get(way)
        share: float = 0
        if before is not None:
            share = before.share
        elif now - self._started < START_PERIOD and not shift.failover:
            share = share_at(shift, accepted.accepted, self._clock.now())
        return _Meter(shift, min(share, shift.cap), now)
