"""The numbered log of tickets in the platform, and how it is followed."""

import asyncio
import logging
import random
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.exceptions import (
    DocumentMalformed,
    PlatformError,
    PlatformUnreachable,
    TicketConflict,
    TicketInvalid,
    TicketUnknown,
    WriteConflict,
)
from lycheedyke.protocol import (
    PlatformClient,
    Ticket,
    decode_ticket,
    encode_ticket,
)
from lycheedyke.state import Configuration, find_faults

PREFIX = 'ticket/'
NUMBER_DIGITS = 10
WATCH_WAIT = timedelta(seconds=20)
RETRY_LEAST = timedelta(milliseconds=100)
RETRY_MOST = timedelta(seconds=5)
APPLY_TIME = timedelta(seconds=10)

_logger = logging.getLogger(__name__)


def ticket_key(number: int) -> str:
    """Returns the platform key of a ticket; keys sort like numbers."""
    return f'{PREFIX}{number:0{NUMBER_DIGITS}d}'


class TicketLog:
    """All tickets known here, and the configuration they add up to.

    Args:
        on_change: called after each ticket with the new configuration.
    """

    def __init__(self, on_change: Callable[[Configuration], None]) -> None:
        """Makes an empty log."""
        self.configuration = Configuration()
        self._documents: dict[int, bytes] = {}
        self._on_change = on_change

    def __repr__(self) -> str:
        """Returns the newest number."""
        return f'<TicketLog at {self.number}>'

    @property
    def number(self) -> int:
        """The number of the newest ticket in force here."""
        return self.configuration.number

    def adopt(self, number: int, document: bytes) -> bool:
        """Applies a ticket if it is the next one; returns whether it was.

        Raises:
            DocumentMalformed: the document is no ticket.
        """
        if number != self.number + 1:
            return False
        ticket = decode_ticket(document)
        self.configuration = self.configuration.apply(number, ticket)
        self._documents[number] = document
        _logger.info('ticket in force', extra={'ticket': number})
        self._on_change(self.configuration)
        return True

    def after(self, number: int) -> tuple[bytes, ...]:
        """Returns the documents of all tickets after a number."""
        return tuple(
            self._documents[later]
            for later in range(number + 1, self.number + 1)
        )

    def show(self, number: int) -> bytes | None:
        """Returns the document of a ticket, or None."""
        return self._documents.get(number)


class TicketFollower:
    """Reads and writes the log in the platform.

    Args:
        log: takes in what is read.
        platform: the platform's key-value service.
        clock: measures timeouts.
    """

    def __init__(
        self,
        log: TicketLog,
        platform: PlatformClient,
        clock: Clock,
    ) -> None:
        """Makes a follower that has not read anything."""
        self._log = log
        self._platform = platform
        self._clock = clock
        self._backoff = RETRY_LEAST

    def __repr__(self) -> str:
        """Returns the log."""
        return f'TicketFollower({self._log!r})'

    async def follow(self) -> None:
        """Watches the log until cancelled; backs off on failures."""
        revision: int | None = None
        while True:
            try:
                revision = await self._advance(revision)
            except PlatformError as error:
                _logger.info('platform call failed: %s', error)
                revision = None
                await self._back_off()
            else:
                self._backoff = RETRY_LEAST

    async def apply(self, ticket: Ticket) -> int:
        """Hands a ticket in; returns its number once it is accepted.

        Raises:
            TicketInvalid: it is impossible in the present configuration.
            TicketConflict: a later ticket changed the same objects.
            TicketUnknown: the platform did not answer in time.
        """
        try:
            async with asyncio.timeout(APPLY_TIME.total_seconds()):
                return await self._apply(ticket)
        except TimeoutError as error:
            raise TicketUnknown(
                f'ticket of author {ticket.author!r}: platform silent',
            ) from error

    async def _apply(self, ticket: Ticket) -> int:
        document = encode_ticket(ticket)
        while True:
            try:
                return await self._try(ticket, document)
            except (WriteConflict, PlatformUnreachable):
                await self._back_off()

    async def _try(self, ticket: Ticket, document: bytes) -> int:
        await self._read()
        accepted = self._find(ticket)
        if accepted is not None:
            return accepted
        self._check(ticket)
        number = self._log.number + 1
        await self._platform.create(ticket_key(number), document)
        self._backoff = RETRY_LEAST
        self._take(number, document)
        return number

    def _find(self, ticket: Ticket) -> int | None:
        for number in range(ticket.based_on + 1, self._log.number + 1):
            document = self._log.show(number)
            if document and decode_ticket(document).author == ticket.author:
                return number
        return None

    def _check(self, ticket: Ticket) -> None:
        touched = self._log.configuration.touched
        clashes = {
            name: touched[name]
            for name in sorted(ticket.touches())
            if touched.get(name, 0) > ticket.based_on
        }
        if clashes:
            raise TicketConflict(max(clashes.values()), list(clashes))
        faults = find_faults(self._log.configuration, ticket)
        if faults:
            raise TicketInvalid(faults)

    async def _advance(self, revision: int | None) -> int:
        if revision is None:
            return await self._read()
        revision, entries = await self._platform.watch(
            PREFIX,
            after=revision,
            wait=WATCH_WAIT,
        )
        for entry in entries:
            self._take(_number(entry.key), entry.content)
        return revision

    async def _read(self) -> int:
        revision, entries = await self._platform.scan(
            PREFIX,
            start=ticket_key(self._log.number + 1),
        )
        for entry in entries:
            self._take(_number(entry.key), entry.content)
        return revision

    def _take(self, number: int, document: bytes) -> None:
        try:
            self._log.adopt(number, document)
        except DocumentMalformed as error:
            _logger.error('ticket %d cannot be read: %s', number, error)

    async def _back_off(self) -> None:
        factor = random.uniform(0.5, 1)
        await self._clock.sleep(self._backoff * factor)
        self._backoff = min(RETRY_MOST, self._backoff * 2)


def _number(key: str) -> int:
    return int(key.removeprefix(PREFIX))
