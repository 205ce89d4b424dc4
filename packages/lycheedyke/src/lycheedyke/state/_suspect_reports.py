"""The form in which suspects are reported to peers and operators."""

from datetime import timedelta

import msgspec

from lycheedyke.state._crash_evidence import CONFIRMATIONS

MILLISECOND = timedelta(milliseconds=1)


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A suspect as reported to peers and operators.

    Attributes:
        fingerprint: the digest that equal requests of one caller share, in hex.
        crashed: the upstreams that crashed while it was in flight there.
        remaining_ms: the time until the suspect expires, in ms.
        ages_ms: how long ago each of these crashes was, in ms. Reports of
            earlier versions have none.
        answered_ms: how long ago an upstream answered it, in ms; None if that
            is not known.
        dismissed: those of the crashed upstreams whose crash was attributed to
            the failure of a zone or region.
        isolated: those of the crashed upstreams at which it ran on its own, as
            a suspect. Reports of earlier versions have none.
    """

    fingerprint: str
    crashed: tuple[str, ...]
    remaining_ms: int
    ages_ms: tuple[int, ...] = ()
    answered_ms: int | None = None
    dismissed: tuple[str, ...] = ()
    isolated: tuple[str, ...] = ()

    @property
    def has_times(self) -> bool:
        """Whether the age of each crash is known."""
        return len(self.ages_ms) == len(self.crashed)

    @property
    def quarantined(self) -> bool:
        """Whether all instances refuse the request."""
        return len(self.crashed) >= CONFIRMATIONS

    def is_outweighed(self, answered_ago: timedelta) -> bool:
        """Returns whether one of the crashes was before an answer."""
        return any(age * MILLISECOND > answered_ago for age in self.ages_ms)
