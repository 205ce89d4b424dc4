"""Look-up answers: which entry instances callers should use."""

from datetime import timedelta

import msgspec

from lycheedyke.coordination import (
    Admitting,
    Members,
    TicketLog,
    find_admitters,
    owner_of,
)
from lycheedyke.protocol import InstanceInfo

MOST_ENTRIES = 3
ANSWER_TTL = timedelta(seconds=2)
MILLISECOND = timedelta(milliseconds=1)


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
    """Makes the look-up answers of one instance.

    Args:
        log: the configuration in force.
        members: the live instances.
    """

    def __init__(self, log: TicketLog, members: Members) -> None:
        """Makes look-ups over the parts of one instance."""
        self._log = log
        self._members = members

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<Lookups of {self._members.own.name}>'

    def find(self, service: str) -> bytes:
        """Returns the look-up answer for a service, as JSON."""
        entries = self._owners(service) or [self._members.own]
        return msgspec.json.encode(
            _LookupAnswer(
                entries=[self._describe(info) for info in entries],
                ttl_ms=ANSWER_TTL // MILLISECOND,
                ticket=self._log.number,
            ),
        )

    def _owners(self, service: str) -> list[InstanceInfo]:
        configuration = self._log.configuration
        region = self._members.own.region
        found: dict[str, InstanceInfo] = {}
        admitters = find_admitters(self._members)
        for name, upstream in configuration.serving(service).items():
            if configuration.region_of(upstream) != region:
                continue
            for owner in self._owners_of(name, upstream.zone, admitters):
                found[owner.name] = owner
        return list(found.values())[:MOST_ENTRIES]

    def _owners_of(
        self,
        name: str,
        zone: str,
        admitters: dict[str, list[Admitting]],
    ) -> list[InstanceInfo]:
        found = [each.info for each in admitters.get(name, ())]
        if found:
            return found
        proposed = owner_of(name, self._members.in_zone(zone))
        return [proposed] if proposed else []

    def _describe(self, info: InstanceInfo) -> _Entry:
        age = self._members.age_of(info.incarnation)
        return _Entry(
            instance=info.name,
            address=info.caller_address,
            incarnation=info.incarnation,
            age_ms=age // MILLISECOND,
        )
