"""Tells whether the current task is cancelled."""

import asyncio


def is_cancelled() -> bool:
    """Returns whether the current task, not only what it awaited, is cancelled.

    A task can be cancelled and go on: `asyncio.wait_for` drops a cancellation
    that meets the end of what it waits for.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
