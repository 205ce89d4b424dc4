"""Defers the removal of records that may have lapsed in an outage.

An outage of the registry, or its return from a copy, has one end. Instances
notice that end at different times and pass it on. Each notice has an
identity, so that no instance adopts it twice, and two notices of the same
end merge to the earlier one.
"""

import logging
import secrets
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock

# Records that are written regularly do not lapse in a shorter outage.
SHORTEST_OUTAGE = timedelta(milliseconds=1200)
TOKEN_BYTES = 4
ZERO = timedelta()
MILLISECOND = timedelta(milliseconds=1)

_logger = logging.getLogger(__name__)


class PeerDeferral(NamedTuple):
    """What a peer told of its deferral.

    Attributes:
        asked: when the peer was asked, in elapsed time.
        left: how much longer it defers removals; zero if it does not.
        token: the identity of the notice; '' from earlier releases.
        steady: how long the registry has answered without an outage, as far
            as the peer knows; None from earlier releases.
        answered: a time at which the registry had answered the peer, or an
            earlier time.
    """

    asked: timedelta
    left: timedelta
    token: str = ''
    steady: timedelta | None = None
    answered: timedelta = timedelta()


class RemovalDeferral:
    """The time until which removals of records that may lapse are deferred.

    An instance that was cut off, slow or frozen can't tell this from an
    outage of the registry. So a notice does not count for an instance that
    knows the registry to have answered somebody throughout.

    Args:
        clock: measures the time since an outage.
        reappearance: how long after an outage records may be written again.
    """

    def __init__(self, clock: Clock, reappearance: timedelta) -> None:
        """Initializes the deferral; nothing is known of the registry."""
        self._clock = clock
        self._reappearance = reappearance
        self._token = ''
        self._until = ZERO
        self._steady_since: timedelta | None = None

    def __repr__(self) -> str:
        """Returns how much longer removals are deferred."""
        return f'<RemovalDeferral for {self.left}>'

    @property
    def token(self) -> str:
        """The identity of the notice that the deferral follows."""
        return self._token

    @property
    def until(self) -> timedelta:
        """When the deferral ends or has ended, in elapsed time."""
        return self._until

    @property
    def left(self) -> timedelta:
        """How much longer removals are deferred."""
        return max(self._until - self._clock.elapsed(), ZERO)

    @property
    def steady(self) -> timedelta:
        """How long the registry is known to have answered without an outage.

        The time begins anew when the registry returns from a copy.
        """
        if self._steady_since is None:
            return ZERO
        return self._clock.elapsed() - self._steady_since

    def record_first_answer(self) -> None:
        """Records the first answer that this process knows of."""
        if self._steady_since is None:
            self._steady_since = self._clock.elapsed()

    def record_gap(self) -> None:
        """Records that no answer was known for as long as an outage lasts."""
        self._steady_since = self._clock.elapsed()

    def start(self, found_by: str, lasted: timedelta = ZERO) -> None:
        """Defers removals, as this instance noticed the end of an outage.

        Args:
            found_by: how it was noticed, for the log.
            lasted: how long the registry answered nobody.
        """
        now = self._clock.elapsed()
        self._steady_since = now
        self._adopt(
            secrets.token_hex(TOKEN_BYTES),
            now + self._reappearance,
            found_by,
            lasted,
        )

    def merge(self, told: PeerDeferral) -> None:
        """Merges what a peer told of the registry in the same generation."""
        self._merge_steady(told)
        until = told.asked + min(told.left, self._reappearance)
        if not told.left or until <= self._clock.elapsed():
            return
        if told.token and told.token == self._token:
            return
        if abs(until - self._until) < SHORTEST_OUTAGE:
            # The earlier of two notices of one end is closer to it. Peers of
            # earlier releases repeat a notice without its identity.
            if told.token and until < self._until:
                self._adopt(told.token, until, 'peer')
        elif until > self._until and not self._is_refuted(until):
            self._adopt(told.token, until, 'peer')

    def describe_end(self) -> str:
        """Returns the wall-clock time of the deferral's end, for the log."""
        return (self._clock.now() + self.left).isoformat()

    def _merge_steady(self, told: PeerDeferral) -> None:
        """Adopts that the registry has answered for longer than known here."""
        if told.steady is None or self._steady_since is None:
            return
        since = self._clock.elapsed() - told.steady
        if told.answered < self._steady_since - SHORTEST_OUTAGE:
            return
        self._steady_since = min(self._steady_since, since)
        if self.left and self._is_refuted(self._until):
            self._until = self._clock.elapsed()
            _logger.info('outage refuted', extra={'deferral': self._token})
        self._until = min(self._until, self._steady_since + self._reappearance)

    def _is_refuted(self, until: timedelta) -> bool:
        """Returns whether the registry answered within the alleged outage."""
        if self._steady_since is None:
            return False
        ended = until - self._reappearance
        return self._steady_since < ended - SHORTEST_OUTAGE

    def _adopt(
        self,
        token: str,
        until: timedelta,
        found_by: str,
        lasted: timedelta = ZERO,
    ) -> None:
        self._token = token
        self._until = until
        _logger.warning(
            'registry outage',
            extra={
                'found_by': found_by,
                'lasted_ms': lasted // MILLISECOND,
                'removals_deferred_until': self.describe_end(),
                'deferral': token,
            },
        )
