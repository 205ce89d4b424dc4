"""Instances that guard upstreams, and tell each other of suspects."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

from lycheedyke.protocol import Outcome
from lycheedyke.state import (
    Counters,
    Suspect,
    Suspects,
    TrialArbiter,
    TrialReply,
    TrialRequest,
)
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.trials import TrialClient
from lycheedyke_daemon.work import Work
from standins.virtual_time import LoopClock

DELAY_SECONDS = 0.002
TIME_LEFT = timedelta(seconds=15)


class GuardedInstance:
    """An instance that sends its reports to its peers after a delay.

    Attributes:
        suspects: the suspects that it knows.
        guard: its guard.
        peers: the other instances.
        delay: the seconds after which reports arrive.
        decides_at: the instance that decides on trials; None for this one.
    """

    def __init__(self) -> None:
        """Initializes an instance without peers."""
        self.suspects = Suspects(LoopClock())
        self.arbiter = TrialArbiter(self.suspects)
        self.guard = CrashGuard(
            self.suspects,
            self._report,
            Counters(),
            TrialClient(self.suspects, self.arbiter, self),
        )
        self.peers: list[GuardedInstance] = []
        self.delay = DELAY_SECONDS
        self.decides_at: GuardedInstance | None = None

    def deciding(self, fingerprint: str) -> list[str]:
        """Returns the one instance that decides."""
        return ['' if self.decides_at is None else 'first']

    async def ask(self, peer: str, request: TrialRequest) -> TrialReply | None:
        """Asks the instance that decides."""
        assert self.decides_at is not None
        await asyncio.sleep(DELAY_SECONDS)
        return self.decides_at.arbiter.decide(request)

    async def _report(self) -> None:
        is_new = True
        while is_new:
            report = self.suspects.report_changes(0)
            await asyncio.sleep(self.delay)
            is_new = any([self._tell(peer, report) for peer in self.peers])

    def _tell(
        self, peer: 'GuardedInstance', report: tuple[Suspect, ...]
    ) -> bool:
        """Tells a peer; returns whether its answer was new."""
        peer.suspects.merge(report)
        return self.suspects.merge(peer.suspects.corrections(report))


def connect(instances: Sequence[GuardedInstance]) -> None:
    """Makes instances peers; the first of them decides on trials."""
    for each in instances:
        each.peers = [peer for peer in instances if peer is not each]
    for each in instances[1:]:
        each.decides_at = instances[0]


class _NoPeers:
    """The peers of an instance that is alone."""

    def deciding(self, fingerprint: str) -> list[str]:
        """Returns this instance."""
        return ['']

    async def ask(self, peer: str, request: TrialRequest) -> TrialReply | None:
        """Raises an error, as there is no peer to ask."""
        raise LookupError(f'instance {peer!r} is not known')


def make_lone_guard(
    suspects: Suspects, report: Callable[[], Awaitable[None]]
) -> CrashGuard:
    """Returns the guard of an instance that is alone."""
    trials = TrialClient(suspects, TrialArbiter(suspects), _NoPeers())
    return CrashGuard(suspects, report, Counters(), trials)


async def run_guarded(
    guard: CrashGuard,
    upstream: str,
    work: Work,
    send: Callable[[], Awaitable[Outcome]],
) -> Outcome:
    """Admits a request, and runs it at an upstream named by its address."""
    async with guard.admit(work, TIME_LEFT) as admission:
        return await guard.run(upstream, upstream, admission, send)
