"""The announcement of an instance when the registry was restored."""

import asyncio
import math
import random
from datetime import timedelta

import pytest

from lycheedyke.coordination import Presence
from lycheedyke.coordination._presence import (
    ANNOUNCEMENT_TTL,
    MAX_RESTORE_DELAY,
    RENEWALS_PER_TTL,
)
from lycheedyke.protocol import Announcement, EntryRecord
from standins.clock import ManualClock

ENTRY = EntryRecord('e', 'x', 'a', 'r', '192.0.2.1:1', '192.0.2.1:2')
TURNS = 200
# All have announced themselves again after it, and the writes are spread. The
# delay starts one step of the clock after the restore, and ends on a step.
AGAIN = MAX_RESTORE_DELAY * (TURNS + 2) / TURNS


class _Clock(ManualClock):
    """A clock on which sleepers wait until the test advances it."""

    def __init__(self) -> None:
        super().__init__()
        self._advanced = asyncio.Event()

    def advance(self, seconds: float) -> None:
        super().advance(seconds)
        self._advanced.set()
        self._advanced = asyncio.Event()

    async def sleep(self, duration: timedelta) -> None:
        end = self.elapsed() + duration
        while self.elapsed() < end:
            await self._advanced.wait()


class _Registry:
    """Gives out leases and accepts all renewals."""

    def __init__(self) -> None:
        self.generation = 0
        self.announced: list[int] = []
        self.renewed: list[int] = []
        self.ended: list[int] = []

    async def announce(
        self, entry: EntryRecord, ttl: timedelta
    ) -> Announcement:
        generation = self.generation
        await asyncio.sleep(0)
        self.announced.append(generation)
        return Announcement('e', len(self.announced), generation)

    async def renew(self, announcement: Announcement) -> None:
        self.renewed.append(announcement.lease)

    async def withdraw(self, announcement: Announcement) -> None:
        self.ended.append(announcement.lease)


async def _pass(clock: _Clock, duration: timedelta) -> None:
    """Lets time pass in small steps and all tasks run."""
    for _ in range(TURNS):
        clock.advance(duration.total_seconds() / TURNS)
        for _ in range(4):
            await asyncio.sleep(0)


class _Scene:
    """A presence that has announced itself in generation 0."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.registry = _Registry()
        self.presence = Presence(
            self.registry,  # type: ignore[arg-type]
            ENTRY,
            self.clock,
        )

    async def __aenter__(self) -> '_Scene':
        self._task = asyncio.create_task(self.presence.keep_announced())
        await _pass(self.clock, timedelta(milliseconds=100))
        return self

    async def __aexit__(self, *args: object) -> None:
        self._task.cancel()


# Guards against a test that failed when the longest delays were drawn.
@pytest.mark.parametrize('drawn', [0.0, 0.5, math.nextafter(1, 0)])
def test_a_lease_that_the_copy_holds_is_not_relied_on(
    monkeypatch: pytest.MonkeyPatch, drawn: float
) -> None:
    """It may be another's by now; the announcement is made again soon."""
    monkeypatch.setattr(random, 'random', lambda: drawn)

    async def _check() -> None:
        async with _Scene() as scene:
            scene.registry.generation = 1
            scene.presence.mark_restored(1)
            await _pass(scene.clock, AGAIN)
            assert scene.registry.announced == [0, 1]
            assert not scene.registry.renewed

    asyncio.run(_check())


def test_instances_do_not_announce_themselves_at_the_same_moment() -> None:
    """Of a hundred, no tenth of a second has more than thirty."""

    async def _check() -> None:
        scenes = [_Scene() for _ in range(100)]
        counts = [0]
        for scene in scenes:
            async with scene:
                scene.registry.generation = 1
                scene.presence.mark_restored(1)
                for tenth in range(10):
                    await _pass(scene.clock, AGAIN / 10)
                    if len(scene.registry.announced) > 1:
                        counts.append(tenth)
                        break
        spread = [counts[1:].count(tenth) for tenth in range(10)]
        assert max(spread) <= 30, spread

    asyncio.run(_check())


def test_an_announcement_that_was_made_again_is_kept() -> None:
    """The word of the restore may come after the new announcement."""

    async def _check() -> None:
        async with _Scene() as scene:
            scene.registry.generation = 1
            scene.presence.mark_restored(1)
            await _pass(scene.clock, AGAIN)
            scene.presence.mark_restored(1)
            await _pass(scene.clock, AGAIN)
            assert scene.registry.announced == [0, 1]

    asyncio.run(_check())


def test_an_announcement_on_its_way_at_the_restore_is_made_again() -> None:
    """It was made in the earlier generation, so it may be lost."""

    async def _check() -> None:
        scene = _Scene()
        announcing = asyncio.create_task(scene.presence.keep_announced())
        await asyncio.sleep(0)
        scene.presence.mark_restored(1)
        scene.registry.generation = 1
        await _pass(scene.clock, ANNOUNCEMENT_TTL / RENEWALS_PER_TTL * 1.2)
        announcing.cancel()
        assert scene.registry.announced == [0, 1]

    asyncio.run(_check())


def test_a_stop_before_that_does_not_end_a_lease_of_another() -> None:
    """The lease was given out before the restore, and maybe again since."""

    async def _check() -> None:
        scene = _Scene()
        announcing = asyncio.create_task(scene.presence.keep_announced())
        await asyncio.sleep(0)
        scene.presence.mark_restored(1)
        await _pass(scene.clock, AGAIN / 10)
        await scene.presence.withdraw()
        announcing.cancel()
        assert scene.registry.announced == [0]
        assert not scene.registry.ended

    asyncio.run(_check())


def test_a_planned_stop_does_not_end_a_lease_of_another() -> None:
    """The lease of before the restore may have been given out again."""

    async def _check() -> None:
        async with _Scene() as scene:
            scene.registry.generation = 1
            scene.presence.mark_restored(1)
            await scene.presence.withdraw()
            await _pass(scene.clock, ANNOUNCEMENT_TTL)
            assert not scene.registry.ended
            assert scene.registry.announced == [0]

    asyncio.run(_check())
