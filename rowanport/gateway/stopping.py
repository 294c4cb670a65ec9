"""The planned stop of a gateway: what it still takes, and until when.

A stop has three parts.  Until ``linger_until`` callers are served, as the
balancer still sends them.  Until ``cut_at`` what was taken is finished, and
new requests are refused with a promise, so that they are served elsewhere.
From then on nothing is in hand, and all is refused.
"""

import collections

from ..errors import ErrorKind
from ..errors import RequestError

# Seconds after the signal during which callers are served: the balancer needs
# two missed checks, one a second; also until written limits on tokens bind no
# more, so that all are handed over.
LINGER = 2.9
# Part of the time until the cut that this takes at most: what is taken last
# has longer than that to end.
LINGER_SHARE = 0.45
# Seconds before the end of the grace period at which open requests are given
# up: the last answers have 0.1 s to go out, tokens 0.7 s to be handed over or
# given back, what came in part 0.1 s, late timers and the end the rest.
RESERVE = 1.0
# Part of the grace period that this takes at most: with a grace of 3 s the cut
# comes after 2.55 s in place of 2.0, and more answers end by themselves.
RESERVE_SHARE = 0.15
# Seconds before the cut at which a request's own time has to be over, so that
# its answer surely goes out.
MARGIN = 0.1
# Seconds after which some router is back when all of them stop together: they
# finish streams of a second or two, and are ready 0.7 s after their end.
RETURN = 2.5
# Weight of the newest request in the usual time of its service.
NEWEST_WEIGHT = 0.1


class Durations:
    """The usual time of whole answers, by service."""

    def __init__(self):
        self._seconds = {}

    def record(self, service, seconds):
        """Take in the time of an answer that went out whole."""
        usual = self._seconds.get(service, seconds)
        usual += NEWEST_WEIGHT * (seconds - usual)
        self._seconds[service] = usual

    def usual(self, service):
        """Return the usual time in seconds, 0 while none is known."""
        return self._seconds.get(service, 0.0)


class Stopping:
    """Whether a gateway stops, and what it takes meanwhile.

    :param members: the Membership, which tells who else is there
    :param clock: a Clock
    :ivar linger_until: steady time until which callers are served, None
        before the signal
    :ivar cut_at: steady time at which open requests are given up
    :ivar closed: whether nothing is taken any more
    :ivar refused: requests refused because of the stop
    :ivar cut: requests given up while an upstream may have been at work
    """

    def __init__(self, members, clock):
        self._members = members
        self._clock = clock
        self._durations = Durations()
        # In hand: those taken before the linger's end, and those after it.
        self._held = set()
        self._late = set()
        self.linger_until = None
        self.cut_at = None
        self.closed = False
        self.refused = 0
        self.cut = 0

    @property
    def begun(self):
        """Return whether the signal to stop came."""
        return self.cut_at is not None

    @property
    def lingering(self):
        """Return whether the stop has begun and callers are still served."""
        return self.begun and self._clock.steady() < self.linger_until

    @property
    def finished(self):
        """Return whether all that was to be served has been served."""
        if not self.begun or self.lingering:
            return False
        return not self._held and not self._late

    @property
    def unmade(self):
        """Return by budget what the jobs in hand may still make.

        Without it none of them could go on elsewhere when its upstream falls
        silent: tokens for a second run are then at other routers.
        """
        tokens = collections.Counter()
        for job in self._held:
            if job.budget is not None:
                tokens[job.budget] += job.remaining_tokens
        return tokens

    def begin(self, grace):
        """Begin the stop.

        :param grace: seconds until the process is killed
        """
        now = self._clock.steady()
        left = grace - min(RESERVE, RESERVE_SHARE * grace)
        self.cut_at = now + left
        self.linger_until = now + min(LINGER, LINGER_SHARE * left)

    def close(self):
        """Take nothing any more."""
        self.closed = True

    # Requests

    def take(self, job):
        """Take a job in hand.

        :raises RequestError: it has to be served elsewhere
        """
        if self.begun:
            self._check(job)
        late = self.begun and not self.lingering
        (self._late if late else self._held).add(job)

    def leave(self, job):
        """Note that a job is in hand no more."""
        self._held.discard(job)
        self._late.discard(job)

    def note_whole(self, job):
        """Note that a job's answer went out whole."""
        seconds = self._clock.steady() - job.arrived
        self._durations.record(job.service, seconds)

    def end_of(self, job):
        """Return the steady time at which a job is over at the latest."""
        return min(job.deadline, self.cut_at) if self.begun else job.deadline

    def may_send(self, job):
        """Return whether a send would likely end before the cut."""
        return not self.begun or self._may_end(job)

    def check_send(self, job):
        """Raise RequestError if a send would hardly end before the cut."""
        if not self.may_send(job):
            raise self._error(job, "too late for a send")

    def error_at_cut(self, job):
        """Return the RequestError of a job that the cut ends, or None."""
        if not self.begun or job.deadline <= self.cut_at:
            return None
        return self._error(job, "given up at the end of the grace period")

    # Decisions

    def _check(self, job):
        if self.closed:
            raise self._refusal("the stop is over")
        if self.lingering:
            if not self._may_end(job):
                raise self._refusal("no time is left for it")
            return
        # It prolongs the stop by no more than its own time, and only while
        # others do: a router that is sent such requests all along must end.
        if not self._held or not self._surely_ends(job):
            raise self._refusal("the linger is over")

    def _surely_ends(self, job):
        return job.deadline <= self.cut_at - MARGIN

    def _may_end(self, job):
        if self._surely_ends(job):
            return True
        usual = self._durations.usual(job.service)
        return self._clock.steady() + usual < self.cut_at

    def _error(self, job, why):
        """Return the RequestError of a job that was taken, but not served."""
        if not job.runs:
            return self._refusal(why)
        self.cut += 1
        return RequestError(ErrorKind.CUT_BY_STOP, why)

    def _refusal(self, why):
        self.refused += 1
        come_back_at = None
        if not self._members.ready_peers():
            come_back_at = self._clock.steady() + RETURN
        return RequestError(ErrorKind.STOPPING, why, come_back_at=come_back_at)
