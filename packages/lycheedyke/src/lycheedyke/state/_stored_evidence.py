"""The evidence against requests that the registry keeps."""

from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.protocol import CrashNote, SuspectRecord
from lycheedyke.state._crash_evidence import PROBATION_CRASHES, Evidence
from lycheedyke.state._suspect_reports import MILLISECOND, Suspect
from lycheedyke.state._suspects import Suspects

# The suspects of which the registry keeps evidence.
MAX_STORED = 64

_Crashes = frozenset[tuple[str, bool]]


class UnstoredEvidence(NamedTuple):
    """Evidence that the registry lacks.

    Attributes:
        record: its record.
        is_first_hand: whether this instance observed one of the crashes.
    """

    record: SuspectRecord
    is_first_hand: bool


class OutweighedEvidence(NamedTuple):
    """Evidence that the registry lists in vain.

    Attributes:
        fingerprint: the digest of the request, in hex.
        is_first_hand: whether this instance observed one of the crashes.
    """

    fingerprint: str
    is_first_hand: bool


class StoredEvidence:
    """Compares the evidence of an instance with that of the registry.

    The registry keeps the evidence on requests on probation: those that run
    as trials only. Most requests that are in flight at a crash never are.

    Args:
        suspects: the suspects that this instance knows.
        clock: tells the times of crashes, which records state as wall-clock
            time. The clocks of instances may differ by some seconds.
    """

    def __init__(self, suspects: Suspects, clock: Clock) -> None:
        """Initializes without records."""
        self._suspects = suspects
        self._clock = clock
        self._listed: dict[str, _Crashes] = {}
        # The registry came back from a copy since they were listed.
        self._doubtful: set[str] = set()

    def __repr__(self) -> str:
        """Returns the number of records in the registry."""
        return f'<StoredEvidence: {len(self._listed)} listed>'

    def register(self, record: SuspectRecord) -> None:
        """Notes a record of the registry, and adopts it if it is not known.

        Otherwise peers have told more, and perhaps of an answer since.
        """
        self._listed[record.fingerprint] = frozenset(
            (crash.upstream, crash.is_trial) for crash in record.crashes
        )
        self._doubtful.discard(record.fingerprint)
        now_ms = self._now_ms()
        ages = (max(0, now_ms - crash.at_ms) for crash in record.crashes)
        self._suspects.adopt(
            Suspect(
                record.fingerprint,
                tuple(crash.upstream for crash in record.crashes),
                record.expires_ms - now_ms,
                tuple(ages),
                trials=tuple(
                    crash.upstream for crash in record.crashes if crash.is_trial
                ),
                callers=tuple(crash.callers for crash in record.crashes),
            )
        )

    def unregister(self, fingerprint: str) -> None:
        """Notes that the registry does not list a record any more."""
        self._listed.pop(fingerprint, None)
        self._doubtful.discard(fingerprint)

    def doubt_records(self) -> None:
        """Has all records written again, as the registry may have lost them."""
        self._doubtful.update(self._listed)

    def missing(self) -> tuple[UnstoredEvidence, ...]:
        """Returns the evidence that the registry is to list and does not."""
        quarantined = self._quarantined()
        found = [
            (fingerprint, evidence)
            for fingerprint, evidence in self._suspects.all_evidence()
            if _is_kept(evidence)
            and fingerprint not in quarantined
            and _crashes_of(evidence) - self._known_to_be_listed(fingerprint)
        ]
        room = max(0, MAX_STORED - len(self._listed))
        known = [each for each in found if each[0] in self._listed]
        new = [each for each in found if each[0] not in self._listed]
        new.sort(key=lambda each: each[1].strength, reverse=True)
        return tuple(
            UnstoredEvidence(
                self._describe(fingerprint, evidence), evidence.is_first_hand
            )
            for fingerprint, evidence in (*known, *new[:room])
        )

    def outweighed(self) -> tuple[OutweighedEvidence, ...]:
        """Returns the listed evidence that has no effect any more.

        An answer outweighs it, or the registry lists a quarantine.
        """
        if not self._listed:
            return ()
        quarantined = self._quarantined()
        return tuple(
            OutweighedEvidence(fingerprint, evidence.is_first_hand)
            for fingerprint, evidence in self._suspects.all_evidence()
            if fingerprint in self._listed
            and (not evidence.crashes or fingerprint in quarantined)
        )

    def _quarantined(self) -> set[str]:
        """Returns the convicted requests that the registry quarantines."""
        unlisted = {each.fingerprint for each in self._suspects.settled()}
        return {
            fingerprint
            for fingerprint, evidence in self._suspects.all_evidence()
            if evidence.is_convicted and fingerprint not in unlisted
        }

    def _known_to_be_listed(self, fingerprint: str) -> _Crashes:
        if fingerprint in self._doubtful:
            return frozenset()
        return self._listed.get(fingerprint, frozenset())

    def _describe(self, fingerprint: str, evidence: Evidence) -> SuspectRecord:
        offset = self._now_ms() - self._suspects.clock.elapsed() // MILLISECOND
        return SuspectRecord(
            fingerprint,
            tuple(
                CrashNote(
                    crash.upstream,
                    offset + crash.time // MILLISECOND,
                    crash.is_trial,
                    tuple(sorted(crash.callers)),
                )
                for crash in evidence.crashes
            ),
            offset + evidence.expiry // MILLISECOND,
        )

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _is_kept(evidence: Evidence) -> bool:
    return evidence.trials > 0 or len(evidence.standing) >= PROBATION_CRASHES


def _crashes_of(evidence: Evidence) -> _Crashes:
    return frozenset(
        (crash.upstream, crash.is_trial) for crash in evidence.crashes
    )
