"""How evenly an engine's streams came lately, as one router saw them."""

import collections

# Streams that are looked at, and seconds after which one is forgotten: an
# engine that is slow now may not be so later.
TRACKED_STREAMS = 8
KEEP_SECONDS = 20.0
# Streams that are presumed to have come evenly: one late stream alone says
# little of an engine.
ASSUMED_SMOOTH = 2


class _Stream:
    """One stream, whose Job is held only as long as it may change."""

    __slots__ = ("until", "paused", "_job")

    def __init__(self, job, until):
        self.until = until
        self.paused = False
        self._job = job

    def update(self):
        """Look at its pauses so far."""
        job = self._job
        if job is None:
            return
        self.paused = job.longest_pause > job.route.gap_objective
        if self.paused or job.complete:
            self._job = None


class StreamPauses:
    """The streams that this router last sent to an engine."""

    __slots__ = ("_streams",)

    def __init__(self):
        self._streams = collections.deque(maxlen=TRACKED_STREAMS)

    def track(self, job, now):
        """Look at a Job's pauses from now on.

        A stream that goes on here has paused elsewhere.

        :param now: steady time
        """
        if job.route.gap_objective and not job.events:
            self._streams.append(_Stream(job, now + KEEP_SECONDS))

    def paused_share(self, now):
        """Return the share of streams with a pause over their objective."""
        while self._streams and self._streams[0].until < now:
            self._streams.popleft()
        for stream in self._streams:
            stream.update()
        paused = sum(stream.paused for stream in self._streams)
        return paused / (len(self._streams) + ASSUMED_SMOOTH)
