"""Requests of this router that run at upstreams, and which ended together."""

import collections

# Seconds for which a request whose connection ended is kept, until it is
# known whether its upstream crashed.
ENDED_SECONDS = 2.0


class InFlightSend:
    """One run of a request at an upstream.

    :ivar job: its Job
    :ivar run: the UpstreamRun
    :ivar sent_at: steady time at which it was sent
    :ivar ended_at: monotonic time at which the upstream ended it, or None
    """

    __slots__ = ("job", "run", "sent_at", "ended_at")

    def __init__(self, job, run, sent_at):
        self.job = job
        self.run = run
        self.sent_at = sent_at
        self.ended_at = None


class InFlightSends:
    """All InFlightSends by the name of the upstream's run."""

    def __init__(self):
        self._open = collections.defaultdict(dict)
        self._ended = collections.defaultdict(list)

    def add(self, job, run, now):
        """Return the InFlightSend of a request that is sent now."""
        send = InFlightSend(job, run, now)
        self._open[run.name][send] = True
        return send

    def remove(self, send):
        """Note that a run is over; it may be told again."""
        sends = self._open.get(send.run.name, {})
        sends.pop(send, None)
        if not sends:
            self._open.pop(send.run.name, None)

    def mark_ended(self, send, now):
        """Note that the upstream ended a run's connection."""
        self.remove(send)
        send.ended_at = now
        self._forget(now)
        self._ended[send.run.name].append(send)

    def sends_of(self, fingerprint):
        """Return the open InFlightSends of a request."""
        return [
            send
            for sends in self._open.values()
            for send in sends
            if send.job.fingerprint == fingerprint
        ]

    def runs_that_ended(self, fingerprint):
        """Return the names of runs that ended a request, cause unknown."""
        return [
            name
            for name, sends in self._ended.items()
            if any(f.job.fingerprint == fingerprint for f in sends)
        ]

    def first_ended_at(self, name):
        """Return the steady time at which an upstream's run ended the first.

        :returns: None if it ended none lately
        """
        ended = self._ended.get(name, ())
        return min((send.ended_at for send in ended), default=None)

    def sends_at(self, name):
        """Return the InFlightSends under way at an upstream's run."""
        return list(self._open.get(name, ()))

    def pop_all(self, name):
        """Return the InFlightSends at an upstream that crashed."""
        return [*self.pop_ended(name), *self.sends_at(name)]

    def pop_ended(self, name):
        """Return the InFlightSends that ended at an upstream that goes on."""
        return self._ended.pop(name, [])

    def _forget(self, now):
        for name, sends in list(self._ended.items()):
            fresh = [f for f in sends if f.ended_at > now - ENDED_SECONDS]
            if fresh:
                self._ended[name] = fresh
            else:
                del self._ended[name]
