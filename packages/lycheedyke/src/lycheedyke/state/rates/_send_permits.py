"""The permits that an instance holds to send to upstreams with a limit."""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.state._bounded import keep_recent
from lycheedyke.state._counters import Counters
from lycheedyke.state._upstream_state import UpstreamState
from lycheedyke.state.rates._permit_issuer import PROBE_INTERVAL, PermitGrant
from lycheedyke.state.rates._send_limits import MILLISECOND, ZERO

HELD_BACK_COUNTER = 'limit.held-back'
# While urgent requests are refused, a permit is kept for them for this share of
# its life.
URGENT_SHARE = 0.6
URGENT_RETENTION = timedelta(seconds=2)
MAX_ACCOUNTS = 2048
# Spreads the questions of instances that were answered at the same time.
ASK_SPREAD = (0.75, 1.25)
# An issuer that has not answered in this time is asked again.
ANSWER_TIME = timedelta(seconds=1)


class SendPermit(NamedTuple):
    """The right to send one request to an upstream.

    Attributes:
        incarnation: the incarnation of the upstream.
        rate: the limit under which it was issued.
        starts: from when it is valid, on the monotonic clock.
        ends: until when it is valid.
        is_probe: whether it serves to learn if the limit still holds.
    """

    incarnation: str
    rate: float
    starts: timedelta
    ends: timedelta
    is_probe: bool = False

    def is_valid(self, rate: float, now: timedelta) -> bool:
        """Returns whether a request may be sent under a limit."""
        return self.rate <= rate and self.starts <= now < self.ends

    def opens_at(self, *, goes_first: bool) -> timedelta:
        """Returns from when a request may use it.

        Args:
            goes_first: whether the permit is not kept for other requests.
        """
        if goes_first:
            return self.starts
        return self.starts + (self.ends - self.starts) * URGENT_SHARE


class _Account:
    """The permits for one upstream.

    Attributes:
        permits: the permits, by their start.
        ask_at: when to ask for more.
        probe_at: when to ask for a probe.
        is_asking: whether an answer is due.
        sharing: how many instances share the limit.
        urgent_until: until when permits are kept for urgent requests first.
    """

    def __init__(self) -> None:
        self.permits: list[SendPermit] = []
        self.ask_at = ZERO
        self.probe_at = ZERO
        self.is_asking = False
        self.sharing = 0
        self.urgent_until = ZERO

    def drop_void(self, rate: float, now: timedelta) -> None:
        """Drops permits that have ended, or were issued for a higher limit."""
        self.permits = [
            permit
            for permit in self.permits
            if permit.rate <= rate and now < permit.ends
        ]

    def find(self, now: timedelta, *, urgent: bool) -> SendPermit | None:
        """Returns a permit that may be used now."""
        goes_first = urgent or now >= self.urgent_until
        for permit in self.permits:
            if permit.opens_at(goes_first=goes_first) <= now:
                return permit
        return None


