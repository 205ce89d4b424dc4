"""Logs decisions on requests, at a limited rate."""

import logging
from datetime import timedelta
from typing import NamedTuple

import xxhash

from lycheedyke.clock import Clock
from lycheedyke.protocol import Answered, NotRun, Outcome, Unknown
from lycheedyke.state import Counters

BURST_SECONDS = 5
HTTP_SERVER_ERROR = 500

_logger = logging.getLogger(__name__)


class DecisionLog:
    """Logs a sample of the successful requests and all unsuccessful ones.

    Args:
        clock: the time source of the rate limit.
        counters: counts lines that exceed the rate limit.
        sampled_of: one of this many successful requests is logged; all
            instances choose the same ones.
        lines_per_s: the maximum number of lines per second, after a burst
            of `BURST_SECONDS` times as many.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        *,
        sampled_of: int,
        lines_per_s: int,
    ) -> None:
        """Starts with a full burst of lines."""
        self._clock = clock
        self._counters = counters
        self._sampled_of = sampled_of
        self._rate = lines_per_s
        self._lines = float(lines_per_s * BURST_SECONDS)
        self._refilled = clock.elapsed()

    def __repr__(self) -> str:
        """Returns the number of lines left."""
        return f'<DecisionLog with {self._lines:.0f} lines left>'

    def write(
        self,
        event: str,
        request: str,
        outcome: Outcome,
        **fields: object,
    ) -> None:
        """Logs a decision, if it is sampled and within the rate limit.

        Args:
            event: what was decided.
            request: the id that the caller gave the request.
            outcome: the outcome of the request or attempt.
            fields: the inputs of the decision.
        """
        is_successful = isinstance(outcome, Answered) and (
            outcome.status < HTTP_SERVER_ERROR
        )
        if is_successful and not self._is_sampled(request):
            return
        if not self._acquire_line():
            self._counters.count('log.left-out')
            return
        _logger.info(
            event,
            extra={'request': request, **_describe(outcome), **fields},
        )

    def _is_sampled(self, request: str) -> bool:
        digest = xxhash.xxh32_intdigest(request.encode())
        return digest % self._sampled_of == 0

    def _acquire_line(self) -> bool:
        now = self._clock.elapsed()
        passed = (now - self._refilled) / timedelta(seconds=1)
        self._refilled = now
        filled = self._lines + max(0, passed) * self._rate
        self._lines = min(self._rate * BURST_SECONDS, filled)
        if self._lines < 1:
            return False
        self._lines -= 1
        return True


class Telemetry(NamedTuple):
    """What all parts of an instance share to tell of themselves.

    Attributes:
        clock: the time source.
        counters: counts and latencies.
        decision_log: the log of decisions on requests.
        instance: the name of the instance.
    """

    clock: Clock
    counters: Counters
    decision_log: DecisionLog
    instance: str


def _describe(outcome: Outcome) -> dict[str, object]:
    match outcome:
        case Answered(status, _, _, upstream):
            return {
                'outcome': 'answered',
                'status': status,
                'upstream': upstream,
            }
        case NotRun(reason):
            return {'outcome': 'not-run', 'reason': reason.value}
        case Unknown(reason):
            return {'outcome': 'unknown', 'reason': reason.value}
