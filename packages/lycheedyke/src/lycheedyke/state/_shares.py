"""Shift shares: the share of client blocks that each shift moves.

Each instance computes the shares on its own.
"""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

import xxhash

from lycheedyke.clock import Clock
from lycheedyke.protocol import Shift
from lycheedyke.state._configuration import AcceptedShift, Configuration

HASH_RANGE = 2**64
START_PERIOD = timedelta(seconds=10)
MAX_FAILOVER_STEP = timedelta(seconds=1)
ZERO = timedelta()


def hash_point(service: str, block: str) -> float:
    """Returns the fixed hash in [0, 1) of a client block for a service.

    A block is moved exactly while its hash is below the share, so a larger
    share moves all the blocks of a smaller share.
    """
    return xxhash.xxh3_64_intdigest(f'{service} {block}'.encode()) / HASH_RANGE


def share_at(shift: Shift, accepted: datetime, now: datetime) -> float:
    """Returns the share of client blocks that a shift moves at a time.

    The share is min(cap, start + ramp * age), with the age in seconds since
    the ticket's acceptance.

    Args:
        shift: the shift in force.
        accepted: when its ticket was accepted.
        now: the time for which to compute the share.
    """
    age = max(0, (now - accepted).total_seconds())
    return min(shift.cap, shift.start_share + shift.ramp_per_s * age)


class ShiftPath(NamedTuple):
    """The traffic that a shift moves; each path has at most one shift."""

    service: str
    source: str
    destination: str
    failover: bool = False


class _ShiftProgress(NamedTuple):
    """The share of a shift at a time of the monotonic clock."""

    shift: Shift
    share: float
    at: timedelta

    def advance(
        self, now: timedelta, *, source_serves: bool
    ) -> '_ShiftProgress':
        elapsed = max(now - self.at, ZERO)
        if self.shift.failover:
            if source_serves:
                return self._replace(share=0, at=now)
            elapsed = min(elapsed, MAX_FAILOVER_STEP)
        rise = self.shift.ramp_per_s * elapsed.total_seconds()
        share = min(self.shift.cap, self.share + rise)
        return self._replace(share=share, at=now)


class ShiftShares:
    """The shares of all shifts that this instance applies.

    A share rises with the monotonic clock from the time at which this instance
    first saw the shift, so steps of the wall clock do not change the share.
    The wall clock is used only for shifts that are read while the process
    starts, as their tickets are older than the process.

    Args:
        clock: the clock of the shares.
        source_serves: returns whether a region serves a service, as observed
            by this instance. A failover shift moves blocks only while its
            source does not serve.
    """

    def __init__(
        self,
        clock: Clock,
        source_serves: Callable[[str, str], bool],
    ) -> None:
        """Initializes without shifts; the start period begins now."""
        self._clock = clock
        self._source_serves = source_serves
        self._started = clock.elapsed()
        self._shares: dict[ShiftPath, _ShiftProgress] = {}

    def __repr__(self) -> str:
        """Returns the number of shifts."""
        return f'<ShiftShares of {len(self._shares)} shifts>'

    def apply(self, configuration: Configuration) -> None:
        """Applies the shifts of a configuration; other shifts end at once.

        A changed shift continues from its current share, or from its new cap
        if the cap is lower.
        """
        self.refresh()
        applied: dict[ShiftPath, _ShiftProgress] = {}
        for accepted in configuration.shifts.values():
            shift = accepted.shift
            path = ShiftPath(
                shift.service,
                shift.source,
                shift.destination,
                shift.failover,
            )
            applied[path] = self._change(path, accepted)
        self._shares = applied

    def refresh(self) -> None:
        """Advances all shares to the present.

        It must be called regularly: a failover share rises by at most
        `MAX_FAILOVER_STEP` for each call.
        """
        for path in self._shares:
            self.share(path)

    def share(self, path: ShiftPath) -> float:
        """Returns the share of blocks that may move, 0 if no shift exists."""
        current = self._shares.get(path)
        if current is None:
            return 0
        current = current.advance(
            self._clock.elapsed(),
            source_serves=self._source_serves(path.service, path.source),
        )
        self._shares[path] = current
        return current.share

    def paths(self, service: str, source: str) -> list[ShiftPath]:
        """Returns the paths by which blocks of a home region may move."""
        return sorted(
            path
            for path in self._shares
            if (path.service, path.source) == (service, source)
        )

    def time_until(self, path: ShiftPath, point: float) -> timedelta | None:
        """Returns the time until a block may move, or None if it never may.

        Args:
            path: the shift path.
            point: the hash of the block.
        """
        current = self._shares.get(path)
        if current is None or point >= current.shift.cap:
            return None
        missing = max(0, point - current.share)
        return timedelta(seconds=missing / current.shift.ramp_per_s)

    def _change(
        self, path: ShiftPath, accepted: AcceptedShift
    ) -> _ShiftProgress:
        shift = accepted.shift
        now = self._clock.elapsed()
        before = self._shares.get(path)
        share: float = 0
        if before is not None:
            share = before.share
        elif now - self._started < START_PERIOD and not shift.failover:
            share = share_at(shift, accepted.accepted, self._clock.now())
        return _ShiftProgress(shift, min(share, shift.cap), now)
