"""Faults that can be switched while a stand-in runs."""

import asyncio
import random

FAULTS = ("down", "slow", "lose", "cut", "lethal", "limit", "backoff")


class Faults:
    """The faults in force, read before and after each call.

    :ivar down: answer nothing
    :ivar slow: seconds added to each call
    :ivar lose: share of answers that are lost after the call took effect
    :ivar cut: names of instances whose calls get no answer
    :ivar lethal: text that a request holds which crashes what runs it, "" for
        none
    :ivar limit: text of the rate limit that answers name, "" for none
    :ivar backoff: text of the time to back off with which requests are
        refused, "" to refuse none
    """

    __slots__ = (*FAULTS, "_random")

    def __init__(self, seed=1):
        self.down = False
        self.slow = 0.0
        self.lose = 0.0
        self.cut = ()
        self.lethal = ""
        self.limit = ""
        self.backoff = ""
        self._random = random.Random(seed)

    def set(self, values):
        """Take over the named faults from parsed JSON."""
        for name in FAULTS:
            if name in values:
                setattr(self, name, values[name])

    async def before(self, instance=""):
        """Wait as told; raise ConnectionAbortedError to drop the call."""
        if self.slow:
            await asyncio.sleep(self.slow)
        if self.down or instance in self.cut:
            raise ConnectionAbortedError

    async def after(self, instance=""):
        """Raise ConnectionAbortedError to lose the answer."""
        if self.down or instance in self.cut:
            raise ConnectionAbortedError
        if self.lose and self._random.random() < self.lose:
            raise ConnectionAbortedError
