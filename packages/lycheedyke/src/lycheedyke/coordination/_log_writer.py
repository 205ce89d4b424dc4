"""Submits operators' tickets: accepted, not accepted, or unknown."""

import asyncio
import random
from datetime import timedelta

import msgspec

from lycheedyke.clock import Clock
from lycheedyke.coordination._log_reader import LogReader, ticket_key
from lycheedyke.coordination._ticket_log import TicketLog
from lycheedyke.exceptions import (
    AuthorIdReused,
    PlatformCallNotSent,
    PlatformError,
    PlatformStale,
    TicketConflict,
    TicketInvalid,
    TicketNotAccepted,
    TicketOutcomeUnknown,
    TicketOutdated,
    WriteConflict,
)
from lycheedyke.protocol import (
    PlatformClient,
    Ticket,
    TicketRecord,
    digest_ticket,
    encode_ticket,
)
from lycheedyke.state import Plan, find_faults, find_time_faults, make_plan

SUBMIT_TIMEOUT = timedelta(seconds=10)
MIN_BACKOFF = timedelta(milliseconds=20)
MAX_BACKOFF = timedelta(seconds=1)


class LogWriter:
    """Appends tickets to the log in the platform.

    Args:
        log: the tickets in force here.
        reader: reads newer tickets from the platform into the log.
        platform: the platform's key-value service.
        clock: gives the creation time of tickets.
        limit: the maximum time for the submission of one ticket.
    """

    def __init__(
        self,
        log: TicketLog,
        reader: LogReader,
        platform: PlatformClient,
        clock: Clock,
        limit: timedelta = SUBMIT_TIMEOUT,
    ) -> None:
        """Initializes the writer for the log of one instance."""
        self._log = log
        self._reader = reader
        self._platform = platform
        self._clock = clock
        self._limit = limit

    def __repr__(self) -> str:
        """Returns the log."""
        return f'LogWriter({self._log!r})'

    async def apply(self, ticket: Ticket) -> int:
        """Submits a ticket; returns its number once it is accepted.

        A ticket whose author id is already in the log is not written
        again; its number is returned.

        Raises:
            TicketInvalid: the ticket is not valid in the present
                configuration.
            TicketConflict: a later ticket changed the same objects.
            TicketOutdated: the changes since the ticket's base are no
                longer kept.
            AuthorIdReused: a ticket of other content has the same author id.
            TicketNotAccepted: this call wrote nothing, and will not write
                later; an earlier call with the same author id may have.
            TicketOutcomeUnknown: the ticket may be in the log.
        """
        unanswered: set[int] = set()
        try:
            async with asyncio.timeout(self._limit.total_seconds()):
                return await self._apply(ticket, unanswered)
        except TimeoutError as error:
            if unanswered:
                raise TicketOutcomeUnknown(
                    f'the ticket of author {ticket.author!r} may have been '
                    'accepted: the platform did not answer a write',
                ) from error
            raise TicketNotAccepted(
                f'the ticket of author {ticket.author!r} was not accepted by '
                'this call: the platform did not accept it in time',
            ) from error

    async def find(self, author: str) -> TicketRecord | None:
        """Returns the accepted ticket of an author id, or None.

        Raises:
            PlatformError: the ticket was not found, and the newest tickets
                could not be read.
        """
        record = self._log.find(author)
        if record is None:
            await self._reader.read()
            record = self._log.find(author)
        return record

    async def plan(self, ticket: Ticket) -> Plan:
        """Returns the effect that a ticket would have, without submitting it.

        Raises:
            PlatformError: the newest tickets could not be read.
        """
        await self._reader.read()
        faults = find_time_faults(ticket, self._clock.now())
        try:
            self._check(ticket)
        except TicketInvalid as error:
            faults.extend(error.faults)
        except (TicketConflict, TicketOutdated) as error:
            faults.append(str(error))
        return make_plan(self._log.configuration, ticket, faults)

    async def _apply(self, ticket: Ticket, unanswered: set[int]) -> int:
        faults = find_time_faults(ticket, self._clock.now())
        if faults:
            raise TicketInvalid(faults)
        backoff = MIN_BACKOFF
        while True:
            try:
                return await self._try_once(ticket, unanswered)
            except PlatformError:
                await self._clock.sleep(backoff * random.uniform(0.5, 1))
                backoff = min(MAX_BACKOFF, backoff * 2)

    async def _try_once(self, ticket: Ticket, unanswered: set[int]) -> int:
        await self._reader.read()
        accepted = self._find(ticket)
        if accepted:
            return accepted
        if ticket.based_on > self._log.number:
            raise PlatformStale(
                f'ticket {ticket.based_on} has not been read yet'
            )
        # The numbers in force here belong to other tickets, so the unanswered
        # writes of these numbers have failed: no ticket is overwritten.
        unanswered -= set(range(self._log.number + 1))
        self._check(ticket)
        number = self._log.number + 1
        document = self._stamp(ticket)
        await self._create(number, document, unanswered)
        self._log.apply(number, document)
        return number

    async def _create(
        self,
        number: int,
        document: bytes,
        unanswered: set[int],
    ) -> None:
        # A conflict after an unanswered write may be a conflict with it.
        is_first = number not in unanswered
        unanswered.add(number)
        try:
            await self._platform.create(ticket_key(number), document)
        except (WriteConflict, PlatformCallNotSent):
            if is_first:
                unanswered.discard(number)
            raise

    def _find(self, ticket: Ticket) -> int:
        record = self._log.find(ticket.author)
        if record is None:
            return 0
        if record.digest != digest_ticket(ticket):
            raise AuthorIdReused(
                f'author {ticket.author!r} is already used by '
                f'ticket {record.number}, which has other content',
            )
        return record.number

    def _check(self, ticket: Ticket) -> None:
        history = self._log.history
        if ticket.based_on < history.floor:
            raise TicketOutdated(
                f'based_on {ticket.based_on} is older than '
                f'{history.floor}, the oldest base that can be compared',
            )
        clashes = history.find_conflicts(
            ticket.touched_objects(), ticket.based_on
        )
        if clashes:
            raise TicketConflict(max(clashes.values()), sorted(clashes))
        faults = find_faults(self._log.configuration, ticket)
        if faults:
            raise TicketInvalid(faults)

    def _stamp(self, ticket: Ticket) -> bytes:
        created = max(self._clock.now(), self._log.created)
        return encode_ticket(
            msgspec.structs.replace(ticket, created=created),
        )
