"""Bounds the memory of all bodies that are received at the same time."""

import contextlib
from collections.abc import Callable, Iterator
from contextvars import ContextVar

from lycheedyke.exceptions import BodyMemoryFull, BodyTooLarge

_hold: ContextVar['_Hold | None'] = ContextVar('hold', default=None)


class BodyMemory:
    """Bounds the memory of bodies, and breaks off the largest at the bound.

    If a body needs more memory than is left, the largest of the incomplete
    bodies is broken off, which may be that body itself. So a body that is
    smaller than the bound divided by the number of bodies is never broken off
    for another one, unless complete bodies fill the memory.

    Attributes:
        max_bytes: the maximum number of bytes of all bodies.
        used: the bytes of all bodies now.

    Args:
        max_bytes: the bound.
    """

    def __init__(self, max_bytes: int) -> None:
        """Initializes the memory without bodies."""
        self.max_bytes = max_bytes
        self.used = 0
        self._incomplete: set[IncomingBody] = set()

    def __repr__(self) -> str:
        """Returns the bytes in use and the bound."""
        return f'<BodyMemory {self.used}/{self.max_bytes}>'

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Accounts for the bodies that are completed in the block to its end.

        Without such a block, a body is not accounted for once it is complete.
        """
        hold = _Hold(self, _hold.get())
        token = _hold.set(hold)
        try:
            yield
        finally:
            _hold.reset(token)
            hold.end()

    @contextlib.contextmanager
    def receive(
        self,
        max_bytes: int,
        on_break: Callable[[], None] | None = None,
    ) -> Iterator['IncomingBody']:
        """Yields a new body, and releases it after the block.

        Args:
            max_bytes: the maximum size of this body.
            on_break: called when the body is broken off for another one.
        """
        body = IncomingBody(self, min(max_bytes, self.max_bytes), on_break)
        self.register(body)
        try:
            yield body
        finally:
            body.release()

    def register(self, body: 'IncomingBody') -> None:
        """Accounts for an incomplete body until it is released."""
        self._incomplete.add(body)

    def has_room(self, amount: int) -> bool:
        """Returns whether an amount is left without breaking off a body."""
        return self.used + amount <= self.max_bytes

    def acquire(self, body: 'IncomingBody', amount: int) -> None:
        """Acquires memory for an incomplete body, at the cost of the largest.

        Raises:
            BodyMemoryFull: the body itself is the largest.
        """
        while not self.has_room(amount):
            largest = max(self._incomplete, key=_size)
            if body.size + amount >= largest.size:
                raise BodyMemoryFull(
                    f'{body.size + amount} bytes are the largest body of '
                    f'{self.used} bytes; at most {self.max_bytes} are allowed',
                )
            largest.break_off()
        self.used += amount

    def release(self, body: 'IncomingBody', *, is_complete: bool) -> None:
        """Releases a body, or lets the block of `hold` release it."""
        self._incomplete.discard(body)
        hold = self._find_hold() if is_complete else None
        if hold is not None:
            hold.size += body.size
        else:
            self.used -= body.size

    def _find_hold(self) -> '_Hold | None':
        hold = _hold.get()
        while hold is not None and hold.memory is not self:
            hold = hold.outer
        return hold


class IncomingBody:
    """A body that is being received.

    Attributes:
        size: the number of bytes accounted for.
    """

    def __init__(
        self,
        memory: BodyMemory,
        max_bytes: int,
        on_break: Callable[[], None] | None,
    ) -> None:
        """Initializes an empty body."""
        self.size = 0
        self._memory = memory
        self._max_bytes = max_bytes
        self._on_break = on_break
        self._content = bytearray()
        self._is_broken = False

    def __repr__(self) -> str:
        """Returns the size."""
        return f'<IncomingBody of {self.size} bytes>'

    def check_length(self, length: int) -> None:
        """Checks a length that was announced.

        Raises:
            BodyTooLarge: a body of this length is too large.
        """
        if length > self._max_bytes:
            raise BodyTooLarge(
                f'{length} bytes; at most {self._max_bytes} are allowed',
            )

    def append(self, chunk: bytes) -> None:
        """Appends received bytes.

        Raises:
            BodyTooLarge: the body is too large.
            BodyMemoryFull: the memory is full, and this body the largest, or
                it was broken off before.
        """
        if self._is_broken:
            raise BodyMemoryFull('broken off as the largest body')
        self.check_length(self.size + len(chunk))
        self._memory.acquire(self, len(chunk))
        self.size += len(chunk)
        self._content += chunk

    def complete(self) -> bytes:
        """Returns the complete content, which `BodyMemory.hold` releases."""
        if self._is_broken:
            raise BodyMemoryFull('broken off as the largest body')
        content = bytes(self._content)
        self._content.clear()
        self._memory.release(self, is_complete=True)
        self.size = 0
        return content

    def release(self) -> None:
        """Releases the memory; does nothing if the body is complete."""
        self._content.clear()
        self._memory.release(self, is_complete=False)
        self.size = 0

    def break_off(self) -> None:
        """Releases the memory at once; the next bytes are refused."""
        self._is_broken = True
        self.release()
        if self._on_break is not None:
            self._on_break()


class _Hold:
    """The complete bodies of a block of `BodyMemory.hold`.

    Attributes:
        size: the bytes of the bodies.
        memory: the memory; None once the block has ended, as tasks that were
            started in it may outlive it.
        outer: the block around this one, which may be of another memory.
    """

    def __init__(self, memory: BodyMemory, outer: '_Hold | None') -> None:
        self.size = 0
        self.memory: BodyMemory | None = memory
        self.outer = outer

    def end(self) -> None:
        """Releases all bodies."""
        if self.memory is not None:
            self.memory.used -= self.size
        self.memory = None


def _size(body: IncomingBody) -> int:
    return body.size
