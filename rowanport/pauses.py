"""Notice that the process was paused, by a clock that went on."""

import asyncio

TICK = 0.5
LIMIT = 3.0


class PauseDetector:
    """Counts the pauses of a process.

    :param clock: a Clock whose steady time counts suspended time
    """

    def __init__(self, clock):
        self._clock = clock
        self._last = clock.steady()
        self._count = 0

    def count(self):
        """Return the number of pauses, one just ended included."""
        now = self._clock.steady()
        return self._count + (now - self._last > LIMIT)

    def tick(self):
        """Note that the process runs."""
        self._count = self.count()
        self._last = self._clock.steady()

    async def run(self):
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK)
