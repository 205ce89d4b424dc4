"""A limit on the memory that bodies take together."""

from lycheedyke.exceptions import StateError
from lycheedyke.protocol import Reason


class MemoryFull(StateError):
    """There is no memory left for a body."""

    reason = Reason.memory_full


class MemoryBudget:
    """Counts the bytes of all bodies in memory against one limit.

    Args:
        max_bytes: the most bytes taken at a time.
    """

    def __init__(self, max_bytes: int) -> None:
        """Makes a budget of which nothing is taken."""
        self.used = 0
        self._max_bytes = max_bytes

    def __repr__(self) -> str:
        """Returns the bytes taken and the limit."""
        return f'<MemoryBudget {self.used}/{self._max_bytes}>'

    def acquire(self, amount: int) -> None:
        """Takes bytes.

        Raises:
            MemoryFull: fewer are left; none are taken.
        """
        if self.used + amount > self._max_bytes:
            raise MemoryFull(f'{self.used} of {self._max_bytes} bytes taken')
        self.used += amount

    def release(self, amount: int) -> None:
        """Gives taken bytes back."""
        self.used -= amount
