"""All upstreams of the registry, and what they want."""

import logging
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.protocol import UpstreamRecord
from lycheedyke.state._upstream_state import SLOWNESS_LIMIT, UpstreamState
from lycheedyke.state._upstream_wishes import UpstreamWishes, Wishes
from lycheedyke.state.rates._send_limits import (
    MILLISECOND,
    LimitNews,
    SendLimit,
)

# Of each upstream, one change of its limit is logged in this time.
LIMIT_LOG_INTERVAL = timedelta(seconds=1)

_logger = logging.getLogger(__name__)


class UpstreamTable:
    """All registered upstreams, by service.

    Attributes:
        evacuated_zones: the zones that get no requests.
        on_limit_changed: called with the name of an upstream whose limit an
            answer has changed.

    Args:
        clock: the clock of the states.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes an empty table."""
        self.evacuated_zones: frozenset[str] = frozenset()
        self.on_limit_changed: Callable[[str], None] | None = None
        self._clock = clock
        self._wishes = UpstreamWishes()
        self._states: dict[str, UpstreamState] = {}
        self._limited: set[str] = set()
        self._by_service: dict[str, list[UpstreamState]] = {}

    def __repr__(self) -> str:
        """Returns the number of upstreams."""
        return f'<UpstreamTable of {len(self._states)}>'

    def __len__(self) -> int:
        """Returns the number of upstreams."""
        return len(self._states)

    @property
    def has_limits(self) -> bool:
        """Whether any upstream has named a limit."""
        return bool(self._limited)

    def elapsed(self) -> timedelta:
        """Returns the time of the clock of the states."""
        return self._clock.elapsed()

    def all(self) -> tuple[UpstreamState, ...]:
        """Returns all upstreams, including those that get no requests."""
        return tuple(self._states.values())

    def apply(self, record: UpstreamRecord) -> None:
        """Applies a new or changed record of an upstream."""
        state = self._states.get(record.name)
        if state is None:
            state = UpstreamState(record, self._clock)
            self._states[record.name] = state
            self._by_service.clear()
        else:
            if state.record.service != record.service:
                self._by_service.clear()
            state.apply(record)
        self._set_wishes(state, self._wishes.find(record.incarnation))

    def mark_leaving(self, record: UpstreamRecord) -> None:
        """Withdraws an upstream that has said that it leaves, for good.

        Args:
            record: the upstream as it was when the request was sent to it.
        """
        if not self._wishes.find(record.incarnation).is_leaving:
            _logger.info(
                'upstream leaving',
                extra={
                    'upstream': record.name,
                    'service': record.service,
                    'told_by': 'answer',
                },
            )
        self._add_wishes(record, Wishes(is_leaving=True))

    def pause(self, record: UpstreamRecord, pause: timedelta) -> None:
        """Withdraws an upstream that wants no requests for some time.

        Args:
            record: the upstream as it was when the request was sent to it.
            pause: how long it wants none.
        """
        now = self._clock.elapsed()
        if self._wishes.find(record.incarnation).paused_until <= now:
            _logger.info(
                'upstream paused',
                extra={
                    'upstream': record.name,
                    'service': record.service,
                    'pause_ms': pause // MILLISECOND,
                },
            )
        self._add_wishes(record, Wishes(paused_until=now + pause))

    def record_limit(
        self,
        record: UpstreamRecord,
        rate: float | None,
        written: timedelta | None,
    ) -> None:
        """Records the limit that an answer names, or that it names none.

        An answer without a limit ends one only if its request was written
        after the limit was read: answers of requests that run side by side
        arrive in any order.

        Args:
            record: the upstream as it was when the request was sent to it.
            rate: the limit in requests per second, or None.
            written: when the request was written; None if that is not known.
        """
        if rate is not None:
            limit = SendLimit(rate, self._clock.elapsed())
        elif written is None:
            return
        else:
            limit = SendLimit(None, written)
            state = self._states.get(record.name)
            if state is not None:
                state.unlimited_at = max(state.unlimited_at, written)
            if self._wishes.find(record.incarnation).limit.rate is None:
                return
        is_changed = self._apply_limit(record, limit, 'answer')
        if is_changed and self.on_limit_changed is not None:
            self.on_limit_changed(record.name)

    def apply_limit_news(self, news: LimitNews) -> bool:
        """Applies what a peer tells of a limit.

        Returns:
            Whether the limit has changed.

        Raises:
            LimitNotUnderstood: the news are out of range.
        """
        limit = news.read(self._clock.elapsed())
        state = self._states.get(news.upstream)
        if state is None or state.record.incarnation != news.incarnation:
            return False
        if limit.rate is not None and state.unlimited_at >= limit.as_of:
            return False
        return self._apply_limit(state.record, limit, 'peer')

    def describe_limit(self, state: UpstreamState) -> LimitNews:
        """Returns what this instance knows of the limit of an upstream."""
        limit = state.wishes.limit
        as_of = limit.as_of
        if limit.rate is None:
            as_of = max(as_of, state.unlimited_at)
        age = self._clock.elapsed() - as_of
        return LimitNews(
            state.record.name,
            state.record.incarnation,
            limit.rate,
            max(0, age // MILLISECOND),
        )

    def limited(self) -> list[UpstreamState]:
        """Returns the upstreams that have named a limit."""
        return [self._states[name] for name in sorted(self._limited)]

    def lost(self) -> list[UpstreamState]:
        """Returns the lost upstreams that would get requests otherwise."""
        now = self._clock.elapsed()
        return [
            state
            for state in self._states.values()
            if state.loss is not None
            and not self._is_withdrawn(state)
            and state.wishes.allow(now)
        ]

    def find(self, name: str) -> UpstreamState | None:
        """Returns an upstream by its name."""
        return self._states.get(name)

    def remove(self, name: str) -> None:
        """Removes an upstream."""
        if self._states.pop(name, None) is not None:
            self._by_service.clear()
        self._limited.discard(name)

    def of_service(self, service: str) -> list[UpstreamState]:
        """Returns all upstreams of a service, whatever their state."""
        found = self._by_service.get(service)
        if found is None:
            found = [
                state
                for state in self._states.values()
                if state.record.service == service
            ]
            self._by_service[service] = found
        return found

    def usable(self, service: str) -> list[UpstreamState]:
        """Returns the upstreams of a service that may get new requests.

        Failing and slow upstreams are excluded while any others are serving.
        """
        now = self._clock.elapsed()
        serving = self.serving(service)
        healthy = [
            state
            for state in serving
            if not state.is_ejected_at(now)
            and state.slowness_at(now) < SLOWNESS_LIMIT
        ]
        return healthy or serving

    def serving(self, service: str) -> list[UpstreamState]:
        """Returns the upstreams that may get requests.

        They are not lost, leaving, evacuated or paused.
        """
        now = self._clock.elapsed()
        return [
            state
            for state in self.of_service(service)
            if self._is_usable(state) and state.wishes.allow(now)
        ]

    def paused(self, service: str) -> list[UpstreamState]:
        """Returns the upstreams that get no requests until their pause ends."""
        now = self._clock.elapsed()
        return [
            state
            for state in self.of_service(service)
            if self._is_usable(state)
            and not state.wishes.is_leaving
            and state.wishes.paused_until > now
        ]

    def is_serving(self, state: UpstreamState) -> bool:
        """Returns whether an upstream is still registered and may be used."""
        is_listed = self._states.get(state.record.name) is state
        is_allowed = state.wishes.allow(self._clock.elapsed())
        return is_listed and is_allowed and self._is_usable(state)

    def _apply_limit(
        self, record: UpstreamRecord, limit: SendLimit, told_by: str
    ) -> bool:
        """Applies a limit or its end; returns whether the limit changed."""
        before = self._wishes.find(record.incarnation).limit
        self._add_wishes(record, Wishes(limit=limit))
        after = self._wishes.find(record.incarnation).limit
        if after.rate == before.rate:
            return False
        self._log_limit(record, before, after, told_by)
        return True

    def _log_limit(
        self,
        record: UpstreamRecord,
        before: SendLimit,
        after: SendLimit,
        told_by: str,
    ) -> None:
        state = self._states.get(record.name)
        now = self._clock.elapsed()
        if state is None or now < state.limit_logged_at + LIMIT_LOG_INTERVAL:
            return
        state.limit_logged_at = now
        _logger.info(
            'upstream limited',
            extra={
                'upstream': record.name,
                'service': record.service,
                'per_s': after.rate,
                'per_s_before': before.rate,
                'told_by': told_by,
            },
        )

    def _add_wishes(self, record: UpstreamRecord, wishes: Wishes) -> None:
        merged = self._wishes.add(record.incarnation, wishes)
        state = self._states.get(record.name)
        if state is not None and state.record.incarnation == record.incarnation:
            self._set_wishes(state, merged)

    def _set_wishes(self, state: UpstreamState, wishes: Wishes) -> None:
        state.wishes = wishes
        if wishes.limit.rate is None:
            self._limited.discard(state.record.name)
        else:
            self._limited.add(state.record.name)

    def _is_usable(self, state: UpstreamState) -> bool:
        return not state.is_lost and not self._is_withdrawn(state)

    def _is_withdrawn(self, state: UpstreamState) -> bool:
        record = state.record
        return record.leaving or record.zone in self.evacuated_zones
