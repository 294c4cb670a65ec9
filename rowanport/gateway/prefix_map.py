"""Which engines have read which shared prompts, as far as is known."""

import collections

# Seconds after which an engine may have dropped a prompt from its cache: at
# the users' loads its memory turns over in about a minute.
KEEP_SECONDS = 30.0
# Prompts that are remembered; the least recently used ones are forgotten.
PROMPT_LIMIT = 4096


class PrefixMap:
    """The engines that lately read each shared prompt."""

    def __init__(self):
        self._engines = collections.OrderedDict()

    def record(self, prefix, engine, now):
        """Note that an engine reads a shared prompt.

        :param prefix: hash of the shared prompt
        :param engine: id of the engine
        """
        engines = self._engines.setdefault(prefix, {})
        engines[engine] = now
        self._engines.move_to_end(prefix)
        while len(self._engines) > PROMPT_LIMIT:
            self._engines.popitem(last=False)

    def remove_engine(self, engine):
        """Forget an engine, which started again with an empty cache."""
        for engines in self._engines.values():
            engines.pop(engine, None)

    def engines_with(self, prefix, now):
        """Return the ids of the engines that should have it cached."""
        engines = self._engines.get(prefix, {})
        for engine, used_at in list(engines.items()):
            if now > used_at + KEEP_SECONDS:
                del engines[engine]
        return engines.keys()
