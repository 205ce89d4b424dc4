"""Makes the summary and the roster of the own zone."""

from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from typing import NamedTuple

import msgspec
import xxhash

from lycheedyke.coordination._peers import MILLISECOND, Peer
from lycheedyke.coordination._zones import make_roster
from lycheedyke.protocol import (
    InstanceInfo,
    InstanceLoads,
    Roster,
    RosterMember,
    ServiceLoad,
    UpstreamLoad,
    ZoneSummary,
)

MAX_SERVICES = 32


class OwnState(NamedTuple):
    """The state of itself that an instance sends to its zone."""

    ticket: int
    loads: tuple[UpstreamLoad, ...]
    stopping: bool
    age: timedelta


def rank(zone: str, infos: Iterable[InstanceInfo]) -> list[InstanceInfo]:
    """Returns the instances of a zone by rendezvous weight, highest first."""
    return sorted(
        infos,
        key=lambda info: xxhash.xxh3_64_intdigest(
            f'reporter {zone} {info.name}'.encode(),
        ),
        reverse=True,
    )


def sends_requests(own: str, other: str) -> bool:
    """Returns whether this end of a pair of names sends the requests."""
    pair = sorted((own, other))
    return pair[hash_pair(own, other) & 1] == own


def hash_pair(one: str, other: str) -> int:
    """Returns a hash of a pair of names that does not depend on the order."""
    pair = ' '.join(sorted((one, other)))
    return xxhash.xxh3_64_intdigest(pair.encode())


def trim(summary: ZoneSummary, region: str) -> ZoneSummary:
    """Returns the summary without the loads that only its region needs."""
    if region == summary.region:
        return summary
    return msgspec.structs.replace(summary, loads=())


def own_roster(
    own: InstanceInfo,
    age: timedelta,
    peers: Iterable[Peer],
    now: timedelta,
) -> Roster:
    """Returns the roster of the own zone, with the present ages."""
    roster = make_roster(own.zone, peers, now)
    member = RosterMember(own, age // MILLISECOND)
    return Roster(own.zone, (*roster.members, member))


def summarize(
    own: InstanceInfo,
    state: OwnState,
    peers: Sequence[Peer],
    service_of: Callable[[str], str],
) -> ZoneSummary:
    """Returns the summary of the own zone, without version and roster."""
    states = [
        (own.name, state.loads),
        *((peer.info.name, peer.loads) for peer in peers),
    ]
    stopping = [peer.info.name for peer in peers if peer.stopping]
    if state.stopping:
        stopping.append(own.name)
    return ZoneSummary(
        zone=own.zone,
        region=own.region,
        version=0,
        author=own.incarnation,
        roster=0,
        ticket=max(state.ticket, *(peer.ticket for peer in peers), 0),
        headroom=_sum_by_service(
            [load for _, loads in states for load in loads],
            service_of,
        ),
        loads=tuple(
            InstanceLoads(name, loads) for name, loads in states if loads
        ),
        stopping=tuple(sorted(stopping)),
    )


def _sum_by_service(
    loads: Iterable[UpstreamLoad],
    service_of: Callable[[str], str],
) -> tuple[ServiceLoad, ...]:
    sums: dict[str, ServiceLoad] = {}
    for load in loads:
        service = service_of(load.upstream)
        known = sums.get(service, ServiceLoad(service, 0, 0, 0))
        sums[service] = ServiceLoad(
            service,
            known.in_flight + load.in_flight,
            known.waiting + load.waiting,
            known.limit + load.limit,
        )
    return tuple(sums[service] for service in sorted(sums)[:MAX_SERVICES])
