"""Ranks the instances that may own an upstream, and finds the admitting ones."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from lycheedyke.coordination._membership import Members
from lycheedyke.protocol import InstanceInfo, UpstreamLoad


class AdmittingInstance(NamedTuple):
    """An instance that admits work to an upstream, and its counts there."""

    info: InstanceInfo
    load: UpstreamLoad


def owner_of(
    upstream: str,
    instances: Iterable[InstanceInfo],
) -> InstanceInfo | None:
    """Returns the instance with the highest rendezvous weight, or None.

    Args:
        upstream: the name of the upstream.
        instances: the live instances of the upstream's zone.
    """
    return next(iter(rank(upstream, instances)), None)


def rank(
    upstream: str,
    instances: Iterable[InstanceInfo],
) -> list[InstanceInfo]:
    """Returns the instances by rendezvous weight, the highest first."""
    return sorted(
        instances,
        key=lambda info: _weigh(upstream, info),
        reverse=True,
    )


def find_admitting_instances(
    members: Members,
) -> dict[str, list[AdmittingInstance]]:
    """Returns, by upstream, the live instances that admit work to it now.

    These are the owner and, while it takes over, the deputy, according to
    the counts that they report.
    """
    found: dict[str, list[AdmittingInstance]] = {}
    reported = [(peer.info, peer.loads) for peer in members.live()]
    reported.append((members.own, members.loads()))
    for info, loads in reported:
        for load in loads:
            if load.limit:
                admitting = AdmittingInstance(info, load)
                found.setdefault(load.upstream, []).append(admitting)
    return found


def _weigh(upstream: str, info: InstanceInfo) -> int:
    return xxhash.xxh3_64_intdigest(f'{upstream} {info.name}'.encode())
