"""An event loop whose time is given: waiting costs nothing."""

import asyncio
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    """Instead of waiting, moves the loop's time on."""

    loop = None

    def select(self, timeout=None):
        if timeout:
            self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop for code that waits only for timers and other tasks."""

    def __init__(self):
        selector = _JumpingSelector()
        selector.loop = self
        self.now = 1000.0
        super().__init__(selector)

    def time(self):
        return self.now


class LoopClock:
    """The time of a VirtualLoop, as a Clock.

    :param offset: seconds by which this clock is ahead
    """

    def __init__(self, loop, offset=0.0):
        self._loop = loop
        self.offset = offset

    def wall(self):
        return self._loop.now + self.offset

    def steady(self):
        return self._loop.now
