"""Ends attempts at upstreams that do not answer, if others can run them."""

import asyncio
import functools
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.state import UpstreamState
from lycheedyke.timers import PauseTolerantTimer, expire

# How often a request at a silent upstream looks for another upstream.
SILENCE_RECHECK = timedelta(milliseconds=500)


class SilenceWatch:
    """Ends an attempt if its upstream is silent and another one can run it.

    Args:
        state: the upstream.
        since: when the attempt was started.
        limit: how long the upstream may be silent; None for no limit.
        find_other: looks for another upstream in place of the named one.
    """

    def __init__(
        self,
        state: UpstreamState,
        since: timedelta,
        limit: timedelta | None,
        find_other: Callable[[str], bool],
    ) -> None:
        """Initializes the watch, which does not wait yet."""
        self._state = state
        self._since = since
        self._limit = limit
        self._find_other = find_other
        self._check: PauseTolerantTimer | None = None

    def __repr__(self) -> str:
        """Returns the upstream."""
        return f'<SilenceWatch of {self._state!r}>'

    def watch(self, timer: asyncio.Timeout) -> None:
        """Starts to wait for the limit, at which `timer` is to expire."""
        if self._limit is not None:
            self._schedule(self._limit, self._end_if_silent, timer)

    def close(self) -> None:
        """Stops waiting."""
        if self._check is not None:
            self._check.cancel()

    def _end_if_silent(self, timer: asyncio.Timeout) -> None:
        if self._state.answered_at <= self._since:
            self._state.record_failure()
            self._end_if_other(timer)

    def _end_if_other(self, timer: asyncio.Timeout) -> None:
        """Ends the attempt once the request can run elsewhere.

        Until then the upstream may still answer.
        """
        if self._state.answered_at > self._since or timer.expired():
            return
        if self._find_other(self._state.record.name):
            expire(timer)
        else:
            self._schedule(SILENCE_RECHECK, self._end_if_other, timer)

    def _schedule(
        self,
        delay: timedelta,
        check: Callable[[asyncio.Timeout], None],
        timer: asyncio.Timeout,
    ) -> None:
        self._check = PauseTolerantTimer(delay, functools.partial(check, timer))
