"""The upstreams as one router sees them, and which of them take work."""

from .backlog import Backlog
from .stream_pauses import StreamPauses

# Failures in a row after which an upstream is left out, and for how long in
# seconds; a failed connection counts as that many.
EJECT_AFTER = 2
EJECT_SECONDS = 2.0
# Seconds for which one that crashed is left out: by then its entry is gone.
CRASH_SECONDS = 5.0
# Seconds that one running request adds to the wait: 500 prompt tokens' time.
RUNNING_SECONDS = 0.01


class UpstreamState:
    """An upstream as this router sees it.

    :ivar outstanding: requests of this router that run there
    :ivar backlog: what it has still to read, a Backlog
    :ivar pacing: how evenly its streams come, a StreamPauses
    """

    __slots__ = (
        "record",
        "outstanding",
        "backlog",
        "pacing",
        "failures",
        "ejected_until",
        "crashed_until",
    )

    def __init__(self, record):
        self.record = record
        self.outstanding = 0
        self.backlog = Backlog()
        self.pacing = StreamPauses()
        self.failures = 0
        self.ejected_until = 0.0
        self.crashed_until = 0.0

    def expected_wait(self, unread, now):
        """Return the seconds to the first event of one more request.

        :param unread: prompt tokens of it that are not cached there
        """
        tokens = self.backlog.tokens(now) + unread
        running = RUNNING_SECONDS * self.outstanding
        return tokens / self.backlog.rate + running

    def start_delay(self, now):
        """Return the seconds until it begins one more request.

        Its own prompt does not count: a large one is late on an idle engine
        as well, and turned away it is served nowhere.
        """
        return self.expected_wait(0, now) + self.backlog.lag(now)

    def record_success(self):
        """Note that it answered a request."""
        self.failures = 0

    def record_failure(self, now, weight=1):
        """Note that it failed; leave it out for a while if it goes on."""
        self.failures += weight
        if self.failures >= EJECT_AFTER:
            self.failures = EJECT_AFTER - 1
            self.ejected_until = now + EJECT_SECONDS

    def record_crash(self, at):
        """Note that it crashed: for a while nobody listens there."""
        self.crashed_until = max(self.crashed_until, at + CRASH_SECONDS)


class UpstreamPool:
    """The states of all upstreams, by service."""

    def __init__(self):
        self._states = {}

    def update(self, upstreams):
        """Take over a list of upstreams.

        One that started again under its id begins without a past.

        :param upstreams: Upstream by id
        :returns: the ids of those that started again
        """
        states, restarted = {}, []
        for name, record in upstreams.items():
            state = self._states.get(name)
            if state is not None and state.record.run != record.run:
                restarted.append(name)
                state = None
            state = state or UpstreamState(record)
            state.record = record
            states[name] = state
        self._states = states
        return restarted

    def get(self, name):
        """Return the UpstreamState of an upstream's id, or None."""
        return self._states.get(name)

    def candidates(self, service, avoid, now):
        """Return the UpstreamStates that a request may go to.

        Ejected ones are among them only if half of the service or more is
        ejected: then the fault is hardly the upstreams' own.

        :param avoid: UpstreamRuns that it is not to meet again, most often
            none
        """
        taking = [
            state
            for state in self._states.values()
            if state.record.service == service and not state.record.leaving
        ]
        taking = [s for s in taking if s.crashed_until <= now] or taking
        healthy = [s for s in taking if s.ejected_until <= now]
        if 2 * len(healthy) < len(taking):
            healthy = taking
        if not avoid:
            return healthy
        fresh = [s for s in healthy if s.record.run not in avoid]
        return fresh or [s for s in taking if s.record.run not in avoid]
