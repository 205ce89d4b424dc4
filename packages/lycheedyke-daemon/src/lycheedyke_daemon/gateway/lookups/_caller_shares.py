"""The shares of the zones in the callers of one host and zone."""

import logging
from collections.abc import Collection, Mapping
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.state import HostHomes, ZoneCapacity, ramp_shares

# Changes of callers between regions are bounded per window of this length.
SHIFT_WINDOW = timedelta(seconds=2)
# The other half is a margin: which callers look up in a window is random.
SHIFT_FRACTION = 0.5
# Smaller changes of a share are not logged.
MIN_LOGGED_CHANGE = 0.05

_logger = logging.getLogger(__name__)


class CallerShares:
    """The shares of the zones in the callers of one host and zone.

    Changes of upstreams and instances take effect at once, those of the
    configuration, of homes, of limits and of demand step by step. While
    demand determines the shares, all changes are made step by step.

    Attributes:
        shares: the current share of each zone.
    """

    def __init__(
        self,
        number: int,
        shares: Mapping[str, float],
        homes: HostHomes | None,
        clock: Clock,
    ) -> None:
        """Starts with the shares of the configuration with this number."""
        self.shares = dict(shares)
        self._clock = clock
        self._updated_at = clock.elapsed()
        self._logged = self.shares
        self._number = number
        self._homes = homes
        self._is_ramping = False
        self._was_steered = False

    def __repr__(self) -> str:
        """Returns the shares."""
        return f'<CallerShares {self.shares}>'

    def update(
        self,
        number: int,
        target: Mapping[str, float],
        capacities: Collection[ZoneCapacity],
        max_change: float,
        *,
        homes: HostHomes | None,
        has_limits: bool,
        is_steered: bool = False,
    ) -> None:
        """Moves the shares to the target, at once or by one step.

        Args:
            number: the number of the configuration that the target is from.
            target: the shares to reach.
            capacities: the capacity of each zone.
            max_change: the maximum fraction of the callers that may change
                their region in a window.
            homes: the homes of the host's routes.
            has_limits: whether limits of upstreams change their capacity.
            is_steered: whether the target depends on demand.
        """
        now = self._clock.elapsed()
        step = step_after(now - self._updated_at, max_change)
        self._updated_at = now
        is_changed = number != self._number or homes != self._homes
        has_moved = is_steered or self._was_steered
        self._was_steered = is_steered
        if is_changed or has_limits or has_moved:
            self._number = number
            self._homes = homes
            self._is_ramping = True
        if self._is_ramping:
            self.shares = ramp_shares(self.shares, target, capacities, step)
            self._is_ramping = self.shares != target
        else:
            self.shares = dict(target)

    def log_change(self, host: str, zone: str) -> None:
        """Logs the shares if they differ enough from those last logged."""
        logged = self._logged
        names = set(self.shares) | set(logged)
        if all(
            abs(self.shares.get(name, 0) - logged.get(name, 0))
            < MIN_LOGGED_CHANGE
            for name in names
        ):
            return
        self._logged = self.shares
        shares = {name: round(part, 2) for name, part in self.shares.items()}
        _logger.info(
            'share moved',
            extra={
                'host': host,
                'callers_zone': zone,
                'shares': shares,
                'version': self._number,
                'is_ramping': self._is_ramping,
            },
        )


def step_after(passed: timedelta, max_change: float) -> float:
    """Returns the fraction of the callers that may change region in a step.

    Args:
        passed: the time since the step before.
        max_change: the maximum fraction in a window.
    """
    return max_change * SHIFT_FRACTION * min(passed / SHIFT_WINDOW, 1)
