"""Requests of this router that run at upstreams, and which ended together."""

import collections

# Seconds for which a request whose connection ended is kept, until it is
# known whether its upstream crashed.
ENDED_SECONDS = 2.0


class Flight:
    """One run of a request at an upstream.

    :ivar job: its Job
    :ivar run: the UpstreamRun
    :ivar begun: steady time at which it was sent
    :ivar ended: steady time at which the upstream ended it, None before that
    """

    __slots__ = ("job", "run", "begun", "ended")

    def __init__(self, job, run, begun):
        self.job = job
        self.run = run
        self.begun = begun
        self.ended = None


class Flights:
    """All Flights by the name of the upstream's run."""

    def __init__(self):
        self._open = collections.defaultdict(dict)
        self._ended = collections.defaultdict(list)

    def begin(self, job, run, now):
        """Return the Flight of a request that is sent now."""
        flight = Flight(job, run, now)
        self._open[run.name][flight] = True
        return flight

    def finish(self, flight):
        """Note that a run is over; it may be told again."""
        flights = self._open.get(flight.run.name, {})
        flights.pop(flight, None)
        if not flights:
            self._open.pop(flight.run.name, None)

    def end(self, flight, now):
        """Note that the upstream ended a run's connection."""
        self.finish(flight)
        flight.ended = now
        self._forget(now)
        self._ended[flight.run.name].append(flight)

    def of(self, fingerprint):
        """Return the open Flights of a request."""
        return [
            flight
            for flights in self._open.values()
            for flight in flights
            if flight.job.fingerprint == fingerprint
        ]

    def ended_runs(self, fingerprint):
        """Return the names of runs that ended a request, cause unknown."""
        return [
            name
            for name, flights in self._ended.items()
            if any(f.job.fingerprint == fingerprint for f in flights)
        ]

    def first_end(self, name):
        """Return the steady time at which an upstream's run ended the first.

        :returns: None if it ended none lately
        """
        ended = self._ended.get(name, ())
        return min((flight.ended for flight in ended), default=None)

    def open_at(self, name):
        """Return the Flights under way at an upstream's run."""
        return list(self._open.get(name, ()))

    def take_all(self, name):
        """Return the Flights at an upstream that crashed."""
        return [*self.take_ended(name), *self.open_at(name)]

    def take_ended(self, name):
        """Return the Flights that ended at an upstream that goes on."""
        return self._ended.pop(name, [])

    def _forget(self, now):
        for name, flights in list(self._ended.items()):
            fresh = [f for f in flights if f.ended > now - ENDED_SECONDS]
            if fresh:
                self._ended[name] = fresh
            else:
                del self._ended[name]
