"""The known summaries and rosters of all zones."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec
import xxhash

from lycheedyke.coordination._pause_excluding_clock import PauseExcludingClock
from lycheedyke.coordination._peers import MILLISECOND, Peer
from lycheedyke.protocol import (
    InstanceInfo,
    Roster,
    RosterMember,
    ZoneSummary,
    ZoneVersion,
)

MAX_ZONES = 64
MAX_ZONE_MEMBERS = 256
DIGEST_MASK = 2**32 - 1
MIN_SUMMARY_INTERVAL = timedelta(milliseconds=500)
SUMMARY_INTERVAL_PER_ZONE = timedelta(milliseconds=150)
SILENT_INTERVALS = 5
MIN_SILENCE = timedelta(seconds=3)
FORGET_AFTER = timedelta(hours=24)


class KnownZone:
    """The known state of one zone.

    Attributes:
        summary: the newest summary; None while only a roster is known.
        peers: the instances on its roster.
        roster: the hash of that roster.
        ticket: the newest ticket that was in force in the zone.
        roster_confirmed: when a summary of this roster was last received, on the clock
            that excludes pauses.
        summary_received: when any summary was last received, on the same clock.
    """

    def __init__(self, name: str, now: timedelta) -> None:
        """Initializes the zone without summary and roster."""
        self.name = name
        self.summary: ZoneSummary | None = None
        self.peers: list[Peer] = []
        self.roster = 0
        self.ticket = 0
        self.roster_confirmed: timedelta | None = None
        self.summary_received = now

    def __repr__(self) -> str:
        """Returns the name and the number of instances."""
        return f'<KnownZone {self.name}: {len(self.peers)} instances>'

    @property
    def version(self) -> ZoneVersion:
        """The version of the newest summary; 0 if there is none."""
        if self.summary is None:
            return ZoneVersion(self.name, 0, '')
        return ZoneVersion(
            self.name,
            self.summary.version,
            self.summary.author,
        )

    @property
    def region(self) -> str:
        """The region of the zone; '' if it is not known."""
        return self.peers[0].info.region if self.peers else ''

    @property
    def has_outdated_roster(self) -> bool:
        """Whether the summary names another roster than the known one."""
        return self.summary is not None and self.summary.roster != self.roster


class ZoneDirectory:
    """The newest summary and roster of each zone, up to `MAX_ZONES` zones.

    Args:
        own: this instance.
        clock: the clock that excludes pauses.
    """

    def __init__(self, own: InstanceInfo, clock: PauseExcludingClock) -> None:
        """Initializes the directory without zones."""
        self._own = own
        self._clock = clock
        self._zones: dict[str, KnownZone] = {}

    def __repr__(self) -> str:
        """Returns the number of zones."""
        return f'<ZoneDirectory of {len(self._zones)} zones>'

    @property
    def interval(self) -> timedelta:
        """The time between two summaries of a zone."""
        return max(
            MIN_SUMMARY_INTERVAL,
            SUMMARY_INTERVAL_PER_ZONE * len(self._zones),
        )

    @property
    def silence_limit(self) -> timedelta:
        """The time without a new summary after which a zone is not live."""
        return max(MIN_SILENCE, self.interval * SILENT_INTERVALS)

    @property
    def versions(self) -> tuple[ZoneVersion, ...]:
        """The versions of all known summaries."""
        return tuple(
            zone.version
            for zone in self._zones.values()
            if zone.summary is not None
        )

    @property
    def digest(self) -> int:
        """A hash of all versions and rosters; never 0."""
        text = ' '.join(
            f'{zone.version} {zone.roster}'
            for _, zone in sorted(self._zones.items())
        )
        return xxhash.xxh3_64_intdigest(text.encode()) & DIGEST_MASK or 1

    @property
    def outdated_rosters(self) -> tuple[str, ...]:
        """The zones whose rosters are out of date here."""
        return tuple(
            name
            for name, zone in self._zones.items()
            if zone.has_outdated_roster
        )

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all known zones."""
        return tuple(self._zones)

    @property
    def addresses(self) -> set[str]:
        """The control addresses on the rosters of other zones."""
        return {
            peer.info.control_address
            for zone in self.others()
            for peer in zone.peers
        }

    def others(self) -> list[KnownZone]:
        """Returns the zones other than the own one."""
        return [
            zone for name, zone in self._zones.items() if name != self._own.zone
        ]

    def zone(self, name: str) -> KnownZone | None:
        """Returns a zone, or None if it is not known."""
        return self._zones.get(name)

    def is_stale(self, zone: KnownZone, intervals: int) -> bool:
        """Returns whether no new summary came for some intervals."""
        if zone.roster_confirmed is None:
            return True
        return (
            self._clock.elapsed() - zone.roster_confirmed
            > self.interval * intervals
        )

    def live(self) -> list[Peer]:
        """Returns the instances of all other zones that are live."""
        return [
            peer
            for zone in self.others()
            if self.is_live(zone)
            for peer in zone.peers
        ]

    def is_live(self, zone: KnownZone) -> bool:
        """Returns whether a zone sent a summary within the silence limit."""
        if zone.roster_confirmed is None:
            return False
        return (
            self._clock.elapsed() - zone.roster_confirmed <= self.silence_limit
        )

    def merge_summary(self, summary: ZoneSummary) -> bool:
        """Merges a summary if it is newer; returns whether it was."""
        zone = self._find_or_add(summary.zone)
        if zone is None or not _is_newer(summary, zone.summary):
            return False
        zone.summary = summary
        zone.summary_received = self._clock.elapsed()
        self._update_peers(zone)
        return True

    def merge_roster(self, roster: Roster, *, as_hint: bool = False) -> None:
        """Replaces a zone's roster; a hint only sets one that is missing."""
        zone = self._find_or_add(roster.zone)
        if zone is None or not 0 < len(roster.members) <= MAX_ZONE_MEMBERS:
            return
        if as_hint and zone.peers:
            return
        now = self._clock.elapsed_with_pauses()
        known = {peer.info: peer for peer in zone.peers}
        zone.peers = []
        for member in roster.members:
            peer = known.get(member.info) or Peer(member.info, now)
            peer.record_age(member.age_ms * MILLISECOND, now)
            zone.peers.append(peer)
        zone.roster = hash_roster(peer.info for peer in zone.peers)
        self._update_peers(zone)

    def roster(self, name: str) -> Roster | None:
        """Returns a zone's roster with the present ages, or None."""
        zone = self._zones.get(name)
        if zone is None or not zone.peers:
            return None
        return make_roster(name, zone.peers, self._clock.elapsed_with_pauses())

    def newer_than(
        self,
        versions: Iterable[ZoneVersion],
        always: str,
    ) -> list[ZoneSummary]:
        """Returns the summaries of live zones that are newer than given.

        The summary of the zone `always` is returned also if that zone is
        not live, since its next author has to know the version.
        """
        known = {each.zone: (each.version, each.author) for each in versions}
        return [
            zone.summary
            for zone in self._zones.values()
            if zone.summary is not None
            and (zone.name == always or self.is_live(zone))
            and (zone.summary.version, zone.summary.author)
            > known.get(zone.name, (0, ''))
        ]

    def remove_silent(self) -> None:
        """Drops other zones that sent no summary for `FORGET_AFTER`."""
        oldest = self._clock.elapsed() - FORGET_AFTER
        for zone in self.others():
            if zone.summary_received < oldest:
                self._zones.pop(zone.name)

    def _find_or_add(self, name: str) -> KnownZone | None:
        zone = self._zones.get(name)
        if zone is None and len(self._zones) < MAX_ZONES:
            zone = KnownZone(name, self._clock.elapsed())
            self._zones[name] = zone
        return zone

    def _update_peers(self, zone: KnownZone) -> None:
        summary = zone.summary
        if summary is None:
            return
        if not zone.has_outdated_roster:
            # A new summary must not make instances of an old roster live.
            zone.roster_confirmed = zone.summary_received
        zone.ticket = max(zone.ticket, summary.ticket)
        loads = {each.name: each.loads for each in summary.loads}
        for peer in zone.peers:
            peer.ticket = zone.ticket
            peer.loads = loads.get(peer.info.name, ())
            peer.stopping = peer.info.name in summary.stopping


def make_roster(
    zone: str,
    peers: Iterable[Peer],
    now: timedelta,
) -> Roster:
    """Returns the roster of the given peers with their present ages."""
    members = [
        RosterMember(
            peer.info,
            max(0, (peer.age + now - peer.age_updated) // MILLISECOND),
        )
        for peer in peers
    ]
    members.sort(key=lambda member: member.info.name)
    return Roster(zone, tuple(members))


def hash_roster(infos: Iterable[InstanceInfo]) -> int:
    """Returns a hash of instances in any order; never 0."""
    ordered = sorted(infos, key=lambda info: (info.name, info.incarnation))
    encoded = msgspec.msgpack.encode(ordered)
    return xxhash.xxh3_64_intdigest(encoded) & DIGEST_MASK or 1


def _is_newer(summary: ZoneSummary, known: ZoneSummary | None) -> bool:
    if known is None:
        return True
    return (summary.version, summary.author) > (known.version, known.author)
