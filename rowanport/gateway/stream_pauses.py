"""Which of an engine's recent streams paused, as one router saw them."""

import collections

# Number of recent streams that count, and seconds after which a stream no
# longer counts: an engine that is slow now may recover.
TRACKED_STREAMS = 8
KEEP_SECONDS = 20.0
# Pseudo-count of streams without a pause (additive smoothing): a single paused
# stream says little about an engine.
ASSUMED_SMOOTH = 2


class _Stream:
    """A recent stream.

    The reference to its Job is dropped once ``paused`` is final.
    """

    __slots__ = ("until", "paused", "_job")

    def __init__(self, job, until):
        self.until = until
        self.paused = False
        self._job = job

    def update(self):
        """Update ``paused`` by the longest pause so far."""
        job = self._job
        if job is None:
            return
        self.paused = job.longest_pause > job.route.gap_objective
        if self.paused or job.complete:
            self._job = None


class StreamPauses:
    """The streams that this router recently sent to one engine."""

    __slots__ = ("_streams",)

    def __init__(self):
        self._streams = collections.deque(maxlen=TRACKED_STREAMS)

    def track(self, job, now):
        """Track the pauses of a Job's stream from now on.

        A stream that is resumed here is not tracked: its pause so far was at
        another engine.

        :param now: monotonic time in seconds
        """
        if job.route.gap_objective and not job.events:
            self._streams.append(_Stream(job, now + KEEP_SECONDS))

    def paused_share(self, now):
        """Return the share of streams with a pause above their objective."""
        while self._streams and self._streams[0].until < now:
            self._streams.popleft()
        for stream in self._streams:
            stream.update()
        paused = sum(stream.paused for stream in self._streams)
        return paused / (len(self._streams) + ASSUMED_SMOOTH)
