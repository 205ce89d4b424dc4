"""Finds out whether lost upstreams can be reached again.

A refused connection, or the answer of another upstream, is news of one moment.
The record of the upstream does not change if it ran all the while. So a lost
upstream is tried with a connection that carries no request, after pauses that
grow. If it is accepted, the upstream gets single requests until it answers one.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Iterable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.exceptions import ConnectError
from lycheedyke.state import Counters, UpstreamState, UpstreamTable
from lycheedyke.transport import probe
from lycheedyke_daemon.gateway._registry_view import RegistryView

TRIAL_INTERVAL = timedelta(milliseconds=250)
CONNECT_TIMEOUT = timedelta(milliseconds=500)
# The connections that this instance opens in one interval.
MAX_TRIALS = 8
# Of a service without any other upstream, one that is lost is tried in each
# interval, but none more often than this.
MIN_RETRY = timedelta(milliseconds=500)
# Once a lost upstream has answered a request, others of its service or zone are
# tried within this time.
HASTENED_WITHIN_SECONDS = 1.0


class LostUpstreams:
    """Tries the upstreams of the table that are lost.

    Args:
        table: the upstreams.
        registry_view: tells how long the upstreams of a service are cold.
        counters: counts trials.
        clock: the time source.
    """

    def __init__(
        self,
        table: UpstreamTable,
        registry_view: RegistryView,
        counters: Counters,
        clock: Clock,
    ) -> None:
        """Initializes the trials; `run` makes them."""
        self._table = table
        self._registry_view = registry_view
        self._counters = counters
        self._clock = clock
        self._reached: list[UpstreamState] = []

    def __repr__(self) -> str:
        """Returns the number of lost upstreams."""
        return f'<LostUpstreams: {len(self._table.lost())}>'

    async def run(self) -> None:
        """Tries lost upstreams when their trials are due, until cancelled."""
        while True:
            await self._clock.sleep(TRIAL_INTERVAL)
            await self.try_due()

    async def try_due(self) -> None:
        """Tries the lost upstreams whose trials are due."""
        self._hasten_after_answers()
        await asyncio.gather(*map(self._try, self._due()))

    def _due(self) -> list[UpstreamState]:
        """Returns the upstreams to try now, those that wait longest first."""
        now = self._clock.elapsed()
        lost = self._table.lost()
        due = {
            state.record.name: state
            for state in lost
            if _retry_at(state) <= now
        }
        for state in self._urgent(lost):
            due.setdefault(state.record.name, state)
        return sorted(due.values(), key=_retry_at)[:MAX_TRIALS]

    def _urgent(self, lost: Iterable[UpstreamState]) -> list[UpstreamState]:
        """Returns one upstream of each service that has no other upstream."""
        latest = self._clock.elapsed() - MIN_RETRY
        by_service: defaultdict[str, list[UpstreamState]] = defaultdict(list)
        for state in lost:
            if _tried_at(state) <= latest:
                by_service[state.record.service].append(state)
        return [
            min(states, key=_tried_at)
            for service, states in by_service.items()
            if not self._table.serving(service)
        ]

    async def _try(self, state: UpstreamState) -> None:
        tried_at = _tried_at(state)
        try:
            await probe(state.record.address, timeout=CONNECT_TIMEOUT)
        except ConnectError:
            self._counters.count('upstream.trial-failed')
            # A new record may have ended the loss meanwhile.
            if _tried_at(state) == tried_at:
                state.extend_loss()
            return
        self._counters.count('upstream.trial-passed')
        if _tried_at(state) == tried_at:
            state.end_loss(self._cold(state.record.service))
            self._reached.append(state)

    def _cold(self, service: str) -> timedelta:
        """Returns how long an upstream of a service is cold after its start."""
        table = self._registry_view.table
        terms = table.services.get(service) if table else None
        return terms.cold if terms and terms.cold_per_s else timedelta()

    def _hasten_after_answers(self) -> None:
        """Hastens the trials beside upstreams that have answered a request.

        An accepted connection does not count: another upstream may listen at
        the address.
        """
        reached = [state for state in self._reached if state.loss is None]
        for state in reached:
            if not state.is_unproven:
                self._hasten_others(state)
        self._reached = [
            each
            for each in reached
            if each.is_unproven and self._table.is_serving(each)
        ]

    def _hasten_others(self, found: UpstreamState) -> None:
        """Brings forward the trials of upstreams that may be back as well."""
        now = self._clock.elapsed()
        for state in self._table.lost():
            if _is_related(state, found):
                wait_s = random.uniform(0, HASTENED_WITHIN_SECONDS)
                state.hasten_trial(now + timedelta(seconds=wait_s))


def _is_related(state: UpstreamState, other: UpstreamState) -> bool:
    record = state.record
    return (
        record.service == other.record.service
        or record.zone == other.record.zone
    )


def _retry_at(state: UpstreamState) -> timedelta:
    return state.loss.retry_at if state.loss else timedelta.max


def _tried_at(state: UpstreamState) -> timedelta:
    return state.loss.tried_at if state.loss else timedelta.max
