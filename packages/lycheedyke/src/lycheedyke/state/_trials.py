"""Decides which instance may run a request on probation."""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

import msgspec

from lycheedyke.state._suspect_reports import MILLISECOND, Suspect
from lycheedyke.state._suspects import Suspects
from lycheedyke.state._verdicts import Verdict

# A trial whose instance never tells its end blocks others no longer.
MAX_TRIAL_TIME = timedelta(seconds=15)


class TrialDecision(Enum):
    """The decision on a request on probation."""

    granted = 'granted'
    # Another trial of it runs.
    busy = 'busy'
    # The pause after its last crash is not over.
    paused = 'paused'
    refused = 'refused'


class TrialRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks whether a request may run as a trial, or tells that it has ended.

    Attributes:
        evidence: what the sender knows of the request.
        permit: the id of the trial.
        lasts_ms: how long the trial may last, in ms.
        is_over: whether the trial has ended.
    """

    evidence: Suspect
    permit: str
    lasts_ms: int = 0
    is_over: bool = False


class TrialReply(msgspec.Struct, frozen=True, array_like=True):
    """The decision on a trial.

    Attributes:
        decision: whether the request may run now.
        evidence: what the decision is based on.
        wait_ms: the rest of the pause, in ms.
    """

    decision: TrialDecision
    evidence: Suspect
    wait_ms: int = 0


class _Trial(NamedTuple):
    permit: str
    ends: timedelta


class TrialArbiter:
    """Permits one trial of each request at a time.

    Args:
        suspects: the suspects that this instance knows.
    """

    def __init__(self, suspects: Suspects) -> None:
        """Initializes without trials."""
        self._suspects = suspects
        self._running: dict[str, _Trial] = {}

    def __repr__(self) -> str:
        """Returns the number of trials."""
        return f'<TrialArbiter: {len(self._running)} running>'

    def decide(self, request: TrialRequest) -> TrialReply:
        """Merges the evidence of the sender, and decides on its trial."""
        self._suspects.merge((request.evidence,))
        self._drop_old()
        fingerprint = request.evidence.fingerprint
        pause = self._suspects.trial_pause(fingerprint)
        decision = self._decide(request, pause)
        if decision is TrialDecision.granted:
            lasts = request.lasts_ms * MILLISECOND
            self._running[fingerprint] = _Trial(
                request.permit,
                self._suspects.clock.elapsed() + min(lasts, MAX_TRIAL_TIME),
            )
        return TrialReply(
            decision,
            self._suspects.describe(fingerprint),
            pause // MILLISECOND + 1,
        )

    def _decide(self, request: TrialRequest, pause: timedelta) -> TrialDecision:
        fingerprint = request.evidence.fingerprint
        running = self._running.get(fingerprint)
        is_own = running is not None and running.permit == request.permit
        if request.is_over:
            if is_own:
                self._running.pop(fingerprint)
            return TrialDecision.refused
        if self._suspects.judge(fingerprint) is Verdict.quarantined:
            return TrialDecision.refused
        if running is not None and not is_own:
            return TrialDecision.busy
        if pause:
            return TrialDecision.paused
        return TrialDecision.granted

    def _drop_old(self) -> None:
        now = self._suspects.clock.elapsed()
        self._running = {
            fingerprint: trial
            for fingerprint, trial in self._running.items()
            if trial.ends > now
        }
