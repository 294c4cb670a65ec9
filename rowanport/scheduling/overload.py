"""Load shedding: refuses requests that no upstream could start in time.

The load concerned is more prompts than engines can process, for seconds or
permanently, as when the number of users jumps or engines fail or slow down.
If all are accepted, each late prompt delays those behind it until nearly all
are late.  In a model of three engines that receive 1.5 times the prompts that
they can process, shedding raised the value earned from 36 to 49 in 100 of what
was asked for (eight seeds of 24 s, standard error 2; test_engine_load.py).
With enough engines nothing is refused.
"""

# Fraction of the objective within which less urgent requests have to start;
# the rest is reserved for more urgent ones.  With the same limit for all, 18
# in 100 of the more urgent requests and 12 of the others were refused; with
# this one, 15 and 23.
LESS_URGENT_SHARE = 0.7
# Fraction of the due time that the queue may still take when a refused caller
# comes back.
RETURN_SHARE = 0.5
# Seconds for which the most urgent rank that was requested is remembered.
RANK_SECONDS = 10.0


class LateStart:
    """Why a request would start too late, and when to retry it.

    :ivar wait: expected seconds until the first upstream starts it
    :ivar due: seconds within which an upstream had to be expected to start it
    :ivar come_back_at: monotonic time from which a retry makes sense
    """

    __slots__ = ("wait", "due", "come_back_at")

    def __init__(self, wait, due, come_back_at):
        self.wait = wait
        self.due = due
        self.come_back_at = come_back_at


class Overload:
    """Decides on one router whether a service starts requests in time."""

    def __init__(self):
        self._most_urgent = None
        self._until = 0.0

    def late_start(self, waits, objective, rank, now, latest=None):
        """Return the LateStart of a request that no upstream starts in time.

        :param waits: expected seconds until each upstream starts it, at least
            one
        :param objective: seconds within which its first event is due
        :param rank: rank of the request, 0 is the most urgent
        :param now: monotonic time
        :param latest: monotonic time by which it has to start in any case,
            None if there is none
        :returns: None if an upstream is expected to start it in time
        """
        self._record_rank(rank, now)
        due = objective
        if rank > self._most_urgent:
            due *= LESS_URGENT_SHARE
        if latest is not None:
            due = min(due, latest - now)
        wait = min(waits)
        if wait <= due:
            return None
        return LateStart(wait, due, now + wait - RETURN_SHARE * due)

    def _record_rank(self, rank, now):
        expired = self._most_urgent is None or now > self._until
        if expired or rank <= self._most_urgent:
            self._most_urgent = rank
            self._until = now + RANK_SECONDS
