"""Decides which requests run although their answers will be late.

Such a request runs with the lowest urgency, so that it delays none that can
be in time.  It begins when the more urgent requests leave room, which no
estimate of backlogs tells.  Therefore its wait is estimated from that of
earlier late requests.
"""

# Shortest time in seconds that callers wait for an event.
LEAST_PATIENCE = 2.0
# Multiples of the objective, and of the longest pause allowed between two
# events, for which they wait if that is longer.
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
# Part of the time that a caller waits within which a request has to begin.
BEGIN_SHARE = 0.5
# Weight of a new wait in the moving average, and the half-life in seconds with
# which the average decays: after a shortage the next late request is tried.
SMOOTHING = 0.5
HALF_LIFE = 2.0


def begin_by(arrived, deadline, objective, pause):
    """Return the monotonic time by which a request has to begin.

    :param arrived: monotonic time of its arrival
    :param deadline: monotonic time of its time limit
    :param objective: seconds within which its first event is due
    :param pause: longest pause in seconds between two events, 0 for any
    """
    waits = max(
        LEAST_PATIENCE,
        PATIENCE_OBJECTIVES * objective,
        PATIENCE_PAUSES * pause,
    )
    gives_up = min(deadline, arrived + waits)
    return arrived + BEGIN_SHARE * (gives_up - arrived)


class LateAnswers:
    """Whether late requests to one service begin before callers give up."""

    __slots__ = ("_wait", "_at", "_pending")

    def __init__(self):
        self._wait = 0.0
        self._at = 0.0
        # Monotonic time of the send by request, the earliest first.
        self._pending = {}

    def accepts(self, wait, busy, latest, now):
        """Return whether a late request is expected to begin early enough.

        More urgent requests that arrive meanwhile go first, so that only what
        they leave of the capacity works off the queue.

        :param wait: seconds that the engines need for the work that waits
        :param busy: part of the engines' capacity that is in use
        :param latest: monotonic time by which it has to begin
        :param now: monotonic time
        """
        if busy >= 1:
            return False
        wait = max(wait / (1 - busy), self.expected_wait(now))
        return now + wait <= latest

    def expected_wait(self, now):
        """Return the seconds that a late request is expected to wait.

        It is at least as long as the oldest one has been waiting.
        """
        oldest = next(iter(self._pending.values()), now)
        return max(self._average(now), now - oldest)

    def record_send(self, request, now):
        """Record that a late request is sent.

        :param request: anything hashable that identifies it
        """
        self._pending.setdefault(request, now)

    def record_end(self, request, now):
        """Record that a late request began or was given up.

        May be called more than once.
        """
        sent_at = self._pending.pop(request, None)
        if sent_at is not None:
            average = self._average(now)
            self._wait = average + SMOOTHING * (now - sent_at - average)
            self._at = now

    def _average(self, now):
        return self._wait * 0.5 ** (max(0.0, now - self._at) / HALF_LIFE)
