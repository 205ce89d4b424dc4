"""Picks the upstream that runs a request, and retries where safe."""

import asyncio
import random
from typing import NamedTuple

from lycheedyke.coordination import (
    Admitting,
    Members,
    TicketLog,
    find_admitters,
)
from lycheedyke.protocol import (
    Answered,
    InstanceInfo,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from lycheedyke.state import Counters
from lycheedyke_daemon.forward import PeerClient
from lycheedyke_daemon.runner import Runner
from lycheedyke_daemon.work import Work

MAX_ATTEMPTS = 3
MOST_OWNER_PAUSES = 20
OWNER_PAUSE_SECONDS = 0.05


class _Candidate(NamedTuple):
    """An upstream that may run the work, and its owner."""

    upstream: str
    owner: InstanceInfo
    cost: float


class Router:
    """Picks upstreams and runs attempts, locally or at their owners.

    Args:
        log: the configuration in force.
        members: the live instances.
        runner: runs work on the own upstreams.
        peers: forwards work to owners.
        counters: counts retries by reason.
    """

    def __init__(
        self,
        log: TicketLog,
        members: Members,
        runner: Runner,
        peers: PeerClient,
        counters: Counters,
    ) -> None:
        """Makes a router over the parts of one instance."""
        self._log = log
        self._members = members
        self._runner = runner
        self._peers = peers
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<Router at {self._members.own.name}>'

    async def run(self, work: Work) -> Outcome:
        """Runs work on some upstream; retries where that is safe."""
        outcome: Outcome = NotRun(Reason.no_upstream)
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            candidate = await self._pick_owned(work, tried)
            if candidate is None:
                break
            tried.add(candidate.upstream)
            outcome = await self._attempt(candidate, work)
            match outcome:
                case Answered():
                    break
                case Unknown() if not work.idempotent:
                    break
                case NotRun(reason) | Unknown(reason):
                    self._counters.count(f'retry.{reason.value}')
        return outcome

    async def _pick_owned(
        self,
        work: Work,
        tried: set[str],
    ) -> _Candidate | None:
        for _ in range(MOST_OWNER_PAUSES):
            candidate = self._pick(work, tried)
            if candidate is not None or tried or not self._may_get_owner(work):
                return candidate
            await asyncio.sleep(OWNER_PAUSE_SECONDS)
        return None

    def _may_get_owner(self, work: Work) -> bool:
        configuration = self._log.configuration
        return any(
            configuration.region_of(upstream) == self._members.own.region
            for upstream in configuration.serving(work.service).values()
        )

    def _pick(self, work: Work, tried: set[str]) -> _Candidate | None:
        return min(
            self._candidates(work, tried),
            key=lambda candidate: candidate.cost,
            default=None,
        )

    def _candidates(self, work: Work, tried: set[str]) -> list[_Candidate]:
        configuration = self._log.configuration
        admitters = find_admitters(self._members)
        return [
            _Candidate(name, each.info, self._cost(each))
            for name, upstream in configuration.serving(work.service).items()
            for each in admitters.get(name, ())
            if name not in tried
            and configuration.region_of(upstream) == self._members.own.region
        ]

    def _cost(self, admitting: Admitting) -> float:
        load = admitting.load
        hops = self._count_hops(admitting.info)
        busy = (load.in_flight + load.waiting) / load.limit
        return busy + hops * 0.1 + random.random() * 0.05

    def _count_hops(self, owner: InstanceInfo) -> int:
        own = self._members.own
        return (owner != own) + (owner.zone != own.zone)

    async def _attempt(self, candidate: _Candidate, work: Work) -> Outcome:
        if candidate.owner == self._members.own:
            return await self._runner.run(candidate.upstream, work)
        return await self._peers.run(
            candidate.owner,
            work,
            upstream=candidate.upstream,
        )
