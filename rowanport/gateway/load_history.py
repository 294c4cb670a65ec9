"""What routers of a larger fleet sent lately, for those that ask."""

import collections

# Seconds for which notes are kept: routers ask four times a second.
KEEP_SECONDS = 1.0
# Notes in one answer, the largest prompts first: at four answers a second
# 1.9 KB/s of the 5 KB/s that control may cost a router that asks.
ANSWER_LIMIT = 16


class LoadHistory:
    """Keeps LoadNotes for a while.

    :param clock: a Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._notes = collections.deque()

    def add(self, note):
        """Keep a LoadNote that was just heard."""
        now = self._clock.steady()
        self._notes.append((now, note))
        while self._notes[0][0] < now - KEEP_SECONDS:
            self._notes.popleft()

    def recent(self, seconds, asker):
        """Return the notes of some last seconds, without an asker's own."""
        if seconds <= 0:
            return []
        begin = self._clock.steady() - seconds
        notes = [
            note
            for heard, note in self._notes
            if heard > begin and note.sender != asker
        ]
        notes.sort(key=lambda note: -note.tokens)
        return notes[:ANSWER_LIMIT]
