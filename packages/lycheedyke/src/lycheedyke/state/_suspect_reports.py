"""The form in which suspects are reported to peers and operators."""

from datetime import timedelta

import msgspec

from lycheedyke.state._crash_evidence import CONVICTING_TRIALS

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
        isolated: the same as `trials`, for earlier versions.
        trials: those of the crashed upstreams at which it ran as a trial.
            Reports of earlier versions have none.
        is_trial_answer: whether it ran as a trial when it was answered.
    """

    fingerprint: str
    crashed: tuple[str, ...]
    remaining_ms: int
    ages_ms: tuple[int, ...] = ()
    answered_ms: int | None = None
    dismissed: tuple[str, ...] = ()
    isolated: tuple[str, ...] = ()
    trials: tuple[str, ...] = ()
    is_trial_answer: bool = False

    @property
    def has_times(self) -> bool:
        """Whether the age of each crash is known."""
        return len(self.ages_ms) == len(self.crashed)

    @property
    def quarantined(self) -> bool:
        """Whether all instances refuse the request."""
        return len(self.trials) >= CONVICTING_TRIALS
