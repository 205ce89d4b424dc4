"""Requests that are suspected of crashing the upstreams that run them."""

import heapq
import logging
from collections.abc import Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.state._crash_evidence import (
    CONFIRMATIONS,
    Crash,
    Evidence,
    Strength,
)
from lycheedyke.state._recent_crashes import SETTLING_TIME, RecentCrashes
from lycheedyke.state._suspect_reports import MILLISECOND, Suspect

QUARANTINE_TIME = timedelta(minutes=10)
CLEARED_TIME = timedelta(seconds=30)
MAX_SUSPECTS = 256
# The outdated pairs that are kept for each suspect, as their removal costs time.
MAX_OUTDATED = 4

_logger = logging.getLogger(__name__)


class Verdict(Enum):
    """The treatment of a request."""

    clear = 'clear'
    suspect = 'suspect'
    # It is to be quarantined, unless a report of a peer that is on its way tells
    # of another request that explains its crashes.
    held = 'held'
    quarantined = 'quarantined'


class SettledQuarantine(NamedTuple):
    """A quarantine that no later crash of other upstreams can lift.

    Attributes:
        fingerprint: the digest of the request, in hex.
        is_first_hand: whether this instance observed one of the crashes.
    """

    fingerprint: str
    is_first_hand: bool


class Suspects:
    """The suspects known to one instance, limited in number and lifetime.

    Args:
        clock: the clock that measures expiry.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes without suspects."""
        self.revision = 0
        self._clock = clock
        self._entries: dict[str, Evidence] = {}
        self._registered: set[str] = set()
        # The convicted requests whose quarantine the log tells.
        self._logged: set[str] = set()
        # Until when some verdict may be held.
        self._held_until = timedelta()
        self._cleared: dict[str, timedelta] = {}
        self._recent = RecentCrashes()
        self._changed: dict[str, int] = {}
        # The weakest evidence first; pairs may be outdated.
        self._weakest: list[tuple[Strength, str]] = []

    def __len__(self) -> int:
        """Returns the number of requests with crashes or in quarantine."""
        return len(self._entries) + len(self._registered)

    def __repr__(self) -> str:
        """Returns the number of suspects."""
        return f'<Suspects: {len(self)}>'

    @property
    def may_hold(self) -> bool:
        """Whether some request may be held."""
        return self._clock.elapsed() < self._held_until

    def judge(self, fingerprint: str) -> Verdict:
        """Returns the current treatment of a request."""
        if fingerprint in self._registered:
            return Verdict.quarantined
        evidence = self._entries.get(fingerprint)
        if evidence is None or evidence.expiry <= self._clock.elapsed():
            return Verdict.clear
        if not self._is_convicted(fingerprint, evidence):
            self._logged.discard(fingerprint)
            return Verdict.suspect if evidence.standing else Verdict.clear
        if self._clock.elapsed() < evidence.reported_by:
            return Verdict.held
        if fingerprint not in self._logged:
            self._logged.add(fingerprint)
            source = 'own' if evidence.is_first_hand else 'peer'
            self._log_quarantine(fingerprint, evidence, source=source)
        return Verdict.quarantined

    def may_repeat(self, fingerprint: str) -> bool:
        """Returns whether a request may run again for the same attempt.

        Crashes that may have been the failure of a zone count as well, so
        that one attempt ends few upstreams if they were not.
        """
        if fingerprint in self._registered:
            return False
        evidence = self._entries.get(fingerprint, Evidence())
        is_expired = evidence.expiry <= self._clock.elapsed()
        return is_expired or len(evidence.crashes) < CONFIRMATIONS

    def record_crash(
        self,
        fingerprints: Iterable[str],
        upstream: str,
        *,
        is_isolated: bool = True,
    ) -> None:
        """Marks all requests as suspects that were in flight at a crash.

        If more upstreams crash together than one request may cause, a zone
        or region is failing. Such crashes count only against requests that
        were in flight at crashes in several other moments.

        Args:
            fingerprints: the requests in flight.
            upstream: the upstream, or its incarnation.
            is_isolated: whether the only request ran as a suspect, kept apart
                from others.
        """
        self._drop_expired()
        crash = Crash(self._clock.elapsed(), upstream, is_isolated)
        self._recent.record(upstream, crash.time)
        for fingerprint in fingerprints:
            before = self._entries.get(fingerprint, Evidence())
            after = before.add(crash)._replace(
                expiry=crash.time + QUARANTINE_TIME, is_first_hand=True
            )
            self._update(fingerprint, before, after)
        self._dismiss_zone_failure()

    def record_success(self, fingerprint: str) -> None:
        """Clears a suspect that ran to its end.

        The answer is remembered, to correct peers that do not know of it.
        """
        before = self._entries.get(fingerprint)
        if before is None or not before.crashes:
            return
        if self.judge(fingerprint) is Verdict.quarantined:
            return
        now = self._clock.elapsed()
        _logger.info('suspect cleared', extra={'fingerprint': fingerprint})
        self._store(
            fingerprint,
            before.answer(now)._replace(expiry=now + QUARANTINE_TIME),
        )

    def clear(self, fingerprints: Iterable[str]) -> int:
        """Clears suspects for an operator, and returns how many were cleared.

        Reports of peers on a cleared suspect are ignored for `CLEARED_TIME`.
        """
        count = 0
        for fingerprint in fingerprints:
            if self._entries.pop(fingerprint, Evidence()).crashes:
                count += 1
                expiry = self._clock.elapsed() + CLEARED_TIME
                self._cleared[fingerprint] = expiry
        self.revision += count
        return count

    def list(self) -> tuple[Suspect, ...]:
        """Returns the suspects that are isolated or in quarantine."""
        return tuple(
            self._describe(fingerprint, evidence, evidence.standing)
            for fingerprint, evidence in self._current()
            if evidence.standing
        )

    def report(self) -> tuple[Suspect, ...]:
        """Returns all evidence for peers, dismissed crashes included."""
        return tuple(
            self._describe(fingerprint, evidence, evidence.crashes)
            for fingerprint, evidence in self._current()
        )

    def report_changes(self, after: int) -> tuple[Suspect, ...]:
        """Returns the evidence that peers may not have.

        It leaves out single crashes that this instance knows from peers,
        unless an answer outweighs others that it may have sent.

        Args:
            after: the revision of the last report.
        """
        return tuple(
            self._describe(fingerprint, evidence, evidence.crashes)
            for fingerprint, evidence in self._current()
            if len(evidence.crashes) >= CONFIRMATIONS
            or (
                (evidence.is_first_hand or evidence.answered is not None)
                and self._changed[fingerprint] > after
            )
        )

    def corrections(self, reported: Iterable[Suspect]) -> tuple[Suspect, ...]:
        """Returns the answers known here that outweigh a peer's report."""
        now = self._clock.elapsed()
        return tuple(
            self._describe(suspect.fingerprint, known, ())
            for suspect in reported
            if (known := self._entries.get(suspect.fingerprint)) is not None
            and known.answered is not None
            and suspect.is_outweighed(now - known.answered)
        )

    def merge(self, reported: Iterable[Suspect]) -> bool:
        """Merges the report of a peer, and returns whether any was new."""
        self._drop_expired()
        is_new = any([self._merge_reported(suspect) for suspect in reported])
        if is_new:
            self._dismiss_zone_failure()
        return is_new

    def settled(self) -> tuple[SettledQuarantine, ...]:
        """Returns the quarantines that are final and not registered."""
        since = self._clock.elapsed() - SETTLING_TIME
        return tuple(
            SettledQuarantine(fingerprint, evidence.is_first_hand)
            for fingerprint, evidence in self._current()
            if fingerprint not in self._registered
            and self.judge(fingerprint) is Verdict.quarantined
            and (evidence.is_proven or evidence.standing[-1].time < since)
        )

    def register(self, fingerprint: str) -> None:
        """Quarantines a request that the registry lists."""
        if fingerprint not in self._registered:
            self._registered.add(fingerprint)
            self._log_quarantine(fingerprint, Evidence(), source='registry')

    def unregister(self, fingerprint: str) -> None:
        """Ends a quarantine that the registry does not list any more."""
        self._registered.discard(fingerprint)

    def _is_convicted(self, fingerprint: str, evidence: Evidence) -> bool:
        others = (
            each for name, each in self._entries.items() if name != fingerprint
        )
        return evidence.is_confirmed and evidence.is_convicting(others)

    def _merge_reported(self, suspect: Suspect) -> bool:
        if suspect.fingerprint in self._cleared:
            return False
        if not suspect.has_times:
            # Earlier versions report no times, and other fingerprints.
            return False
        now = self._clock.elapsed()
        before = self._entries.get(suspect.fingerprint, Evidence())
        after = before
        if suspect.answered_ms is not None:
            answered = now - max(0, suspect.answered_ms) * MILLISECOND
            after = after.answer(answered)
        for upstream, age in zip(suspect.crashed, suspect.ages_ms, strict=True):
            crash = Crash(
                now - max(0, age) * MILLISECOND,
                upstream,
                upstream in suspect.isolated,
            )
            after = after.add(crash)
            if upstream in suspect.dismissed:
                after = after.dismiss_of(upstream)
            self._recent.record_reported(upstream, crash.time, now)
        if after == before:
            return False
        remaining = min(suspect.remaining_ms * MILLISECOND, QUARANTINE_TIME)
        after = after._replace(expiry=max(before.expiry, now + remaining))
        self._update(suspect.fingerprint, before, after)
        return True

    def _dismiss_zone_failure(self) -> None:
        """Dismisses the crashes that coincide with many others."""
        changed = self._recent.dismiss_from(self._entries.items())
        for fingerprint, evidence in changed.items():
            self._entries[fingerprint] = evidence
            heapq.heappush(self._weakest, (evidence.strength, fingerprint))
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
    ) -> None:
        if before._replace(expiry=after.expiry) == after:
            return
        self._store(fingerprint, after)
        if after.is_confirmed:
            self._held_until = max(self._held_until, after.reported_by)
            # Logs a quarantine that is not held.
            self.judge(fingerprint)

    def _store(self, fingerprint: str, evidence: Evidence) -> None:
        if fingerprint not in self._entries:
            self._make_room()
        self.revision += 1
        self._changed[fingerprint] = self.revision
        self._entries[fingerprint] = evidence
        heapq.heappush(self._weakest, (evidence.strength, fingerprint))
        if len(self._weakest) > MAX_OUTDATED * MAX_SUSPECTS:
            self._sort_by_strength()

    def _make_room(self) -> None:
        """Drops the weakest evidence if there is too much of it."""
        while len(self._entries) >= MAX_SUSPECTS:
            if not self._weakest:
                self._sort_by_strength()
            strength, fingerprint = heapq.heappop(self._weakest)
            evidence = self._entries.get(fingerprint)
            if evidence is not None and evidence.strength == strength:
                self._entries.pop(fingerprint)

    def _sort_by_strength(self) -> None:
        self._weakest = [
            (evidence.strength, fingerprint)
            for fingerprint, evidence in self._entries.items()
        ]
        heapq.heapify(self._weakest)

    def _current(self) -> Iterable[tuple[str, Evidence]]:
        self._drop_expired()
        return self._entries.items()

    def _drop_expired(self) -> None:
        now = self._clock.elapsed()
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

    def _describe(
        self, fingerprint: str, evidence: Evidence, crashes: tuple[Crash, ...]
    ) -> Suspect:
        now = self._clock.elapsed()
        return Suspect(
            fingerprint,
            tuple(crash.upstream for crash in crashes),
            (evidence.expiry - now) // MILLISECOND,
            tuple((now - crash.time) // MILLISECOND for crash in crashes),
            None
            if evidence.answered is None
            else (now - evidence.answered) // MILLISECOND,
            tuple(crash.upstream for crash in evidence.dismissed),
            tuple(crash.upstream for crash in crashes if crash.is_isolated),
        )

    def _log_quarantine(
        self, fingerprint: str, evidence: Evidence, *, source: str
    ) -> None:
        _logger.warning(
            'request quarantined',
            extra={
                'fingerprint': fingerprint,
                'crashed': [crash.upstream for crash in evidence.crashes],
                'moments': evidence.moments,
                'source': source,
            },
        )
