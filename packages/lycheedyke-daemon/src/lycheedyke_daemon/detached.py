"""Tasks that run to their end, even if their waiter is cancelled."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class DetachedTasks:
    """Tasks that are not cancelled together with their waiter."""

    def __init__(self) -> None:
        """Starts without tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        """Returns the number of tasks that run."""
        return len(self._tasks)

    def __repr__(self) -> str:
        """Returns the number of tasks that run."""
        return f'<DetachedTasks: {len(self)} running>'

    def start(
        self,
        job: Coroutine[Any, Any, _Result],
    ) -> asyncio.Task[_Result]:
        """Starts a task and keeps a reference to it until its end."""
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def run(self, job: Coroutine[Any, Any, _Result]) -> _Result:
        """Starts a task and returns its result."""
        return await asyncio.shield(self.start(job))

    async def close(self) -> None:
        """Waits until all tasks have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)
