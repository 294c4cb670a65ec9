"""Queues in which requests wait for a free connection."""

import asyncio


class _Turn:
    """The place of one request in a queue.

    :ivar woken: future that is done once it is woken, None if it is not
        waiting
    """

    __slots__ = ("woken",)

    def __init__(self):
        self.woken = None

    async def wait(self, seconds):
        """Wait until woken, but no longer than some seconds."""
        self.woken = asyncio.get_running_loop().create_future()
        try:
            await asyncio.wait({self.woken}, timeout=seconds)
        finally:
            self.woken = None


class Turns:
    """Queues by key; the first request in a queue is woken first.

    A request that is woken in vain, or looks again after some time, keeps its
    place.
    """

    def __init__(self):
        self._queues = {}

    def enter(self, key):
        """Return a new place at the end of a queue."""
        turn = _Turn()
        # A dict keeps the order and removes from any place.
        self._queues.setdefault(key, {})[turn] = None
        return turn

    def leave(self, key, turn):
        """Give a place up."""
        queue = self._queues[key]
        del queue[turn]
        if not queue:
            del self._queues[key]

    def wake(self, key):
        """Wake the first request of a queue that is not woken yet."""
        for turn in self._queues.get(key, ()):
            if turn.woken is not None and not turn.woken.done():
                turn.woken.set_result(None)
                return
