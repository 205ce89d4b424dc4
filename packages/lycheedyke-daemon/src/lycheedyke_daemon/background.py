"""The tasks of an instance that run until its stop."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

# A task ends within one loop iteration; all cancels take less than 0.5 s.
CANCEL_SECONDS = 0.1
MAX_CANCELS = 4
RESTART_SECONDS = 1

TaskFactory = Callable[[], Coroutine[object, object, None]]

_logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Runs tasks, again those that fail, and ends all together."""

    def __init__(self) -> None:
        """Starts without tasks."""
        self._tasks: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        """Returns the names of the tasks."""
        names = ', '.join(task.get_name() for task in self._tasks)
        return f'<BackgroundTasks: {names}>'

    def start(self, name: str, run: TaskFactory) -> None:
        """Starts a task.

        Args:
            name: the name of the task.
            run: returns what the task does; called again after each failure.
        """
        self._tasks.append(asyncio.create_task(_keep_running(run), name=name))

    async def end(self) -> None:
        """Cancels all tasks, repeatedly if a cancellation was swallowed.

        Code that a task awaits may swallow the cancellation and return as if
        its call had ended.
        """
        pending = set(self._tasks)
        for _ in range(MAX_CANCELS):
            if not pending:
                return
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_SECONDS)
            for task in pending:
                _logger.warning(
                    'task not ended', extra={'task': task.get_name()}
                )


async def _keep_running(run: TaskFactory) -> None:
    """Runs a task to its end, and again after each failure."""
    while True:
        try:
            return await run()
        except Exception as error:
            task = asyncio.current_task()
            _logger.exception(
                'task failed',
                extra={
                    'task': task.get_name() if task else '',
                    'error': repr(error),
                },
            )
        await asyncio.sleep(RESTART_SECONDS)
