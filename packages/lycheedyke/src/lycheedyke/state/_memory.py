"""A limit on the memory of all request and reply bodies."""

from lycheedyke.exceptions import StateError
from lycheedyke.protocol import Reason


class MemoryFull(StateError):
    """The memory limit leaves too few bytes for a body."""

    reason = Reason.memory_full


class MemoryBudget:
    """Limits the total number of bytes of all bodies in memory.

    Attributes:
        used: the bytes in use.

    Args:
        max_bytes: the maximum number of bytes in use at a time.
    """

    def __init__(self, max_bytes: int) -> None:
        """Initializes the budget with no bytes in use."""
        self.used = 0
        self._max_bytes = max_bytes

    def __repr__(self) -> str:
        """Returns the bytes in use and the limit."""
        return f'<MemoryBudget {self.used}/{self._max_bytes}>'

    def acquire(self, amount: int) -> None:
        """Acquires bytes.

        Raises:
            MemoryFull: fewer bytes are left; none were acquired.
        """
        if self.used + amount > self._max_bytes:
            raise MemoryFull(
                f'{self.used} of {self._max_bytes} bytes are in use'
            )
        self.used += amount

    def release(self, amount: int) -> None:
        """Releases bytes."""
        self.used -= amount
