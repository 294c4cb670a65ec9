"""Background tasks that an object starts and keeps."""

import asyncio

import structlog

LOG = structlog.get_logger(__name__)


class TaskSet:
    """Keeps tasks alive until they end, and logs those that fail."""

    def __init__(self):
        # A dict keeps the order of their start: runs on given time repeat.
        self._tasks = {}

    def __len__(self):
        return len(self._tasks)

    def __iter__(self):
        return iter(list(self._tasks))

    def spawn(self, coroutine):
        """Start a coroutine and return its task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks[task] = True
        task.add_done_callback(self._finish)
        return task

    def cancel(self):
        """Cancel all tasks."""
        for task in self:
            task.cancel()

    def _finish(self, task):
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("task_failed", exc_info=task.exception())
