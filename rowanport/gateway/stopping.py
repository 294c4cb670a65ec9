"""Graceful shutdown of a gateway: which requests it still accepts.

A shutdown has three phases.  Until ``deregistered_at`` requests are accepted,
since the load balancer still sends them.  Until ``cutoff_at`` the accepted
requests are finished, and new ones are refused as not executed, so that
callers can safely send them to another router.  After that all requests are
refused.
"""

import collections

from ..errors import ErrorKind
from ..errors import RequestError

# Seconds after the signal during which requests are accepted.  The load
# balancer removes a router after two failed checks, one a second.  By the end
# of this time recorded limits on tokens have expired, too, so that all tokens
# can be handed off.
DEREGISTRATION_SECONDS = 2.9
# Maximum share of the time until the cut-off for this phase, so that requests
# accepted at its end have more time than that to finish.
DEREGISTRATION_SHARE = 0.45
# Seconds between the cut-off and the end of the grace period: 0.1 s for
# sending the last answers, 0.7 s for handing off or returning tokens, 0.1 s
# for partially received requests, the rest for late timers and the exit.
RESERVE = 1.0
# Maximum share of the grace period for this: with a grace period of 3 s the
# cut-off comes after 2.55 s rather than 2.0 s, and more answers are completed.
RESERVE_SHARE = 0.15
# Seconds before the cut-off at which the deadline of a request has to be, so
# that its answer can be sent.
DEADLINE_MARGIN = 0.1
# Seconds after which some router is ready again if all stop at the same time:
# they finish streams of a second or two, and are ready 0.7 s after their exit.
RESTART_SECONDS = 2.5
# Weight of the newest request in the moving average of answer times.
NEWEST_WEIGHT = 0.1


class Durations:
    """Moving average of the time of complete answers, by service."""

    def __init__(self):
        self._seconds = {}

    def record(self, service, seconds):
        """Add the time of a complete answer."""
        average = self._seconds.get(service, seconds)
        average += NEWEST_WEIGHT * (seconds - average)
        self._seconds[service] = average

    def average(self, service):
        """Return the average time in seconds, 0 while none is known."""
        return self._seconds.get(service, 0.0)


class GracefulStop:
    """The state of a shutdown, and which requests are accepted during it.

    :param members: the Membership
    :param clock: a Clock
    :ivar deregistered_at: monotonic time until which requests are accepted,
        None before the signal
    :ivar cutoff_at: monotonic time at which unfinished requests are ended,
        None before the signal
    :ivar closed: whether all requests are refused
    :ivar refused: number of requests refused because of the shutdown
    :ivar cut: number of requests ended while an upstream may have been
        processing them
    """

    def __init__(self, members, clock):
        self._members = members
        self._clock = clock
        self._durations = Durations()
        # Jobs in flight, by whether they were accepted before deregistration.
        self._jobs = set()
        self._late_jobs = set()
        self.deregistered_at = None
        self.cutoff_at = None
        self.closed = False
        self.refused = 0
        self.cut = 0

    @property
    def begun(self):
        """Return whether the shutdown has begun."""
        return self.cutoff_at is not None

    @property
    def deregistering(self):
        """Return whether the load balancer may still send requests."""
        return self.begun and self._clock.steady() < self.deregistered_at

    @property
    def finished(self):
        """Return whether the shutdown needs to wait for no more requests."""
        if not self.begun or self.deregistering:
            return False
        return not self._jobs and not self._late_jobs

    @property
    def remaining_tokens(self):
        """Return the tokens that jobs in flight may still generate, by budget.

        These tokens are not handed off: without them, a job could not be sent
        to another upstream if its own stalls.
        """
        tokens = collections.Counter()
        for job in self._jobs:
            if job.budget is not None:
                tokens[job.budget] += job.remaining_tokens
        return tokens

    def begin(self, grace):
        """Begin the shutdown.

        :param grace: seconds until the process is killed
        """
        now = self._clock.steady()
        left = grace - min(RESERVE, RESERVE_SHARE * grace)
        self.cutoff_at = now + left
        self.deregistered_at = now + min(
            DEREGISTRATION_SECONDS, DEREGISTRATION_SHARE * left
        )

    def close(self):
        """Refuse all requests from now on."""
        self.closed = True

    # Requests

    def accept(self, job):
        """Accept a job.

        :raises RequestError: another router has to serve it
        """
        if self.begun:
            self._check(job)
        late = self.begun and not self.deregistering
        (self._late_jobs if late else self._jobs).add(job)

    def release(self, job):
        """Remove a job that has ended."""
        self._jobs.discard(job)
        self._late_jobs.discard(job)

    def record_complete(self, job):
        """Record that the answer of a job was sent completely."""
        seconds = self._clock.steady() - job.arrived
        self._durations.record(job.service, seconds)

    def end_time(self, job):
        """Return the monotonic time at which a job is ended."""
        return (
            min(job.deadline, self.cutoff_at) if self.begun else job.deadline
        )

    def may_send(self, job):
        """Return whether a send is expected to end before the cut-off."""
        return not self.begun or self._is_expected_to_end(job)

    def check_send(self, job):
        """Raise RequestError unless may_send() allows a send."""
        if not self.may_send(job):
            raise self._error(job, "too little time left for a send")

    def cutoff_error(self, job):
        """Return the RequestError of a job ended by the cut-off, or None."""
        if not self.begun or job.deadline <= self.cutoff_at:
            return None
        return self._error(job, "unfinished at the end of the grace period")

    # Decisions

    def _check(self, job):
        if self.closed:
            raise self._refusal("shutdown is complete")
        if self.deregistering:
            if not self._is_expected_to_end(job):
                raise self._refusal("too little time left before the cut-off")
            return
        # Such a job is accepted only while earlier ones are in flight, and if
        # it ends before the cut-off: a steady flow of requests must not
        # prolong the shutdown.
        if not self._jobs or not self._ends_in_time(job):
            raise self._refusal("router is shutting down")

    def _ends_in_time(self, job):
        return job.deadline <= self.cutoff_at - DEADLINE_MARGIN

    def _is_expected_to_end(self, job):
        if self._ends_in_time(job):
            return True
        average = self._durations.average(job.service)
        return self._clock.steady() + average < self.cutoff_at

    def _error(self, job, why):
        """Return the RequestError of an accepted job that is not served."""
        if not job.runs:
            return self._refusal(why)
        self.cut += 1
        return RequestError(ErrorKind.CUT_BY_STOP, why)

    def _refusal(self, why):
        self.refused += 1
        come_back_at = None
        if not self._members.ready_peers():
            come_back_at = self._clock.steady() + RESTART_SECONDS
        return RequestError(ErrorKind.STOPPING, why, come_back_at=come_back_at)
