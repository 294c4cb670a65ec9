"""Futures that callers wait on, by key."""

import asyncio


class Waiters:
    """Futures by key; all that wait for a key get the same answer."""

    def __init__(self):
        self._waiting = {}

    async def wait(self, key):
        """Wait for the answer that :meth:`finish` gives for a key."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(key, []).append(future)
        try:
            return await future
        finally:
            self._remove(key, future)

    def _remove(self, key, future):
        waiting = self._waiting.get(key, [])
        if future in waiting:
            waiting.remove(future)
        if not waiting:
            self._waiting.pop(key, None)

    def finish(self, key, answer):
        """Give an answer to all that wait for a key."""
        for future in self._waiting.pop(key, []):
            if not future.done():
                future.set_result(answer)
