"""Hands operators' tickets in: accepted, not accepted, or unknown."""

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

APPLY_TIME = timedelta(seconds=10)
RETRY_LEAST = timedelta(milliseconds=20)
RETRY_MOST = timedelta(seconds=1)


class LogWriter:
    """Appends tickets to the log in the platform.

    Args:
        log: the tickets in force here.
        reader: brings the log up to the platform's.
        platform: the platform's key-value service.
        clock: stamps tickets.
        limit: the longest time for one ticket.
    """

    def __init__(
        self,
        log: TicketLog,
        reader: LogReader,
        platform: PlatformClient,
        clock: Clock,
        limit: timedelta = APPLY_TIME,
    ) -> None:
        """Makes a writer over the log of one instance."""
        self._log = log
        self._reader = reader
        self._platform = platform
        self._clock = clock
        self._limit = limit

    def __repr__(self) -> str:
        """Returns the log."""
        return f'LogWriter({self._log!r})'

    async def apply(self, ticket: Ticket) -> int:
        """Hands a ticket in; returns its number once it is accepted.

        A ticket whose author id is already in the log is not written
        again; its number is returned.

        Raises:
            TicketInvalid: it is impossible in the present configuration.
            TicketConflict: a later ticket changed the same objects.
            TicketOutdated: what changed since its base is forgotten.
            AuthorIdReused: the author id stands in a ticket of other content.
            TicketNotAccepted: nothing was written by this call, and will not
            be; an earlier call with the same author id may have been.
            TicketOutcomeUnknown: it may be in the log.
        """
        unanswered: set[int] = set()
        try:
            async with asyncio.timeout(self._limit.total_seconds()):
                return await self._apply(ticket, unanswered)
        except TimeoutError as error:
            if unanswered:
                raise TicketOutcomeUnknown(
                    f'the ticket of author {ticket.author!r} may be accepted',
                ) from error
            raise TicketNotAccepted(
                f'the ticket of author {ticket.author!r} was not accepted by '
                'this call: the platform did not take it in time',
            ) from error

    async def find(self, author: str) -> TicketRecord | None:
        """Returns the accepted ticket of an author id, or None.

        Raises:
            PlatformError: not found, and the newest tickets were not read.
        """
        record = self._log.find(author)
        if record is None:
            await self._reader.read()
            record = self._log.find(author)
        return record

    async def plan(self, ticket: Ticket) -> Plan:
        """Returns what a ticket would do, without handing it in.

        Raises:
            PlatformError: the newest tickets were not read.
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
        backoff = RETRY_LEAST
        while True:
            try:
                return await self._try(ticket, unanswered)
            except PlatformError:
                await self._clock.sleep(backoff * random.uniform(0.5, 1))
                backoff = min(RETRY_MOST, backoff * 2)

    async def _try(self, ticket: Ticket, unanswered: set[int]) -> int:
        await self._reader.read()
        accepted = self._find(ticket)
        if accepted:
            return accepted
        if ticket.based_on > self._log.number:
            raise PlatformStale(f'ticket {ticket.based_on} is not seen yet')
        # Numbers in force here are taken by others: nothing is overwritten.
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
        # A conflict after an unanswered write may be with that write.
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
