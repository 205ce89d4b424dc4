"""The state of an upstream as one instance observes it."""

import logging
import math
import random
from collections import OrderedDict
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.protocol import UpstreamRecord
from lycheedyke.state._bounded import keep_recent
from lycheedyke.state._pace import Pace
from lycheedyke.state._upstream_wishes import NO_WISHES

_logger = logging.getLogger(__name__)

# An upstream keeps some dozens of objects warm.
MAX_WARM_OBJECTS = 32
# The time constant with which a reported load decays.
LOAD_DECAY_TIME = timedelta(seconds=1)
FAILURES_BEFORE_EJECTION = 3
# The weight of a new sample in the moving average of the slowness.
SLOWNESS_WEIGHT = 0.15
MAX_SLOWNESS = 20.0
# An upstream that runs requests this many times as long as others is excluded
# until its slowness has decayed.
SLOWNESS_LIMIT = 2.5
# The time constant with which the slowness decays while no request runs there.
SLOWNESS_DECAY_TIME = timedelta(seconds=3)
MIN_PAUSE = timedelta(milliseconds=500)
MAX_PAUSE = timedelta(seconds=4)
# Compensates for the age of a record when it reaches this instance.
COLD_MARGIN = timedelta(milliseconds=800)
# The pause before the first trial of a lost upstream, and the longest one.
MIN_LOSS_PAUSE = timedelta(seconds=1)
MAX_LOSS_PAUSE = timedelta(seconds=32)
# Instances that lose an upstream at the same moment try it at different ones.
MIN_LOSS_JITTER = 0.75
MAX_LOSS_JITTER = 1.25
ZERO = timedelta()
MILLISECOND = timedelta(milliseconds=1)


class LossReason(Enum):
    """What told that an upstream is not at its address."""

    refused = 'connection refused'
    replaced = 'another upstream answered'


class Loss(NamedTuple):
    """Why and since when an upstream gets no requests.

    Attributes:
        reason: what told it.
        tried_at: when that was, or the last trial that failed.
        retry_at: when the next trial is due.
    """

    reason: LossReason
    tried_at: timedelta
    retry_at: timedelta


class LoadReport(NamedTuple):
    """The load that an upstream reported with an answer.

    Attributes:
        load: the requests that ran or waited there, of all instances.
        at: when the answer arrived.
    """

    load: int
    at: timedelta


