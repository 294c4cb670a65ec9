"""Tracks where suspects run, for this router and its peers."""


class SuspectRuns:
    """The active runs of suspects, as announced by all routers.

    If the message about the end of a run is lost, the run counts until the
    time limit that was announced with it.
    """

    def __init__(self):
        self._until = {}

    def __len__(self):
        return len(self._until)

    def add(self, fingerprint, upstream, router, until):
        """Add a run of a suspect.

        :param fingerprint: fingerprint of the request
        :param upstream: name of the UpstreamRun
        :param router: peer address of the router that sent the request
        :param until: monotonic time at which the run ends at the latest
        """
        self._until[fingerprint, upstream, router] = until

    def remove(self, fingerprint, upstream, router):
        """Remove a run that has ended; return whether it was known."""
        key = fingerprint, upstream, router
        return self._until.pop(key, None) is not None

    def expire(self, now):
        """Remove the runs whose time limit has passed."""
        self._until = {k: t for k, t in self._until.items() if t > now}

    def count(self, fingerprint, now):
        """Return the number of active runs of a request."""
        return sum(
            1
            for (other, _upstream, _router), until in self._until.items()
            if other == fingerprint and until > now
        )

    def rows(self, now):
        """Return (fingerprint, name of the upstream's run) of active runs."""
        return [
            (fingerprint, upstream)
            for (fingerprint, upstream, _), until in self._until.items()
            if until > now
        ]

    def fingerprints_at(self, upstream, now):
        """Return the fingerprints of the suspects that run on an upstream.

        :param upstream: name of the UpstreamRun
        :param now: monotonic time in seconds
        """
        return [
            fingerprint
            for (fingerprint, other, _router), until in self._until.items()
            if other == upstream and until > now
        ]
