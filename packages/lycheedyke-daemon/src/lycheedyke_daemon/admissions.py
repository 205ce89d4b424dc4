"""Admits requests, those on probation only as trials."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from datetime import timedelta
from functools import cached_property

from lycheedyke.protocol import NotRun, Reason
from lycheedyke.state import Suspects, TrialDecision, Verdict
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.trials import Trial, TrialClient
from lycheedyke_daemon.work import Work

MILLISECOND = timedelta(milliseconds=1)
# The longest wait for the trial of an equal request, or for the pause before one.
MAX_TRIAL_WAIT = timedelta(seconds=2)
# How often a request asks again while a trial of an equal one runs.
TRIAL_RECHECK = timedelta(milliseconds=50)
# An upstream drops a request, or has crashed on it, so long after its caller has
# left at the latest.
ABANDONED_TIME = timedelta(milliseconds=500)


class Admission:
    """The permission of one request to run.

    Attributes:
        refusal: the outcome if the request may not run; otherwise None.
        trial: its trial, if it is on probation.
        until: how long it may wait for the trial, on the clock of the suspects.
        lasts: how long it may run.
    """

    def __init__(self, work: Work, until: timedelta, lasts: timedelta) -> None:
        """Initializes an admission that is not decided."""
        self.refusal: NotRun | None = None
        self.trial = Trial()
        self.until = until
        self.lasts = lasts
        self._work = work

    @cached_property
    def fingerprint(self) -> str:
        """The digest of the request as its caller repeats it, in hex."""
        return self._work.repeat_fingerprint().hex()

    @cached_property
    def shared_fingerprint(self) -> str:
        """The digest of the request as any caller repeats it, in hex."""
        return self._work.shared_fingerprint().hex()

    @property
    def fingerprints(self) -> tuple[str, str]:
        """The digests that crashes count against, the common one first."""
        return self.shared_fingerprint, self.fingerprint

    @property
    def tried(self) -> tuple[str, ...]:
        """The digests for which a run is a trial; empty if it is none.

        A trial among the requests of all callers is one of its caller, too.
        """
        if not self.trial.is_granted:
            return ()
        if self.trial.fingerprint == self.fingerprint:
            return (self.fingerprint,)
        return self.fingerprints

    def __repr__(self) -> str:
        """Returns the trial."""
        return f'<Admission with {self.trial!r}>'

    def describe(self) -> dict[str, object]:
        """Returns what log lines tell of the request."""
        return {
            'request': self._work.request_id,
            'fingerprint': self.fingerprint,
            'shared_fingerprint': self.shared_fingerprint,
            **self._work.describe(),
        }


class Admissions:
    """Admits requests; one on probation once its trial is granted.

    Args:
        suspects: the suspects that this instance knows.
        trials: asks for trials.
    """

    def __init__(self, suspects: Suspects, trials: TrialClient) -> None:
        """Initializes the admissions."""
        self._suspects = suspects
        self._trials = trials
        # The requests with a trial of this instance, asked for or granted.
        self._asking: set[str] = set()
        self._ends = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the suspects."""
        return f'<Admissions with {self._suspects!r}>'

    @contextlib.asynccontextmanager
    async def admit(
        self, work: Work, timeout: timedelta
    ) -> AsyncIterator[Admission]:
        """Admits or refuses a request for the length of the context.

        If the context is left with an error, an upstream may still run the
        request. Its trial then ends after `ABANDONED_TIME`.

        Args:
            work: the request.
            timeout: the time that is left to it.
        """
        wait = min(timeout, MAX_TRIAL_WAIT)
        admission = Admission(
            work, self._suspects.clock.elapsed() + wait, timeout
        )
        try:
            await self.decide(admission)
            yield admission
        except BaseException:
            if admission.trial.is_granted:
                self._ends.start(self._end_abandoned(admission))
            raise
        self._end(admission)

    async def decide(self, admission: Admission) -> None:
        """Waits until a request may run, or is refused."""
        while admission.refusal is None:
            # Most requests need no digest.
            if not self._suspects:
                return
            verdict, fingerprint = self._suspects.judge_all(
                admission.fingerprints
            )
            if verdict is Verdict.quarantined:
                self._refuse(admission, self._suspects.remaining(fingerprint))
            elif verdict is Verdict.probation and (
                fingerprint not in admission.tried
            ):
                # Its trial may be one of its caller alone.
                self._end(admission)
                await self._wait_for_trial(admission, fingerprint)
            else:
                return

    def _end(self, admission: Admission) -> None:
        if admission.trial.is_granted:
            self._asking.discard(admission.trial.fingerprint)
            self._trials.end(admission.trial)

    async def _end_abandoned(self, admission: Admission) -> None:
        await asyncio.sleep(ABANDONED_TIME.total_seconds())
        self._end(admission)

    async def _wait_for_trial(
        self, admission: Admission, fingerprint: str
    ) -> None:
        """Asks for the trial of a request, or waits before it asks again."""
        wait = self._suspects.trial_pause(fingerprint)
        if not wait:
            wait = await self._ask(admission, fingerprint)
            if admission.trial.is_granted:
                return
        if self._suspects.clock.elapsed() + wait >= admission.until:
            self._refuse(admission, wait)
            return
        await asyncio.sleep(wait.total_seconds())

    async def _ask(self, admission: Admission, fingerprint: str) -> timedelta:
        """Asks for a trial; returns how long to wait if it isn't granted."""
        if fingerprint in self._asking:
            return TRIAL_RECHECK
        self._asking.add(fingerprint)
        try:
            reply = await self._trials.ask(
                fingerprint, admission.trial, admission.lasts
            )
        finally:
            if not admission.trial.is_granted:
                self._asking.discard(fingerprint)
        match reply.decision:
            case TrialDecision.granted:
                return timedelta()
            case TrialDecision.refused:
                return self._suspects.remaining(fingerprint)
            case TrialDecision.paused:
                return reply.wait_ms * MILLISECOND
        return TRIAL_RECHECK

    def _refuse(self, admission: Admission, retry_after: timedelta) -> None:
        admission.refusal = NotRun(Reason.quarantined, retry_after)
