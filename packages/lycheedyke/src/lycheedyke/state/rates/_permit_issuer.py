"""Issues the permits to send to upstreams that have named a limit."""

from collections import OrderedDict
from datetime import timedelta

import msgspec

from lycheedyke.clock import Clock
from lycheedyke.state._bounded import keep_recent
from lycheedyke.state._warmup_limiter import WarmupLimiter
from lycheedyke.state.rates._schedule import HORIZON, RateSchedule
from lycheedyke.state.rates._send_limits import MILLISECOND, ZERO, LimitNews

# The share of a limit that the first issuer of an upstream issues; each further
# one issues a fourth as much, for those that do not reach the ones before it.
ISSUED_SHARE = 0.7
SHARE_DIVISOR = 4
# An upstream that takes nothing gets a request now and then, as only its answer
# tells the end of the limit.
MIN_RATE = 0.2
# A permit is valid for the time of MAX_UNUSED permits, within these bounds.
MAX_UNUSED = 4
MIN_LIFE = timedelta(milliseconds=500)
MAX_LIFE = timedelta(seconds=1)
MAX_BATCH = 100
MAX_RANK = 8
# Instances that have asked within this time share the permits.
ASKER_RETENTION = timedelta(seconds=2)
# Bounds the requests that an issuer gets from many instances.
MAX_ASKS_PER_S = 20
MAX_SCHEDULES = 2048
# A limit is probed if no answer of its upstream has come for so long: without
# requests, nobody learns that it has ended.
PROBE_INTERVAL = timedelta(seconds=2)
# The share of a limit that all instances use together while none of them
# reaches an issuer.
STATIC_SHARE = 0.1
STATIC_LIFE = timedelta(seconds=1)


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for permits to send to an upstream.

    Attributes:
        news: what the sender knows of the limit.
        instance: the name of the sender.
        rank: how many issuers have not answered the sender.
        is_probe: whether the sender only wants to know if the limit holds.
    """

    news: LimitNews
    instance: str
    rank: int
    is_probe: bool = False


class PermitGrant(msgspec.Struct, frozen=True, array_like=True):
    """The permits that an instance gets.

    Attributes:
        news: what the issuer knows of the limit.
        starts_ms: when each permit becomes valid, in ms from now.
        life_ms: how long each permit is valid, in ms.
        wait_ms: when to ask again, in ms from now.
        sharing: the number of instances that share the permits.
    """

    news: LimitNews
    starts_ms: tuple[int, ...] = ()
    life_ms: int = 0
    wait_ms: int = 0
    sharing: int = 1


class _Schedule(RateSchedule):
    """The permits of one upstream.

    Attributes:
        askers: when each instance asked last.
        probe_at: when the limit is to be probed next.
    """

    def __init__(self, now: timedelta) -> None:
        super().__init__(now)
        self.askers: dict[str, timedelta] = {}
        self.probe_at = ZERO

    def count_askers(self, request: PermitRequest, now: timedelta) -> int:
        """Records an asker; returns how many have asked of late."""
        if not request.is_probe:
            self.askers[request.instance] = now
        self.askers = {
            name: asked
            for name, asked in self.askers.items()
            if now - asked < ASKER_RETENTION
        }
        return max(1, len(self.askers))

    def start_probe(self, news: LimitNews, now: timedelta) -> bool:
        """Returns whether to probe a limit of which nothing new is known."""
        is_due = now >= self.probe_at and news.age_ms > (
            PROBE_INTERVAL // MILLISECOND
        )
        if is_due:
            self.probe_at = now + PROBE_INTERVAL
        return is_due


class PermitIssuer:
    """Issues permits, evenly spaced, to the instances that ask for them.

    Args:
        name: the name of this instance.
        clock: the clock of the permits.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        """Initializes without upstreams."""
        self._clock = clock
        self._schedules: OrderedDict[str, _Schedule] = OrderedDict()
        self._own_share = WarmupLimiter(name, clock)

    def __repr__(self) -> str:
        """Returns the number of upstreams."""
        return f'<PermitIssuer for {len(self._schedules)} upstreams>'

    def issue(self, request: PermitRequest, news: LimitNews) -> PermitGrant:
        """Returns the permits for a request.

        Args:
            request: the request.
            news: what this instance knows of the limit.
        """
        if news.rate is None:
            return PermitGrant(news)
        now = self._clock.elapsed()
        schedule = self._schedule(request.news.incarnation, now)
        sharing = schedule.count_askers(request, now)
        rate = max(news.rate * ISSUED_SHARE, MIN_RATE)
        rate /= SHARE_DIVISOR ** max(0, min(request.rank, MAX_RANK))
        interval = timedelta(seconds=1 / rate)
        schedule.change(interval, 0, now)
        batch = max(1, min(MAX_BATCH, HORIZON // interval // sharing))
        if request.is_probe:
            batch = int(schedule.start_probe(news, now))
        starts = schedule.take(batch, now)
        return PermitGrant(
            news,
            tuple(start // MILLISECOND for start in starts),
            _permit_life(interval) // MILLISECOND,
            _wait_to_ask(interval, sharing) // MILLISECOND,
            sharing,
        )

    def issue_own_share(self, news: LimitNews, instances: int) -> PermitGrant:
        """Returns the permits of an instance that reaches no issuer.

        Args:
            news: what this instance knows of the limit.
            instances: the number of instances that may be in the same state.
        """
        if news.rate is None:
            return PermitGrant(news)
        rate = max(news.rate, MIN_RATE) * STATIC_SHARE
        period = timedelta(seconds=max(1, instances) / rate)
        starts: tuple[int, ...] = ()
        if self._own_share.is_due(news.incarnation, period):
            self._own_share.acquire(news.incarnation, period)
            starts = (0,)
        return PermitGrant(
            news,
            starts,
            STATIC_LIFE // MILLISECOND,
            STATIC_LIFE // MILLISECOND,
            instances,
        )

    def _schedule(self, incarnation: str, now: timedelta) -> _Schedule:
        schedule = self._schedules.get(incarnation) or _Schedule(now)
        return keep_recent(
            self._schedules, incarnation, schedule, MAX_SCHEDULES
        )


def _wait_to_ask(interval: timedelta, sharing: int) -> timedelta:
    longest = max(ASKER_RETENTION, timedelta(seconds=sharing / MAX_ASKS_PER_S))
    return min(interval * sharing, longest)


def _permit_life(interval: timedelta) -> timedelta:
    return max(MIN_LIFE, min(MAX_LIFE, interval * MAX_UNUSED))
