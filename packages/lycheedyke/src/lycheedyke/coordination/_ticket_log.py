"""The tickets in force at an instance and the resulting configuration."""

import logging
from collections.abc import Callable
from datetime import datetime
from typing import NamedTuple

from lycheedyke.exceptions import DocumentMalformed, DocumentTooNew
from lycheedyke.protocol import (
    CREATED_UNSET,
    Snapshot,
    Ticket,
    TicketRecord,
    decode_ticket,
)
from lycheedyke.state import (
    Configuration,
    TicketHistory,
    find_reference_faults,
)
from lycheedyke.state import export_configuration as export
from lycheedyke.state import restore_configuration as restore

MAX_KEPT = 512
MAX_KEPT_BYTES = 8_000_000
MAX_REPLY_BYTES = 1_000_000

_logger = logging.getLogger(__name__)


class _Applied(NamedTuple):
    """The configuration and history that result from a ticket."""

    configuration: Configuration
    history: TicketHistory
    created: datetime


class TicketLog:
    """The newest tickets known here, and the result of all tickets.

    The number in force only increases, by one ticket at a time or by a
    snapshot of a higher number.

    Args:
        on_change: called after each change with the new configuration.
        count: increments the counter of a name.
    """

    def __init__(
        self,
        on_change: Callable[[Configuration], None],
        count: Callable[[str], None] | None = None,
    ) -> None:
        """Initializes an empty log."""
        self.configuration = Configuration()
        self.history = TicketHistory()
        self.blocked = ''
        self.snapshot_number = 0
        self._created = CREATED_UNSET
        self._documents: dict[int, bytes] = {}
        self._kept_bytes = 0
        self._on_change = on_change
        self._count = count or (lambda _: None)

    def __repr__(self) -> str:
        """Returns the newest number."""
        return f'<TicketLog at {self.number}>'

    @property
    def number(self) -> int:
        """The number of the newest ticket in force here."""
        return self.configuration.number

    @property
    def created(self) -> datetime:
        """The time at which the newest ticket was accepted."""
        return self._created

    def apply(self, number: int, document: bytes) -> bool:
        """Applies a ticket if it is the next one; returns whether it was.

        A document that no version can apply uses up its number without any
        effect, at every instance alike. A document of a newer version blocks
        the log before its number; `blocked` holds the reason until this
        instance is upgraded.
        """
        if number != self.number + 1:
            return False
        try:
            applied = self._apply(number, document)
        except DocumentTooNew as error:
            self._block(number, error)
            return False
        except DocumentMalformed as error:
            self._count('ticket.void')
            _logger.error('ticket %d has no effect: %s', number, error)
            applied = self._skip(number)
        self._keep(number, document)
        self._set(applied)
        return True

    def restore(self, snapshot: Snapshot) -> bool:
        """Restores a snapshot if its number is higher; returns whether it was."""
        if snapshot.number <= self.number:
            return False
        self._documents.clear()
        self._kept_bytes = 0
        self.snapshot_number = max(self.snapshot_number, snapshot.number)
        self._count('ticket.restored')
        history = TicketHistory(snapshot.records, snapshot.floor)
        self._set(_Applied(restore(snapshot), history, snapshot.created))
        return True

    def snapshot(self) -> Snapshot:
        """Returns a snapshot of the configuration in force."""
        return export(self.configuration, self.history, self._created)

    def documents_after(self, number: int) -> tuple[bytes, ...]:
        """Returns the documents after a number, as many as fit a reply.

        The result is empty if the next document is no longer kept.
        """
        found: list[bytes] = []
        size = 0
        for later in range(number + 1, self.number + 1):
            document = self._documents.get(later)
            if document is None:
                break
            size += len(document)
            if found and size > MAX_REPLY_BYTES:
                break
            found.append(document)
        return tuple(found)

    def document(self, number: int) -> bytes | None:
        """Returns the document of a ticket, or None."""
        return self._documents.get(number)

    def find(self, author: str) -> TicketRecord | None:
        """Returns the ticket of an author id, or None."""
        return self.history.find(author)

    def bytes_after(self, number: int) -> int:
        """Returns the size of the kept documents after a number."""
        return sum(
            len(document)
            for later, document in self._documents.items()
            if later > number
        )

    def _apply(self, number: int, document: bytes) -> _Applied:
        ticket = decode_ticket(document)
        configuration = _checked(self.configuration, number, ticket)
        return _Applied(
            configuration,
            self.history.add(number, ticket),
            max(self._created, ticket.created),
        )

    def _skip(self, number: int) -> _Applied:
        return _Applied(
            self.configuration._replace(number=number),
            self.history,
            self._created,
        )

    def _set(self, applied: _Applied) -> None:
        self.configuration = applied.configuration
        self.history = applied.history
        self._created = applied.created
        self.blocked = ''
        _logger.info('ticket in force', extra={'ticket': self.number})
        self._on_change(self.configuration)

    def _block(self, number: int, error: DocumentTooNew) -> None:
        self._count('ticket.too-new')
        if not self.blocked:
            _logger.error('ticket %d needs a newer version: %s', number, error)
        self.blocked = f'ticket {number}: {error}'

    def _keep(self, number: int, document: bytes) -> None:
        self._documents[number] = document
        self._kept_bytes += len(document)
        while len(self._documents) > MAX_KEPT or (
            self._kept_bytes > MAX_KEPT_BYTES and len(self._documents) > 1
        ):
            oldest = next(iter(self._documents))
            self._kept_bytes -= len(self._documents.pop(oldest))


def _checked(
    before: Configuration,
    number: int,
    ticket: Ticket,
) -> Configuration:
    try:
        after = before.apply(number, ticket)
    except ValueError as error:
        raise DocumentMalformed(str(error)) from error
    faults = find_reference_faults(after)
    if faults:
        raise DocumentMalformed('; '.join(faults))
    return after
