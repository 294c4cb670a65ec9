"""Clocks, given to whatever needs the time."""

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Tells the time; tests give one that they move by hand."""

    @abc.abstractmethod
    def wall(self):
        """Return seconds since the epoch, for deadlines others share."""

    @abc.abstractmethod
    def steady(self):
        """Return seconds that never go back and count suspended time."""


class SystemClock(Clock):
    """The clocks of the machine."""

    def wall(self):
        return time.time()

    def steady(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that stands until it is moved."""

    def __init__(self, now=1_000_000.0):
        self.now = now

    def wall(self):
        return self.now

    def steady(self):
        return self.now

    def advance(self, seconds):
        """Move the clock forward."""
        self.now += seconds


def loop_time():
    """Return the time of the running event loop in seconds.

    It is monotonic, and does not count the time for which the process was
    suspended.
    """
    return asyncio.get_running_loop().time()
