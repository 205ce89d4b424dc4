"""The history of accepted tickets: their authors and touched objects."""

from collections.abc import Iterable
from typing import NamedTuple, Self

from lycheedyke.protocol import Ticket, TicketRecord, digest_ticket

MAX_RECORDS = 4096
MAX_TOUCHES = 20_000


class TicketHistory(NamedTuple):
    """Recent tickets, the oldest first; immutable.

    Attributes:
        records: the author of each ticket and, above the floor, the objects
            that the ticket touches.
        floor: the newest ticket whose touched objects were dropped.
    """

    records: tuple[TicketRecord, ...] = ()
    floor: int = 0

    def add(self, number: int, ticket: Ticket) -> Self:
        """Returns the history with a ticket added."""
        record = TicketRecord(
            number,
            ticket.author,
            digest_ticket(ticket),
            tuple(sorted(ticket.touched_objects())),
        )
        records = (*self.records, record)[-MAX_RECORDS:]
        return self._replace(
            records=records,
            floor=max(records[0].number - 1, self.floor),
        )._drop_excess_touches()

    def find(self, author: str) -> TicketRecord | None:
        """Returns the ticket of an author id, or None."""
        for record in reversed(self.records):
            if record.author == author:
                return record
        return None

    def find_conflicts(
        self, touches: Iterable[str], base: int
    ) -> dict[str, int]:
        """Returns the objects that tickets after a number have changed.

        Args:
            touches: the names of objects.
            base: a ticket number that is not below the floor.

        Returns:
            The number of the last ticket that changed each object.
        """
        wanted = set(touches)
        found: dict[str, int] = {}
        for record in self.records:
            if record.number > base:
                changed = wanted.intersection(record.touches)
                found.update(dict.fromkeys(changed, record.number))
        return found

    def _drop_excess_touches(self) -> Self:
        excess = sum(len(record.touches) for record in self.records)
        excess -= MAX_TOUCHES
        if excess <= 0:
            return self
        records = list(self.records)
        floor = self.floor
        for index, record in enumerate(records[:-1]):
            if excess <= 0:
                break
            excess -= len(record.touches)
            floor = max(floor, record.number)
            records[index] = TicketRecord(
                record.number,
                record.author,
                record.digest,
            )
        return self._replace(records=tuple(records), floor=floor)
