"""Chooses upstreams for requests, and retries where that is safe."""

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
MAX_OWNER_PAUSES = 40
MAX_PROBES = 3
HOP_MARGIN = timedelta(milliseconds=300)
# The owner has changed or the upstream is leaving: the request was not sent to
# the upstream.
_REROUTED = frozenset((Reason.no_owner, Reason.upstream_leaving))
_NO_FREE_SLOT = _REROUTED | {Reason.no_room}
_NOT_RETRIED = _REROUTED | {
    Reason.byte_budget,
    Reason.deadline_passed,
    Reason.quarantined,
    Reason.shift_cap,
}


class Router:
    """Chooses upstreams and runs attempts, locally or at their owners.

    Args:
        own: this instance.
        placement: decides in which region work runs.
        table: the upstreams and their owners.
        runner: runs work on the upstreams of this instance.
        peers: forwards work to owners.
        clock: measures deadlines.
        counters: counts attempts, and retries and reroutes by reason.
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
        """Initializes the router."""
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
        """Returns the class and the name of the instance."""
        return f'<Router at {self._own.name}>'

    async def run(self, work: Work) -> Outcome:
        """Returns the outcome of work; retries where that is safe."""
        location = self._placement.locate(work.client)
        work = work._replace(home=location.home)
        self._count_request(work)
        region = self._placement.destination(work.service, location)
        outcome = await self._run_in(region, work, location)
        if region != location.home and _is_refused_by_cap(outcome):
            # The share of the shift at the owner lags behind the share here.
            self._counters.count('rerouted.shift-cap')
            outcome = await self._run_in(location.home, work, location)
        return outcome

    async def _run_in(
        self,
        region: str,
        work: Work,
        location: ClientLocation,
    ) -> Outcome:
        tried: set[str] = set()
        outcome: Outcome = self._placement.refuse(work.service, location)
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
        """Returns the outcome of an attempt, or None if there is no upstream.

        Work is refused where the owner has changed or the upstream is
        leaving, and goes to another upstream. If all refuse, the search is
        repeated up to `MAX_OWNER_PAUSES` times within the deadline.
        """
        outcome = await self._attempt_free(region, work, tried)
        if outcome is not None:
            return outcome
        for _ in range(MAX_OWNER_PAUSES):
            rerouted_from: set[str] = set()
            while target := self._choose(region, work, tried | rerouted_from):
                outcome = await self._attempt(target, work)
                if not self._is_rerouted(outcome):
                    tried.add(target.upstream)
                    return outcome
                rerouted_from.add(target.upstream)
            if not rerouted_from or not self._may_pause(work):
                break
            await asyncio.sleep(OWNER_PAUSE.total_seconds())
        return outcome

    async def _attempt_free(
        self,
        region: str,
        work: Work,
        tried: set[str],
    ) -> Outcome | None:
        """Returns the outcome at an upstream with a free slot, or None.

        The known loads of upstreams of other owners are out of date. Trying
        up to `MAX_PROBES` of them without waiting is cheaper than waiting
        for a slot at one while another has a free slot.
        """
        without_wait = work._replace(may_wait=False)
        full: set[str] = set()
        for _ in range(MAX_PROBES):
            target = self._choose(region, without_wait, tried | full)
            if target is None or target.load.waiting:
                break
            outcome = await self._attempt(target, without_wait)
            if not self._is_rerouted(outcome, _NO_FREE_SLOT):
                tried.add(target.upstream)
                return outcome
            full.add(target.upstream)
        return None

    def _count_request(self, work: Work) -> None:
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
            case NotRun(reason) if reason in _NOT_RETRIED:
                return False
            case NotRun(reason) | Unknown(reason):
                pass
        is_granted = self._budgets[work.service].acquire()
        kind = 'retry' if is_granted else 'retry-refused'
        self._counters.count(f'{kind}.{reason.value}')
        return is_granted

    def _choose(
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
        candidates = itertools.chain.from_iterable(
            random.sample(tier, min(SAMPLES, len(tier)))
            for tier in tiers.values()
        )
        return min(candidates, key=self._cost, default=None)

    def _hop_cost(self, target: Target) -> float:
        if target.owner == self._own:
            return 0
        if target.owner.zone == self._own.zone:
            return ZONE_HOP_COST
        return REGION_HOP_COST

    def _cost(self, target: Target) -> float:
        load = target.load
        # The last load from the owner may not include work sent from here.
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
        """Returns how long to wait for a peer, or None until the deadline.

        Work that does not wait for a slot ends within the run limit. A peer
        that has not replied after that time is unreachable or hangs, and
        idempotent work can be sent to another peer.
        """
        if work.may_wait or not work.idempotent:
            return None
        return self._table.run_limit(work.service) + HOP_MARGIN


def _is_refused_by_cap(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason is Reason.shift_cap
