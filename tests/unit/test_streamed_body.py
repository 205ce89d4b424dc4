"""Bodies that are passed on while they are received."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from lycheedyke.exceptions import BodyMemoryFull
from lycheedyke.transport import BodyMemory, StreamedBody
from standins.virtual_time import run_in_virtual_time

CHUNK = b'x' * 100
MEMORY_BYTES = 1000
MAX_HELD = 400
LENGTH = 800


def _play(scene: Callable[[BodyMemory], Awaitable[None]]) -> None:
    async def _run() -> None:
        await scene(BodyMemory(MEMORY_BYTES))

    run_in_virtual_time(_run())


def _body(memory: BodyMemory, length: int = LENGTH) -> StreamedBody:
    return StreamedBody(memory, MAX_HELD, length)


async def _is_waiting(task: asyncio.Task[object], seconds: float) -> bool:
    await asyncio.sleep(seconds)
    return not task.done()


def test_the_end_waits_until_the_body_is_complete() -> None:
    """Guards against a faulty response whose bytes all went out."""

    async def _scene(memory: BodyMemory) -> None:
        body = _body(memory, 2 * len(CHUNK))
        await body.write(CHUNK)
        assert await body.next_chunk() == CHUNK
        await body.write(CHUNK)
        last = asyncio.create_task(body.next_chunk())
        assert await _is_waiting(last, 5)
        body.finish()
        assert await last == CHUNK
        assert await body.next_chunk() == b''
        assert memory.used == 2 * len(CHUNK)
        body.release_sent(2 * len(CHUNK))
        assert not memory.used

    _play(_scene)


def test_a_body_waits_at_its_own_bound() -> None:
    """Guards against one slow caller that takes all memory."""

    async def _scene(memory: BodyMemory) -> None:
        body = _body(memory)
        for _ in range(4):
            await body.write(CHUNK)
        assert not body.was_held_up
        more = asyncio.create_task(body.write(CHUNK))
        assert await _is_waiting(more, 5)
        assert (body.was_held_up, memory.used) == (True, MAX_HELD)
        body.release_sent(len(await body.next_chunk()))
        await more
        body.release()
        assert not memory.used

    _play(_scene)


def test_full_memory_is_waited_for_before_it_is_taken() -> None:
    """The largest body is broken off only after a second.

    Guards against responses that are cut off in a short peak.
    """

    async def _scene(memory: BodyMemory) -> None:
        bodies = [_body(memory) for _ in range(3)]
        broken: list[int] = []
        for at, (body, count) in enumerate(zip(bodies, (4, 3, 3), strict=True)):
            body.break_off_rest = lambda at=at: broken.append(at)
            for _ in range(count):
                await body.write(CHUNK)
        small = _body(memory)
        more = asyncio.create_task(small.write(CHUNK))
        assert await _is_waiting(more, 0.9)
        assert not broken
        await more
        assert broken == [0]
        assert bodies[0].is_broken
        with pytest.raises(BodyMemoryFull):
            await bodies[0].next_chunk()
        with pytest.raises(BodyMemoryFull):
            await bodies[0].write(CHUNK)
        # What was broken off is not released twice.
        bodies[0].release_sent(len(CHUNK))
        assert memory.used == 7 * len(CHUNK)

    _play(_scene)


def test_the_largest_body_waits_for_the_others() -> None:
    """Guards against a body that is broken off for itself."""

    async def _scene(memory: BodyMemory) -> None:
        bodies = [_body(memory) for _ in range(4)]
        for body, count in zip(bodies, (3, 3, 2, 2), strict=True):
            for _ in range(count):
                await body.write(CHUNK)
        more = asyncio.create_task(bodies[0].write(CHUNK))
        assert await _is_waiting(more, 3)
        assert not any(body.is_broken for body in bodies)
        bodies[3].release()
        await more
        assert memory.used == 9 * len(CHUNK)

    _play(_scene)
