"""Buffers recent LoadNotes, for which routers of a large fleet poll."""

import collections

# Seconds for which LoadNotes are kept: routers poll four times a second.
KEEP_SECONDS = 1.0
# Most LoadNotes in one answer, those of the largest prompts first: at four
# answers a second they take 1.9 KB/s of the 5 KB/s allowed for control traffic
# of a router that polls.
ANSWER_LIMIT = 16


class LoadHistory:
    """LoadNotes of the last KEEP_SECONDS.

    :param clock: a Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._notes = collections.deque()

    def add(self, note):
        """Add a LoadNote that was just received."""
        now = self._clock.steady()
        self._notes.append((now, note))
        while self._notes[0][0] < now - KEEP_SECONDS:
            self._notes.popleft()

    def recent(self, seconds, poller):
        """Return LoadNotes of the last seconds, the largest prompts first.

        :param seconds: length of the time span
        :param poller: peer address of the router that polls; its own
            LoadNotes are left out
        """
        if seconds <= 0:
            return []
        begin = self._clock.steady() - seconds
        notes = [
            note
            for received_at, note in self._notes
            if received_at > begin and note.sender != poller
        ]
        notes.sort(key=lambda note: -note.tokens)
        return notes[:ANSWER_LIMIT]
