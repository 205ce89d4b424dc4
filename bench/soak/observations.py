"""Records of one run of the soak test."""

import time
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import NamedTuple

from bench.soak.echo_upstream import EchoUpstream
from bench.soak.fault_records import InjectedFault, PlannedStop
from bench.soak.load_generator import CallResult
from bench.soak.memory import MemoryUse
from bench.soak.stalls import Stall
from bench.soak.testbed import ConfigWrite

# A fault may affect requests for this long after it has ended.
FAULT_EFFECT_SECONDS = 2.0
# An instance is in touch if it had no fault for this time.
STABLE_SECONDS = 4.0
PROCESS_FAULTS = frozenset(('kill', 'freeze', 'stop', 'signals'))
LINK_FAULTS = frozenset(('link reset', 'link cut', 'link there', 'link back'))
STORE_FAULTS = frozenset(
    ('store down', 'store silent', 'store lose', 'store late')
)


def format_time(at: float) -> str:
    """Returns a time of the monotonic clock as instances log it, to the ms."""
    moment = datetime.fromtimestamp(time.time() - time.monotonic() + at, UTC)
    return moment.strftime('%H:%M:%S.%f')[:-3]


class Observations(NamedTuple):
    """Records of one run of the soak test.

    All times are in seconds of the monotonic clock.

    Attributes:
        results: results of all calls.
        upstreams: all upstreams with the requests that they received.
        injected: the injected faults.
        stops: the planned stops.
        failed_connects: times at which connecting to the caller port of an
            instance failed, by instance.
        crashing_path: the path of the request that crashes upstreams.
        memory: the memory of each process.
        config_writes: all versions of the configuration.
        stalls: the stalls of the soak test itself.
    """

    results: Sequence[CallResult]
    upstreams: Sequence[EchoUpstream]
    injected: Sequence[InjectedFault]
    stops: Sequence[PlannedStop]
    failed_connects: Mapping[str, Sequence[float]]
    crashing_path: str
    memory: Sequence[MemoryUse]
    config_writes: Sequence[ConfigWrite]
    stalls: Sequence[Stall]

    def overlaps_fault(
        self,
        kinds: Sequence[str],
        name: str,
        started: float,
        ended: float,
    ) -> bool:
        """Returns whether a fault or its effects overlap a period.

        Args:
            kinds: prefixes of the kinds of faults to consider.
            name: suffix of the name of the faulted target; '' for all.
            started: start of the period.
            ended: end of the period.
        """
        return any(
            each.kind.startswith(tuple(kinds))
            and (not name or each.name.endswith(name))
            and each.started <= ended
            and started <= each.ended + FAULT_EFFECT_SECONDS
            for each in self.injected
        )

    def stalled_seconds(self, started: float, ended: float) -> float:
        """Returns the time of a period in which the soak test stood still."""
        overlaps = (
            min(each.ended, ended) - max(each.ended - each.seconds, started)
            for each in self.stalls
        )
        return sum(each for each in overlaps if each > 0)

    def is_in_touch(self, name: str, time: float) -> bool:
        """Returns whether bounds on time hold for an instance.

        For `STABLE_SECONDS` its process must have run without faults, the
        links to its callers and to the store must have passed bytes, and the
        store must have worked. Delays are no excuse, nor is a store that
        drops its history, as it may do at any time.
        """
        own_links = (f'callers {name}', f'store {name}')
        return not any(
            (
                (each.kind in PROCESS_FAULTS and each.name == name)
                or (each.kind in LINK_FAULTS and each.name in own_links)
                or each.kind in STORE_FAULTS
            )
            and each.started <= time <= each.ended + STABLE_SECONDS
            for each in self.injected
        )

    def is_excused(
        self, upstream: str, instance: str, told: float, time: float
    ) -> bool:
        """Returns whether faults excuse a request despite what was said.

        Args:
            upstream: the upstream that received the request.
            instance: the instance that sent it.
            told: when the upstream had told the instance what it wants.
            time: when the request arrived.
        """
        return self.is_held_up(upstream, time) or self.overlaps_fault(
            tuple(PROCESS_FAULTS), instance, told, time
        )

    def is_held_up(self, upstream: str, time: float) -> bool:
        """Returns whether the link to an upstream was harmed of late."""
        return any(
            each.kind.startswith('link')
            and each.name == upstream
            and each.started <= time <= each.ended + STABLE_SECONDS
            for each in self.injected
        )
