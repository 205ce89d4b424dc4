"""Requests that are suspected of crashing the upstreams that run them."""

from collections.abc import Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

import msgspec

from lycheedyke.clock import Clock

QUARANTINE_TIME = timedelta(minutes=10)
CLEARED_TIME = timedelta(seconds=30)
MAX_SUSPECTS = 256
CONFIRMATIONS = 2
# If more upstreams than this crash within `FAILURE_WINDOW`, the cause is taken
# to be the failure of a zone or region, not a request.
MAX_CRASHED_UPSTREAMS = 4
FAILURE_WINDOW = timedelta(seconds=10)
MILLISECOND = timedelta(milliseconds=1)


class Verdict(Enum):
    """The treatment of a request."""

    clear = 'clear'
    suspect = 'suspect'
    quarantined = 'quarantined'


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A suspect as reported to peers and operators.

    Attributes:
        fingerprint: the digest of service, method, target and body, in hex.
        crashed: the upstreams that crashed while it was in flight there.
        remaining_ms: the time until the suspect expires, in ms.
    """

    fingerprint: str
    crashed: tuple[str, ...]
    remaining_ms: int

    @property
    def quarantined(self) -> bool:
        """Whether all instances refuse the request."""
        return len(self.crashed) >= CONFIRMATIONS


class _Entry(NamedTuple):
    crashed: frozenset[str]
    expiry: timedelta


class Suspects:
    """The suspects known to one instance, limited in number and lifetime.

    Args:
        clock: the clock that measures expiry.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes without suspects."""
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._cleared: dict[str, timedelta] = {}
        self._crashes: dict[str, timedelta] = {}

    def __len__(self) -> int:
        """Returns the number of suspects."""
        return len(self._entries)

    def __repr__(self) -> str:
        """Returns the number of suspects."""
        return f'<Suspects: {len(self)}>'

    def judge(self, fingerprint: str) -> Verdict:
        """Returns the current treatment of a request."""
        self._drop_expired()
        entry = self._entries.get(fingerprint)
        if entry is None:
            return Verdict.clear
        if len(entry.crashed) >= CONFIRMATIONS:
            return Verdict.quarantined
        return Verdict.suspect

    def record_crash(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Marks all requests as suspects that were in flight at a crash.

        If more upstreams crash in the window than one request may cause, a
        zone or region is failing. All suspects of that window are dropped.
        """
        self._drop_expired()
        self._crashes[upstream] = self._clock.elapsed()
        if self._has_zone_failure():
            self._drop_suspects_of_window()
            return
        for fingerprint in fingerprints:
            self._add(fingerprint, frozenset((upstream,)), QUARANTINE_TIME)

    def record_success(self, fingerprint: str) -> None:
        """Clears a suspect that ran alone without a crash."""
        if self.judge(fingerprint) is Verdict.suspect:
            self._entries.pop(fingerprint)

    def clear(self, fingerprints: Iterable[str]) -> int:
        """Clears suspects for an operator, and returns how many were cleared.

        Reports of peers on a cleared suspect are ignored for `CLEARED_TIME`.
        """
        count = 0
        for fingerprint in fingerprints:
            if self._entries.pop(fingerprint, None) is not None:
                count += 1
                expiry = self._clock.elapsed() + CLEARED_TIME
                self._cleared[fingerprint] = expiry
        return count

    def list(self) -> tuple[Suspect, ...]:
        """Returns all suspects."""
        self._drop_expired()
        now = self._clock.elapsed()
        return tuple(
            Suspect(
                fingerprint,
                tuple(sorted(entry.crashed)),
                (entry.expiry - now) // MILLISECOND,
            )
            for fingerprint, entry in self._entries.items()
        )

    def merge(self, reported: Iterable[Suspect]) -> bool:
        """Merges the report of a peer, and returns whether any was new."""
        self._drop_expired()
        return any([self._merge_reported(suspect) for suspect in reported])

    def _merge_reported(self, suspect: Suspect) -> bool:
        known = self._entries.get(suspect.fingerprint)
        crashed = frozenset(suspect.crashed)
        if suspect.fingerprint in self._cleared:
            return False
        if known is not None and crashed <= known.crashed:
            return False
        for upstream in crashed:
            self._crashes.setdefault(upstream, self._clock.elapsed())
        lifetime = min(suspect.remaining_ms * MILLISECOND, QUARANTINE_TIME)
        self._add(suspect.fingerprint, crashed, lifetime)
        if self._has_zone_failure():
            self._drop_suspects_of_window()
        return True

    def _has_zone_failure(self) -> bool:
        return len(self._crashes) > MAX_CRASHED_UPSTREAMS

    def _drop_suspects_of_window(self) -> None:
        self._entries = {
            fingerprint: entry
            for fingerprint, entry in self._entries.items()
            if not entry.crashed <= self._crashes.keys()
        }

    def _add(
        self,
        fingerprint: str,
        crashed: frozenset[str],
        lifetime: timedelta,
    ) -> None:
        expiry = self._clock.elapsed() + lifetime
        entry = self._entries.get(fingerprint)
        if entry is not None:
            crashed |= entry.crashed
            expiry = max(expiry, entry.expiry)
        elif len(self._entries) >= MAX_SUSPECTS:
            self._evict_weakest()
        self._entries[fingerprint] = _Entry(crashed, expiry)

    def _evict_weakest(self) -> None:
        weakest = min(
            self._entries,
            key=lambda name: (
                len(self._entries[name].crashed),
                self._entries[name].expiry,
            ),
        )
        self._entries.pop(weakest)

    def _drop_expired(self) -> None:
        now = self._clock.elapsed()
        self._entries = {
            fingerprint: entry
            for fingerprint, entry in self._entries.items()
            if entry.expiry > now
        }
        self._crashes = {
            upstream: time
            for upstream, time in self._crashes.items()
            if time > now - FAILURE_WINDOW
        }
        self._cleared = {
            fingerprint: expiry
            for fingerprint, expiry in self._cleared.items()
            if expiry > now
        }
