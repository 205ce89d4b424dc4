"""The schedule of the permits of one subject: a rate and a burst (GCRA)."""

from datetime import timedelta

from lycheedyke.state.rates._send_limits import ZERO

# Permits are issued ahead for so long.
HORIZON = timedelta(milliseconds=500)


class RateSchedule:
    """Spaces permits by an interval, by the generic cell rate algorithm.

    Args:
        free_at: when the first permit becomes valid.

    Attributes:
        free_at: when the next permit becomes valid. It lags behind the clock
            by `burst` intervals at most.
        interval: the time between two permits.
        burst: the permits that may be valid at once after a time without use.
    """

    def __init__(self, free_at: timedelta) -> None:
        """Starts without an interval and without a burst."""
        self.free_at = free_at
        self.interval = ZERO
        self.burst: float = 0

    def __repr__(self) -> str:
        """Returns the interval and the burst."""
        return f'<RateSchedule each {self.interval} + {self.burst:g}>'

    def change(self, interval: timedelta, burst: float, now: timedelta) -> None:
        """Applies a rate and a burst to the permits not yet issued."""
        self.free_at = max(self.free_at, now - self.burst * self.interval)
        if self.free_at < now:
            # The unused permits stay as many.
            self.free_at = now - (now - self.free_at) * (
                interval / self.interval
            )
        elif self.interval and interval > self.interval:
            # Permits of the higher rate have been used already.
            self.free_at = max(self.free_at, now + interval)
        self.free_at = max(self.free_at, now - burst * interval)
        self.free_at = min(self.free_at, now + interval + HORIZON)
        self.interval = interval
        self.burst = burst

    def take(self, most: int, now: timedelta) -> list[timedelta]:
        """Issues permits; returns the time until each becomes valid."""
        starts: list[timedelta] = []
        while len(starts) < most and self.free_at <= now + HORIZON:
            starts.append(max(ZERO, self.free_at - now))
            self.free_at += self.interval
        return starts

    def restore(self, count: int, now: timedelta) -> None:
        """Takes back permits that were not used and are not valid any more.

        The result is at most what it were if they had not been issued.
        """
        self.free_at = max(
            self.free_at - count * self.interval,
            now - self.burst * self.interval,
        )
