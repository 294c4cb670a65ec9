"""Callers that wait for something with a name."""

import asyncio


class Waiters:
    """Futures by name; all that wait for a name get the same answer."""

    def __init__(self):
        self._waiting = {}

    async def wait(self, name):
        """Return the answer that :meth:`finish` gives."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(name, []).append(future)
        try:
            return await future
        finally:
            self._leave(name, future)

    def _leave(self, name, future):
        waiting = self._waiting.get(name, [])
        if future in waiting:
            waiting.remove(future)
        if not waiting:
            self._waiting.pop(name, None)

    def finish(self, name, answer):
        """Give all that wait for a name their answer."""
        for future in self._waiting.pop(name, []):
            if not future.done():
                future.set_result(answer)
