"""Keeps the replica up to date: from the registry, or else from peers.

One of all instances, the head, polls the registry. One instance of each zone,
its watcher, polls the head, and the others poll their watcher; so the number
of calls to the registry grows neither with instances nor with zones. An
instance that gets no recent updates that way polls the registry itself. An
instance without any updates polls peers of all zones. A starting instance reads
everything from a seed, as reading the whole registry takes many calls.
"""

import logging
import random
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination._follow_intervals import (
    DEFAULT_INTERVALS,
    FollowIntervals,
)
from lycheedyke.coordination._replica import Replica
from lycheedyke.coordination._update_sources import (
    UpdateSources,
    deferral_of,
    silence_of,
)
from lycheedyke.coordination.configurations import (
    REGISTRY,
    ConfigurationArrivals,
    Transfer,
)
from lycheedyke.exceptions import (
    HistoryLost,
    PlatformError,
    PlatformStale,
    WatchInterrupted,
)
from lycheedyke.protocol import (
    ItemBatch,
    Registry,
    RegistryUpdate,
    RoutingRecord,
)

_logger = logging.getLogger(__name__)

ZERO = timedelta()
MILLISECOND = timedelta(milliseconds=1)
MAX_DOUBLINGS = 8
# A call may fail while the registry answers others.
FAILURES_OF_OUTAGE = 2
# Interrupted watches are logged at most once in this time.
INTERRUPTION_LOG_INTERVAL = timedelta(seconds=1)


def _never_paused(span: timedelta) -> timedelta:
    return timedelta()


