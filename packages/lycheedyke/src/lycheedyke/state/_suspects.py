"""Requests that may crash the upstreams that run them."""

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
MAX_LOST = 4
# More upstreams lost at once than one request may take down.
FAILURE_WINDOW = timedelta(seconds=10)
MILLISECOND = timedelta(milliseconds=1)


class Verdict(Enum):
    """How a request is treated."""

    clear = 'clear'
    suspect = 'suspect'
    quarantined = 'quarantined'


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A suspect as peers and operators get it.

    Attributes:
        fingerprint: the digest of service, method, target and body, in hex.
        crashed: the upstreams that crashed while it was in flight there.
        remaining_ms: the time until it is forgotten, in ms.
    """

    fingerprint: str
    crashed: tuple[str, ...]
    remaining_ms: int

    @property
    def quarantined(self) -> bool:
        """Whether it is refused everywhere."""
        return len(self.crashed) >= CONFIRMATIONS


class _Entry(NamedTuple):
    crashed: frozenset[str]
    expiry: timedelta


class Suspects:
    """The suspects that one instance knows; expiring, bounded in number.

    Args:
        clock: measures expiry.
    """

    def __init__(self, clock: Clock) -> None:
        """Makes a record without suspects."""
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
        """Returns how a request is to be treated now."""
        self._drop_expired()
        entry = self._entries.get(fingerprint)
        if entry is None:
            return Verdict.clear
        if len(entry.crashed) >= CONFIRMATIONS:
            return Verdict.quarantined
        return Verdict.suspect

    def record_crash(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Makes suspects of all requests in flight when an upstream crashed.

        When more upstreams are lost at once than one request may take down,
        a zone or region fails: all suspicion of that time is dropped.
        """
        self._drop_expired()
        self._crashes[upstream] = self._clock.elapsed()
        if self._is_failing():
            self._drop_recent()
            return
        for fingerprint in fingerprints:
            self._merge(fingerprint, frozenset((upstream,)), QUARANTINE_TIME)

    def record_success(self, fingerprint: str) -> None:
        """Clears a suspect that ran alone to its end."""
        if self.judge(fingerprint) is Verdict.suspect:
            self._entries.pop(fingerprint)

    def clear(self, fingerprints: Iterable[str]) -> int:
        """Clears suspects at an operator's word; returns how many there were.

        Peers' reports of a cleared suspect are ignored for a time.
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
        """Takes in what a peer reports; returns whether anything was new."""
        self._drop_expired()
        return any([self._take(suspect) for suspect in reported])

    def _take(self, suspect: Suspect) -> bool:
        known = self._entries.get(suspect.fingerprint)
        crashed = frozenset(suspect.crashed)
        if suspect.fingerprint in self._cleared:
            return False
        if known is not None and crashed <= known.crashed:
            return False
        for upstream in crashed:
            self._crashes.setdefault(upstream, self._clock.elapsed())
        life = min(suspect.remaining_ms * MILLISECOND, QUARANTINE_TIME)
        self._merge(suspect.fingerprint, crashed, life)
        if self._is_failing():
            self._drop_recent()
        return True

    def _is_failing(self) -> bool:
        return len(self._crashes) > MAX_LOST

    def _drop_recent(self) -> None:
        self._entries = {
            fingerprint: entry
            for fingerprint, entry in self._entries.items()
            if not entry.crashed <= self._crashes.keys()
        }

    def _merge(
        self,
        fingerprint: str,
        crashed: frozenset[str],
        life: timedelta,
    ) -> None:
        expiry = self._clock.elapsed() + life
        entry = self._entries.get(fingerprint)
        if entry is not None:
            crashed |= entry.crashed
            expiry = max(expiry, entry.expiry)
        elif len(self._entries) >= MAX_SUSPECTS:
            self._make_room()
        self._entries[fingerprint] = _Entry(crashed, expiry)

    def _make_room(self) -> None:
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
