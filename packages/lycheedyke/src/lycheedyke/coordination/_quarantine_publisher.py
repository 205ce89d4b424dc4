"""Writes quarantines to the registry, so that they outlast the instances."""

import logging
import random
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.exceptions import PlatformError
from lycheedyke.protocol import QuarantineRecord, Registry
from lycheedyke.state import QUARANTINE_TIME, SettledQuarantine, Suspects

PUBLISH_INTERVAL = timedelta(milliseconds=500)
# An instance that knows the crashes from peers writes only if the instance
# that observed them did not.
BACKUP_DELAY = timedelta(seconds=5)
# Each write takes two calls of the registry.
MAX_WRITES_PER_INTERVAL = 2

_logger = logging.getLogger(__name__)


class QuarantinePublisher:
    """Writes the settled quarantines that the registry does not list.

    Instances keep their suspects in memory. The record reaches those that
    start later, and those that a peer's report did not reach.

    Args:
        registry: stores the records.
        suspects: the suspects that this instance knows.
        clock: measures the delays.
    """

    def __init__(
        self, registry: Registry, suspects: Suspects, clock: Clock
    ) -> None:
        """Initializes the publisher without quarantines."""
        self._registry = registry
        self._suspects = suspects
        self._clock = clock
        self._due: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of quarantines to write."""
        return f'<QuarantinePublisher: {len(self._due)} to write>'

    async def run(self) -> None:
        """Writes quarantines until cancelled."""
        while True:
            await self._clock.sleep(PUBLISH_INTERVAL)
            await self.publish()

    async def publish(self) -> None:
        """Writes the quarantines that are due."""
        now = self._clock.elapsed()
        self._due = {
            settled.fingerprint: self._due.get(
                settled.fingerprint, now + _delay(settled)
            )
            for settled in self._suspects.settled()
        }
        due = [name for name, time in self._due.items() if time <= now]
        for fingerprint in due[:MAX_WRITES_PER_INTERVAL]:
            # Written again if the registry does not list it by then.
            self._due[fingerprint] = now + BACKUP_DELAY
            await self._write(fingerprint)

    async def _write(self, fingerprint: str) -> None:
        try:
            await self._registry.quarantine(
                QuarantineRecord(fingerprint), QUARANTINE_TIME
            )
        except PlatformError as error:
            _logger.warning(
                'quarantine not stored',
                extra={'fingerprint': fingerprint, 'error': str(error)},
            )
            return
        _logger.info('quarantine stored', extra={'fingerprint': fingerprint})


def _delay(settled: SettledQuarantine) -> timedelta:
    if settled.is_first_hand:
        return timedelta()
    return BACKUP_DELAY * random.uniform(1, 2)
