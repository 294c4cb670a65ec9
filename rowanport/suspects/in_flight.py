"""Tracks the requests of this router that are in flight at upstreams."""

import collections

# Seconds for which a request is kept after its upstream closed the connection,
# until it is known whether the upstream crashed.
ENDED_SECONDS = 2.0


class InFlightSend:
    """One send of a request to an upstream.

    :ivar job: the Job
    :ivar run: the UpstreamRun
    :ivar sent_at: monotonic time at which it was sent
    :ivar ended_at: monotonic time at which the upstream closed the connection,
        or None
    :ivar first_event_at: monotonic time at which its first event was
        forwarded, or None
    :ivar proven: whether it has brought events for long enough to show that
        its parts are sound
    """

    __slots__ = (
        "job",
        "run",
        "sent_at",
        "ended_at",
        "first_event_at",
        "proven",
    )

    def __init__(self, job, run, sent_at):
        self.job = job
        self.run = run
        self.sent_at = sent_at
        self.ended_at = None
        self.first_event_at = None
        self.proven = False


class InFlightSends:
    """The InFlightSends of this router, by the name of the UpstreamRun."""

    def __init__(self):
        self._open = collections.defaultdict(dict)
        self._ended = collections.defaultdict(list)

    @property
    def has_ended(self):
        """Return whether an upstream may have crashed under one of them."""
        return bool(self._ended)

    def add(self, job, run, now):
        """Add a request that is sent now; return its InFlightSend."""
        send = InFlightSend(job, run, now)
        self._open[run.name][send] = True
        return send

    def remove(self, send):
        """Remove a send that has ended; repeated calls have no effect."""
        sends = self._open.get(send.run.name, {})
        sends.pop(send, None)
        if not sends:
            self._open.pop(send.run.name, None)

    def mark_ended(self, send, now):
        """Record that the upstream closed the connection of a send."""
        self.remove(send)
        send.ended_at = now
        self._expire(now)
        self._ended[send.run.name].append(send)

    def sends_of(self, fingerprint):
        """Return the InFlightSends that have not ended, of one suspect.

        :param fingerprint: that of a request or of a part
        """
        return [
            send
            for sends in self._open.values()
            for send in sends
            if fingerprint in send.job.suspect_ids
        ]

    def upstreams_by_suspect(self):
        """Return sets of names of the upstream runs with open sends.

        :returns: defaultdict by fingerprint of a request or a part
        """
        names = collections.defaultdict(set)
        for name, sends in self._open.items():
            for fingerprint in {f for s in sends for f in s.job.suspect_ids}:
                names[fingerprint].add(name)
        return names

    def runs_that_ended(self, fingerprint):
        """Return the names of upstream runs that may have crashed under it.

        They closed the connection of a request that has this fingerprint, or
        that of a part, and it is not known yet whether they crashed.
        """
        return [
            name
            for name, sends in self._ended.items()
            if any(fingerprint in send.job.suspect_ids for send in sends)
        ]

    def first_ended_at(self, name):
        """Return when an upstream run first closed a connection.

        :returns: monotonic time, or None if it closed none recently
        """
        ended = self._ended.get(name, ())
        return min((send.ended_at for send in ended), default=None)

    def sends_at(self, name):
        """Return the InFlightSends at an upstream run that have not ended."""
        return list(self._open.get(name, ()))

    def all_at(self, name):
        """Return the InFlightSends at an upstream run, ended ones included."""
        return [*self._ended.get(name, ()), *self.sends_at(name)]

    def collect_all(self, name):
        """Remove and return the InFlightSends at a crashed upstream run.

        Those that have not ended are returned, but not removed.
        """
        return [*self.pop_ended(name), *self.sends_at(name)]

    def pop_ended(self, name):
        """Remove and return the ended InFlightSends at an upstream run."""
        return self._ended.pop(name, [])

    def _expire(self, now):
        for name, sends in list(self._ended.items()):
            recent = [
                send for send in sends if send.ended_at > now - ENDED_SECONDS
            ]
            if recent:
                self._ended[name] = recent
            else:
                del self._ended[name]
