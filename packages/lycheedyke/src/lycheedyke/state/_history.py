"""What is remembered of accepted tickets: authors and touched objects."""

from collections.abc import Iterable
from typing import NamedTuple, Self

from lycheedyke.protocol import Ticket, TicketRecord, digest_ticket

MAX_RECORDS = 4096
MAX_TOUCHES = 20_000


class TicketHistory(NamedTuple):
    """Recent tickets, the oldest first; never changed in place.

    Attributes:
        records: each ticket's author and, above the floor, its objects.
        floor: the newest ticket whose touched objects are forgotten.
    """

    records: tuple[TicketRecord, ...] = ()
    floor: int = 0

    def add(self, number: int, ticket: Ticket) -> Self:
        """Returns the history with one more ticket."""
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
        )._forget()

    def find(self, author: str) -> TicketRecord | None:
        """Returns the ticket of an author id, or None."""
        for record in reversed(self.records):
            if record.author == author:
                return record
        return None

    def find_conflicts(
        self, touches: Iterable[str], base: int
    ) -> dict[str, int]:
        """Returns the objects changed after a number, with the last change.

        Args:
            touches: names of objects.
            base: a number not below the floor.
        """
        wanted = set(touches)
        found: dict[str, int] = {}
        for record in self.records:
            if record.number > base:
                changed = wanted.intersection(record.touches)
                found.update(dict.fromkeys(changed, record.number))
        return found

    def _forget(self) -> Self:
        excess = sum(len(record.touches) for record in self.records)
        excess -= MAX_TOUCHES
        if excess <= 0:
            return self
        records = list(self.records)
        floor = self.floor
        for place, record in enumerate(records[:-1]):
            if excess <= 0:
                break
            excess -= len(record.touches)
            floor = max(floor, record.number)
            records[place] = TicketRecord(
                record.number,
                record.author,
                record.digest,
            )
        return self._replace(records=tuple(records), floor=floor)
