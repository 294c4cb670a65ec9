"""Remembers which parts of prompts are sound.

A part on which some upstream wrote a whole answer, or events for a while, does
not crash whatever begins to write one, so it is not blamed for crashes while
others may be.
"""

import collections

# Seconds for which a part counts as sound after such an answer.  A part may
# start to crash upstreams with a new version of their software.
SOUND_SECONDS = 300.0
# Most parts that are remembered; those answered last are kept.
SOUND_LIMIT = 4096


class SoundParts:
    """The parts for which this router got whole answers, or events."""

    __slots__ = ("_until",)

    def __init__(self):
        self._until = collections.OrderedDict()

    def __len__(self):
        return len(self._until)

    def add(self, part, now):
        """Record an answer to a request with a part.

        :param part: fingerprint of the part
        :param now: monotonic time in seconds
        """
        self._until[part] = now + SOUND_SECONDS
        self._until.move_to_end(part)
        if len(self._until) > SOUND_LIMIT:
            self._until.popitem(last=False)

    def is_sound(self, part, now):
        """Return whether a part counts as sound."""
        return self._until.get(part, now) > now
