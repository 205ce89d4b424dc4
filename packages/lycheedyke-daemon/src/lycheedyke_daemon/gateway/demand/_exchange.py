"""Reports the requests of this instance, and exchanges totals of zones."""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Collection, Iterable
from datetime import timedelta
from typing import Protocol

import xxhash
from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.protocol import EntryRecord
from lycheedyke.state import Counters
from lycheedyke.state.demand import (
    ArrivalCounts,
    DemandTotals,
    ZoneReports,
    ZoneTotal,
)
from lycheedyke_daemon.gateway.demand._messages import (
    DemandNotUnderstood,
    decode_instance,
    decode_totals,
    encode_instance,
    encode_totals,
)

REPORTS_PATH = '/v1/demand/reports'
TOTALS_PATH = '/v1/demand/totals'
INTERVAL = timedelta(milliseconds=500)
# After so many messages in a row without an answer, an instance is taken as
# lost. Its last reports still count then, so that single lost messages do not
# divide the reports of a zone among two aggregators.
MAX_UNANSWERED = 4
# How often a report is sent, if it is not answered.
MAX_SENT = 2
# With so many other zones each aggregator exchanges its totals in an interval.
# Totals reach 22 zones in two intervals.
PARTNERS = 3
# How long an instance that is taken as lost is not asked again.
SILENT_PAUSE = timedelta(seconds=2)

_logger = logging.getLogger(__name__)


class Peers(Protocol):
    """Sends messages to the other entry instances."""

    def peers(self) -> list[EntryRecord]:
        """Returns the other entry instances that are not leaving."""

    async def send(self, address: str, path: str, body: bytes) -> bytes | None:
        """Sends a message; returns the answer, or None if there was none."""


class DemandExchange:
    """Exchanges how many requests arrive at the instances of each zone.

    The first instance of a zone that answers, in rendezvous order, aggregates
    the reports of the zone. Aggregators exchange all totals that they know.

    Args:
        own: this instance.
        arrivals: counts the requests that arrive at this instance.
        peers: sends messages to the other entry instances.
        zones: the zones of the deployment.
        counters: counts messages that can't be read.
        clock: the time source.
    """

    def __init__(
        self,
        own: EntryRecord,
        arrivals: ArrivalCounts,
        peers: Peers,
        zones: Collection[str],
        counters: Counters,
        clock: Clock,
    ) -> None:
        """Starts without totals; `run` reports and exchanges them."""
        self._own = own
        self._arrivals = arrivals
        self._peers = peers
        self._counters = counters
        self._clock = clock
        self._reports = ZoneReports(own.zone)
        self._totals = DemandTotals(zones)
        self._unanswered: Counter[str] = Counter()
        self._silent_until: dict[str, timedelta] = {}
        self._aggregator = ''

    def __repr__(self) -> str:
        """Returns the known totals."""
        return f'<DemandExchange with {self._totals!r}>'

    def totals(self) -> list[ZoneTotal]:
        """Returns the known totals that are not too old."""
        now = self._clock.elapsed()
        own = self._reports.total(now)
        if own is not None:
            self._totals.merge((own,), now)
        return self._totals.current(now)

    async def run(self) -> None:
        """Reports and exchanges demand, until cancelled."""
        while True:
            await self._clock.sleep(INTERVAL)
            await asyncio.gather(self.report(), self.exchange())

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [
            web.post(REPORTS_PATH, self._handle_report),
            web.post(TOTALS_PATH, self._handle_totals),
        ]

    async def report(self) -> None:
        """Reports the requests of this instance to the zone's aggregator."""
        rates = self._arrivals.rates(self._clock.elapsed())
        body = encode_instance(self._own.name, self._own.zone, rates)
        own_zone = [
            each for each in self._peers.peers() if each.zone == self._own.zone
        ]
        aggregator = self._first((*own_zone, self._own))
        if aggregator.name == self._own.name:
            self._reports.add(self._own.name, rates, self._clock.elapsed())
        elif not await self._deliver(aggregator, body):
            self._counters.count('demand.not-reported')
            return
        self._log_aggregator(aggregator)

    async def exchange(self) -> None:
        """Exchanges totals with other zones if this instance aggregates."""
        if self._reports.total(self._clock.elapsed()) is None:
            return
        by_zone: dict[str, list[EntryRecord]] = {}
        for peer in self._peers.peers():
            if peer.zone != self._own.zone:
                by_zone.setdefault(peer.zone, []).append(peer)
        chosen = random.sample(sorted(by_zone), min(PARTNERS, len(by_zone)))
        body = encode_totals(self.totals(), self._clock.elapsed())
        await asyncio.gather(
            *(
                self._send(self._first(by_zone[zone]), TOTALS_PATH, body)
                for zone in chosen
            )
        )

    def _first(self, instances: Iterable[EntryRecord]) -> EntryRecord:
        """Returns the first instance that is not taken as lost, if any."""
        now = self._clock.elapsed()
        self._silent_until = {
            name: until
            for name, until in self._silent_until.items()
            if now < until
        }
        return min(
            instances,
            key=lambda each: (
                each.incarnation in self._silent_until,
                *_rank(each),
            ),
        )

    async def _deliver(self, aggregator: EntryRecord, body: bytes) -> bool:
        """Sends a report, again if it is not answered."""
        for _ in range(MAX_SENT):
            if await self._send(aggregator, REPORTS_PATH, body):
                return True
        return False

    async def _send(self, peer: EntryRecord, path: str, body: bytes) -> bool:
        """Sends a message; merges the totals of the answer."""
        answer = await self._peers.send(peer.peer_address, path, body)
        now = self._clock.elapsed()
        try:
            if answer is not None:
                self._totals.merge(decode_totals(answer, now), now)
                self._unanswered.pop(peer.incarnation, None)
                return True
        except DemandNotUnderstood:
            self._counters.count('news.not-heard')
        self._unanswered[peer.incarnation] += 1
        if self._unanswered[peer.incarnation] >= MAX_UNANSWERED:
            self._unanswered.pop(peer.incarnation)
            self._silent_until[peer.incarnation] = now + SILENT_PAUSE
        return False

    def _log_aggregator(self, aggregator: EntryRecord) -> None:
        if self._aggregator == aggregator.name:
            return
        self._aggregator = aggregator.name
        _logger.info('demand reported', extra={'peer': aggregator.name})

    async def _handle_report(self, request: web.Request) -> web.Response:
        try:
            report = decode_instance(await request.read())
        except DemandNotUnderstood as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        now = self._clock.elapsed()
        if report.zone == self._own.zone:
            self._reports.add(report.instance, report.rates, now)
        return web.Response(body=encode_totals(self.totals(), now))

    async def _handle_totals(self, request: web.Request) -> web.Response:
        now = self._clock.elapsed()
        try:
            totals = decode_totals(await request.read(), now)
        except DemandNotUnderstood as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._totals.merge(totals, now)
        return web.Response(body=encode_totals(self.totals(), now))


def _rank(instance: EntryRecord) -> tuple[int, str]:
    digest = xxhash.xxh3_64_intdigest(f'demand {instance.name}'.encode())
    return digest, instance.name
