"""Look-up answers: which entry instances callers should use."""

import itertools
import random
from collections.abc import Iterator
from datetime import timedelta

import msgspec

from lycheedyke.clock import Clock
from lycheedyke.coordination import Members, TicketLog
from lycheedyke.protocol import InstanceInfo
from lycheedyke.state import free_slots
from lycheedyke_daemon.placement import Placement
from lycheedyke_daemon.routing_table import RoutingTable

MOST_ENTRIES = 3
VARIANTS = 16
REFRESH_INTERVAL = timedelta(milliseconds=250)
MILLISECOND = timedelta(milliseconds=1)
LEAST_WEIGHT = 0.1
SPARE_WEIGHT = 0.001


class _Entry(msgspec.Struct):
    instance: str
    address: str
    incarnation: str
    age_ms: int


class _LookupAnswer(msgspec.Struct):
    entries: list[_Entry]
    ttl_ms: int
    ticket: int


class Lookups:
    """Makes the look-up answers of one instance, ahead of the look-ups.

    For each service and region there are several answers, given in turn. An
    owner is named first in as many as it has a part of the free slots.

    Args:
        log: the configuration in force.
        members: the live instances.
        table: the owners and their load.
        placement: judges the region in which a caller's requests run.
        clock: the time.
    """

    def __init__(
        self,
        log: TicketLog,
        members: Members,
        table: RoutingTable,
        placement: Placement,
        clock: Clock,
    ) -> None:
        """Makes look-ups over the parts of one instance."""
        self._log = log
        self._members = members
        self._table = table
        self._placement = placement
        self._clock = clock
        self._made = timedelta()
        self._ticket = -1
        self._answers: dict[tuple[str, str], Iterator[bytes]] = {}
        self._by_client: dict[tuple[str, str], Iterator[bytes]] = {}

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<Lookups of {self._members.own.name}>'

    def find(self, service: str, client: str) -> bytes:
        """Returns the look-up answer for a service, as JSON.

        Args:
            service: the service.
            client: the IP address of the caller.
        """
        self._drop_old()
        answers = self._by_client.get((service, client))
        if answers is None:
            answers = self._answers_for(service, client)
            self._by_client[service, client] = answers
        return next(answers)

    def _answers_for(self, service: str, client: str) -> Iterator[bytes]:
        place = self._placement.locate(client)
        region = self._placement.destination(service, place)
        answers = self._answers.get((service, region))
        if answers is None:
            answers = itertools.cycle(self._make(service, region))
            self._answers[service, region] = answers
        return answers

    def _drop_old(self) -> None:
        now = self._clock.elapsed()
        is_fresh = now < self._made + REFRESH_INTERVAL
        if is_fresh and self._ticket == self._log.number:
            return
        self._made = now
        self._ticket = self._log.number
        self._answers.clear()
        self._by_client.clear()

    def _make(self, service: str, region: str) -> list[bytes]:
        weights: dict[InstanceInfo, float] = {}
        for target in self._table.targets(service, region):
            free = free_slots(target.load) + LEAST_WEIGHT
            weights[target.owner] = weights.get(target.owner, 0) + free
        for spare in self._spares(region):
            weights.setdefault(spare, SPARE_WEIGHT)
        if not weights:
            weights = {self._members.own: 1}
        return [
            self._encode(service, _choose(weights)) for _ in range(VARIANTS)
        ]

    def _spares(self, region: str) -> Iterator[InstanceInfo]:
        """Yields all instances of a region, which can forward to owners."""
        for name, zone in self._log.configuration.zones.items():
            if zone.region == region:
                yield from self._members.in_zone(name)

    def _encode(self, service: str, infos: list[InstanceInfo]) -> bytes:
        return msgspec.json.encode(
            _LookupAnswer(
                entries=[self._describe(info) for info in infos],
                ttl_ms=self._log.configuration.services[service].answer_ttl_ms,
                ticket=self._log.number,
            ),
        )

    def _describe(self, info: InstanceInfo) -> _Entry:
        age = self._members.age_of(info.incarnation)
        return _Entry(
            instance=info.name,
            address=info.caller_address,
            incarnation=info.incarnation,
            age_ms=age // MILLISECOND,
        )


def _choose(weights: dict[InstanceInfo, float]) -> list[InstanceInfo]:
    """Returns instances in random order, heavy ones more often first."""
    ranked = sorted(
        weights,
        key=lambda info: random.expovariate(weights[info]),
    )
    return ranked[:MOST_ENTRIES]
