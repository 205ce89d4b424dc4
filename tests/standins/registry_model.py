"""A model of a registry that loses writes: its items, history and copies."""

from random import Random

from lycheedyke.coordination import Replica
from lycheedyke.protocol import (
    EvacuationRecord,
    ItemBatch,
    Position,
    RegistryItem,
    RegistryRecord,
)
from standins.records import make_upstream

NAMES = ('a', 'b', 'c')


class RegistryModel:
    """Writes and removes upstreams and evacuations at random.

    Args:
        choice: decides what is written.
    """

    def __init__(self, choice: Random) -> None:
        """Starts at revision 1 without items."""
        self.generation = 0
        self._choice = choice
        self._revision = 1
        self._born = 0
        self._writes: list[RegistryItem] = []

    @property
    def position(self) -> Position:
        """The generation and the revision of the last write."""
        return Position(self.generation, self._revision)

    def write(self, count: int) -> None:
        """Makes some writes of random keys; each upstream's run is new."""
        for _ in range(count):
            self._revision += 1
            self._writes.append(self._make_item())

    def restore(self, lost: int) -> None:
        """Comes back from a copy that lacks the last writes."""
        self.generation += 1
        del self._writes[-lost:]
        self._revision = self._writes[-1].revision if self._writes else 1

    def records(self) -> dict[str, RegistryRecord]:
        """Returns the present records."""
        return {
            item.key: item.record
            for item in self._newest().values()
            if item.record is not None
        }

    def changes_after(self, position: Position) -> ItemBatch:
        """Returns the changes, or all items for an earlier generation."""
        items = tuple(self._newest().values())
        if position.generation == self.generation:
            items = tuple(
                item for item in items if item.revision > position.revision
            )
        return ItemBatch(self._revision, items, self.generation)

    def is_history_of(self, replica: Replica) -> bool:
        """Returns whether a replica holds only what was written here.

        That is so for each replica of an earlier generation.
        """
        if replica.position.generation < self.generation:
            return True
        items = replica.changes_after(Position(-1, 0)).items
        return {item for item in items if item.record} <= set(self._writes)

    def _newest(self) -> dict[str, RegistryItem]:
        return {item.key: item for item in self._writes}

    def _make_item(self) -> RegistryItem:
        name = self._choice.choice(NAMES)
        record: RegistryRecord
        if self._choice.random() < 0.5:
            key = f'evacuation/{name}'
            record = EvacuationRecord(name)
        else:
            key = f'upstream/{name}'
            self._born += 1
            record = make_upstream(name, born=self._born)
        if self._choice.random() < 0.4:
            return RegistryItem(key, self._revision)
        return RegistryItem(key, self._revision, record)
