"""Remembers when upstreams ended connections with an answer due on them."""

import collections

from ..clock import loop_time

# Seconds for which it is remembered that an upstream ended an answer early.
CUT_SECONDS = 5.0
# Seconds by which the connections of a killed process end apart: up to 23 ms
# beside load, and the way of a question between routers.
APART_SECONDS = 0.04


class EndRecord:
    """The times at which connections with an answer due ended, by upstream.

    Times are the event loop's, and an upstream is any value that can be a key.
    """

    def __init__(self):
        self._ends = collections.defaultdict(list)

    def add(self, upstream, ended_at=None):
        """Record that an upstream ended such a connection; return the time.

        :param ended_at: the time, None for now
        """
        now = loop_time()
        ended_at = now if ended_at is None else ended_at
        self._expire(now)
        self._ends[upstream].append(ended_at)
        return ended_at

    def remove(self, upstream, ended_at):
        """Forget an end whose answer was found to be whole.

        :param ended_at: time that :meth:`add` returned
        """
        if ended_at in self._ends.get(upstream, ()):
            self._ends[upstream].remove(ended_at)

    def count(self, upstream, ended_at):
        """Return how many such ends of an upstream came at about a time."""
        times = self._ends.get(upstream, ())
        return sum(abs(at - ended_at) <= APART_SECONDS for at in times)

    def _expire(self, now):
        recent = collections.defaultdict(list)
        for upstream, times in self._ends.items():
            kept = [at for at in times if at > now - CUT_SECONDS]
            if kept:
                recent[upstream] = kept
        self._ends = recent
