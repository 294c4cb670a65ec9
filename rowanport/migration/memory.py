"""Estimates how much memory of each engine runs and copies occupy."""

import collections

# Share of an engine's memory up to which copies are made: the rest is for
# runs that other routers have sent and that grow.
COPY_SHARE = 0.8


class MemoryBook:
    """The tokens that this router's requests occupy, by engine.

    The requests of the other routers are not known here.  They are assumed to
    occupy as much for each router as this router's do.
    """

    def __init__(self):
        self._tokens = collections.Counter()
        # (engine, tokens) pairs by the owner for which they are reserved.
        self._reserved = {}

    def reserve(self, owner, engine, tokens):
        """Add tokens that an owner occupies at an engine.

        :param owner: a hashable object that release() names again
        :param engine: name of the engine's run
        """
        self._tokens[engine] += tokens
        self._reserved.setdefault(owner, []).append((engine, tokens))

    def release(self, owner):
        """Remove all that an owner occupies; repeated calls do nothing."""
        for engine, tokens in self._reserved.pop(owner, ()):
            self._tokens[engine] -= tokens
            if not self._tokens[engine]:
                del self._tokens[engine]

    def tokens(self, engine):
        """Return the tokens that this router's requests occupy."""
        return self._tokens[engine]

    def has_room(self, engine, tokens, capacity, routers):
        """Return whether an engine has room for one more copy.

        :param tokens: tokens of the copy
        :param capacity: tokens that the engine's memory holds
        :param routers: number of routers, this one included
        """
        used = self._tokens[engine] * routers + tokens
        return used <= COPY_SHARE * capacity
