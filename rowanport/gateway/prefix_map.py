"""Tracks which engines have which shared prompts in their caches."""

import collections

# Seconds after which an engine may have evicted a prompt: under production
# load its cache turns over in about a minute.
KEEP_SECONDS = 30.0
# Most prompts in the map; the least recently used ones are evicted.
PROMPT_LIMIT = 4096


class PrefixMap:
    """The engines that recently read each shared prompt."""

    def __init__(self):
        self._engines = collections.OrderedDict()

    def record(self, prefix, engine, now):
        """Record that an engine reads a shared prompt.

        :param prefix: hash of the shared prompt
        :param engine: id of the engine
        :param now: monotonic time in seconds
        """
        engines = self._engines.setdefault(prefix, {})
        engines[engine] = now
        self._engines.move_to_end(prefix)
        while len(self._engines) > PROMPT_LIMIT:
            self._engines.popitem(last=False)

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
