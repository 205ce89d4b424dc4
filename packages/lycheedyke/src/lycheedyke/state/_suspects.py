"""Requests that are suspected of crashing the upstreams that run them."""

import logging
from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from types import MappingProxyType

from lycheedyke.clock import Clock
from lycheedyke.state._crash_evidence import (
    PROBATION_CRASHES,
    Answer,
    Crash,
    Evidence,
)
from lycheedyke.state._recent_crashes import RecentCrashes
from lycheedyke.state._suspect_reports import (
    MILLISECOND,
    Suspect,
    add_reported,
    adds_to_report,
    describe,
)
from lycheedyke.state._verdicts import Judgement, SettledQuarantine, Verdict
from lycheedyke.state._weakest_first import WeakestFirst

QUARANTINE_TIME = timedelta(minutes=10)
CLEARED_TIME = timedelta(seconds=30)
MAX_SUSPECTS = 256
_NO_CALLERS: Mapping[str, Collection[str]] = MappingProxyType({})

_logger = logging.getLogger(__name__)


class Suspects:
    """The suspects known to one instance, limited in number and lifetime.

    Args:
        clock: the clock that measures expiry.

    Attributes:
        clock: the clock that measures expiry.
        revision: grows with each change.
        observed_revision: the revision of the last crash, or answer of a
            trial, that this instance observed itself.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes without suspects."""
        self.clock = clock
        self.revision = 0
        self.observed_revision = 0
        self._entries: dict[str, Evidence] = {}
        self._registered: set[str] = set()
        # The convicted requests whose quarantine the log tells.
        self._logged: set[str] = set()
        self._cleared: dict[str, timedelta] = {}
        self._recent = RecentCrashes()
        self._changed: dict[str, int] = {}
        self._weakest = WeakestFirst()

    def __len__(self) -> int:
        """Returns the number of requests with crashes or in quarantine."""
        return len(self._entries) + len(self._registered)

    def __repr__(self) -> str:
        """Returns the number of suspects."""
        return f'<Suspects: {len(self)}>'

    def judge(self, fingerprint: str) -> Verdict:
        """Returns the current treatment of a request."""
        if fingerprint in self._registered:
            return Verdict.quarantined
        evidence = self._find_valid(fingerprint)
        if evidence.is_convicted:
            return Verdict.quarantined
        if evidence.is_on_probation:
            return Verdict.probation
        return Verdict.suspect if evidence.standing else Verdict.clear

    def judge_all(self, fingerprints: Iterable[str]) -> Judgement:
        """Returns the strictest treatment by any digest of one request.

        Of equally strict ones, the first counts.
        """
        return max(
            (Judgement(self.judge(each), each) for each in fingerprints),
            key=lambda judgement: judgement.verdict,
        )

    def is_isolated(self, fingerprint: str) -> bool:
        """Returns whether a request runs apart from others.

        The many requests of a failing zone do not, unless a trial of theirs
        has crashed an upstream.
        """
        evidence = self._find_valid(fingerprint)
        return bool(evidence.standing or evidence.trials)

    def trial_pause(self, fingerprint: str) -> timedelta:
        """Returns the time until the next trial of a request may start."""
        wait = self._find(fingerprint).next_trial - self.clock.elapsed()
        return max(timedelta(), wait)

    def remaining(self, fingerprint: str) -> timedelta:
        """Returns the time for which a quarantine lasts, as far as known."""
        left = self._find(fingerprint).expiry - self.clock.elapsed()
        return left if left > timedelta() else QUARANTINE_TIME

    def may_repeat(self, fingerprint: str) -> bool:
        """Returns whether a request may run again for the same attempt.

        Crashes that may have been the failure of a zone count as well, so
        that one attempt ends few upstreams if they were not.
        """
        if fingerprint in self._registered:
            return False
        return len(self._find_valid(fingerprint).crashes) < PROBATION_CRASHES

    def record_crash(
        self,
        fingerprints: Iterable[str],
        upstream: str,
        *,
        trials: Iterable[str] = (),
        callers: Mapping[str, Collection[str]] = _NO_CALLERS,
    ) -> None:
        """Marks all requests as suspects that were in flight at a crash.

        If more upstreams crash together than one request may cause, a zone
        or region is failing, and the requests need not run apart.

        Args:
            fingerprints: the requests in flight.
            upstream: the upstream, or its incarnation.
            trials: those of them that ran as trials.
            callers: the callers of each request that is told apart from others
                whoever sends it.
        """
        self._drop_expired()
        now = self.clock.elapsed()
        self._recent.record(upstream, now)
        in_trial = frozenset(trials)
        for fingerprint in fingerprints:
            crash = Crash(
                now,
                upstream,
                fingerprint in in_trial,
                frozenset(callers.get(fingerprint, ())),
            )
            before = self._entries.get(fingerprint, Evidence())
            after = before.add(crash)._replace(
                expiry=now + QUARANTINE_TIME, is_first_hand=True
            )
            if self._update(fingerprint, before, after):
                self.observed_revision = self.revision
        self._dismiss_zone_failure()

    def record_success(
        self, fingerprint: str, *, is_trial: bool = False, caller: str = ''
    ) -> None:
        """Records that an upstream answered a request.

        The answer is remembered, to correct peers that do not know of it.

        Args:
            fingerprint: the request.
            is_trial: whether it ran as a trial.
            caller: its caller, if others may send the same request.
        """
        before = self._entries.get(fingerprint)
        if before is None or not before.crashes:
            return
        now = self.clock.elapsed()
        suspected = before.suspected_callers
        is_of_another = bool(suspected) and caller not in suspected
        after = before.add_answer(Answer(now, is_trial or is_of_another))
        if after == before:
            return
        _logger.info(
            'suspect cleared',
            extra={'fingerprint': fingerprint, 'is_trial': is_trial},
        )
        self._store(fingerprint, after._replace(expiry=now + QUARANTINE_TIME))
        if is_trial:
            self.observed_revision = self.revision

    def clear(self, fingerprints: Iterable[str]) -> int:
        """Clears suspects for an operator, and returns how many were cleared.

        Reports of peers on a cleared suspect are ignored for `CLEARED_TIME`.
        """
        count = 0
        for fingerprint in fingerprints:
            if self._entries.pop(fingerprint, Evidence()).crashes:
                count += 1
                expiry = self.clock.elapsed() + CLEARED_TIME
                self._cleared[fingerprint] = expiry
        self.revision += count
        return count

    def list(self) -> tuple[Suspect, ...]:
        """Returns the suspects that no failure of a zone explains."""
        now = self.clock.elapsed()
        return tuple(
            describe(fingerprint, evidence.without_zone_failure(), now)
            for fingerprint, evidence in self._current()
            if (evidence.standing or evidence.trials)
            and not evidence.suspected_callers
        )

    def report(self) -> tuple[Suspect, ...]:
        """Returns all evidence for peers, dismissed crashes included."""
        now = self.clock.elapsed()
        return tuple(
            describe(fingerprint, evidence, now)
            for fingerprint, evidence in self._current()
        )

    def describe(self, fingerprint: str) -> Suspect:
        """Returns all evidence on one request for a peer."""
        now = self.clock.elapsed()
        return describe(fingerprint, self._find(fingerprint), now)

    def report_changes(self, after: int) -> tuple[Suspect, ...]:
        """Returns the evidence that a peer may not have.

        It leaves out single crashes that this instance knows from peers,
        unless an answer outweighs others that it may have sent.

        Args:
            after: the revision of the last report to the peer.
        """
        now = self.clock.elapsed()
        return tuple(
            describe(fingerprint, evidence, now)
            for fingerprint, evidence in self._current()
            if self._changed[fingerprint] > after
            and (
                evidence.is_first_hand
                or evidence.answer is not None
                or evidence.is_on_probation
            )
        )

    def corrections(self, reported: Iterable[Suspect]) -> tuple[Suspect, ...]:
        """Returns what is known here of requests that a peer's report lacks."""
        now = self.clock.elapsed()
        return tuple(
            describe(suspect.fingerprint, known, now)
            for suspect in reported
            if adds_to_report(
                known := self._find(suspect.fingerprint), suspect, now
            )
        )

    def merge(self, reported: Iterable[Suspect]) -> bool:
        """Merges the report of a peer, and returns whether any was new."""
        self._drop_expired()
        is_new = any([self._merge_reported(suspect) for suspect in reported])
        if is_new:
            self._dismiss_zone_failure()
        return is_new

    def adopt(self, stored: Suspect) -> None:
        """Merges stored evidence on a request that is not known here."""
        if stored.fingerprint not in self._entries.keys() | self._registered:
            self.merge((stored,))

    def all_evidence(self) -> Iterable[tuple[str, Evidence]]:
        """Returns the evidence on each request, by its digest."""
        return self._current()

    def settled(self) -> tuple[SettledQuarantine, ...]:
        """Returns the quarantines that are not registered."""
        return tuple(
            SettledQuarantine(fingerprint, evidence.is_first_hand)
            for fingerprint, evidence in self._current()
            if evidence.is_convicted and fingerprint not in self._registered
        )

    def register(self, fingerprint: str) -> None:
        """Quarantines a request that the registry lists."""
        if fingerprint not in self._registered:
            self._registered.add(fingerprint)
            self._log_quarantine(fingerprint, Evidence(), source='registry')

    def unregister(self, fingerprint: str) -> None:
        """Ends a quarantine that the registry does not list any more."""
        self._registered.discard(fingerprint)

    def _find(self, fingerprint: str) -> Evidence:
        """Returns the evidence on a request that has not expired."""
        evidence = self._entries.get(fingerprint)
        if evidence is None or evidence.expiry <= self.clock.elapsed():
            return Evidence()
        return evidence

    def _find_valid(self, fingerprint: str) -> Evidence:
        """Returns the evidence, unless it concerns a single caller.

        That caller has evidence of its own.
        """
        evidence = self._find(fingerprint)
        return Evidence() if evidence.suspected_callers else evidence

    def _merge_reported(self, suspect: Suspect) -> bool:
        # Earlier versions report no times, and other fingerprints.
        if not suspect.has_times or suspect.fingerprint in self._cleared:
            return False
        now = self.clock.elapsed()
        before = self._entries.get(suspect.fingerprint, Evidence())
        after = add_reported(before, suspect, now)
        for crash in suspect.crashes(now):
            self._recent.record_reported(crash.upstream, crash.time, now)
        if after == before:
            return False
        remaining = min(suspect.remaining_ms * MILLISECOND, QUARANTINE_TIME)
        after = after._replace(expiry=max(before.expiry, now + remaining))
        self._update(suspect.fingerprint, before, after)
        return True

    def _dismiss_zone_failure(self) -> None:
        """Dismisses the crashes that coincide with many others."""
        changed = self._recent.dismiss_from(self._entries.items())
        self._entries.update(changed)
        if changed:
            _logger.info(
                'suspects dismissed',
                extra={
                    'count': len(changed),
                    'crashed': self._recent.upstreams,
                },
            )

    def _update(
        self, fingerprint: str, before: Evidence, after: Evidence
    ) -> bool:
        """Stores changed evidence; returns whether it has changed."""
        if before._replace(expiry=after.expiry) == after:
            return False
        self._store(fingerprint, after)
        if not after.is_convicted:
            self._logged.discard(fingerprint)
        elif fingerprint not in self._logged:
            self._logged.add(fingerprint)
            source = 'own' if after.is_first_hand else 'peer'
            self._log_quarantine(fingerprint, after, source=source)
        return True

    def _store(self, fingerprint: str, evidence: Evidence) -> None:
        if fingerprint not in self._entries:
            self._make_room()
        self.revision += 1
        self._changed[fingerprint] = self.revision
        self._entries[fingerprint] = evidence
        self._weakest.push(fingerprint, self._entries)

    def _make_room(self) -> None:
        """Drops the weakest evidence if there is too much of it."""
        while len(self._entries) >= MAX_SUSPECTS:
            self._entries.pop(self._weakest.pop(self._entries))

    def _current(self) -> Iterable[tuple[str, Evidence]]:
        self._drop_expired()
        return self._entries.items()

    def _drop_expired(self) -> None:
        now = self.clock.elapsed()
        self._entries = {
            fingerprint: evidence
            for fingerprint, evidence in self._entries.items()
            if evidence.expiry > now
        }
        self._changed = {
            fingerprint: revision
            for fingerprint, revision in self._changed.items()
            if fingerprint in self._entries
        }
        self._recent.drop_old(now)
        self._logged &= self._entries.keys()
        self._cleared = {
            fingerprint: expiry
            for fingerprint, expiry in self._cleared.items()
            if expiry > now
        }

    def _log_quarantine(
        self, fingerprint: str, evidence: Evidence, *, source: str
    ) -> None:
        _logger.warning(
            'request quarantined',
            extra={
                'fingerprint': fingerprint,
                'crashed': [crash.upstream for crash in evidence.crashes],
                'trials': evidence.trials,
                'source': source,
            },
        )
