"""At the bound of the memory of bodies, the largest body is broken off."""

import asyncio
import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.exceptions import BodyMemoryFull, BodyTooLarge
from lycheedyke.transport import BodyMemory, IncomingBody

BOUND = 1000
BODIES = 8


def _append(body: IncomingBody, amount: int) -> bool:
    try:
        body.append(b'x' * amount)
    except BodyMemoryFull:
        body.release()
        return False
    return True


@given(
    st.lists(
        st.tuples(st.integers(0, BODIES - 1), st.integers(1, 300)),
        max_size=200,
    ),
)
def test_a_body_below_its_part_of_the_memory_is_never_broken_off(
    appended: list[tuple[int, int]],
) -> None:
    """Guards against sound answers that break for bytes without end."""
    memory = BodyMemory(BOUND)
    with contextlib.ExitStack() as stack:
        bodies = [
            stack.enter_context(memory.receive(BOUND)) for _ in range(BODIES)
        ]
        broken: set[int] = set()
        for at, amount in appended:
            before = [body.size for body in bodies]
            if at in broken:
                continue
            if not _append(bodies[at], amount):
                broken.add(at)
                assert before[at] + amount >= BOUND / BODIES
            for other, body in enumerate(bodies):
                if body.size < before[other]:
                    broken.add(other)
                    assert before[other] + amount >= BOUND / BODIES
            assert memory.used == sum(body.size for body in bodies) <= BOUND
    assert memory.used == 0


def test_a_broken_body_is_told_and_takes_no_more_bytes() -> None:
    """The largest body makes room at once, even if nobody reads it."""
    told: list[str] = []
    memory = BodyMemory(BOUND)
    with (
        memory.receive(BOUND, lambda: told.append('large')) as large,
        memory.receive(BOUND, lambda: told.append('small')) as small,
    ):
        large.append(b'x' * 900)
        small.append(b'y' * 200)
        assert (told, large.size, memory.used) == (['large'], 0, 200)
        with pytest.raises(BodyMemoryFull):
            large.append(b'x')
        with pytest.raises(BodyMemoryFull):
            large.complete()
        assert small.complete() == b'y' * 200


def test_a_body_above_its_own_limit_breaks_no_other() -> None:
    """A limit of one body holds before the memory is asked for."""
    memory = BodyMemory(BOUND)
    with memory.receive(BOUND) as other, memory.receive(100) as body:
        other.append(b'x' * 950)
        with pytest.raises(BodyTooLarge):
            body.append(b'y' * 101)
        assert memory.used == 950


async def _hold_and_outlive(memory: BodyMemory) -> list[int]:
    """Returns the use in a block, after it, and after a late completion."""
    found = []
    ended = asyncio.Event()

    async def _outlive() -> None:
        with memory.receive(BOUND) as body:
            body.append(b'z' * 30)
            await ended.wait()
            body.complete()

    with memory.hold():
        with memory.receive(BOUND) as body:
            body.append(b'x' * 10)
            body.complete()
        other = BodyMemory(BOUND)
        with other.hold(), other.receive(BOUND) as foreign:
            foreign.append(b'y' * 20)
            foreign.complete()
            with memory.receive(BOUND) as inner:
                inner.append(b'x' * 5)
                inner.complete()
        found.append(memory.used)
        late = asyncio.create_task(_outlive())
        await asyncio.sleep(0)
    found.append(memory.used)
    ended.set()
    await late
    return [*found, memory.used]


def test_complete_bodies_count_until_their_block_ends() -> None:
    """Guards against answers that callers read slowly and nobody counts.

    Bodies of another memory, in a block of its own or not, or of a task that
    outlives the block, are not released with it.
    """
    found = asyncio.run(_hold_and_outlive(BodyMemory(BOUND)))
    assert found == [15, 30, 0]
