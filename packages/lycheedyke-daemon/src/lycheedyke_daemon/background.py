"""The tasks of an instance that run until its stop."""

import asyncio
import logging
from collections.abc import Coroutine

# A task ends within one loop iteration; all cancels take less than 0.5 s.
CANCEL_SECONDS = 0.1
MAX_CANCELS = 4

_logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Starts tasks, logs those that fail, and ends all together."""

    def __init__(self) -> None:
        """Starts without tasks."""
        self._tasks: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        """Returns the names of the tasks."""
        names = ', '.join(task.get_name() for task in self._tasks)
        return f'<BackgroundTasks: {names}>'

    def start(self, name: str, work: Coroutine[object, object, None]) -> None:
        """Starts a task."""
        task = asyncio.create_task(work, name=name)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)

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


def _log_failure(task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None:
        _logger.error(
            'task failed',
            extra={'task': task.get_name(), 'error': repr(error)},
        )