class RegistryFollower:
    """Reads a registry into a replica.

    Args:
        registry: the registry.
        replica: the copy to keep up to date.
        peers: the other entry instances.
        clock: measures time and waits.
        intervals: how often to poll.
        longest_pause: returns the longest recent pause of this process, for
            the log.
        paused_within: returns how long this process stood still within the
            last time of the given length.

    Attributes:
        arrivals: remembers where configurations came from.
    """

    def __init__(
        self,
        registry: Registry,
        replica: Replica,
        peers: UpdateSources,
        clock: Clock,
        intervals: FollowIntervals = DEFAULT_INTERVALS,
        longest_pause: Callable[[], timedelta] = timedelta,
        paused_within: Callable[[timedelta], timedelta] = _never_paused,
    ) -> None:
        """Initializes the follower; its first poll reads everything."""
        self.arrivals = ConfigurationArrivals(clock)
        self._registry = registry
        self._replica = replica
        self._peers = peers
        self._clock = clock
        self._intervals = intervals
        self._longest_pause = longest_pause
        self._paused_within = paused_within
        self._updated = clock.elapsed()
        self._started = self._updated
        self._answered = self._updated
        self._has_full_state = False
        self._has_asked_peers = False
        self._failed_since: timedelta | None = None
        self._failures = 0
        self._failures_since_answer = 0
        self._unanswered_since = ZERO
        self._interruptions = 0
        self._interruption_logged_at = -INTERRUPTION_LOG_INTERVAL
        self._retry_at = timedelta()

    @property
    def age(self) -> timedelta:
        """The age of the last update from the registry.

        While the registry refuses this instance's calls, the age is at
        least the one from which other instances poll the registry
        themselves.
        """
        age = self._clock.elapsed() - self._updated
        if self._failed_since is None:
            return age
        return max(age, self._intervals.silence)

    @property
    def configuration_awaited(self) -> timedelta:
        """How long a later configuration has been known and lacked."""
        return self._replica.awaited.waited

    @property
    def silence(self) -> timedelta:
        """An upper bound of the time since the registry answered any instance.

        Unlike `age`, it does not shrink by the time that updates take which
        instances pass on to each other in an outage.
        """
        return self._clock.elapsed() - self._answered

    def __repr__(self) -> str:
        """Returns the replica."""
        return f'<RegistryFollower of {self._replica!r}>'

    async def follow(self) -> None:
        """Follows the registry or a peer that follows it, until cancelled."""
        await self._read_seeds()
        while True:
            await self._clock.sleep(await self._poll())

    async def follow_peers(self) -> None:
        """Polls peers while updates are missing, until cancelled."""
        while True:
            await self._clock.sleep(self._intervals.retry)
            # The owner of a record can't write it while nothing is answered.
            self._replica.remove_lapsed(self._answered)
            if not self._needs_peers:
                continue
            asked = self._clock.elapsed()
            for update in await self._peers.poll_sample(self._replica.position):
                self._merge(update, asked)
            self._has_asked_peers = self._replica.revision > 0

    @property
    def _needs_peers(self) -> bool:
        """Whether peers may know what this instance does not.

        A new process does not know of an outage that has just ended, and
        peers can refute one that only this instance has suffered.
        """
        is_new = self._replica.revision > 0 and not self._has_asked_peers
        if self._failed_since is not None or is_new:
            return True
        if self._replica.deferral.left:
            return True
        return not self._is_recent(self._updated)

    async def _read_seeds(self) -> None:
        """Reads everything from a seed, if one has it soon enough."""
        end = self._started + self._intervals.start
        while self._peers.has_seeds and self._clock.elapsed() < end:
            asked = self._clock.elapsed()
            update = await self._peers.poll_seeds()
            if update is not None:
                self._merge(update, asked)
                return
            await self._clock.sleep(self._intervals.seed)

    async def _poll(self) -> timedelta:
        """Polls once; returns the delay until the next poll."""
        asked = self._clock.elapsed()
        update = await self._peers.poll_source(self._replica.position)
        if update is not None and self._merge(update, asked):
            self._record_recovery()
            return self._poll_interval * random.uniform(0.9, 1.1)
        if update is not None and self._is_left_to_source():
            return self._intervals.retry
        polled = self._clock.elapsed()
        if polled < self._retry_at:
            return min(self._poll_interval, self._retry_at - polled)
        try:
            await self._read_registry()
        except PlatformError as error:
            self._record_failure(error, polled)
            return min(
                self._poll_interval, self._retry_at - self._clock.elapsed()
            )
        self._record_recovery()
        took = self._clock.elapsed() - polled
        return max(self._intervals.registry - took, MILLISECOND)

    def _is_left_to_source(self) -> bool:
        """Whether to wait for a source that answers with old news.

        A watcher with old news reads the registry itself, so that an answer
        which all instances of its zone need is read once.
        """
        age = self._clock.elapsed() - self._updated
        longest = self._intervals.silence + self._intervals.source
        return not self._peers.is_watcher and age < longest

    @property
    def _poll_interval(self) -> timedelta:
        if self._peers.is_watcher:
            return self._intervals.head
        return self._intervals.watcher

    def _merge(self, update: RegistryUpdate, asked: timedelta) -> bool:
        """Merges a peer's update; returns whether it is recent.

        Args:
            update: the update.
            asked: when the peer was asked for it.

        What a peer knows of an earlier generation is out of date. The
        registry may have stated a later one when the announcement was renewed.
        """
        known = self._replica.position.generation
        if update.batch.generation < max(known, self._registry.generation):
            return False
        as_of = self._clock.elapsed() - update.age_ms * MILLISECOND
        answered = asked - silence_of(update) - MILLISECOND
        told = deferral_of(update, asked, answered)
        self._record_answered(answered)
        # Before the changes, which may be removals to defer, and after them,
        # as they may tell of a later generation.
        self._replica.merge_deferral(told, update.batch.generation)
        self._replica.merge(update.batch, update.configurations)
        self._replica.merge_deferral(told, update.batch.generation)
        self._replica.adopt_configurations(update.held)
        self._updated = max(self._updated, as_of)
        self._has_full_state = (
            self._has_full_state or self._replica.revision > 0
        )
        return self._is_recent(as_of)

    def _is_recent(self, as_of: timedelta) -> bool:
        return self._clock.elapsed() - as_of < self._intervals.silence

    async def _read_registry(self) -> None:
        changes = await self._watch() if self._has_full_state else None
        if changes is not None:
            self._record_answer()
            self._record_arrivals(changes)
            self._replica.merge(changes)
            return
        self._has_full_state = False
        batch = await self._registry.read_all()
        self._check_generation(batch)
        self._record_answer()
        self._record_arrivals(batch)
        self._replica.merge_full_state(batch)
        self._has_full_state = True

    def _record_arrivals(self, batch: ItemBatch) -> None:
        """Records the configurations in the last answer of the registry."""
        for item in batch.items:
            if isinstance(item.record, RoutingRecord):
                size, took = self._registry.last_answer
                self.arrivals.receive(
                    item.revision, Transfer(REGISTRY, size, took)
                )

    async def _watch(self) -> ItemBatch | None:
        """Returns the next changes, or None if the full state is needed."""
        after = self._replica.position
        try:
            batch = await self._watch_after(after.revision)
        except HistoryLost:
            _logger.info('history lost', extra={'revision': after.revision})
            return None
        self._check_generation(batch)
        return batch if batch.generation == after.generation else None

    async def _watch_after(self, revision: int) -> ItemBatch:
        """Returns the next changes; asks again if a watch was interrupted.

        A call that does not wait is not cut, so it tells at once whether the
        registry still answers.
        """
        polled = self._clock.elapsed()
        try:
            return await self._registry.watch(revision, self._intervals.wait)
        except WatchInterrupted as error:
            cause = error
        self._count_failure(polled)
        batch = await self._registry.watch(revision, ZERO)
        self._log_interruption(revision, cause)
        return batch

    def _check_generation(self, batch: ItemBatch) -> None:
        """Rejects a late answer from before the registry was restored."""
        known = self._replica.position.generation
        if batch.generation < known:
            raise PlatformStale(
                f'registry answered from generation {batch.generation}, '
                f'and {known} is known',
            )

    def _record_answer(self) -> None:
        """Records an answer of the registry, before it is merged."""
        if self._was_away():
            self._replica.record_outage(self.silence)
        self._updated = self._clock.elapsed()
        self._record_answered(self._updated)

    def _was_away(self) -> bool:
        """Returns whether the registry was away until this answer.

        A single call that fails is no sign of it, nor is a pause of this
        process, nor calls that fail here while peers are answered. Removals
        then take effect at once, as an upstream serves only for a short time
        after its removal.
        """
        if self._failures_since_answer < FAILURES_OF_OUTAGE:
            return False
        paused = self._paused_within(self.silence)
        return self.silence - paused >= self._intervals.silence

    def _record_answered(self, answered: timedelta) -> None:
        """Records that the registry answered this instance or a peer.

        Args:
            answered: when it did, or an earlier time.
        """
        deferral = self._replica.deferral
        deferral.record_first_answer()
        if answered - self._answered >= self._intervals.silence:
            deferral.record_gap()
        self._answered = max(self._answered, answered)
        if answered > self._unanswered_since:
            self._failures_since_answer = 0

    def _record_recovery(self) -> None:
        if self._failed_since is None:
            return
        unreachable_for = self._clock.elapsed() - self._failed_since
        self._failures = 0
        self._failed_since = None
        _logger.info(
            'registry regained',
            extra={'away_s': unreachable_for.total_seconds()},
        )

    def _record_failure(self, error: PlatformError, polled: timedelta) -> None:
        self._count_failure(polled)
        delay = self._intervals.retry
        if not self._peers.is_watcher:
            delay *= 2 ** min(self._failures, MAX_DOUBLINGS)
            delay = min(delay, self._intervals.max_retry)
        self._retry_at = self._clock.elapsed() + (
            delay * random.uniform(0.5, 1.5)
        )
        self._failures += 1
        if self._failed_since is not None:
            return
        self._failed_since = self._clock.elapsed()
        _logger.warning(
            'registry lost',
            extra={
                'error': str(error),
                'paused_ms': self._longest_pause() // MILLISECOND,
            },
        )

    def _count_failure(self, polled: timedelta) -> None:
        if not self._failures_since_answer:
            self._unanswered_since = polled
        self._failures_since_answer += 1

    def _log_interruption(self, revision: int, error: WatchInterrupted) -> None:
        self._interruptions += 1
        now = self._clock.elapsed()
        if now < self._interruption_logged_at + INTERRUPTION_LOG_INTERVAL:
            return
        self._interruption_logged_at = now
        _logger.info(
            'watch interrupted',
            extra={
                'revision': revision,
                'error': str(error),
                'count': self._interruptions,
            },
        )
