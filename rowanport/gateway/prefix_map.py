"""Tracks which engines have which shared prompts in their caches.

A shared prompt may have several parts; an engine that has it cached also has
each run of its leading parts.
"""

import collections
import itertools

# Seconds after which an engine may have evicted a prompt: under production
# load its cache turns over in about a minute.
KEEP_SECONDS = 30.0
# Most prompts in the map; the least recently used ones are evicted.
PROMPT_LIMIT = 4096
# Most prompts of which the leading parts are known: about 0.3 MB.
PARENT_LIMIT = 2048


class PrefixMap:
    """The engines that recently read each shared prompt."""

    def __init__(self):
        self._engines = collections.OrderedDict()
        # Hash of the leading parts without the last one, by hash of a prompt.
        self._parents = {}

    def record(self, prefix, engine, now):
        """Record that an engine reads a shared prompt.

        :param prefix: hash of the shared prompt
        :param engine: id of the engine
        :param now: monotonic time in seconds
        """
        while prefix is not None:
            self._record(prefix, engine, now)
            prefix = self._parents.get(prefix)

    def _record(self, prefix, engine, now):
        engines = self._engines.setdefault(prefix, {})
        engines[engine] = now
        self._engines.move_to_end(prefix)
        while len(self._engines) > PROMPT_LIMIT:
            self._engines.popitem(last=False)

    def learn_parts(self, prefixes):
        """Learn of which leading parts a shared prompt consists.

        Announcements name only the whole shared prompt.

        :param prefixes: the prefixes of a Job
        """
        if len(prefixes) < 2 or prefixes[0][0] in self._parents:
            return
        for longer, shorter in itertools.pairwise(prefixes):
            self._parents[longer[0]] = shorter[0]
        while len(self._parents) > PARENT_LIMIT:
            del self._parents[next(iter(self._parents))]

    def levels(self, prefixes):
        """Return (tokens, engines) of each run of leading parts.

        :param prefixes: the prefixes of a Job
        :returns: the tokens, and by the id of an engine the monotonic time at
            which it read these, which counts for KEEP_SECONDS
        """
        return [
            (tokens, self._engines.get(prefix, {}))
            for prefix, tokens in prefixes
        ]

    def remove_engine(self, engine):
        """Remove an engine that restarted, and so has an empty cache."""
        for engines in self._engines.values():
            engines.pop(engine, None)

    def engines_with(self, prefix, now):
        """Return the ids of the engines that should have a prompt cached.

        :param prefix: hash of the shared prompt
        :param now: monotonic time in seconds
        """
        engines = self._engines.get(prefix, {})
        for engine, used_at in list(engines.items()):
            if now > used_at + KEEP_SECONDS:
                del engines[engine]
        return engines.keys()
