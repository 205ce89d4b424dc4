"""A body that is passed on while it is received."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.exceptions import BodyMemoryFull
from lycheedyke.transport._body_memory import BodyMemory, IncomingBody

# How long a body waits for memory before it takes it from the largest one.
# Below the time after which upstreams cut off a response that stays unread.
MEMORY_WAIT = timedelta(seconds=1)
# Memory that other bodies release is noticed within this time.
MEMORY_POLL = timedelta(milliseconds=50)


class StreamedBody(IncomingBody):
    """The received bytes of a body that are not passed on yet.

    They count in the memory of all bodies. The body may be broken off for
    another one as long as it holds any, also once it is complete.

    Args:
        memory: bounds the memory of all bodies.
        max_held: how many bytes may be held before `write` waits.
        length: the length of the whole body.

    Attributes:
        break_off_rest: called when the body is broken off for another one.
        was_held_up: whether `write` has waited for room.
    """

    def __init__(self, memory: BodyMemory, max_held: int, length: int) -> None:
        """Initializes a body of which nothing was received."""
        super().__init__(memory, max_held, self._handle_break)
        self.break_off_rest: Callable[[], None] | None = None
        self.was_held_up = False
        self._length = length
        self._received = 0
        self._is_complete = False
        self._is_released = False
        self._chunks: deque[bytes] = deque()
        self._changed = asyncio.Event()
        memory.register(self)

    @property
    def is_broken(self) -> bool:
        """Whether the body was broken off for another one."""
        return self._is_broken

    async def write(self, chunk: bytes) -> None:
        """Holds received bytes, and waits until there is room for them.

        Raises:
            BodyMemoryFull: the body was broken off for another one.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + MEMORY_WAIT.total_seconds()
        while not self._acquire(len(chunk), is_due=loop.time() >= due):
            self.was_held_up = True
            await self._wait_changed(MEMORY_POLL)
        self._received += len(chunk)
        self._chunks.append(chunk)
        self._changed.set()

    async def next_chunk(self) -> bytes:
        """Waits for bytes to pass on; returns none at the end of the body.

        The last bytes are held until the body is known to be complete:
        otherwise a response whose end is faulty would look complete.

        Raises:
            BodyMemoryFull: the body was broken off for another one.
        """
        while not self._may_take():
            if self._is_complete and not self._chunks:
                return b''
            await self._wait_changed(None)
        return self._chunks.popleft()

    def release_sent(self, count: int) -> None:
        """Releases the memory of so many bytes that were passed on."""
        if not self._is_released:
            self._memory.used -= count
            self.size -= count
            self._changed.set()

    def finish(self) -> None:
        """Notes that the body is complete, so that its end may be passed on."""
        self._is_complete = True
        self._changed.set()

    def release(self) -> None:
        """Releases the memory of all bytes; nothing more is passed on."""
        self._is_released = True
        self._chunks.clear()
        super().release()

    def _acquire(self, amount: int, *, is_due: bool) -> bool:
        """Acquires memory; returns whether there was any.

        Once it is due, others are broken off for it.
        """
        self._check_broken()
        if self.size and self.size + amount > self._max_bytes:
            return False
        if not self._memory.has_room(amount) and not is_due:
            return False
        try:
            self._memory.acquire(self, amount)
        except BodyMemoryFull:
            # This is the largest; it waits until others need its memory.
            return False
        self.size += amount
        return True

    def _may_take(self) -> bool:
        self._check_broken()
        if not self._chunks:
            return False
        is_end = len(self._chunks) == 1 and self._received == self._length
        return self._is_complete or not is_end

    def _check_broken(self) -> None:
        if self._is_broken:
            raise BodyMemoryFull('broken off as the largest body')

    async def _wait_changed(self, limit: timedelta | None) -> None:
        self._changed.clear()
        seconds = limit.total_seconds() if limit is not None else None
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _handle_break(self) -> None:
        self._changed.set()
        if self.break_off_rest is not None:
            self.break_off_rest()
