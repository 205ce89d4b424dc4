"""One log line for each decision on a request, within a budget."""

import logging
from datetime import timedelta
from typing import NamedTuple

import xxhash

from lycheedyke.clock import Clock
from lycheedyke.protocol import Answered, NotRun, Outcome, Unknown
from lycheedyke.state import Counters

BURST_SECONDS = 5
HTTP_FAILURES = 500

_logger = logging.getLogger(__name__)


class DecisionLog:
    """Writes decisions: a sample of what ends well, and all that does not.

    Args:
        clock: measures the budget of lines.
        counters: counts lines that were left out.
        sampled_of: one of so many requests that end well is written; the
            same ones at all instances.
        lines_per_s: the most lines in a second, after a burst.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        *,
        sampled_of: int,
        lines_per_s: int,
    ) -> None:
        """Makes a log with a full budget."""
        self._clock = clock
        self._counters = counters
        self._sampled_of = sampled_of
        self._rate = lines_per_s
        self._lines = float(lines_per_s * BURST_SECONDS)
        self._filled = clock.elapsed()

    def __repr__(self) -> str:
        """Returns the lines left."""
        return f'<DecisionLog with {self._lines:.0f} lines left>'

    def write(
        self,
        event: str,
        request: str,
        outcome: Outcome,
        **fields: object,
    ) -> None:
        """Writes the line of a decision, if the budget permits.

        Args:
            event: what was decided.
            request: the caller's id of the request.
            outcome: what came of it.
            fields: the inputs of the decision.
        """
        is_sound = isinstance(outcome, Answered) and (
            outcome.status < HTTP_FAILURES
        )
        if is_sound and not self._is_sampled(request):
            return
        if not self._take_line():
            self._counters.count('log.left-out')
            return
        _logger.info(
            event,
            extra={'request': request, **_describe(outcome), **fields},
        )

    def _is_sampled(self, request: str) -> bool:
        point = xxhash.xxh32_intdigest(request.encode())
        return point % self._sampled_of == 0

    def _take_line(self) -> bool:
        now = self._clock.elapsed()
        passed = (now - self._filled) / timedelta(seconds=1)
        self._filled = now
        filled = self._lines + max(0, passed) * self._rate
        self._lines = min(self._rate * BURST_SECONDS, filled)
        if self._lines < 1:
            return False
        self._lines -= 1
        return True


class Telemetry(NamedTuple):
    """What each part measures and tells with.

    Attributes:
        clock: the time.
        counters: counts and latencies.
        decision_log: the log of decisions on requests.
    """

    clock: Clock
    counters: Counters
    decision_log: DecisionLog


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
