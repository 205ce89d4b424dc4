"""Lookup answers: the entry instances that callers should use."""

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

MAX_ENTRIES = 3
VARIANTS = 16
REFRESH_INTERVAL = timedelta(milliseconds=250)
MILLISECOND = timedelta(milliseconds=1)
MIN_OWNER_WEIGHT = 0.1
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
    """Prepares and returns the lookup answers of one instance.

    For each service and region, `VARIANTS` answers are encoded in advance and
    returned in turn. The probability that an owner comes first in an answer
    is its share of the free slots.

    Args:
        log: the configuration in force.
        members: the live instances.
        table: the owners of the upstreams and their loads.
        placement: decides in which region the requests of a caller run.
        clock: measures the age of the answers.
    """

    def __init__(
        self,
        log: TicketLog,
        members: Members,
        table: RoutingTable,
        placement: Placement,
        clock: Clock,
    ) -> None:
        """Initializes the lookups without answers."""
        self._log = log
        self._members = members
        self._table = table
        self._placement = placement
        self._clock = clock
        self._refreshed_at = timedelta()
        self._ticket = -1
        self._answers: dict[tuple[str, str], Iterator[bytes]] = {}
        self._by_client: dict[tuple[str, str], Iterator[bytes]] = {}

    def __repr__(self) -> str:
        """Returns the class and the name of the instance."""
        return f'<Lookups of {self._members.own.name}>'

    def find(self, service: str, client: str) -> bytes:
        """Returns the lookup answer for a service, in JSON.

        Args:
            service: the service.
            client: the IP address of the caller.
        """
        self._expire_answers()
        answers = self._by_client.get((service, client))
        if answers is None:
            answers = self._answers_for(service, client)
            self._by_client[service, client] = answers
        return next(answers)

    def _answers_for(self, service: str, client: str) -> Iterator[bytes]:
        location = self._placement.locate(client)
        region = self._placement.destination(service, location)
        answers = self._answers.get((service, region))
        if answers is None:
            answers = itertools.cycle(self._encode_variants(service, region))
            self._answers[service, region] = answers
        return answers

    def _expire_answers(self) -> None:
        now = self._clock.elapsed()
        is_fresh = now < self._refreshed_at + REFRESH_INTERVAL
        if is_fresh and self._ticket == self._log.number:
            return
        self._refreshed_at = now
        self._ticket = self._log.number
        self._answers.clear()
        self._by_client.clear()

    def _encode_variants(self, service: str, region: str) -> list[bytes]:
        weights: dict[InstanceInfo, float] = {}
        for target in self._table.targets(service, region):
            free = free_slots(target.load) + MIN_OWNER_WEIGHT
            weights[target.owner] = weights.get(target.owner, 0) + free
        for spare in self._spares(region):
            weights.setdefault(spare, SPARE_WEIGHT)
        if not weights:
            weights = {self._members.own: 1}
        return [
            self._encode(service, _choose(weights)) for _ in range(VARIANTS)
        ]

    def _spares(self, region: str) -> Iterator[InstanceInfo]:
        """Yields all instances of a region: each can forward to owners."""
        for name, zone in self._log.configuration.zones.items():
            if zone.region == region:
                yield from self._members.in_zone(name)

    def _encode(self, service: str, infos: list[InstanceInfo]) -> bytes:
        return msgspec.json.encode(
            _LookupAnswer(
                entries=[self._entry(info) for info in infos],
                ttl_ms=self._log.configuration.services[service].answer_ttl_ms,
                ticket=self._log.number,
            ),
        )

    def _entry(self, info: InstanceInfo) -> _Entry:
        age = self._members.age_of(info.incarnation)
        return _Entry(
            instance=info.name,
            address=info.caller_address,
            incarnation=info.incarnation,
            age_ms=age // MILLISECOND,
        )


def _choose(weights: dict[InstanceInfo, float]) -> list[InstanceInfo]:
    """Returns up to `MAX_ENTRIES` instances in weighted random order."""
    ranked = sorted(
        weights,
        key=lambda info: random.expovariate(weights[info]),
    )
    return ranked[:MAX_ENTRIES]