class UpstreamState:
    """The state of one upstream as observed by this instance.

    Attributes:
        record: the newest record of the upstream.
        in_flight: the requests of this instance that run there.
        body_bytes: the bytes of their bodies.
        answered_at: the time of the last answer on the monotonic clock.
        wishes: what the upstream has said in its answers that it wants.
        unlimited_at: when the last request was written whose answer named no
            limit.
        limit_logged_at: when its limit was logged last.
        loss: why it gets no requests until a trial or its next record; None
            if it is not lost.
        is_unproven: whether it was lost, and has answered no request since a
            trial ended that. It gets one request at a time.
        pace: the pace that it reported with its answers.
        reported: the load that it reported last; None without a report.

    Args:
        record: the first record of the upstream.
        clock: the clock of all periods.
    """

    def __init__(self, record: UpstreamRecord, clock: Clock) -> None:
        """Initializes the state from the first record."""
        self.record = record
        self.in_flight = 0
        self.body_bytes = 0
        self.answered_at = ZERO
        self.wishes = NO_WISHES
        self.unlimited_at = ZERO
        self.limit_logged_at = -MAX_PAUSE
        self.pace = Pace()
        self.reported: LoadReport | None = None
        self._clock = clock
        self._other_load = 0
        self._other_load_at = ZERO
        self._warm: OrderedDict[str, None] = OrderedDict()
        self._failures = 0
        self._ejections = 0
        self._ejected_until: timedelta | None = None
        self._cold_until = ZERO
        self.loss: Loss | None = None
        self.is_unproven = False
        self._losses = 0
        self._slowness = 1.0
        self._slowness_at = ZERO
        self.apply(record)

    def __repr__(self) -> str:
        """Returns the name and the requests in flight from this instance."""
        return f'<UpstreamState {self.record.name}: {self.in_flight}>'

    @property
    def is_cold(self) -> bool:
        """Whether the upstream is cold and can handle only a low rate."""
        return self.is_cold_at(self._clock.elapsed())

    @property
    def is_lost(self) -> bool:
        """Whether the upstream gets no requests as it was not reached."""
        return self.loss is not None

    @property
    def is_ejected(self) -> bool:
        """Whether the upstream is excluded now because of its failures."""
        return self.is_ejected_at(self._clock.elapsed())

    @property
    def load(self) -> float:
        """The estimated number of requests that run or wait there."""
        return self.load_at(self._clock.elapsed())

    @property
    def slowness(self) -> float:
        """The ratio of its run times to those of other upstreams."""
        return self.slowness_at(self._clock.elapsed())

    @property
    def delay(self) -> float:
        """The factor of run times by its slowness and its pace."""
        return self.delay_at(self._clock.elapsed())

    def is_cold_at(self, now: timedelta) -> bool:
        """Returns whether the upstream is cold at a time of the clock."""
        return now < self._cold_until

    def is_ejected_at(self, now: timedelta) -> bool:
        """Returns whether its failures exclude it at a time of the clock."""
        if self._ejected_until is None:
            return False
        return now < self._ejected_until or self.in_flight > 0

    def load_at(self, now: timedelta) -> float:
        """Returns the load at a time of the clock."""
        if not self._other_load:
            return float(self.in_flight)
        age = (now - self._other_load_at) / LOAD_DECAY_TIME
        return self.in_flight + self._other_load * math.exp(-age)

    def slowness_at(self, now: timedelta) -> float:
        """Returns the slowness at a time of the clock."""
        if self._slowness <= 1:
            return 1
        age = (now - self._slowness_at) / SLOWNESS_DECAY_TIME
        return 1 + (self._slowness - 1) * math.exp(-age)

    def capacity_share(self, run: timedelta, now: timedelta) -> float:
        """Returns the share of its slots that its limit lets it use.

        Args:
            run: the mean run time of its requests.
            now: the time of the clock.
        """
        full_rate = self.record.slots / max(run, MILLISECOND).total_seconds()
        return self.wishes.limit.share(full_rate, now)

    def record_slowness(self, took: timedelta, expected: timedelta) -> None:
        """Records how long a request ran, and how long was expected."""
        ratio = min(MAX_SLOWNESS, took / max(expected, MILLISECOND))
        change = (ratio - self._slowness) * SLOWNESS_WEIGHT
        self._slowness = max(1, self._slowness + change)
        self._slowness_at = self._clock.elapsed()

    def apply(self, record: UpstreamRecord) -> None:
        """Applies a newer record."""
        if record.born != self.record.born:
            self._reset()
        self.record = record
        self.loss = None
        self.is_unproven = False
        if record.cold > ZERO:
            self._cold_until = self._clock.elapsed() + (
                record.cold + COLD_MARGIN
            )

    def is_warm(self, object_key: str) -> bool:
        """Returns whether this instance sent it the object recently."""
        return object_key in self._warm

    def begin_request(self, object_key: str, body_bytes: int = 0) -> None:
        """Counts a request that is sent to the upstream, and its body."""
        self.in_flight += 1
        self.body_bytes += body_bytes
        if object_key:
            keep_recent(self._warm, object_key, None, MAX_WARM_OBJECTS)

    def end_request(self, body_bytes: int = 0) -> None:
        """Counts the end of a request with so many bytes of body."""
        self.in_flight -= 1
        self.body_bytes -= body_bytes

    def record_answer(self) -> None:
        """Records the time of an answer of any kind."""
        self.answered_at = self._clock.elapsed()

    def record_load(
        self, running: int, waiting: int, pace_percent: float | None = None
    ) -> None:
        """Records the load that the upstream reported with an answer.

        Args:
            running: the requests that run.
            waiting: the requests that wait.
            pace_percent: the run times as a percentage of the usual ones;
                None if the upstream did not report it.
        """
        now = self._clock.elapsed()
        self._other_load = max(0, running + waiting - self.in_flight)
        self._other_load_at = now
        self.reported = LoadReport(running + waiting, now)
        if pace_percent is not None:
            self.pace.record(pace_percent, now)

    def usual_run(self, run: timedelta) -> timedelta:
        """Returns how long a run that has just ended takes at usual pace."""
        return run / self.pace.mean_factor(run, self._clock.elapsed())

    def delay_at(self, now: timedelta) -> float:
        """Returns the factor of run times by its slowness and its pace."""
        if self.pace.is_usual:
            return self.slowness_at(now)
        return self.slowness_at(now) * self.pace.factor_at(now)

    def record_success(self) -> None:
        """Records a complete answer."""
        if self._ejected_until is not None:
            self._tell('upstream back')
        self._failures = 0
        self._ejections = 0
        self._ejected_until = None

    def record_failure(self, *, is_unreachable: bool = False) -> None:
        """Records a broken exchange, or a failure of the upstream.

        Args:
            is_unreachable: whether no connection could be established.
        """
        self._failures += 1
        eject_now = self._ejected_until is not None or is_unreachable
        if eject_now or self._failures >= FAILURES_BEFORE_EJECTION:
            self._eject()

    def mark_lost(self, reason: LossReason = LossReason.refused) -> None:
        """Marks the upstream as lost, as it is not at its address.

        The upstream gets no requests until its next record, or until a trial
        reaches it. The pauses between trials grow until it answers a request.
        """
        if self.loss is not None:
            return
        pause = self._set_loss(reason)
        self._tell(
            'upstream lost',
            reason=reason.value,
            pause_ms=pause // MILLISECOND,
        )

    def extend_loss(self) -> None:
        """Records that a trial has not reached the lost upstream."""
        if self.loss is not None:
            self._set_loss(self.loss.reason)

    def hasten_trial(self, retry_at: timedelta) -> None:
        """Brings the next trial forward, as another upstream is back."""
        if self.loss is not None and retry_at < self.loss.retry_at:
            self.loss = self.loss._replace(retry_at=retry_at)

    def end_loss(self, cold: timedelta) -> None:
        """Records that the lost upstream accepts connections again.

        It may have been started anew, and its record may come later, so it is
        taken for cold.

        Args:
            cold: how long an upstream of its service is cold after its start.
        """
        if self.loss is None:
            return
        self.loss = None
        self.is_unproven = True
        now = self._clock.elapsed()
        self._cold_until = max(self._cold_until, now + cold)
        self._tell('upstream reachable', losses=self._losses)

    def record_identity(self) -> None:
        """Records an answer of this very upstream."""
        self.is_unproven = False
        self._losses = 0

    def _set_loss(self, reason: LossReason) -> timedelta:
        now = self._clock.elapsed()
        pause = min(MAX_LOSS_PAUSE, MIN_LOSS_PAUSE * 2.0**self._losses)
        pause *= random.uniform(MIN_LOSS_JITTER, MAX_LOSS_JITTER)
        self._losses = min(self._losses + 1, 8)
        self.loss = Loss(reason, now, now + pause)
        return pause

    def _eject(self) -> None:
        now = self._clock.elapsed()
        if self._ejected_until is not None and now < self._ejected_until:
            return
        pause = min(MAX_PAUSE, MIN_PAUSE * 2**self._ejections)
        self._ejections = min(self._ejections + 1, 8)
        self._ejected_until = now + pause
        self._tell('upstream out', pause_ms=pause // MILLISECOND)

    def _tell(self, event: str, **fields: object) -> None:
        extra = {
            'upstream': self.record.name,
            'service': self.record.service,
            'in_flight': self.in_flight,
            'failures': self._failures,
            **fields,
        }
        _logger.info(event, extra=extra)

    def _reset(self) -> None:
        self._warm.clear()
        self._failures = 0
        self._ejections = 0
        self._ejected_until = None
        self._losses = 0
        self._other_load = 0
        self._slowness = 1.0
        self.pace.reset()
        self.reported = None
        self.unlimited_at = ZERO
