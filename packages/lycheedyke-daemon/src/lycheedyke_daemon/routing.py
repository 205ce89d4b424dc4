"""Picks the upstream that runs a request, and retries where safe."""

import asyncio
import itertools
import random
from collections import Counter, defaultdict
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.protocol import (
    Answered,
    InstanceInfo,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from lycheedyke.state import Counters, RetryBudget
from lycheedyke_daemon.forward import PeerClient
from lycheedyke_daemon.placement import (
    ClientLocation,
    Placement,
    RegionCheckedRunner,
)
from lycheedyke_daemon.routing_table import RoutingTable, Target
from lycheedyke_daemon.work import Work

MAX_ATTEMPTS = 3
SAMPLES = 2
ZONE_HOP_COST = 0.1
REGION_HOP_COST = 0.2
OWNER_PAUSE = timedelta(milliseconds=50)
MOST_OWNER_PAUSES = 40
MOST_PROBES = 3
HOP_MARGIN = timedelta(milliseconds=300)
# The owner changed or the upstream is leaving: nothing was sent to it.
_REROUTED = frozenset((Reason.no_owner, Reason.upstream_leaving))
_NOT_FREE = _REROUTED | {Reason.no_room}
_FINAL = _REROUTED | {
    Reason.byte_budget,
    Reason.deadline_passed,
    Reason.quarantined,
    Reason.shift_cap,
}


class Router:
    """Picks upstreams and runs attempts, locally or at their owners.

    Args:
        own: this instance.
        placement: judges the region in which work runs.
        table: the upstreams and their owners.
        runner: runs work on the own upstreams.
        peers: forwards work to owners.
        clock: the time.
        counters: counts retries by reason.
    """

    def __init__(
        self,
        own: InstanceInfo,
        placement: Placement,
        table: RoutingTable,
        runner: RegionCheckedRunner,
        peers: PeerClient,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Makes a router over the parts of one instance."""
        self._own = own
        self._placement = placement
        self._table = table
        self._runner = runner
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)
        self._sent: Counter[str] = Counter()

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<Router at {self._own.name}>'

    async def run(self, work: Work) -> Outcome:
        """Runs work on some upstream; retries where that is safe."""
        place = self._placement.locate(work.client)
        work = work._replace(home=place.home)
        self._count_first(work)
        region = self._placement.destination(work.service, place)
        outcome = await self._run_in(region, work, place)
        if region != place.home and _is_over_cap(outcome):
            # The owner's share lags behind the share seen here.
            self._counters.count('rerouted.shift-cap')
            outcome = await self._run_in(place.home, work, place)
        return outcome

    async def _run_in(
        self,
        region: str,
        work: Work,
        place: ClientLocation,
    ) -> Outcome:
        tried: set[str] = set()
        outcome: Outcome = self._placement.refuse(work.service, place)
        while found := await self._attempt_any(region, work, tried):
            outcome = found
            is_last = len(tried) >= MAX_ATTEMPTS
            if is_last or not self._may_retry(work, outcome):
                break
        return outcome

    async def _attempt_any(
        self,
        region: str,
        work: Work,
        tried: set[str],
    ) -> Outcome | None:
        """Returns the outcome on an upstream that is still owned."""
        outcome = await self._attempt_free(region, work, tried)
        if outcome is not None:
            return outcome
        for _ in range(MOST_OWNER_PAUSES):
            passed_over: set[str] = set()
            while target := self._pick(region, work, tried | passed_over):
                outcome = await self._attempt(target, work)
                if not self._is_rerouted(outcome):
                    tried.add(target.upstream)
                    return outcome
                passed_over.add(target.upstream)
            if not passed_over or not self._may_pause(work):
                break
            await asyncio.sleep(OWNER_PAUSE.total_seconds())
        return outcome

    async def _attempt_free(
        self,
        region: str,
        work: Work,
        tried: set[str],
    ) -> Outcome | None:
        """Returns the outcome where a slot is free, if that is found soon.

        Counts of other owners are old; asking some of them for a slot at
        once is cheaper than waiting at one while another is free.
        """
        hurried = work._replace(may_wait=False)
        full: set[str] = set()
        for _ in range(MOST_PROBES):
            target = self._pick(region, hurried, tried | full)
            if target is None or target.load.waiting:
                break
            outcome = await self._attempt(target, hurried)
            if not self._is_rerouted(outcome, _NOT_FREE):
                tried.add(target.upstream)
                return outcome
            full.add(target.upstream)
        return None

    def _count_first(self, work: Work) -> None:
        budget = self._budgets[work.service]
        if work.resent:
            self._counters.count('resend')
            budget.acquire()
            return
        self._counters.count('first-attempt')
        budget.add_first_attempt(self._table.retry_share(work.service))

    def _may_pause(self, work: Work) -> bool:
        return self._clock.elapsed() + OWNER_PAUSE < work.deadline

    def _is_rerouted(
        self,
        outcome: Outcome,
        reasons: frozenset[Reason] = _REROUTED,
    ) -> bool:
        if not isinstance(outcome, NotRun) or outcome.reason not in reasons:
            return False
        self._counters.count(f'rerouted.{outcome.reason.value}')
        return True

    def _may_retry(self, work: Work, outcome: Outcome) -> bool:
        match outcome:
            case Answered():
                return False
            case Unknown() if not work.idempotent:
                return False
            case NotRun(reason) if reason in _FINAL:
                return False
            case NotRun(reason) | Unknown(reason):
                pass
        has_token = self._budgets[work.service].acquire()
        kind = 'retry' if has_token else 'retry-refused'
        self._counters.count(f'{kind}.{reason.value}')
        return has_token

    def _pick(
        self,
        region: str,
        work: Work,
        tried: set[str],
    ) -> Target | None:
        targets = [
            target
            for target in self._table.targets(work.service, region)
            if target.upstream not in tried and target.load.limit
        ]
        tiers: defaultdict[float, list[Target]] = defaultdict(list)
        for target in targets:
            tiers[self._hop_cost(target)].append(target)
        finalists = itertools.chain.from_iterable(
            random.sample(tier, min(SAMPLES, len(tier)))
            for tier in tiers.values()
        )
        return min(finalists, key=self._cost, default=None)

    def _hop_cost(self, target: Target) -> float:
        if target.owner == self._own:
            return 0
        if target.owner.zone == self._own.zone:
            return ZONE_HOP_COST
        return REGION_HOP_COST

    def _cost(self, target: Target) -> float:
        load = target.load
        # Work sent from here may not be in the owner's last count yet.
        busy = max(load.in_flight, self._sent[target.upstream]) + load.waiting
        return busy / load.limit + self._hop_cost(target)

    async def _attempt(self, target: Target, work: Work) -> Outcome:
        self._counters.count('attempt')
        self._sent[target.upstream] += 1
        try:
            if target.owner == self._own:
                return await self._runner.run(target.upstream, work)
            return await self._peers.run(
                target.owner,
                work,
                upstream=target.upstream,
                limit=self._reply_limit(work),
            )
        finally:
            self._sent[target.upstream] -= 1

    def _reply_limit(self, work: Work) -> timedelta | None:
        """Returns how long to wait for a peer before asking another one.

        Work that does not wait for a slot ends within the run limit; later
        the peer is cut off or frozen, and idempotent work can go elsewhere.
        """
        if work.may_wait or not work.idempotent:
            return None
        return self._table.run_limit(work.service) + HOP_MARGIN


def _is_over_cap(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason is Reason.shift_cap
