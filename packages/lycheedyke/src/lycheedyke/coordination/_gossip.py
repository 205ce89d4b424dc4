"""Distributes zone summaries between zones and within a zone."""

import asyncio
import random
from collections import deque
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from lycheedyke.clock import Clock
from lycheedyke.coordination._membership_view import MembershipView
from lycheedyke.coordination._peer_requests import PeerRequester
from lycheedyke.coordination._peers import Peer
from lycheedyke.coordination._seeds import Seeds
from lycheedyke.coordination._summaries import (
    hash_pair,
    own_roster,
    rank,
    sends_requests,
    summarize,
    trim,
)
from lycheedyke.coordination._zones import MAX_ZONES, KnownZone, ZoneDirectory
from lycheedyke.exceptions import ConnectionRefusedByHost
from lycheedyke.protocol import (
    InstanceInfo,
    Roster,
    RosterMember,
    SummariesReply,
    SummariesRequest,
)

REPORTERS = 2
REPORT_CHECK_INTERVAL = timedelta(milliseconds=200)
MIN_FETCH_INTERVAL = timedelta(milliseconds=250)
STALE_INTERVALS = 2
SETTLE_TIME = timedelta(seconds=1)
RECENT_JOINERS = 32


class Gossip:
    """Makes and exchanges zone summaries, and finds zones by seed addresses.

    The first reporter of a zone makes its summary. Both reporters exchange
    summaries with other zones; each zone reports only about itself. Within
    the zone, every instance fetches missing summaries from a random peer.

    Args:
        view: the membership of the own zone.
        directory: holds the summaries and rosters.
        requester: sends the requests.
        clock: measures time and waits.
    """

    def __init__(
        self,
        view: MembershipView,
        directory: ZoneDirectory,
        requester: PeerRequester,
        clock: Clock,
    ) -> None:
        """Initializes the gossip without starting its tasks."""
        self._view = view
        self._directory = directory
        self._requester = requester
        self._clock = clock
        self._seeds = Seeds(clock)
        self._tasks: list[asyncio.Task[None]] = []
        self._exchanges: dict[str, asyncio.Task[None]] = {}
        self._failures: dict[str, int] = {}
        self._roster_wanted_by: set[str] = set()
        self._published = timedelta()
        self._reported: tuple[object, ...] = ()
        self._contacts: dict[str, str] = {}
        self._seed_contacts: list[str] = []
        self._has_joined = False
        self._joiners: dict[str, deque[InstanceInfo]] = {}

    def __repr__(self) -> str:
        """Returns the own name."""
        return f'<Gossip of {self._view.own.name}>'

    def start(self) -> None:
        """Starts the background tasks if they are not running yet."""
        if not self._tasks:
            loops = (self._report, self._fetch, self._contact_seeds)
            self._tasks = [asyncio.create_task(loop()) for loop in loops]

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Adds control addresses at which instances may listen."""
        self._seeds.add(addresses)

    async def close(self) -> None:
        """Cancels all tasks and waits for their end."""
        tasks = [*self._tasks, *self._exchanges.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def publish_now(self) -> None:
        """Makes and reports a summary at once, ahead of the interval."""
        self._publish()
        self._report_to_zones()
        await asyncio.gather(*self._exchanges.values())

    def answer(self, request: SummariesRequest) -> SummariesReply:
        """Merges summaries of another zone; returns those that it lacks."""
        own = self._view.own
        if request.zone != own.zone:
            self._merge_foreign(request)
        newer = self._directory.newer_than(request.versions, request.zone)
        # A roster that is out of date here would not help the requester.
        wanted = set(request.wanted).difference(
            self._directory.outdated_rosters
        )
        rosters = self._rosters(sorted(wanted))
        if request.sender is not None:
            rosters = self._introduce(request.sender)
        if request.zone != own.zone:
            newer = [
                each for each in newer if each.zone in {own.zone, request.zone}
            ]
        return SummariesReply(
            zone=own.zone,
            region=own.region,
            summaries=tuple(trim(each, request.region) for each in newer),
            rosters=tuple(rosters),
            wanted=self._missing_roster_of(request.zone),
            sender=own if request.sender is not None else None,
        )

    def _introduce(self, joiner: InstanceInfo) -> list[Roster]:
        """Returns all rosters, and the recent joiners of the joiner's zone."""
        joiners = self._joiners.get(joiner.zone)
        if joiners is None and len(self._joiners) < MAX_ZONES:
            joiners = deque(maxlen=RECENT_JOINERS)
            self._joiners[joiner.zone] = joiners
        recent = tuple(RosterMember(info, 0) for info in joiners or ())
        if joiners is not None and joiner not in joiners:
            joiners.append(joiner)
        if joiner.zone == self._view.own.zone:
            self._view.start_heartbeats(joiner.control_address)
        rosters = self._rosters(self._directory.names)
        return [*rosters, Roster(joiner.zone, recent)]

    def _missing_roster_of(self, zone: str) -> tuple[str, ...]:
        known = self._directory.zone(zone)
        if zone == self._view.own.zone or known is None:
            return ()
        return (zone,) if known.has_outdated_roster else ()

    def _rosters(self, zones: Iterable[str]) -> list[Roster]:
        found = (self._directory.roster(zone) for zone in zones)
        return [roster for roster in found if roster is not None]

    def _merge_foreign(
        self, message: SummariesRequest | SummariesReply
    ) -> None:
        for summary in message.summaries:
            if summary.zone in {message.zone, self._view.own.zone}:
                self._directory.merge_summary(summary)
        for roster in message.rosters:
            if roster.zone in {message.zone, self._view.own.zone}:
                self._directory.merge_roster(roster)

    async def _report(self) -> None:
        while True:
            await self._clock.sleep(REPORT_CHECK_INTERVAL)
            self._connect_to_roster()
            if self._is_due():
                self._publish()
                self._report_to_zones()
                self._directory.remove_silent()

    def _connect_to_roster(self) -> None:
        known = self._directory.zone(self._view.own.zone)
        for peer in known.peers if known else ():
            self._view.start_heartbeats(peer.info.control_address)

    def _is_due(self) -> bool:
        """Returns whether the interval has passed or the zone has changed."""
        members = [self._view.own, *self._peer_infos()]
        stopping = [peer.stopping for peer in self._view.live_in_zone()]
        own = self._directory.zone(self._view.own.zone)
        changed = (
            {info.incarnation for info in members},
            sum(stopping) + self._view.state.stopping,
            own.summary.roster if own and own.summary else 0,
        )
        passed = self._clock.elapsed() - self._published
        is_due = passed >= self._directory.interval or changed != self._reported
        if is_due:
            self._published = self._clock.elapsed()
            self._reported = changed
        return is_due

    def _peer_infos(self) -> list[InstanceInfo]:
        return [peer.info for peer in self._view.live_in_zone()]

    def _reporters(self) -> list[InstanceInfo]:
        """Returns the reporters of the own zone; the first one publishes."""
        own = self._view.own
        stayers = [
            peer.info for peer in self._view.live_in_zone() if not peer.stopping
        ]
        if not self._view.state.stopping or not stayers:
            stayers.append(own)
        return rank(own.zone, stayers)[:REPORTERS]

    def _publish(self) -> None:
        own = self._view.own
        if not self._is_settled() or self._reporters()[0] != own:
            return
        peers = self._view.live_in_zone()
        state = self._view.state
        roster = own_roster(own, state.age, peers, self._clock.elapsed())
        self._directory.merge_roster(roster)
        known = self._directory.zone(own.zone)
        if known is not None:
            self._directory.merge_summary(
                msgspec.structs.replace(
                    summarize(own, state, peers, self._view.service_of),
                    version=known.version.version + 1,
                    roster=known.roster,
                ),
            )

    def _is_settled(self) -> bool:
        """Returns whether the view of the own zone may be published.

        An instance that publishes before it knows the members of its zone
        would remove the others from the zone's roster.
        """
        if self._view.state.age >= SETTLE_TIME:
            return True
        known = {info.control_address for info in self._peer_infos()}
        return self._has_joined and self._view.addresses <= known

    def _report_to_zones(self) -> None:
        own = self._view.own
        reporters = self._reporters()
        if own in reporters:
            for zone in self._directory.others():
                index = hash_pair(own.zone, zone.name) % len(reporters)
                is_stale = self._directory.is_stale(zone, STALE_INTERVALS)
                is_assigned = reporters[index] == own
                if is_stale or (
                    is_assigned and sends_requests(own.zone, zone.name)
                ):
                    self._start_exchange(zone)
        else:
            self._contacts.clear()
        contacts = {*self._contacts.values(), *self._seed_contacts}
        self._requester.close_others(self._view.addresses | contacts)

    def _start_exchange(self, zone: KnownZone) -> None:
        if zone.name in self._exchanges or not zone.peers:
            return
        task = asyncio.create_task(self._exchange(zone))
        self._exchanges[zone.name] = task
        task.add_done_callback(lambda _: self._exchanges.pop(zone.name, None))

    async def _exchange(self, zone: KnownZone) -> None:
        """Exchanges summaries with a zone, and rosters where they differ."""
        for _ in range(REPORTERS):
            reply = await self._send(
                self._choose_contact(zone),
                self._make_request(zone),
            )
            if reply is None:
                failures = self._failures.get(zone.name, 0)
                self._failures[zone.name] = failures + 1
                return
            self._failures.pop(zone.name, None)
            self._merge_foreign(reply)
            self._roster_wanted_by.discard(zone.name)
            if self._view.own.zone in reply.wanted:
                self._roster_wanted_by.add(zone.name)
            elif not self._wanted_rosters(zone):
                return

    def _choose_contact(self, zone: KnownZone) -> str:
        ranked = rank(zone.name, (peer.info for peer in zone.peers))
        attempt = self._failures.get(zone.name, 0)
        address = ranked[attempt % len(ranked)].control_address
        self._contacts[zone.name] = address
        return address

    def _make_request(self, zone: KnownZone) -> SummariesRequest:
        own = self._view.own
        known = self._directory.zone(own.zone)
        versions = [zone.version]
        summaries = []
        if known is not None and known.summary is not None:
            versions.append(known.version)
            summaries.append(trim(known.summary, zone.region))
        is_wanted = zone.name in self._roster_wanted_by
        return SummariesRequest(
            zone=own.zone,
            region=own.region,
            versions=tuple(versions),
            summaries=tuple(summaries),
            rosters=tuple(self._rosters([own.zone] if is_wanted else [])),
            wanted=self._wanted_rosters(zone),
        )

    def _wanted_rosters(self, zone: KnownZone) -> tuple[str, ...]:
        """Returns the zones whose rosters to request: the other, and the own.

        Another author of the own zone's summary may know instances that
        are unknown here.
        """
        wanted = {zone.name, self._view.own.zone}
        return tuple(
            sorted(wanted.intersection(self._directory.outdated_rosters))
        )

    async def _fetch(self) -> None:
        while True:
            await self._clock.sleep(
                max(MIN_FETCH_INTERVAL, self._directory.interval / 2),
            )
            digest = self._directory.digest
            behind = [
                peer
                for peer in self._view.live_in_zone()
                if peer.digest != digest
            ]
            if behind:
                await self._fetch_from(random.choice(behind))

    async def _fetch_from(self, peer: Peer) -> None:
        own = self._view.own
        reply = await self._send(
            peer.info.control_address,
            SummariesRequest(
                zone=own.zone,
                region=own.region,
                versions=self._directory.versions,
                wanted=self._directory.outdated_rosters,
            ),
        )
        if reply is None or reply.zone != own.zone:
            return
        for summary in reply.summaries:
            self._directory.merge_summary(summary)
        for roster in reply.rosters:
            self._directory.merge_roster(roster)

    async def _contact_seeds(self) -> None:
        while True:
            due = self._seeds.due(self._known_addresses())
            self._seed_contacts = due
            await asyncio.gather(*(self._contact_seed(each) for each in due))
            await self._clock.sleep(MIN_FETCH_INTERVAL)

    def _known_addresses(self) -> set[str]:
        own = self._view.own.control_address
        return {own} | self._view.addresses | self._directory.addresses

    async def _contact_seed(self, address: str) -> None:
        own = self._view.own
        reply = await self._send(
            address,
            SummariesRequest(zone=own.zone, region=own.region, sender=own),
        )
        if reply is None or reply.sender is None:
            return
        self._has_joined = True
        found = reply.sender
        if found.zone == own.zone:
            self._view.start_heartbeats(found.control_address)
        member = Roster(found.zone, (RosterMember(found, 0),))
        for roster in (*reply.rosters, member):
            if roster.zone != own.zone:
                self._directory.merge_roster(roster, as_hint=True)
                continue
            for each in roster.members:
                self._view.start_heartbeats(each.info.control_address)

    async def _send(
        self,
        address: str,
        request: SummariesRequest,
    ) -> SummariesReply | None:
        try:
            reply = await self._requester.request(address, request)
        except ConnectionRefusedByHost:
            return None
        return reply if isinstance(reply, SummariesReply) else None
