"""Keeps the zone's owner record in the platform up to date."""

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination._membership import Members
from lycheedyke.coordination._owner_ranking import rank
from lycheedyke.coordination._ownership_exchange import ReceivedMessage
from lycheedyke.coordination._ownership_planner import (
    OwnershipPlanner,
    ZoneState,
)
from lycheedyke.coordination._slot_allowance import SlotAllowance
from lycheedyke.exceptions import (
    DocumentMalformed,
    PlatformError,
    WriteConflict,
)
from lycheedyke.protocol import (
    OwnerRecord,
    PlatformClient,
    PlatformEntry,
    SlotGrant,
    SlotUsage,
    decode_owners,
    encode_owners,
    owners_key,
)
from lycheedyke.state import Counters
from lycheedyke.transport import is_connection_refused

RECONCILE_INTERVAL = timedelta(milliseconds=100)
WATCH_WAIT = timedelta(seconds=20)
MIN_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(seconds=5)
PROBE_AFTER = timedelta(milliseconds=600)
PROBE_TIMEOUT = timedelta(milliseconds=500)
WATCHERS = 2
GRANT_PARTS = 4

_logger = logging.getLogger(__name__)


class OwnershipManager:
    """Keeps the zone's owner record at one instance, and writes its changes.

    Args:
        members: the live instances.
        platform: stores the record.
        clock: measures the silence of peers, and waits.
        counters: counts failed writes and incarnations proven ended.
        routes: maps an address to the one to connect to instead; a refusal
            there does not prove that the instance has ended.
    """

    def __init__(
        self,
        members: Members,
        platform: PlatformClient,
        clock: Clock,
        counters: Counters,
        *,
        routes: Mapping[str, str],
    ) -> None:
        """Initializes an empty record and registers with the membership."""
        self.allowance = SlotAllowance(members.own.incarnation, clock)
        self.describe_zone: Callable[[], ZoneState] = self._describe_empty_zone
        self._members = members
        self._platform = platform
        self._clock = clock
        self._counters = counters
        self._routes = routes
        self._key = owners_key(members.own.zone)
        self._backoff = MIN_BACKOFF
        self._probes: dict[str, asyncio.Task[None]] = {}
        members.ownership = self

    def __repr__(self) -> str:
        """Returns the slot allowance."""
        return f'<OwnershipManager: {self.allowance!r}>'

    @property
    def record(self) -> OwnerRecord:
        """The newest owner record that this instance knows."""
        return self.allowance.record

    def newer_record_for(self, incarnation: str) -> OwnerRecord | None:
        """Returns the record if the peer is known to have an older one."""
        return self.allowance.newer_record_for(incarnation)

    def grants(self) -> tuple[SlotGrant, ...]:
        """Returns the slots granted to deputies."""
        return self.allowance.grants()

    def used(self) -> tuple[SlotUsage, ...]:
        """Returns the slots that this instance uses as a deputy."""
        in_flight = self.describe_zone().in_flight
        used = (
            (name, in_flight(name))
            for name in self.allowance.deputy_upstreams()
        )
        return tuple(SlotUsage(name, slots) for name, slots in used if slots)

    def deputy_addresses(self) -> set[str]:
        """Returns the control addresses of the own deputies."""
        return self.allowance.deputy_addresses()

    def receive(self, received: ReceivedMessage) -> None:
        """Applies a received message; called before it is answered."""
        if received.message.owners is not None:
            self._apply(received.message.owners)
        self.allowance.receive(received)

    async def run(self) -> None:
        """Probes silent peers and reconciles the record, until cancelled."""
        while True:
            self._probe_silent()
            try:
                await self.reconcile()
            except WriteConflict:
                self._counters.count('owners.conflict')
                await self._back_off()
            except (PlatformError, DocumentMalformed) as error:
                self._counters.count('owners.unwritten')
                _logger.info('owner record not written: %s', error)
                await self._back_off()
            else:
                self._backoff = MIN_BACKOFF
                await self._clock.sleep(RECONCILE_INTERVAL)

    async def reconcile(self) -> None:
        """Grants slots to preferred owners and writes the permitted changes.

        Raises:
            WriteConflict: another instance wrote first.
            PlatformError: the platform did not answer.
            DocumentMalformed: the stored record cannot be decoded.
        """
        zone = self.describe_zone()
        planner = OwnershipPlanner(self.allowance, zone)
        self._grant_to_deputies(planner, zone)
        if planner.changes():
            await self._write(planner)

    async def watch(self) -> None:
        """Reads the record when it changes, while this instance watches."""
        revision = 0
        while True:
            if not self._is_watcher():
                await self._clock.sleep(MAX_BACKOFF / 2)
                continue
            try:
                revision, entries = await self._platform.watch(
                    self._key,
                    after=revision,
                    wait=WATCH_WAIT,
                )
                self._apply_watched(entries)
            except (PlatformError, DocumentMalformed) as error:
                _logger.info('owner record not read: %s', error)
                revision = 0
                await self._clock.sleep(MAX_BACKOFF * random.uniform(0.1, 1))

    async def close(self) -> None:
        """Cancels all probes and waits for their end."""
        for task in self._probes.values():
            task.cancel()
        await asyncio.gather(*self._probes.values(), return_exceptions=True)

    def _apply_watched(self, entries: list[PlatformEntry]) -> None:
        for entry in entries:
            if entry.key == self._key:
                self._apply(decode_owners(entry.content))

    async def _write(self, planner: OwnershipPlanner) -> None:
        stored, revision = await self._read()
        changes = planner.changes()
        if not changes or stored.epoch != self.allowance.record.epoch:
            return
        record = planner.make_record(changes)
        for name in changes:
            self.allowance.mark_proposed(name)
        await self._platform.replace(
            self._key,
            encode_owners(record),
            revision=revision,
        )
        self._apply(record)

    async def _read(self) -> tuple[OwnerRecord, int]:
        entry = await self._platform.get(self._key)
        if entry is None:
            return OwnerRecord(), 0
        record = decode_owners(entry.content)
        self._apply(record)
        return record, entry.revision

    def _apply(self, record: OwnerRecord) -> None:
        if self.allowance.apply_record(record):
            _logger.info('owner record applied', extra={'epoch': record.epoch})

    def _grant_to_deputies(
        self, planner: OwnershipPlanner, zone: ZoneState
    ) -> None:
        for name, limits in zone.limits.items():
            if not planner.should_hand_over(name):
                continue
            step = -(-limits.slots // GRANT_PARTS)
            free = limits.slots - zone.in_flight(name)
            wanted = min(limits.slots, self.allowance.granted(name) + step)
            reserved = self.allowance.reserve(name, wanted)
            self.allowance.grant(name, min(free, reserved))

    def _probe_silent(self) -> None:
        for incarnation, address in self.allowance.record.addresses.items():
            if incarnation == self._members.own.incarnation:
                continue
            silence = self.allowance.silence(incarnation)
            is_silent = silence is None or silence >= PROBE_AFTER
            is_probed = incarnation in self._probes
            if (
                not is_silent
                or is_probed
                or self.allowance.has_ended(incarnation)
            ):
                continue
            if address not in self._routes:
                self._probes[incarnation] = asyncio.create_task(
                    self._probe(incarnation, address),
                )

    async def _probe(self, incarnation: str, address: str) -> None:
        try:
            if await is_connection_refused(address, timeout=PROBE_TIMEOUT):
                self._counters.count('owners.death-proven')
                self.allowance.record_end(incarnation)
            await self._clock.sleep(PROBE_AFTER)
        finally:
            self._probes.pop(incarnation, None)

    def _is_watcher(self) -> bool:
        own = self._members.own
        ranked = rank(self._key, self._members.in_zone(own.zone))
        return own in ranked[:WATCHERS]

    def _describe_empty_zone(self) -> ZoneState:
        return ZoneState(self._members.own, [], {}, lambda name: 0)

    async def _back_off(self) -> None:
        await self._clock.sleep(self._backoff * random.uniform(0.5, 1))
        self._backoff = min(MAX_BACKOFF, self._backoff * 2)