class PermitBook:
    """The permits of this instance, and the times to ask for more.

    Args:
        clock: the clock of the permits.
        counters: counts the sends that were held back.

    Attributes:
        ask: called with an upstream for which permits are needed, and whether
            only to probe it.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        """Initializes without permits."""
        self.ask: Callable[[UpstreamState, bool], None] = _ask_nobody
        self._clock = clock
        self._counters = counters
        self._accounts: OrderedDict[str, _Account] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of upstreams."""
        return f'<PermitBook for {len(self._accounts)} upstreams>'

    def may_send(self, state: UpstreamState, *, urgent: bool) -> bool:
        """Returns whether a request may be sent to an upstream now."""
        if state.wishes.limit.rate is None:
            return True
        return self._find(state, urgent=urgent) is not None

    def take(self, state: UpstreamState, *, urgent: bool) -> SendPermit | None:
        """Takes a permit for a request; None if there is none or no limit."""
        if state.wishes.limit.rate is None:
            return None
        permit = self._find(state, urgent=urgent)
        if permit is not None:
            self._account(state).permits.remove(permit)
        return permit

    def give_back(self, permit: SendPermit) -> None:
        """Takes back a permit for a request that was not written."""
        account = self._accounts.get(permit.incarnation)
        if account is not None:
            account.permits.append(permit)

    def confirm(self, state: UpstreamState, permit: SendPermit | None) -> bool:
        """Returns whether a request may be written now.

        The limit may be newer than the choice of the upstream, and the permit
        may have ended since. Then the request takes another one.
        """
        rate = state.wishes.limit.rate
        if rate is None:
            return True
        is_valid = (
            permit is not None
            and permit.incarnation == state.record.incarnation
            and permit.is_valid(rate, self._clock.elapsed())
        )
        return is_valid or self.take(state, urgent=True) is not None

    def want(self, state: UpstreamState) -> None:
        """Records that a request was held back from an upstream."""
        self._counters.count(HELD_BACK_COUNTER)
        self.request(state)

    def request(self, state: UpstreamState) -> bool:
        """Asks for a permit if it is time; returns whether an answer is due."""
        account = self._account(state)
        now = self._clock.elapsed()
        if not account.permits and now >= account.ask_at:
            # The answer sets the time anew.
            account.ask_at = now + ANSWER_TIME
            account.is_asking = True
            self.ask(state, False)
        return account.is_asking

    def find_probe(
        self, states: Iterable[UpstreamState], *, idempotent: bool
    ) -> UpstreamState | None:
        """Returns an upstream that gets a request to learn of its limit.

        It need not be the best one for the request. Idempotent requests go
        first, as the upstream takes few or none.

        Args:
            states: the limited upstreams that may run the request.
            idempotent: whether the request is.
        """
        now = self._clock.elapsed()
        for state in states:
            is_stale = now > state.wishes.limit.as_of + PROBE_INTERVAL
            if is_stale:
                self._ask_for_probe(state, now)
            permit = self._find(state, urgent=idempotent)
            if permit is None or not (is_stale or permit.is_probe):
                continue
            if now >= permit.opens_at(goes_first=idempotent):
                return state
        return None

    def want_urgently(self, state: UpstreamState) -> None:
        """Records that an urgent request was refused for lack of a permit."""
        now = self._clock.elapsed()
        self._account(state).urgent_until = now + URGENT_RETENTION

    def wait(self, state: UpstreamState) -> timedelta:
        """Returns the time until a request may be sent to an upstream."""
        now = self._clock.elapsed()
        account = self._account(state)
        if account.is_asking:
            return ZERO
        starts = [permit.starts for permit in account.permits]
        return max(ZERO, min(starts or [account.ask_at]) - now)

    def count(self, state: UpstreamState) -> int:
        """Returns the number of permits for an upstream."""
        return len(self._account(state).permits)

    def sharing(self, state: UpstreamState) -> int:
        """Returns how many instances share the limit, as far as known."""
        return self._account(state).sharing

    def add(
        self,
        state: UpstreamState,
        grant: PermitGrant,
        asked_at: timedelta,
        *,
        is_probe: bool = False,
    ) -> None:
        """Adds the permits that were issued.

        Args:
            state: the upstream.
            grant: the permits.
            asked_at: when this instance asked for them. They end as if they
                had been issued then.
            is_probe: whether it asked only to probe the limit.
        """
        now = self._clock.elapsed()
        account = self._account(state)
        account.sharing = grant.sharing
        wait = grant.wait_ms * MILLISECOND * random.uniform(*ASK_SPREAD)
        if is_probe:
            account.probe_at = now + max(wait, PROBE_INTERVAL)
        else:
            account.ask_at = now + wait
            account.is_asking = False
        rate = grant.news.rate
        if rate is None or grant.news.incarnation != state.record.incarnation:
            return
        life = grant.life_ms * MILLISECOND
        account.permits.extend(
            SendPermit(
                grant.news.incarnation,
                rate,
                now + start * MILLISECOND,
                asked_at + start * MILLISECOND + life,
                is_probe,
            )
            for start in grant.starts_ms
        )

    def _find(self, state: UpstreamState, *, urgent: bool) -> SendPermit | None:
        rate = state.wishes.limit.rate or 0
        account = self._account(state)
        now = self._clock.elapsed()
        account.drop_void(rate, now)
        return account.find(now, urgent=urgent)

    def _ask_for_probe(self, state: UpstreamState, now: timedelta) -> None:
        account = self._account(state)
        if now >= account.probe_at and not account.permits:
            account.probe_at = now + PROBE_INTERVAL
            self.ask(state, True)

    def _account(self, state: UpstreamState) -> _Account:
        incarnation = state.record.incarnation
        account = self._accounts.get(incarnation) or _Account()
        return keep_recent(self._accounts, incarnation, account, MAX_ACCOUNTS)


def _ask_nobody(state: UpstreamState, is_probe: bool) -> None:
    """Asks no issuer."""
